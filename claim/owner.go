package claim

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/hold"
)

// ErrStopped means that the shard's owner has stopped.
var ErrStopped = eris.New("shard owner stopped")

// Recorder stores entries with the witness of a hold before they take effect.
type Recorder interface {
	Record(ctx context.Context, record hold.Record) error
}

// RecorderFunc adapts a function to a Recorder.
type RecorderFunc func(ctx context.Context, record hold.Record) error

// Record implements Recorder.
func (f RecorderFunc) Record(ctx context.Context, record hold.Record) error { return f(ctx, record) }

const (
	// batchLimit is the greatest number of calls that share one record.
	batchLimit = 256
	// inboxSize is the greatest number of calls that wait for the owner.
	inboxSize = 4096
	// recordTimeout is the timeout of storing one record.
	recordTimeout = time.Second
)

// call is one message to the owner's goroutine: exactly one of ask, settle and
// change is set.
type call struct {
	ask    *GrantRequest
	settle *Settlement
	change func()
	reply  chan Answer
}

// Owner serves one shard from one goroutine. Calls that arrive while a record
// is being stored share the next one.
type Owner struct {
	// resource names the hold on the shard.
	resource hold.Resource
	inbox    chan call
	done     chan struct{}

	// Only the owner's goroutine uses the fields below.
	shard    *Shard
	recorder Recorder
	fence    cardamom.Fence
	open     bool
	// unrecorded are the changes that are not stored with the witness yet.
	unrecorded []hold.Entry
}

// NewOwner returns the owner of a shard and starts its goroutine, which runs
// until ctx is done. It grants nothing before Open.
func NewOwner(ctx context.Context, resource hold.Resource, shard *Shard) *Owner {
	o := &Owner{resource: resource, shard: shard, inbox: make(chan call, inboxSize), done: make(chan struct{})}
	go func() {
		defer close(o.done)
		o.run(ctx)
	}()
	return o
}

// Ask decides whether a request may run and records a grant before returning it.
func (o *Owner) Ask(ctx context.Context, ask GrantRequest) Answer {
	return o.call(ctx, call{ask: &ask})
}

// Settle records how a granted request ended and reports whether it was recorded.
func (o *Owner) Settle(ctx context.Context, settle Settlement) bool {
	return o.call(ctx, call{settle: &settle}).Verdict == Granted
}

// CopyTo stores all claims with a new witness. After it the owner grants nothing
// until Open is called.
func (o *Owner) CopyTo(ctx context.Context, recorder Recorder, fence cardamom.Fence) error {
	result := make(chan error, 1)
	copyAll := func() {
		o.open = false
		result <- recorder.Record(ctx, hold.Record{Resource: o.resource, Fence: fence, Reset: true, Entries: o.shard.Entries()})
	}
	if o.call(ctx, call{change: copyAll}).Verdict != Granted {
		return ErrStopped
	}
	return <-result
}

// Open lets the owner grant and sets the fencing token of its records. A nil
// recorder means that there is no witness.
func (o *Owner) Open(ctx context.Context, recorder Recorder, fence cardamom.Fence) {
	o.call(ctx, call{change: func() {
		o.recorder = recorder
		o.fence = fence
		o.open = true
	}})
}

// MarkLost records that the claims made before the given version of the hold are
// lost.
func (o *Owner) MarkLost(ctx context.Context, version uint64, now time.Time) {
	o.call(ctx, call{change: func() { o.shard.MarkLost(version, now) }})
}

func (o *Owner) call(ctx context.Context, c call) Answer {
	c.reply = make(chan Answer, 1)
	select {
	case o.inbox <- c:
	case <-ctx.Done():
		return Answer{Verdict: Unavailable}
	case <-o.done:
		return Answer{Verdict: Unavailable}
	}
	select {
	case answer := <-c.reply:
		return answer
	case <-ctx.Done():
		return Answer{Verdict: Unavailable}
	case <-o.done:
		return Answer{Verdict: Unavailable}
	}
}

func (o *Owner) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-o.inbox:
			o.serve(ctx, o.batch(first))
		}
	}
}

func (o *Owner) batch(first call) []call {
	calls := []call{first}
	for len(calls) < batchLimit {
		select {
		case next := <-o.inbox:
			calls = append(calls, next)
		default:
			return calls
		}
	}
	return calls
}

// serve applies the calls, records the changes and only then replies.
func (o *Owner) serve(ctx context.Context, calls []call) {
	now := time.Now()
	answers := make([]Answer, len(calls))
	for i, c := range calls {
		answers[i] = o.apply(c, now)
	}
	recorded := o.record(ctx)
	for i, c := range calls {
		if !recorded && c.change == nil {
			o.undo(c, answers[i], now)
			answers[i] = Answer{Verdict: Unavailable}
		}
		c.reply <- answers[i]
	}
}

func (o *Owner) apply(c call, now time.Time) Answer {
	switch {
	case c.ask != nil && !o.open:
		return Answer{Verdict: Unavailable}
	case c.ask != nil:
		return o.shard.Ask(*c.ask, now)
	case c.settle != nil:
		o.shard.Settle(*c.settle, now)
	default:
		c.change()
	}
	return Answer{Verdict: Granted}
}

// undo reverts a grant that could not be recorded and so is not returned.
func (o *Owner) undo(c call, answer Answer, now time.Time) {
	if c.ask == nil || answer.Verdict != Granted {
		return
	}
	o.shard.Settle(Settlement{Key: c.ask.Key, Grant: c.ask.Grant, Outcome: cardamom.NotRun}, now)
}

// record stores the changes with the witness and reports whether that succeeded.
// Changes that could not be stored are kept for the next record.
func (o *Owner) record(ctx context.Context) bool {
	o.unrecorded = append(o.unrecorded, o.shard.Changes()...)
	if !o.open || len(o.unrecorded) == 0 {
		return true
	}
	if o.recorder == nil {
		o.unrecorded = nil
		return true
	}
	limited, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	if err := o.recorder.Record(limited, hold.Record{Resource: o.resource, Fence: o.fence, Entries: o.unrecorded}); err != nil {
		return false
	}
	o.unrecorded = nil
	return true
}
