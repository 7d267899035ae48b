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
	onLeave func(run Run)
}

type leave struct {
	startedMs int64
	said      time.Time
}

// NewBook returns a book without notices.
func NewBook() *Book {
	return &Book{leaving: make(map[cardamom.UpstreamID]leave), onLeave: func(Run) {}}
}

// OnLeave sets a function that is called when a leave is new to this instance.
func (b *Book) OnLeave(f func(run Run)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.onLeave = f
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
	slices.SortFunc(runs, func(x, y Run) int { return strings.Compare(string(x.id), string(y.id)) })
	return runs
}

// Prune removes notices of runs that ended: those that were last said long ago, and those
// with a later run. startedMs returns when the listed run of an upstream began.
func (b *Book) Prune(startedMs func(id cardamom.UpstreamID) (int64, bool), now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, known := range b.leaving {
		if listed, ok := startedMs(id); ok && listed > known.startedMs || now.Sub(known.said) >= leavingRetention {
			delete(b.leaving, id)
		}
	}
}
