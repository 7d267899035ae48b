// Package health tracks the failures of upstreams that an instance's own requests
// meet.
//
// # Usage
//
//	tracker := health.New()
//	tracker.Failed(id, health.Broken, now)
//	tracker.Succeeded(id, now)
//	if tracker.Suspended(id, now) { /* prefer others */ }
//	score += tracker.Rate(id, now) * weight
package health

import (
	"math"
	"sync"
	"time"

	cardamom "cardamomcourse.example/cardamom"
)

// Failure is what went wrong with a request to an upstream.
type Failure uint8

// The kinds of failure that an upstream can cause.
const (
	// Unreachable means that no connection could be made.
	Unreachable Failure = iota + 1
	// Broken means that a connection broke or carried no valid response.
	Broken
	// ServerError means that the upstream answered with a 5xx status.
	ServerError
)

const (
	// sampleWeight is the weight of the newest result in the failure rate, a
	// moving average.
	sampleWeight = 0.2
	// decayTime is the time in which a failure rate falls to 1/e, about a third,
	// without further results.
	decayTime = 4 * time.Second
	// minSuspension and maxSuspension bound how long an unreachable upstream
	// is suspended; it then gets requests only if there is no other.
	minSuspension = 300 * time.Millisecond
	maxSuspension = 2 * time.Second
)

// state is the failure state of one upstream.
type state struct {
	rate      float64
	updatedAt time.Time
	// unreachable counts Unreachable failures since the last success.
	unreachable    int
	suspendedUntil time.Time
}

// Tracker holds the failure state of all upstreams. It is safe for concurrent
// use.
type Tracker struct {
	mu     sync.Mutex
	states map[cardamom.UpstreamID]*state
}

// New returns a tracker without any failure.
func New() *Tracker { return &Tracker{states: make(map[cardamom.UpstreamID]*state)} }

// decayedState returns an upstream's state with its failure rate decayed to now.
func (t *Tracker) decayedState(id cardamom.UpstreamID, now time.Time) *state {
	s, ok := t.states[id]
	if !ok {
		s = &state{updatedAt: now}
		t.states[id] = s
	}
	s.rate *= math.Exp(-now.Sub(s.updatedAt).Seconds() / decayTime.Seconds())
	s.updatedAt = now
	return s
}

// Failed counts a failure, and suspends the upstream if it was unreachable.
func (t *Tracker) Failed(id cardamom.UpstreamID, failure Failure, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.decayedState(id, now)
	s.rate += sampleWeight * (1 - s.rate)
	if failure != Unreachable {
		return
	}
	s.suspendedUntil = now.Add(min(minSuspension<<min(s.unreachable, 4), maxSuspension))
	s.unreachable++
}

// Succeeded counts a valid response and ends the upstream's suspension.
func (t *Tracker) Succeeded(id cardamom.UpstreamID, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.states[id]
	if !ok {
		return
	}
	s.rate *= (1 - sampleWeight) * math.Exp(-now.Sub(s.updatedAt).Seconds()/decayTime.Seconds())
	s.updatedAt, s.unreachable, s.suspendedUntil = now, 0, time.Time{}
	if s.rate < 0.01 {
		delete(t.states, id)
	}
}

// Forgive ends all suspensions, as this instance could reach no upstream and so learned
// nothing about any.
func (t *Tracker) Forgive() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.states {
		s.unreachable, s.suspendedUntil = 0, time.Time{}
	}
}

// Suspended reports whether the upstream is suspended after it was unreachable.
func (t *Tracker) Suspended(id cardamom.UpstreamID, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.states[id]
	return ok && now.Before(s.suspendedUntil)
}

// Rate returns the recent failure rate of the upstream, 0 to 1.
func (t *Tracker) Rate(id cardamom.UpstreamID, now time.Time) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.states[id]
	if !ok {
		return 0
	}
	return s.rate * math.Exp(-now.Sub(s.updatedAt).Seconds()/decayTime.Seconds())
}
