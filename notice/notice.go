// Package notice keeps what upstreams say of themselves in their answers: that they leave,
// and how long they want no requests from this instance.
//
// A notice holds for one run of an upstream, which its start time identifies: for that run
// whatever older news says, and not for the next one, also under the same ID. That an
// upstream leaves is for all instances to know. A wait binds the instance that was told.
//
// # Usage
//
//	book := notice.NewBook()
//	book.Leave(notice.NewRun("i-1", startedMs), now)
//	if book.IsLeaving(notice.NewRun("i-1", startedMs)) { /* send elsewhere */ }
//	book.Wait(notice.NewRun("i-2", startedMs), 2*time.Second, now)
//	if until, ok := book.WaitUntil(notice.NewRun("i-2", startedMs), now); ok { /* send elsewhere, or later */ }
package notice

import (
	"slices"
	"strings"
	"sync"
	"time"

	cardamom "cardamomcourse.example/cardamom"
)

const (
	// leavingRetention is how long a leave is kept after it was last said. An upstream has
	// ended by then, and old news of it has expired.
	leavingRetention = 10 * time.Minute
	// maxRuns bounds the upstreams with a notice of a kind.
	maxRuns = 8192
)

// Run is one run of an upstream.
type Run struct {
	id        cardamom.UpstreamID
	startedMs int64
}

// NewRun returns the run that began at a time, in Unix milliseconds.
func NewRun(id cardamom.UpstreamID, startedMs int64) Run { return Run{id, startedMs} }

// ID returns the ID of the upstream.
func (r Run) ID() cardamom.UpstreamID { return r.id }

// StartedMs returns when the run began, in Unix milliseconds.
func (r Run) StartedMs() int64 { return r.startedMs }

// Book holds the notices that an instance knows. It is safe for concurrent use.
type Book struct {
	mu      sync.Mutex
	leaving map[cardamom.UpstreamID]leave
	waits   map[cardamom.UpstreamID]wait
	// invalid are the upstreams that named an invalid wait.
	invalid map[cardamom.UpstreamID]bool
	onLeave func(run Run)
	onWait  func()
}

type leave struct {
	startedMs int64
	said      time.Time
}

type wait struct {
	startedMs int64
	until     time.Time
}

// NewBook returns a book without notices.
func NewBook() *Book {
	return &Book{
		leaving: make(map[cardamom.UpstreamID]leave), waits: make(map[cardamom.UpstreamID]wait),
		invalid: make(map[cardamom.UpstreamID]bool), onLeave: func(Run) {}, onWait: func() {},
	}
}

// OnLeave sets a function that is called when a leave is new to this instance.
func (b *Book) OnLeave(f func(run Run)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.onLeave = f
}

// OnWait sets a function that is called when an upstream asks this instance for a wait
// while none is in force.
func (b *Book) OnWait(f func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.onWait = f
}

// Leave records that a run of an upstream leaves, and reports whether that is new.
func (b *Book) Leave(run Run, now time.Time) bool {
	b.mu.Lock()
	known, ok := b.leaving[run.id]
	if ok && known.startedMs > run.startedMs || !ok && len(b.leaving) >= maxRuns {
		b.mu.Unlock()
		return false
	}
	b.leaving[run.id] = leave{run.startedMs, now}
	isNew, notify := !ok || known.startedMs != run.startedMs, b.onLeave
	b.mu.Unlock()
	if isNew {
		notify(run)
	}
	return isNew
}

// IsLeaving reports whether the run, or a later one of the same upstream, leaves.
func (b *Book) IsLeaving(run Run) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	known, ok := b.leaving[run.id]
	return ok && known.startedMs >= run.startedMs
}

// Leaving returns the runs that leave, sorted by ID.
func (b *Book) Leaving() []Run {
	b.mu.Lock()
	defer b.mu.Unlock()
	runs := make([]Run, 0, len(b.leaving))
	for id, known := range b.leaving {
		runs = append(runs, Run{id, known.startedMs})
	}
	sortRuns(runs)
	return runs
}

// Wait records that a run of an upstream wants no requests from this instance for a time,
// and reports whether no wait was in force before. Of two waits the one that ends later is
// kept: an upstream that names a shorter one has not said that the other is over.
func (b *Book) Wait(run Run, span time.Duration, now time.Time) bool {
	isNew, notify := b.recordWait(run, span, now)
	if isNew {
		notify()
	}
	return isNew
}

func (b *Book) recordWait(run Run, span time.Duration, now time.Time) (isNew bool, notify func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	known, ok := b.waits[run.id]
	if ok && known.startedMs > run.startedMs || !ok && len(b.waits) >= maxRuns {
		return false, nil
	}
	inForce := ok && known.startedMs == run.startedMs && known.until.After(now)
	if until := now.Add(span); !inForce || until.After(known.until) {
		b.waits[run.id] = wait{run.startedMs, until}
	}
	return !inForce && span > 0, b.onWait
}

// WaitUntil returns until when a run of an upstream wants no requests, and whether that is
// after now.
func (b *Book) WaitUntil(run Run, now time.Time) (time.Time, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	known, ok := b.waits[run.id]
	return known.until, ok && known.startedMs == run.startedMs && known.until.After(now)
}

// Waits returns the runs that want no requests from this instance now, with the end of each.
func (b *Book) Waits(now time.Time) map[Run]time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := make(map[Run]time.Time)
	for id, known := range b.waits {
		if known.until.After(now) {
			list[Run{id, known.startedMs}] = known.until
		}
	}
	return list
}

// MayGet reports whether a run of an upstream may get requests by what it says of itself,
// or else when it may again, zero if never.
func (b *Book) MayGet(run Run, now time.Time) (may bool, until time.Time) {
	if b.IsLeaving(run) {
		return false, time.Time{}
	}
	until, waits := b.WaitUntil(run, now)
	if waits {
		return false, until
	}
	return true, time.Time{}
}

// Waiting returns how many upstreams want no requests now.
func (b *Book) Waiting(now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	count := 0
	for _, known := range b.waits {
		if known.until.After(now) {
			count++
		}
	}
	return count
}

// Invalid records that an upstream named an invalid wait, and reports whether it is the
// first.
func (b *Book) Invalid(id cardamom.UpstreamID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.invalid[id] || len(b.invalid) >= maxRuns {
		return false
	}
	b.invalid[id] = true
	return true
}

// Prune removes notices that ended: waits at their time, leaves that were last said long
// ago, and all of a run with a later one. startedMs returns when the listed run of an
// upstream began. It returns the runs whose wait has ended, sorted by ID.
func (b *Book) Prune(startedMs func(id cardamom.UpstreamID) (int64, bool), now time.Time) []Run {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, known := range b.leaving {
		if listed, ok := startedMs(id); ok && listed > known.startedMs || now.Sub(known.said) >= leavingRetention {
			delete(b.leaving, id)
		}
	}
	var ended []Run
	for id, known := range b.waits {
		if listed, ok := startedMs(id); !ok || listed > known.startedMs || !known.until.After(now) {
			delete(b.waits, id)
			ended = append(ended, Run{id, known.startedMs})
		}
	}
	for id := range b.invalid {
		if _, ok := startedMs(id); !ok {
			delete(b.invalid, id)
		}
	}
	sortRuns(ended)
	return ended
}

func sortRuns(runs []Run) {
	slices.SortFunc(runs, func(x, y Run) int { return strings.Compare(string(x.id), string(y.id)) })
}
