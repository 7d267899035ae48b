package coord

import (
	"context"
	"math/rand/v2"
	"time"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/clock"
	"cardamomcourse.example/cardamom/site"
	"cardamomcourse.example/cardamom/sleep"
	"cardamomcourse.example/cardamom/table"
)

// pollCheckInterval is the time between two checks whether this instance has to read the
// platform itself.
const pollCheckInterval = 100 * time.Millisecond

// pollState is what decides whether an instance has to read the platform itself.
type pollState struct {
	coordinates bool
	// term is the number of this instance's term, 0 while it doesn't coordinate.
	term  uint64
	stale bool
	// behind means that the coordinator has a newer catalog.
	behind   bool
	interval time.Duration
	// maxBackoff bounds the pause after a failed read.
	maxBackoff time.Duration
}

// readPollState reads the poll state on the control goroutine. age returns the
// age of the data in question.
func (l *Loop) readPollState(ctx context.Context, age func(now time.Time) time.Duration) pollState {
	answer := make(chan pollState, 1)
	l.post(func(now time.Time) {
		timing := l.timing()
		state := pollState{
			coordinates: l.term != nil, stale: age(now) >= timing.staleAfter(), behind: l.catalogBehind,
			interval: timing.pollInterval(), maxBackoff: timing.maxBackoff(),
		}
		if l.term != nil {
			state.term = l.term.number
		}
		answer <- state
	})
	select {
	case state := <-answer:
		return state
	case <-ctx.Done():
		return pollState{}
	}
}

// followCatalog reads the configuration while this instance coordinates or has
// no fresh data from the coordinator.
func (l *Loop) followCatalog(ctx context.Context) {
	source := &sourceState{}
	for ctx.Err() == nil {
		poll := l.readPollState(ctx, func(now time.Time) time.Duration { return now.Sub(l.state.catalogConfirmed) })
		if !poll.coordinates && !poll.stale && !poll.behind {
			l.options.Catalogs.Reset()
			sleep.For(ctx, pollCheckInterval)
			continue
		}
		wait := catalogWait
		if !poll.coordinates {
			wait = 0
		}
		began := clock.Now()
		document, catalog, err := l.options.Catalogs.Next(ctx, wait)
		l.recordSourceResult(source, "configuration", err)
		if err != nil {
			l.post(func(time.Time) { l.needDocument = l.catalogBehind })
			sleep.For(ctx, source.backoff(poll.maxBackoff))
			continue
		}
		if clock.Now().Sub(began) < wait {
			// It ended early, for a change that is no configuration.
			wait = 0
		}
		l.post(func(time.Time) { l.applyCatalogRead(document, catalog, began, wait) })
		if !poll.coordinates {
			sleep.For(ctx, poll.interval)
		}
	}
}

// applyCatalogRead applies a read of the configuration that began at a time and waited
// for a change, and found the catalog or, if that is nil, no newer one.
func (l *Loop) applyCatalogRead(document []byte, catalog *site.Catalog, began time.Time, wait time.Duration) {
	l.catalogBehind = false
	if catalog != nil {
		l.setCatalog(document, catalog, "platform")
	}
	// A store that returned from an older copy has an older configuration until the
	// operator writes the newest again. Others may still have it.
	l.needDocument = l.state.catalog == nil || l.state.catalog.Version() < l.coordinatorCatalog
	// A long poll without a change confirms the catalog as of its end, less the
	// time that the platform took to answer.
	l.state.catalogConfirmed = began
	if catalog == nil && wait > 0 {
		l.state.catalogConfirmed = began.Add(wait)
	}
	// Requests with keys depend on how long ago that was.
	l.viewChanged = l.viewChanged || l.state.catalog != nil && l.state.catalog.HasOrganisations()
}

// followUpstreams reads the registrations while this instance coordinates or has
// no fresh data from the coordinator.
func (l *Loop) followUpstreams(ctx context.Context) {
	source := &sourceState{}
	term := uint64(0)
	for ctx.Err() == nil {
		poll := l.readPollState(ctx, func(now time.Time) time.Duration { return now.Sub(l.state.upstreamsConfirmed) })
		if !poll.coordinates && !poll.stale {
			l.options.Upstreams.Reset()
			sleep.For(ctx, pollCheckInterval)
			continue
		}
		if poll.term != term {
			// What this instance lists may have come from coordinators since it last read
			// everything, so that the changes alone would not make its list complete.
			term = poll.term
			l.options.Upstreams.Reset()
		}
		began := clock.Now()
		listing, err := l.options.Upstreams.Next(ctx, 0)
		l.recordSourceResult(source, "registrations", err)
		if err != nil {
			sleep.For(ctx, source.backoff(poll.maxBackoff))
			continue
		}
		l.post(func(now time.Time) { l.applyListing(listing, began, now) })
		if poll.coordinates {
			sleep.For(ctx, upstreamInterval)
		} else {
			sleep.For(ctx, poll.interval)
		}
	}
}

// sourceState counts the failures since the last successful call to a source.
type sourceState struct {
	failures int
}

// backoff returns the pause after a failed call, with jitter so that instances
// do not call at the same time.
func (s *sourceState) backoff(limit time.Duration) time.Duration {
	longest := min(minBackoff<<min(s.failures-1, 8), limit)
	return longest/2 + rand.N(longest/2)
}

// recordSourceResult counts failures and logs when the platform is lost and back.
func (l *Loop) recordSourceResult(source *sourceState, what string, err error) {
	switch {
	case err != nil:
		if source.failures == 0 && l.ctx.Err() == nil {
			l.logger.Warn("dependency_lost", "dependency", "platform", "what", what, "reason", err)
		}
		source.failures++
	case source.failures > 0:
		l.logger.Info("dependency_back", "dependency", "platform", "what", what, "failures", source.failures)
		source.failures = 0
	}
}

// logRestored logs that the store returned from an older copy.
func (l *Loop) logRestored(before, incarnation uint64) {
	l.viewChanged = true
	l.logger.Warn("store_restored", "before", before, "incarnation", incarnation, "awaited", len(l.state.restored.missing))
}

// applyListing applies registrations that were read from the platform.
func (l *Loop) applyListing(listing site.UpstreamUpdate, began, now time.Time) {
	if l.term == nil && began.Before(l.state.upstreamsConfirmed) {
		// The coordinator's data is newer, and it sends each removal only once.
		return
	}
	incarnation := l.state.restored.incarnation
	if table.Judge(incarnation, listing.Incarnation) == table.Outdated {
		return
	}
	l.state.upstreamsConfirmed = began
	if l.term == nil {
		// What only this instance has seen is in none of the coordinator's changes.
		l.forgetList()
	}
	listing, restored := l.state.restored.filter(listing, l.state.upstreams, now)
	if restored {
		l.logRestored(incarnation, listing.Incarnation)
	}
	present := make(map[cardamom.UpstreamID]bool, len(listing.Present))
	for _, upstream := range listing.Present {
		present[upstream.ID] = true
		if l.term != nil {
			l.term.update(upstream, now)
			continue
		}
		l.setUpstream(upstream, "platform")
	}
	for _, id := range listing.Removed {
		if present[id] {
			continue
		}
		if l.term != nil {
			l.term.remove(id)
		}
		l.removeUpstream(id, "platform")
	}
	for _, upstream := range listing.Present {
		// The plan publishes it later.
		l.state.history.See(upstream.Service, upstream.Version, began)
	}
	l.confirmVersions(began)
}
