package sched

import (
	"sync"
	"time"

	cardamom "cardamomcourse.example/cardamom"
)

// expectationTTL is how long the backlog that an answer stated is used.
const expectationTTL = time.Second

// Expectations are the backlogs of upstreams that answers stated last. They are safe for
// concurrent use.
type Expectations struct {
	mu        sync.Mutex
	upstreams map[expectationKey]expectation
}

// expectationKey is an upstream and the urgency of the request that asked.
type expectationKey struct {
	upstream cardamom.UpstreamID
	urgency  int
}

type expectation struct {
	backlog time.Duration
	at      time.Time
}

// NewExpectations returns no expectations.
func NewExpectations() *Expectations {
	return &Expectations{upstreams: make(map[expectationKey]expectation)}
}

// Learn records the backlog of an upstream for requests of an urgency.
func (x *Expectations) Learn(id cardamom.UpstreamID, urgency int, backlog time.Duration, now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	key := expectationKey{id, urgency}
	if _, ok := x.upstreams[key]; !ok && len(x.upstreams) >= maxBooks {
		clear(x.upstreams)
	}
	x.upstreams[key] = expectation{backlog, now}
}

// Backlog returns the backlog that is left of the one stated last, and false if that was too
// long ago.
func (x *Expectations) Backlog(id cardamom.UpstreamID, urgency int, now time.Time) (time.Duration, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	known, ok := x.upstreams[expectationKey{id, urgency}]
	if !ok || now.Sub(known.at) > expectationTTL {
		return 0, false
	}
	return max(known.backlog-now.Sub(known.at), 0), true
}
