// Package pace tells how long requests wait at upstreams for their first event,
// from those that an instance is waiting for now.
//
// The load it answers: an engine that is asked for more than it reads, so that
// whatever is sent to it waits longer than its caller.
//
// # Usage
//
//	record := pace.New()
//	wait := record.Sent(upstream, now)
//	expected := record.Expected(upstream, now)
//	wait.Started(now) // or wait.Ended()
package pace

import (
	"sync"
	"time"

	cardamom "cardamomcourse.example/cardamom"
)

const (
	// step is the weight of the newest first event in the average.
	step = 0.3
	// recent is how long an average counts without further first events.
	recent = 2 * time.Second
)

// Record is what an instance waits for, by upstream. It is safe for concurrent
// use.
type Record struct {
	mu        sync.Mutex
	upstreams map[cardamom.UpstreamID]*state
}

type state struct {
	waits   map[*Wait]time.Time
	average time.Duration
	at      time.Time
}

// Wait is one request without a first event.
type Wait struct {
	record   *Record
	upstream cardamom.UpstreamID
}

// New returns an empty record.
func New() *Record { return &Record{upstreams: make(map[cardamom.UpstreamID]*state)} }

// Sent notes a request that was sent.
func (r *Record) Sent(id cardamom.UpstreamID, now time.Time) *Wait {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.upstreams[id]
	if !ok {
		s = &state{waits: make(map[*Wait]time.Time)}
		r.upstreams[id] = s
	}
	wait := &Wait{record: r, upstream: id}
	s.waits[wait] = now
	return wait
}

// Started notes the first event.
func (w *Wait) Started(now time.Time) {
	w.record.mu.Lock()
	defer w.record.mu.Unlock()
	s, ok := w.record.upstreams[w.upstream]
	if !ok {
		return
	}
	sent, ok := s.waits[w]
	if !ok {
		return
	}
	delete(s.waits, w)
	took := now.Sub(sent)
	if now.Sub(s.at) > recent {
		s.average = took
	} else {
		s.average += time.Duration(step * float64(took-s.average))
	}
	s.at = now
}

// Ended notes that there is no first event to wait for any more.
func (w *Wait) Ended() {
	w.record.mu.Lock()
	defer w.record.mu.Unlock()
	s, ok := w.record.upstreams[w.upstream]
	if !ok {
		return
	}
	delete(s.waits, w)
	if len(s.waits) == 0 && time.Since(s.at) > recent {
		delete(w.record.upstreams, w.upstream)
	}
}

// Expected returns how long a request sent now is going to wait: at least as
// long as the longest that waits, or as those before it did lately.
func (r *Record) Expected(id cardamom.UpstreamID, now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.upstreams[id]
	if !ok {
		return 0
	}
	expected := time.Duration(0)
	for _, sent := range s.waits {
		expected = max(expected, now.Sub(sent))
	}
	if now.Sub(s.at) <= recent {
		expected = max(expected, s.average)
	}
	return expected
}
