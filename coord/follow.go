package coord

import (
	"context"
	"math/rand/v2"
	"time"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/pause"
	"cardamomcourse.example/cardamom/site"
	"cardamomcourse.example/cardamom/steady"
)

const (
	// catalogWait is how long one call for a newer configuration waits. It
	// bounds how long a silent connection goes unnoticed.
	catalogWait = 900 * time.Millisecond
	// upstreamPause is the time between two calls for changed registrations.
	upstreamPause = 300 * time.Millisecond
	// staleAfter is the age of the coordinator's word from which an instance
	// asks the platform itself.
	staleAfter = 1100 * time.Millisecond
	// standbyPause is the time between two looks whether that is so.
	standbyPause = 100 * time.Millisecond
	// retryPause is the time after a failed call to the platform; it doubles
	// with each further one up to longestRetry.
	retryPause   = 250 * time.Millisecond
	longestRetry = 1500 * time.Millisecond
	// ownPause is the time between two own calls of an instance that does not
	// coordinate.
	ownPause = 600 * time.Millisecond
	// ownPauseEach makes it longer where many instances ask, longestOwnPause
	// bounds it so that a leaving upstream is still noticed in time.
	ownPauseEach    = 15 * time.Millisecond
	longestOwnPause = 1200 * time.Millisecond
)

// follower tells whether an instance has to ask the platform itself.
type follower struct {
	coordinates bool
	stale       bool
	// behind tells that the coordinator knows of a newer catalog.
	behind bool
	pause  time.Duration
}

// duty asks the control goroutine whether the platform has to be followed here.
func (l *Loop) duty(ctx context.Context, age func(now time.Time) time.Duration) follower {
	answer := make(chan follower, 1)
	l.post(func(now time.Time) {
		answer <- follower{
			coordinates: l.tenure != nil, stale: age(now) >= staleAfter, behind: l.behind,
			pause: min(max(ownPause, time.Duration(len(l.picture.members))*ownPauseEach), longestOwnPause),
		}
	})
	select {
	case duty := <-answer:
		return duty
	case <-ctx.Done():
		return follower{}
	}
}

// followCatalog reads the configuration while this instance coordinates or has
// no fresh word from the one that does.
func (l *Loop) followCatalog(ctx context.Context) {
	source := &sourceState{}
	for ctx.Err() == nil {
		duty := l.duty(ctx, func(now time.Time) time.Duration { return now.Sub(l.picture.confirmed) })
		if !duty.coordinates && !duty.stale && !duty.behind {
			l.options.Catalogs.Reset()
			pause.For(ctx, standbyPause)
			continue
		}
		wait := catalogWait
		if !duty.coordinates {
			wait = 0
		}
		began := steady.Now()
		document, catalog, err := l.options.Catalogs.Next(ctx, wait)
		l.noteSource(source, "configuration", err)
		if err != nil {
			l.post(func(time.Time) { l.needDocument = l.behind })
			pause.For(ctx, source.backoff())
			continue
		}
		l.post(func(time.Time) {
			l.behind = false
			if catalog != nil {
				l.setCatalog(document, catalog, "platform")
			}
			// A waiting call is as new as its end, less the platform's answer time.
			l.picture.confirmed = began
			if catalog == nil && wait > 0 {
				l.picture.confirmed = began.Add(wait)
			}
		})
		if !duty.coordinates {
			pause.For(ctx, duty.pause)
		}
	}
}

// followUpstreams reads the registrations under the same condition.
func (l *Loop) followUpstreams(ctx context.Context) {
	source := &sourceState{}
	for ctx.Err() == nil {
		duty := l.duty(ctx, func(now time.Time) time.Duration { return now.Sub(l.picture.learned) })
		if !duty.coordinates && !duty.stale {
			l.options.Upstreams.Reset()
			pause.For(ctx, standbyPause)
			continue
		}
		began := steady.Now()
		listing, err := l.options.Upstreams.Next(ctx, 0)
		l.noteSource(source, "registrations", err)
		if err != nil {
			pause.For(ctx, source.backoff())
			continue
		}
		l.post(func(now time.Time) { l.takeListing(listing, began, now) })
		if duty.coordinates {
			pause.For(ctx, upstreamPause)
		} else {
			pause.For(ctx, duty.pause)
		}
	}
}

// sourceState is how the last calls to a source went.
type sourceState struct {
	failures int
}

// backoff returns the pause after a failed call, in random parts so that the
// instances do not call together.
func (s *sourceState) backoff() time.Duration {
	longest := min(retryPause<<min(s.failures-1, 8), longestRetry)
	return longest/2 + rand.N(longest/2)
}

// noteSource counts failures and logs when the platform is lost and back.
func (l *Loop) noteSource(source *sourceState, what string, err error) {
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

// takeListing takes registrations that were read from the platform.
func (l *Loop) takeListing(listing site.Listing, began, now time.Time) {
	if l.tenure == nil && began.Before(l.picture.learned) {
		// The coordinator's word is newer, and tells each removal only once.
		return
	}
	l.picture.learned = began
	present := make(map[cardamom.UpstreamID]bool, len(listing.Present))
	for _, upstream := range listing.Present {
		present[upstream.ID] = true
		if l.tenure != nil {
			l.tenure.update(upstream, now)
			continue
		}
		l.setUpstream(upstream, "platform")
	}
	gone := listing.Gone
	if listing.Full {
		for id := range l.picture.upstreams {
			if !present[id] {
				gone = append(gone, id)
			}
		}
	}
	for _, id := range gone {
		if present[id] {
			continue
		}
		if l.tenure != nil {
			l.tenure.gone(id)
		}
		l.dropUpstream(id, "platform")
	}
}
