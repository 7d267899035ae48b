package claim

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/hold"
)

// ErrStopped means the shard's owner has stopped.
var ErrStopped = eris.New("shard owner stopped")

// Recorder stores entries with a shard's witness before they take effect.
type Recorder interface {
	Record(ctx context.Context, record hold.Record) error
}

// RecorderFunc is a Recorder made of one function.
type RecorderFunc func(ctx context.Context, record hold.Record) error

// Record implements Recorder.
func (f RecorderFunc) Record(ctx context.Context, record hold.Record) error { return f(ctx, record) }

const (
	// batchLimit is how many calls one record to the witness may carry.
	batchLimit = 256
	// inboxSize is how many calls may wait for the owner.
	inboxSize = 4096
	// recordTimeout is the greatest time of one record.
	recordTimeout = time.Second
)

// call is one message to the owner's goroutine: an ask, a settle or a change.
type call struct {
	ask    *Ask
	settle *Settle
	change func()
	reply  chan Answer
}

// Owner serves one shard from one goroutine. Calls that arrive while a record
// is under way share the next one.
type Owner struct {
	resource hold.Resource
	inbox    chan call
	done     chan struct{}

	// The fields below belong to the owner's goroutine.
	shard    *Shard
	recorder Recorder
	fence    cardamom.Fence
	open     bool
	unsaved  []hold.Entry
}

// NewOwner returns the owner of a shard; its goroutine runs until ctx ends. It
// grants nothing before Open.
func NewOwner(ctx context.Context, resource hold.Resource, shard *Shard) *Owner {
	o := &Owner{resource: resource, shard: shard, inbox: make(chan call, inboxSize), done: make(chan struct{})}
	go func() {
		defer close(o.done)
		o.run(ctx)
	}()
	return o
}

// Ask asks for a grant.
func (o *Owner) Ask(ctx context.Context, ask Ask) Answer {
	return o.call(ctx, call{ask: &ask})
}

// Settle tells how a granted request ended and returns whether it is recorded.
func (o *Owner) Settle(ctx context.Context, settle Settle) bool {
	return o.call(ctx, call{settle: &settle}).Verdict == Granted
}

// Copy records all claims with a new witness and closes the owner until Open.
func (o *Owner) Copy(ctx context.Context, recorder Recorder, fence cardamom.Fence) error {
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

// Open lets the owner grant, recording with the fence. Without a recorder
// there is no witness.
func (o *Owner) Open(ctx context.Context, recorder Recorder, fence cardamom.Fence) {
	o.call(ctx, call{change: func() {
		o.recorder = recorder
		o.fence = fence
		o.open = true
	}})
}

// Lose notes that claims before the version were lost.
func (o *Owner) Lose(ctx context.Context, version uint64, now time.Time) {
	o.call(ctx, call{change: func() { o.shard.Lose(version, now) }})
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

// serve applies the calls, records what changed and only then answers.
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

// undo takes back a grant that was not recorded and so is not given.
func (o *Owner) undo(c call, answer Answer, now time.Time) {
	if c.ask == nil || answer.Verdict != Granted {
		return
	}
	o.shard.Settle(Settle{Key: c.ask.Key, Grant: c.ask.Grant, Outcome: cardamom.NotRun}, now)
}

// record stores the changes with the witness. What could not be stored is kept
// for the next record.
func (o *Owner) record(ctx context.Context) bool {
	o.unsaved = append(o.unsaved, o.shard.Changes()...)
	if !o.open || len(o.unsaved) == 0 {
		return true
	}
	if o.recorder == nil {
		o.unsaved = nil
		return true
	}
	limited, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	if err := o.recorder.Record(limited, hold.Record{Resource: o.resource, Fence: o.fence, Entries: o.unsaved}); err != nil {
		return false
	}
	o.unsaved = nil
	return true
}
