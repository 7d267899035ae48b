package quota

import (
	"time"

	cardamom "cardamomcourse.example/cardamom"
)

const (
	// trialRate is the least rate, in requests a second, that is permitted, so that the
	// end of a limit of 0 is noticed.
	trialRate = 0.5
	// burstTime is the time for which permits that nobody asked for are kept.
	burstTime = 500 * time.Millisecond
	// oldestEvery is how often the request that has waited longest gets the permit
	// instead of the most urgent one: every oldestEvery-th time.
	oldestEvery = 4
)

// Gate permits requests to upstreams with a limit, for all instances together. A new
// gate has no permits left over: those before it may have been used. It is not safe for
// concurrent use.
type Gate struct {
	buckets map[cardamom.UpstreamID]*bucket
}

// bucket has the permits of one run of an upstream.
type bucket struct {
	startedMs int64
	permits   float64
	filled    time.Time
	// granted counts the permits.
	granted int
}

// NewGate returns a gate without permits.
func NewGate() *Gate { return &Gate{buckets: make(map[cardamom.UpstreamID]*bucket)} }

// Waiting is a request that waits for a permit.
type Waiting struct {
	// Urgency is the request's priority, 0 first.
	Urgency int
	// Since is when the request arrived.
	Since time.Time
}

// permitRate returns the permits per second under a limit.
func permitRate(limit Limit) float64 { return max(limit.PerSecond, trialRate) }

// Interval returns the time between two permits under a limit.
func Interval(limit Limit) time.Duration {
	return time.Duration(float64(time.Second) / permitRate(limit))
}

// bucket returns the permits for an upstream as of now.
func (g *Gate) bucket(limit Limit, now time.Time) *bucket {
	b, ok := g.buckets[limit.Upstream]
	if !ok || b.startedMs != limit.StartedMs {
		b = &bucket{startedMs: limit.StartedMs, filled: now}
		g.buckets[limit.Upstream] = b
	}
	rate := permitRate(limit)
	if now.After(b.filled) {
		b.permits += rate * now.Sub(b.filled).Seconds()
		b.filled = now
	}
	b.permits = min(b.permits, max(1, rate*burstTime.Seconds()))
	return b
}

// Grant takes a permit, and reports whether there was one, and whether it is the turn of
// the request that has waited longest.
func (g *Gate) Grant(limit Limit, now time.Time) (granted, oldest bool) {
	b := g.bucket(limit, now)
	if b.permits < 1 {
		return false, false
	}
	b.permits--
	b.granted++
	return true, b.granted%oldestEvery == 0
}

// Wait returns how long a request waits for its permit behind so many others.
func (g *Gate) Wait(limit Limit, ahead int, now time.Time) time.Duration {
	missing := float64(ahead+1) - g.bucket(limit, now).permits
	return time.Duration(max(missing, 0) / permitRate(limit) * float64(time.Second))
}

// Keep drops the permits for all upstreams but those with a limit.
func (g *Gate) Keep(limited func(id cardamom.UpstreamID) bool) {
	for id := range g.buckets {
		if !limited(id) {
			delete(g.buckets, id)
		}
	}
}

// Next returns the index of the request that gets the next permit: the most urgent one
// and, of those, the one that has waited longest. If it is the turn of the oldest, the
// urgency doesn't count.
func Next(waiting []Waiting, oldest bool) int {
	next := 0
	for i, w := range waiting {
		if w.before(waiting[next], oldest) {
			next = i
		}
	}
	return next
}

// Ahead returns how many of the waiting requests are to be permitted before another.
func Ahead(waiting []Waiting, other Waiting) int {
	count := 0
	for _, w := range waiting {
		if !other.before(w, false) {
			count++
		}
	}
	return count
}

func (w Waiting) before(other Waiting, oldest bool) bool {
	if !oldest && w.Urgency != other.Urgency {
		return w.Urgency < other.Urgency
	}
	return w.Since.Before(other.Since)
}
