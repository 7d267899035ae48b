package quota

import (
	"sync"
	"time"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/site"
)

const (
	// endedRetention is how long it is kept that a limit has ended, so that all
	// instances learn it from the coordinator.
	endedRetention = 20 * time.Second
	// endDelay is how long after an answer without a limit the limit stays in force.
	// Answers on different connections overtake each other, and all requests that wait are
	// sent when a limit ends.
	endDelay = 300 * time.Millisecond
	// freshTime is how long after it was stated a limit is believed without a trial: the
	// upstream may have no need for it any more.
	freshTime = 2 * time.Second
	// maxUpstreams bounds the upstreams whose limits are kept.
	maxUpstreams = 8192
)

// Book holds the limits that an instance knows. It is safe for concurrent use.
type Book struct {
	mu     sync.Mutex
	limits map[cardamom.UpstreamID]Limit
	// tried is when a request was last to be sent to an upstream for trial.
	tried map[cardamom.UpstreamID]time.Time
	// ignored has the upstreams whose invalid limit was reported as a change.
	ignored map[cardamom.UpstreamID]bool
}

// NewBook returns a book without limits.
func NewBook() *Book {
	return &Book{limits: make(map[cardamom.UpstreamID]Limit), tried: make(map[cardamom.UpstreamID]time.Time), ignored: make(map[cardamom.UpstreamID]bool)}
}

// State records what an upstream's answer states.
func (b *Book) State(upstream *site.Upstream, statement site.RateLimit, now time.Time) Change {
	b.mu.Lock()
	defer b.mu.Unlock()
	if statement.Invalid != "" {
		if b.ignored[upstream.ID] || len(b.ignored) >= maxUpstreams {
			return Change{}
		}
		b.ignored[upstream.ID] = true
		return Change{Kind: Ignored, Limit: Limit{Upstream: upstream.ID, StartedMs: upstream.StartedMs}}
	}
	return b.record(Limit{Upstream: upstream.ID, StartedMs: upstream.StartedMs, Ended: !statement.Named, PerSecond: statement.PerSecond, Stated: now})
}

// Merge records what another instance knows, as far as it is newer.
func (b *Book) Merge(limits []Limit) []Change {
	b.mu.Lock()
	defer b.mu.Unlock()
	var changes []Change
	for _, limit := range limits {
		if change := b.record(limit); change.Kind != Unchanged {
			changes = append(changes, change)
		}
	}
	return changes
}

// record records a limit unless the book has a newer statement or a later run.
func (b *Book) record(limit Limit) Change {
	known, ok := b.limits[limit.Upstream]
	switch {
	case ok && known.StartedMs > limit.StartedMs:
		return Change{}
	case ok && known.StartedMs == limit.StartedMs && !limit.Stated.After(known.Stated):
		return Change{}
	case !ok && len(b.limits) >= maxUpstreams:
		return Change{}
	}
	inForce := ok && known.StartedMs == limit.StartedMs && !known.Ended
	if limit.Ended {
		if !inForce {
			return Change{}
		}
		limit.PerSecond = known.PerSecond
	}
	b.limits[limit.Upstream] = limit
	change := Change{Limit: limit}
	if inForce {
		change.Before = known.PerSecond
	}
	switch {
	case limit.Ended:
		change.Kind = Ended
	case !inForce:
		change.Kind = Began
	case known.PerSecond != limit.PerSecond:
		change.Kind = Adjusted
	default:
		return Change{}
	}
	return change
}

// Limit returns the limit that is in force for the present run of an upstream.
func (b *Book) Limit(upstream *site.Upstream, now time.Time) (Limit, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	limit, ok := b.limits[upstream.ID]
	return limit, ok && limit.StartedMs == upstream.StartedMs && (!limit.Ended || now.Sub(limit.Stated) < endDelay)
}

// IsFresh reports whether the upstream has a limit that was stated, or tried, a short
// time ago. Others are preferred to it.
func (b *Book) IsFresh(upstream *site.Upstream, now time.Time) bool {
	limit, ok := b.Limit(upstream, now)
	if !ok {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return now.Sub(limit.Stated) < freshTime || now.Sub(b.tried[upstream.ID]) < freshTime
}

// Try records that a request is to find out whether the upstream still has its limit.
func (b *Book) Try(upstream *site.Upstream, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tried[upstream.ID] = now
}

// Limits returns all limits, also those that ended a short time ago.
func (b *Book) Limits() []Limit {
	b.mu.Lock()
	defer b.mu.Unlock()
	limits := make([]Limit, 0, len(b.limits))
	for _, limit := range b.limits {
		limits = append(limits, limit)
	}
	return limits
}

// InForce returns how many upstreams have a limit.
func (b *Book) InForce() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	count := 0
	for _, limit := range b.limits {
		if !limit.Ended {
			count++
		}
	}
	return count
}

// Prune removes the limits of upstreams that are not listed any more or have started
// again, and those that ended some time ago. listed returns when an upstream started.
func (b *Book) Prune(listed func(id cardamom.UpstreamID) (startedMs int64, ok bool), now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, limit := range b.limits {
		if startedMs, ok := listed(id); !ok || limit.StartedMs < startedMs || limit.Ended && now.Sub(limit.Stated) > endedRetention {
			delete(b.limits, id)
			delete(b.tried, id)
		}
	}
	for id := range b.ignored {
		if _, ok := listed(id); !ok {
			delete(b.ignored, id)
		}
	}
}
