package coord

import (
	"context"
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
	// retryPause is the time after a failed call to the platform.
	retryPause = 250 * time.Millisecond
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
	lost := false
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
		l.noteSource(&lost, "configuration", err)
		if err != nil {
			l.post(func(time.Time) { l.needDocument = l.behind })
			pause.For(ctx, retryPause)
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
	lost := false
	for ctx.Err() == nil {
		duty := l.duty(ctx, func(now time.Time) time.Duration { return now.Sub(l.picture.learned) })
		if !duty.coordinates && !duty.stale {
			l.options.Upstreams.Reset()
			pause.For(ctx, standbyPause)
			continue
		}
		began := steady.Now()
		listing, err := l.options.Upstreams.Next(ctx, 0)
		l.noteSource(&lost, "registrations", err)
		if err != nil {
			pause.For(ctx, retryPause)
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

// noteSource logs when the platform is lost and when it is back.
func (l *Loop) noteSource(lost *bool, what string, err error) {
	switch {
	case err != nil && !*lost && l.ctx.Err() == nil:
		l.logger.Warn("dependency_lost", "dependency", "platform", "what", what, "reason", err)
		*lost = true
	case err == nil && *lost:
		l.logger.Info("dependency_back", "dependency", "platform", "what", what)
		*lost = false
	}
}

// takeListing takes registrations that were read from the platform.
func (l *Loop) takeListing(listing site.Listing, began, now time.Time) {
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
