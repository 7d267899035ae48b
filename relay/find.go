package relay

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/await"
	"cardamomcourse.example/cardamom/clock"
	"cardamomcourse.example/cardamom/coord"
	"cardamomcourse.example/cardamom/pick"
	"cardamomcourse.example/cardamom/site"
)

const (
	// missingTTL is how long an upstream's answer is kept that it lacks a model.
	missingTTL = 400 * time.Millisecond
	// queuePercent is the percentage of the time between a request's arrival and
	// its deadline that it may wait for a slot while all upstreams are busy.
	queuePercent = 60
	// recheckInterval is the interval at which waiting requests check for a slot
	// again, since slots that other instances' requests free are not signalled.
	recheckInterval = 25 * time.Millisecond
	// holdInterval is the interval at which a prompt that is held back is considered
	// again.
	holdInterval = 10 * time.Millisecond
	// retryPause is the pause before a request is sent again to an upstream that
	// failed it, since the upstream may be shutting down.
	retryPause = 60 * time.Millisecond
	// plainQueueSlots is how many requests beyond its slots are sent to an upstream
	// that is no engine.
	plainQueueSlots = 2
	// firstEventMargin is subtracted from the time that callers wait for a first
	// event, to leave time for the event itself to arrive.
	firstEventMargin = 250 * time.Millisecond
	// suspectedWait is how long a request waits for another engine before it tries a
	// suspected one again, whose suspension may have ended by then.
	suspectedWait = 400 * time.Millisecond
)

// availability keeps which upstreams lack which models, and wakes requests that
// wait for a slot.
type availability struct {
	mu sync.Mutex
	// missing maps an upstream and a model that it lacks to the entry's expiry.
	missing map[missingKey]time.Time
	// freed is closed and replaced when an attempt of this instance ends.
	freed chan struct{}
}

type missingKey struct {
	upstream cardamom.UpstreamID
	model    cardamom.ModelID
	adapter  string
}

func newAvailability() *availability {
	return &availability{missing: make(map[missingKey]time.Time), freed: make(chan struct{})}
}

// markMissing records that an upstream lacks what a request needs.
func (a *availability) markMissing(upstream *site.Upstream, info RequestInfo, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for key, until := range a.missing {
		if now.After(until) {
			delete(a.missing, key)
		}
	}
	a.missing[missingKey{upstream.ID, info.Model, info.Adapter}] = now.Add(missingTTL)
}

// lacks reports whether an upstream lacks what a request needs.
func (a *availability) lacks(upstream *site.Upstream, info RequestInfo, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	until, ok := a.missing[missingKey{upstream.ID, info.Model, info.Adapter}]
	return ok && now.Before(until)
}

// notifyFreed wakes the requests that wait for a slot.
func (a *availability) notifyFreed() {
	a.mu.Lock()
	defer a.mu.Unlock()
	close(a.freed)
	a.freed = make(chan struct{})
}

// freedSignal returns a channel that is closed when a slot may be free.
func (a *availability) freedSignal() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.freed
}

// find returns an upstream for the request and a function to call after its use.
// If it returns false, the request has waited or has ended.
func (x *exchange) find() (*site.Upstream, func(), bool) {
	s := x.server
	view := s.Views.View()
	now := time.Now()
	found := x.candidates(view, now)
	found.usable = x.leastBusy(found.usable)
	window, scheduled, usable := x.window(), x.usesSchedule(found.needsModel) && len(found.usable) > 0, len(found.usable)
	if scheduled {
		window = 0
		if found.usable, usable = x.narrowToSchedule(found.usable, now); x.isLate(usable) {
			x.refuseLate()
			return nil, nil, false
		}
	}
	choice := pick.Choose(pick.Request{
		Prefix: x.info.SharedPrefix, Tokens: x.info.PromptTokens, Window: window,
		Age: now.Sub(x.arrived), Target: x.route.TargetLatency, Remaining: x.remaining(now),
	}, found.usable)
	switch choice.Action {
	case pick.Send, pick.SendAgain:
		if choice.Action == pick.SendAgain {
			x.sleep(retryPause)
		}
		upstream, _ := view.Upstream(choice.Upstream)
		if scheduled && !x.reserve(upstream, usable, now) {
			x.endReservation()
			return nil, nil, false
		}
		if !x.obtainPermit(upstream, len(found.usable) > 1, now) {
			x.endReservation()
			return nil, nil, false
		}
		return upstream, x.release, true
	case pick.Hold:
		x.hold(now)
	case pick.TooSlow:
		x.markEnded()
		x.giveUp("upstreams_slow")
	default:
		x.awaitUpstream(found, choice.Action == pick.Full)
	}
	return nil, nil, false
}

// release is called after the use of an upstream.
func (x *exchange) release() {
	x.server.availability.notifyFreed()
	x.endReservation()
}

// candidates are the upstreams that could run a request.
type candidates struct {
	usable []pick.Candidate
	// suspected engines have the model and could not be reached by this instance.
	suspected []cardamom.UpstreamID
	// listed is the number of live upstreams of the service.
	listed int
	// freeAt is when the first of those upstreams that want no requests for a time, or whose
	// version is new, may get some, zero if there is none.
	freeAt time.Time
	// needsModel means that the request needs an engine with its model.
	needsModel bool
}

// candidates returns the upstreams that could run the request.
func (x *exchange) candidates(view *coord.View, now time.Time) candidates {
	s := x.server
	found := candidates{}
	_, found.needsModel = x.modelEngine()
	limited := s.Limits.InForce() > 0
	for _, upstream := range view.Upstreams(x.service) {
		may, until := s.mayGet(upstream)
		if upstream.State != cardamom.Live || !may && until.IsZero() {
			continue
		}
		if !x.binding.allows(upstream) {
			continue
		}
		found.listed++
		if found.needsModel && (!upstream.HasLoaded(x.info.Model, x.info.Adapter) || s.availability.lacks(upstream, x.info, now)) {
			continue
		}
		if may {
			may, until = x.mayBeginAt(upstream, view)
		}
		if !may {
			if found.freeAt.IsZero() || until.Before(found.freeAt) {
				found.freeAt = until
			}
			continue
		}
		suspended := s.Health.Suspended(upstream.ID, now)
		if suspended && found.needsModel && !x.ignoreSuspension {
			found.suspected = append(found.suspected, upstream.ID)
			continue
		}
		others := view.PeerStats(upstream.ID)
		candidate := pick.Candidate{
			ID: upstream.ID, Running: s.Demand.Running(upstream.ID) + others.Running, Limit: upstream.Slots,
			FailureRate: s.Health.Rate(upstream.ID, now), OtherFailures: others.Failures,
			Suspended: suspended, SameDataCentre: upstream.DataCentre == s.DataCentre, Avoided: x.avoided[upstream.ID],
			RateLimited: limited && s.Limits.IsFresh(upstream, clock.Now()),
		}
		switch {
		case found.needsModel:
			candidate.Expected = s.Pace.Expected(upstream.ID, now)
			candidate.RecentTokens = s.Pace.RecentTokens(upstream.ID, x.route.TargetGap, now)
		case candidate.Limit > 0:
			candidate.Limit += plainQueueSlots
		}
		found.usable = append(found.usable, candidate)
	}
	return found
}

// window returns how many prompt tokens may be sent to one engine within the target
// gap of the route, 0 if that is not limited.
func (x *exchange) window() int {
	if x.route.TargetGap == 0 {
		return 0
	}
	return x.server.Pace.Window(x.service)
}

// hold waits a moment before the request is considered again.
func (x *exchange) hold(now time.Time) {
	timer := time.NewTimer(holdInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-x.ctx.Done():
	}
	x.held += time.Since(now)
}

// awaitUpstream waits for a model or a slot, or ends the request. full means that the
// upstreams that could run the request have no free slot.
func (x *exchange) awaitUpstream(found candidates, full bool) {
	began := time.Now()
	defer func() {
		if x.waited >= 0 {
			x.waited += time.Since(began)
			x.server.Metrics.ObserveDuration("queue", time.Since(began))
		}
	}()
	switch {
	case x.binding.bound && found.listed == 0:
		// Another upstream with that version would be needed: none is listed.
		x.markEnded()
		x.giveUpFor("stream_version_gone", 0)
	case len(found.usable) == 0 && x.othersReach(found.suspected) && !x.from.hopped && len(x.hops) < maxHops && !x.hopNow:
		x.hopNow = true
	case full:
		x.awaitSlot(began)
	case !found.freeAt.IsZero() && len(found.usable) == 0 && len(found.suspected) == 0:
		x.awaitNotice(found.freeAt, found.needsModel)
	case found.needsModel && (x.runs == 0 || x.route.Repeatable()):
		x.awaitModel(found.suspected, time.Time{})
	case found.listed == 0 && time.Since(x.arrived) < defaultRetryDelay:
		x.sleep(recheckInterval)
	default:
		x.markEnded()
		x.giveUp("no_upstream")
	}
}

// markEnded marks the request as ended.
func (x *exchange) markEnded() { x.waited = -1 }

// mayContinue reports whether the request continues after a wait.
func (x *exchange) mayContinue() bool { return x.waited >= 0 }

// awaitSlot waits until an upstream may have a free slot.
func (x *exchange) awaitSlot(now time.Time) {
	maxWait := x.deadline().Sub(x.arrived) * queuePercent / 100
	if now.Sub(x.arrived) > min(maxWait, x.firstEventTimeout()) {
		x.markEnded()
		x.giveUp("upstreams_full")
		return
	}
	x.sleep(recheckInterval)
}

// sleep waits until a slot is freed or the time has passed.
func (x *exchange) sleep(wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-x.server.availability.freedSignal():
	case <-timer.C:
	case <-x.ctx.Done():
	}
}

// firstEventTimeout returns how long after the request's arrival its first event
// is still of use to the caller.
func (x *exchange) firstEventTimeout() time.Duration {
	timeout := x.deadline().Sub(x.arrived)
	if x.route.Kind == site.Streaming {
		timeout = min(timeout, x.route.EventTimeout())
	}
	return timeout - firstEventMargin
}

// remaining returns how much longer the caller waits for the next event. Once a
// stream has begun, each further event has as long as the first.
func (x *exchange) remaining(now time.Time) time.Duration {
	if x.headerSent {
		return min(x.route.EventTimeout()-firstEventMargin, x.deadline().Sub(now))
	}
	return x.arrived.Add(x.firstEventTimeout()).Sub(now)
}

// awaitModel waits until the model is loaded, or refuses the request if the load
// ends too late. The suspected engines have the model and could not be reached:
// the coordinator checks them, and loads the model elsewhere if they are down. Engines that
// have the model and want no requests until freeAt, if that is set, may be waited for too.
func (x *exchange) awaitModel(suspected []cardamom.UpstreamID, freeAt time.Time) {
	s := x.server
	if engine, ok := x.modelEngine(); ok {
		if _, known := engine.Models[x.info.Model]; !known {
			x.markEnded()
			x.fail(http.StatusNotFound, "no_model")
			return
		}
	}
	remaining := x.remaining(time.Now())
	if remaining <= 0 {
		x.markEnded()
		x.giveUp("model_late")
		return
	}
	s.Demand.Waiting(x.key, 1)
	maxWait := remaining
	if len(suspected) > 0 {
		maxWait = suspectedWait
	}
	freeInTime := !freeAt.IsZero() && freeAt.Sub(clock.Now()) < remaining
	if freeInTime {
		maxWait = max(freeAt.Sub(clock.Now()), 0)
	}
	ctx, cancel := context.WithTimeout(x.ctx, maxWait)
	stop := context.AfterFunc(s.Closing, cancel)
	verdict := s.Waiters.Wait(ctx, await.Key{Service: x.service, Model: x.info.Model, Adapter: x.info.Adapter, Version: x.binding.version()}, remaining, suspected...)
	stop()
	cancel()
	s.Demand.Waiting(x.key, -1)
	if verdict.Ready {
		x.ignoreSuspension = true
		if x.reportedReady {
			// The engine that the coordinator reported is not in the view yet, or
			// answered that it lacks the model.
			x.sleep(recheckInterval)
		}
		x.reportedReady = true
		return
	}
	if x.endIfOver() {
		x.markEnded()
		return
	}
	if freeInTime || len(suspected) > 0 && !verdict.FromCoordinator {
		x.sleep(recheckInterval)
		return
	}
	x.markEnded()
	if x.runs > 0 {
		x.giveUp("model_late")
		return
	}
	switch wait := freeAt.Sub(clock.Now()); {
	case !freeAt.IsZero() && (!verdict.FromCoordinator || wait < verdict.RetryAfter):
		x.refuse("upstream_waits", wait)
	case verdict.FromCoordinator:
		x.refuse("model_late", verdict.RetryAfter)
	default:
		x.refuse("model_unknown", verdict.RetryAfter)
	}
}

// splitNames splits a comma-separated list of header names.
func splitNames(value string) []string {
	names := strings.Split(value, ",")
	for i := range names {
		names[i] = http.CanonicalHeaderKey(strings.TrimSpace(names[i]))
	}
	return names
}
