// Package health judges upstreams by an instance's own requests to them.
//
// # Usage
//
//	record := health.New()
//	record.Failed(id, health.Broken, now)
//	record.Succeeded(id, now)
//	if record.Suspended(id, now) { /* prefer others */ }
//	score += record.Rate(id, now) * weight
package health

import (
	"math"
	"sync"
	"time"

	cardamom "cardamomcourse.example/cardamom"
)

// Failure is what went wrong with a request to an upstream.
type Failure uint8

// The failures that point to an upstream.
const (
	// Unreachable means that no connection was made.
	Unreachable Failure = iota + 1
	// Broken means that a connection broke or carried no valid response.
	Broken
	// Erred means that the upstream answered that it failed.
	Erred
)

const (
	// step is the weight of the newest result in the failure rate.
	step = 0.2
	// forget is the time in which a failure rate falls to a third without
	// further results.
	forget = 4 * time.Second
	// firstRest and longestRest bound how long an unreachable upstream gets no
	// request while there are others.
	firstRest   = 300 * time.Millisecond
	longestRest = 2 * time.Second
)

type state struct {
	rate  float64
	at    time.Time
	row   int
	until time.Time
}

// Record is the judgement of all upstreams. It is safe for concurrent use.
type Record struct {
	mu     sync.Mutex
	states map[cardamom.UpstreamID]*state
}

// New returns a record without any failure.
func New() *Record { return &Record{states: make(map[cardamom.UpstreamID]*state)} }

func (r *Record) state(id cardamom.UpstreamID, now time.Time) *state {
	s, ok := r.states[id]
	if !ok {
		s = &state{at: now}
		r.states[id] = s
	}
	s.rate *= math.Exp(-now.Sub(s.at).Seconds() / forget.Seconds())
	s.at = now
	return s
}

// Failed counts a failure.
func (r *Record) Failed(id cardamom.UpstreamID, failure Failure, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.state(id, now)
	s.rate += step * (1 - s.rate)
	if failure != Unreachable {
		return
	}
	s.until = now.Add(min(firstRest<<min(s.row, 4), longestRest))
	s.row++
}

// Succeeded counts a valid response.
func (r *Record) Succeeded(id cardamom.UpstreamID, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.states[id]
	if !ok {
		return
	}
	s.rate *= (1 - step) * math.Exp(-now.Sub(s.at).Seconds()/forget.Seconds())
	s.at, s.row, s.until = now, 0, time.Time{}
	if s.rate < 0.01 {
		delete(r.states, id)
	}
}

// Suspended tells whether the upstream was unreachable just now.
func (r *Record) Suspended(id cardamom.UpstreamID, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.states[id]
	return ok && now.Before(s.until)
}

// Rate returns the share of requests that failed lately, 0 to 1.
func (r *Record) Rate(id cardamom.UpstreamID, now time.Time) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.states[id]
	if !ok {
		return 0
	}
	return s.rate * math.Exp(-now.Sub(s.at).Seconds()/forget.Seconds())
}
