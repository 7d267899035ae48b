// Package pace observes, in the instance's own requests, how engines slow down with
// their load: how long requests wait for the first event, and how long the gaps
// between two events of a stream are.
//
// The waits guard against overloaded engines: an engine that receives prompts faster
// than it processes them makes new requests wait longer than their callers do. The gaps
// set a window, which bounds the prompt tokens that are sent to one engine at a time,
// against bursts of prompts for the few busy models.
//
// # Usage
//
//	tracker := pace.New()
//	if tracker.RecentTokens(upstream, targetGap, now)+tokens <= tracker.Window(service) {
//	    wait := tracker.Sent(service, upstream, tokens, now)
//	    expected := tracker.Expected(upstream, now)
//	    wait.FirstEvent(now) // if an event arrives
//	    tracker.Gap(service, upstream, gap, targetGap, now) // at each further event
//	    wait.Ended(now)
//	}
package pace

import (
	"sync"
	"time"

	cardamom "cardamomcourse.example/cardamom"
)

const (
	// sampleWeight is the weight of the newest wait in the moving average.
	sampleWeight = 0.3
	// averageTTL is how long the average is used without a further first event.
	averageTTL = 2 * time.Second
)

// Tracker holds the waits of an instance's requests by upstream. It is safe for
// concurrent use.
type Tracker struct {
	mu        sync.Mutex
	upstreams map[cardamom.UpstreamID]*upstreamWaits
	windows   map[cardamom.ServiceID]*promptWindow
}

// upstreamWaits are the open waits at one upstream, the average of recent ones, and the
// prompts that were sent recently.
type upstreamWaits struct {
	waits      map[*Wait]time.Time
	average    time.Duration
	averagedAt time.Time
	recent     []sentPrompt
}

// Wait is the wait of one request for its first event.
type Wait struct {
	tracker  *Tracker
	upstream cardamom.UpstreamID
}

// New returns an empty tracker.
func New() *Tracker {
	return &Tracker{upstreams: make(map[cardamom.UpstreamID]*upstreamWaits), windows: make(map[cardamom.ServiceID]*promptWindow)}
}

// Sent records that a request with a prompt of the given size is sent to an upstream of
// the service.
func (t *Tracker) Sent(service cardamom.ServiceID, id cardamom.UpstreamID, tokens int, now time.Time) *Wait {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.upstreams[id]
	if !ok {
		s = &upstreamWaits{waits: make(map[*Wait]time.Time)}
		t.upstreams[id] = s
	}
	wait := &Wait{tracker: t, upstream: id}
	s.waits[wait] = now
	t.prompt(s, service, tokens, now)
	return wait
}

// FirstEvent records that the first event has arrived.
func (w *Wait) FirstEvent(now time.Time) {
	w.tracker.mu.Lock()
	defer w.tracker.mu.Unlock()
	s, ok := w.tracker.upstreams[w.upstream]
	if !ok {
		return
	}
	sent, ok := s.waits[w]
	if !ok {
		return
	}
	delete(s.waits, w)
	took := now.Sub(sent)
	if now.Sub(s.averagedAt) > averageTTL {
		s.average = took
	} else {
		s.average += time.Duration(sampleWeight * float64(took-s.average))
	}
	s.averagedAt = now
}

// Ended records that the request has ended, with or without a first event.
func (w *Wait) Ended(now time.Time) {
	w.tracker.mu.Lock()
	defer w.tracker.mu.Unlock()
	s, ok := w.tracker.upstreams[w.upstream]
	if !ok {
		return
	}
	delete(s.waits, w)
	if len(s.waits) == 0 && now.Sub(s.averagedAt) > averageTTL {
		delete(w.tracker.upstreams, w.upstream)
	}
}

// Expected returns how long a request sent now is expected to wait: the longest
// current wait or the average of recent waits, whichever is greater.
func (t *Tracker) Expected(id cardamom.UpstreamID, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.upstreams[id]
	if !ok {
		return 0
	}
	expected := time.Duration(0)
	for _, sent := range s.waits {
		expected = max(expected, now.Sub(sent))
	}
	if now.Sub(s.averagedAt) <= averageTTL {
		expected = max(expected, s.average)
	}
	return expected
}
