package relay

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/await"
	"cardamomcourse.example/cardamom/pick"
	"cardamomcourse.example/cardamom/site"
)

const (
	// missTime is how long an upstream's word holds that it lacks a model.
	missTime = 400 * time.Millisecond
	// queueShare is the part of a caller's time, in percent, that a request may
	// wait for a place at upstreams that are all busy.
	queueShare = 60
	// recheck is the time after which waiting requests look again at what other
	// instances have in progress.
	recheck = 25 * time.Millisecond
	// againPause is the time before a request is sent to an upstream that
	// failed it, as it may just be going down.
	againPause = 60 * time.Millisecond
	// plainQueue is how many requests beyond its slots a plain upstream gets.
	plainQueue = 2
	// answerMargin is kept of a caller's patience for the first event itself.
	answerMargin = 250 * time.Millisecond
	// doubtWait is how long a request waits for another engine before the one
	// that could not be reached is tried again, if it may be by then.
	doubtWait = 400 * time.Millisecond
)

// places remembers what upstreams said they lack, and wakes requests that wait
// for a place.
type places struct {
	mu      sync.Mutex
	missing map[missKey]time.Time
	freed   chan struct{}
}

type missKey struct {
	upstream cardamom.UpstreamID
	model    cardamom.ModelID
	adapter  string
}

func newPlaces() *places {
	return &places{missing: make(map[missKey]time.Time), freed: make(chan struct{})}
}

// miss notes that an upstream lacks what a request needs.
func (p *places) miss(upstream *site.Upstream, ask Ask, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, until := range p.missing {
		if now.After(until) {
			delete(p.missing, key)
		}
	}
	p.missing[missKey{upstream.ID, ask.Model, ask.Adapter}] = now.Add(missTime)
}

func (p *places) lacks(upstream *site.Upstream, ask Ask, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	until, ok := p.missing[missKey{upstream.ID, ask.Model, ask.Adapter}]
	return ok && now.Before(until)
}

// free wakes the requests that wait for a place.
func (p *places) free() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.freed)
	p.freed = make(chan struct{})
}

func (p *places) watch() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.freed
}

// find returns an upstream for the request and what to call after its use. If
// there is none, the request has waited or is over.
func (x *exchange) find() (*site.Upstream, func(), bool) {
	s := x.server
	view := s.Views.View()
	now := time.Now()
	_, needsModel := x.engine()
	// again are those that were tried; they are better than none.
	var candidates, again []pick.Candidate
	// doubted hold the model and can't be reached from here.
	var doubted []cardamom.UpstreamID
	listed, slow := 0, 0
	for _, upstream := range view.Upstreams(x.service) {
		if upstream.State != cardamom.Live {
			continue
		}
		listed++
		if needsModel && (!upstream.Holds(x.ask.Model, x.ask.Adapter) || s.places.lacks(upstream, x.ask, now)) {
			continue
		}
		suspended := s.Health.Suspended(upstream.ID, now)
		if suspended && needsModel && !x.vouched {
			doubted = append(doubted, upstream.ID)
			continue
		}
		others := view.Others(upstream.ID)
		var expected time.Duration
		if needsModel {
			expected = s.Pace.Expected(upstream.ID, now)
			if expected > x.remaining(now) {
				// What is sent there now gets its first event too late.
				slow++
				continue
			}
		}
		limit := upstream.Slots
		if limit > 0 && !needsModel {
			limit += plainQueue
		}
		candidate := pick.Candidate{
			ID: upstream.ID, Running: s.Demand.Running(upstream.ID) + others.Running, Limit: limit,
			FailureRate: s.Health.Rate(upstream.ID, now), OtherFailures: others.Failures,
			Suspended: suspended, Near: upstream.DataCentre == s.DataCentre,
			Expected: expected,
		}
		if x.tried[upstream.ID] {
			again = append(again, candidate)
		} else {
			candidates = append(candidates, candidate)
		}
	}
	if len(candidates) == 0 && len(again) > 0 {
		x.sleep(againPause)
		candidates = again
	}
	if id, ok := pick.Best(candidates, x.ask.Shared); ok {
		upstream, _ := view.Upstream(id)
		return upstream, s.places.free, true
	}
	if slow > 0 && len(candidates) == 0 {
		x.stopWaiting()
		x.giveUp("upstreams_slow")
		return nil, nil, false
	}
	x.pend(needsModel, doubted, len(candidates), listed)
	return nil, nil, false
}

// pend waits for a model or for a place, or ends the request.
func (x *exchange) pend(needsModel bool, doubted []cardamom.UpstreamID, full, listed int) {
	began := time.Now()
	defer func() {
		if x.waited >= 0 {
			x.waited += time.Since(began)
			x.server.Counts.Took("queue", time.Since(began))
		}
	}()
	switch {
	case full > 0:
		x.awaitPlace(began)
	case needsModel && (x.runs == 0 || x.route.Repeatable()):
		x.awaitModel(doubted)
	case listed == 0 && time.Since(x.arrived) < soonWait:
		x.sleep(recheck)
	default:
		x.stopWaiting()
		x.giveUp("no_upstream")
	}
}

// stopWaiting marks that the request is over.
func (x *exchange) stopWaiting() { x.waited = -1 }

// pendingWait tells whether the request goes on after a wait.
func (x *exchange) pendingWait() bool { return x.waited >= 0 }

// awaitPlace waits until some upstream may have a free place.
func (x *exchange) awaitPlace(now time.Time) {
	longest := x.deadline().Sub(x.arrived) * queueShare / 100
	if now.Sub(x.arrived) > min(longest, x.patience()) {
		x.stopWaiting()
		x.giveUp("upstreams_full")
		return
	}
	x.sleep(recheck)
}

// sleep waits for a freed place or the time, whichever is first.
func (x *exchange) sleep(wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-x.server.places.watch():
	case <-timer.C:
	case <-x.ctx.Done():
	}
}

// patience returns how long after its arrival a request's first event is still
// of use to its caller.
func (x *exchange) patience() time.Duration {
	patience := x.deadline().Sub(x.arrived)
	if x.route.Kind == site.Streaming {
		patience = min(patience, x.route.Patience())
	}
	return patience - answerMargin
}

// remaining returns how much longer the caller waits for the next event: of a
// stream that has begun as long as for the first.
func (x *exchange) remaining(now time.Time) time.Duration {
	if x.started {
		return min(x.route.Patience()-answerMargin, x.deadline().Sub(now))
	}
	return x.arrived.Add(x.patience()).Sub(now)
}

// awaitModel waits until the model is loaded, or refuses the request if it will
// come too late. The doubted upstreams hold the model and could not be reached:
// the coordinator asks them, and loads the model elsewhere if they are down.
func (x *exchange) awaitModel(doubted []cardamom.UpstreamID) {
	s := x.server
	if engine, ok := x.engine(); ok {
		if _, known := engine.Models[x.ask.Model]; !known {
			x.stopWaiting()
			x.fail(http.StatusNotFound, "no_model")
			return
		}
	}
	left := x.remaining(time.Now())
	if left <= 0 {
		x.stopWaiting()
		x.giveUp("model_late")
		return
	}
	s.Demand.Waiting(x.key, 1)
	longest := left
	if len(doubted) > 0 {
		longest = doubtWait
	}
	ctx, cancel := context.WithTimeout(x.ctx, longest)
	stop := context.AfterFunc(s.Closing, cancel)
	verdict := s.Desk.Wait(ctx, await.Key{Service: x.service, Model: x.ask.Model, Adapter: x.ask.Adapter}, left, doubted...)
	stop()
	cancel()
	s.Demand.Waiting(x.key, -1)
	if verdict.Ready {
		x.vouched = true
		if x.told {
			// What it named is not known here, or said that it lacks the model.
			x.sleep(recheck)
		}
		x.told = true
		return
	}
	if x.over() {
		x.stopWaiting()
		return
	}
	if len(doubted) > 0 && !verdict.Expected {
		x.sleep(recheck)
		return
	}
	x.stopWaiting()
	if x.runs > 0 {
		x.giveUp("model_late")
		return
	}
	reason := "model_late"
	if !verdict.Expected {
		reason = "model_unknown"
	}
	x.refuse(reason, verdict.Later)
}

// splitNames splits a list of header names.
func splitNames(value string) []string {
	names := strings.Split(value, ",")
	for i := range names {
		names[i] = http.CanonicalHeaderKey(strings.TrimSpace(names[i]))
	}
	return names
}
