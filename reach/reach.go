// Package reach tells an instance that is partitioned from all upstreams from upstreams that
// failed.
//
// An instance alone can't tell the two apart for one upstream. It suspects that it is
// partitioned when several upstreams in a row fail or are silent and none answers. Then it
// probes some, and is partitioned if none answers the probes either. From then on its
// requests go through instances that reach upstreams, and what it sees says nothing about
// upstreams. It goes on probing until one answers.
//
// # Usage
//
//	tracker := reach.New()
//	end := tracker.Sent(id, now)
//	tracker.Answered(id, now) // or tracker.Failed(id, now)
//	end()
//	switch tracker.Next(now) {
//	case reach.Probe:
//	    tracker.Probed(answered, now)
//	}
//	if tracker.Doubtful(now) { /* send the request through another instance */ }
//
// Times come from package clock.
package reach

import (
	"sync"
	"time"

	cardamom "cardamomcourse.example/cardamom"
)

const (
	// minFailed is how many upstreams have to fail, with no answer from any in between, for
	// an instance to suspect that it is partitioned.
	minFailed = 2
	// failureMemory is how long a failure counts.
	failureMemory = 3 * time.Second
	// silentAfter is how long upstreams have to be silent while requests wait for them. A
	// sound upstream may be silent for a second.
	silentAfter = 1200 * time.Millisecond
	// probeInterval is the time between two rounds of probes.
	probeInterval = 250 * time.Millisecond
)

// Action is the next thing to do.
type Action uint8

// The actions.
const (
	// Nothing means that there is nothing to find out.
	Nothing Action = iota
	// Probe means to probe some upstreams and to call Probed with the result.
	Probe
)

// waiting are the requests that wait for a byte from an upstream.
type waiting struct {
	count int
	since time.Time
}

// Tracker knows what an instance has lately heard from upstreams. It is safe for concurrent
// use.
type Tracker struct {
	mu sync.Mutex
	// lastAnswer is when any upstream last answered.
	lastAnswer time.Time
	// failed are the upstreams that failed since then, with the time of the last failure.
	failed  map[cardamom.UpstreamID]time.Time
	waiting map[cardamom.UpstreamID]*waiting
	// partitioned means that probes have confirmed it.
	partitioned bool
	probing     bool
	lastProbe   time.Time
}

// New returns the tracker of an instance that has heard nothing.
func New() *Tracker {
	return &Tracker{failed: make(map[cardamom.UpstreamID]time.Time), waiting: make(map[cardamom.UpstreamID]*waiting)}
}

// Sent records that a request was written to an upstream. The function that it returns
// records that the request has ended.
func (t *Tracker) Sent(id cardamom.UpstreamID, now time.Time) func() {
	t.mu.Lock()
	defer t.mu.Unlock()
	w, ok := t.waiting[id]
	if !ok {
		w = &waiting{since: now}
		t.waiting[id] = w
	}
	w.count++
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		if w.count--; w.count == 0 && t.waiting[id] == w {
			delete(t.waiting, id)
		}
	}
}

// Answered records that bytes came from an upstream.
func (t *Tracker) Answered(id cardamom.UpstreamID, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastAnswer = now
	clear(t.failed)
	if w, ok := t.waiting[id]; ok {
		w.since = now
	}
}

// Failed records that an upstream could not be reached, or broke a connection.
func (t *Tracker) Failed(id cardamom.UpstreamID, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failed[id] = now
}

// suspected reports whether several upstreams failed or are silent, and none answered in
// between. t.mu must be held.
func (t *Tracker) suspected(now time.Time) bool {
	failed := 0
	for id, at := range t.failed {
		if now.Sub(at) > failureMemory {
			delete(t.failed, id)
			continue
		}
		failed++
	}
	if failed >= minFailed {
		return true
	}
	if now.Sub(t.lastAnswer) < silentAfter {
		return false
	}
	silent := 0
	for _, w := range t.waiting {
		if now.Sub(w.since) >= silentAfter {
			silent++
		}
	}
	return silent >= minFailed
}

// Doubtful reports whether the instance is partitioned from all upstreams, or suspects it.
func (t *Tracker) Doubtful(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.partitioned || t.suspected(now)
}

// Partitioned reports whether probes have confirmed that the instance is partitioned.
func (t *Tracker) Partitioned() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.partitioned
}

// HeardSince reports whether an upstream has answered since a time.
func (t *Tracker) HeardSince(at time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lastAnswer.After(at)
}

// Next returns what to do now. After Probe it returns Nothing until Probed is called.
func (t *Tracker) Next(now time.Time) Action {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.probing || now.Sub(t.lastProbe) < probeInterval || !t.partitioned && !t.suspected(now) {
		return Nothing
	}
	t.probing, t.lastProbe = true, now
	return Probe
}

// Probed records whether an upstream answered a round of probes, and reports whether that
// changed what the instance believes. probed is false if there was none to probe.
func (t *Tracker) Probed(probed, answered bool, now time.Time) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.probing = false
	before := t.partitioned
	switch {
	case answered:
		t.partitioned, t.lastAnswer = false, now
		clear(t.failed)
	case probed && t.suspected(now):
		// An answer to a request that came in the meantime ends the suspicion.
		t.partitioned = true
	}
	return t.partitioned != before
}
