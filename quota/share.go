package quota

import (
	"sync"
	"time"

	cardamom "cardamomcourse.example/cardamom"
)

const (
	// aloneShare is the fraction of a limit that all instances together use while no
	// coordinator answers them: the coordinator may permit the whole limit to others.
	aloneShare = 0.5
	// aloneMembers is the smallest number of members assumed.
	aloneMembers = 8
	// aloneRetention is for how long an instance earns permits without asking for one.
	aloneRetention = 2 * time.Second
)

// Share permits requests of an instance that no coordinator answers. It is safe for
// concurrent use.
type Share struct {
	mu    sync.Mutex
	draw  func() float64
	alone map[cardamom.UpstreamID]*earned
}

// earned is what an instance has of its next permit.
type earned struct {
	startedMs int64
	permits   float64
	at        time.Time
}

// NewShare returns a share. draw returns a random number from 0 to 1, with which an
// instance begins, so that not all get their first permit at the same time.
func NewShare(draw func() float64) *Share {
	return &Share{draw: draw, alone: make(map[cardamom.UpstreamID]*earned)}
}

// Allow reports whether the instance may send a request now, as one of so many members.
func (s *Share) Allow(limit Limit, members int, now time.Time) bool {
	if members <= 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.alone[limit.Upstream]
	if !ok || e.startedMs != limit.StartedMs {
		e = &earned{startedMs: limit.StartedMs, permits: s.draw(), at: now}
		s.alone[limit.Upstream] = e
	}
	if now.After(e.at) {
		e.permits += aloneRate(limit, members) * min(now.Sub(e.at), aloneRetention).Seconds()
		e.at = now
	}
	if e.permits < 1 {
		return false
	}
	e.permits = min(e.permits-1, 1)
	return true
}

// aloneRate returns the permits per second of one of so many members.
func aloneRate(limit Limit, members int) float64 {
	return limit.PerSecond * aloneShare / float64(max(members, aloneMembers))
}

// Keep drops what was earned for all upstreams but those with a limit.
func (s *Share) Keep(limited func(id cardamom.UpstreamID) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.alone {
		if !limited(id) {
			delete(s.alone, id)
		}
	}
}
