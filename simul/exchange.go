package simul

import (
	"slices"
	"time"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/demand"
	"cardamomcourse.example/cardamom/health"
	"cardamomcourse.example/cardamom/pace"
	"cardamomcourse.example/cardamom/pick"
	"cardamomcourse.example/cardamom/site"
)

// exchange is one attempt of a caller's request at an instance.
type exchange struct {
	instance *instance
	caller   *caller
	route    *site.Route
	model    cardamom.ModelID
	prompt   int
	arrived  time.Time
	deadline time.Time
	avoided  map[cardamom.UpstreamID]bool
	sends    int
	rejected int
	ended    bool
	// engine and run are those of the send that is going on.
	engine    *engine
	run       *run
	wait      *pace.Wait
	lastEvent time.Time
}

func (x *exchange) key() demand.Key { return demand.Key{Service: service, Model: x.model} }

// end ends the attempt once and passes its result to the caller after a hop.
func (x *exchange) end(report func(now time.Time)) {
	if x.ended {
		return
	}
	x.ended = true
	x.instance.open = slices.DeleteFunc(x.instance.open, func(other *exchange) bool { return other == x })
	x.leaveEngine(x.instance.play.events.now)
	x.instance.play.events.after(hop, report)
}

// lost ends the attempt because its instance has died.
func (x *exchange) lost() {
	if x.engine != nil {
		x.engine.cancel(x.run)
	}
	x.end(func(time.Time) { x.caller.failed("instance_lost") })
}

// cancel ends the attempt because the caller has left.
func (x *exchange) cancel() {
	if x.engine != nil {
		x.engine.cancel(x.run)
	}
	x.end(func(time.Time) {})
}

func (x *exchange) refuse(reason string, retryAfter time.Duration) {
	x.end(func(now time.Time) { x.caller.refused(reason, retryAfter, now) })
}

// remaining returns how much longer the caller waits for a first event.
func (x *exchange) remaining(now time.Time) time.Duration {
	return min(x.deadline.Sub(now), x.arrived.Add(x.route.EventTimeout()).Sub(now)) - firstEventMargin
}

// retry considers the request again after a pause.
func (x *exchange) retry(wait time.Duration) {
	x.instance.play.events.after(wait, func(now time.Time) {
		if !x.ended {
			x.decide(now)
		}
	})
}

// decide sends the request, lets it wait or refuses it.
func (x *exchange) decide(now time.Time) {
	i := x.instance
	window := i.pace.Window(service)
	if i.play.without["hold"] {
		window = 0
	}
	candidates, freeAt := i.candidates(x, now)
	if len(candidates) == 0 && !freeAt.IsZero() {
		x.awaitNotice(freeAt, now)
		return
	}
	choice := pick.Choose(pick.Request{
		Tokens: x.prompt, Window: window, Age: now.Sub(x.arrived), Target: x.route.TargetLatency, Remaining: x.remaining(now),
	}, candidates)
	switch choice.Action {
	case pick.Send, pick.SendAgain:
		if limit, trial, ok := x.needsPermit(choice, len(candidates), now); ok {
			x.permit(limit, trial, now)
			return
		}
		x.sendOnce(i.play.engines[choice.Upstream], now)
	case pick.Hold:
		x.retry(holdRecheck)
	case pick.TooSlow:
		x.refuse("upstreams_slow", shortRetryAfter)
	case pick.Full:
		if now.Sub(x.arrived) > min(x.deadline.Sub(x.arrived)*fullPercent/100, x.route.EventTimeout()-firstEventMargin) {
			x.refuse("upstreams_full", shortRetryAfter)
			return
		}
		x.retry(fullRecheck)
	default:
		x.awaitModel(now)
	}
}

// sendOnce sends the request, if it is sent again only within the retry budget. What the
// engine has said meanwhile makes the request look for another.
func (x *exchange) sendOnce(e *engine, now time.Time) {
	if may, _ := x.instance.mayGet(&e.Upstream, now); !may {
		x.decide(now)
		return
	}
	if x.sends > 0 && x.borrow(e, now) {
		return
	}
	if x.sends > 0 && !x.instance.budget.AllowRetry(service, now).Allowed {
		x.refuse("retry_budget", shortRetryAfter)
		return
	}
	x.send(e, now)
}

// awaitModel waits for the coordinator to have the model loaded.
func (x *exchange) awaitModel(now time.Time) {
	i := x.instance
	if x.remaining(now) <= 0 {
		x.refuse("model_late", retryAfterMargin)
		return
	}
	key := x.key()
	i.demand.Waiting(key, 1)
	starts := i.starts
	leave := func() {
		if i.starts == starts {
			i.demand.Waiting(key, -1)
		}
	}
	i.play.events.after(hop, func(now time.Time) {
		i.play.coordinator.need(x.model, x.remaining(now), waiter{x.model, func(now time.Time, ready []*site.Upstream, expected time.Duration, known bool) bool {
			switch {
			case x.ended:
				leave()
				return true
			case len(ready) > 0:
				i.play.events.after(hop, func(now time.Time) {
					leave()
					if !x.ended {
						i.learn(ready)
						x.decide(now)
					}
				})
				return true
			case known && expected > x.remaining(now) || x.remaining(now) <= 0:
				leave()
				x.refuse("model_late", expected+retryAfterMargin)
				return true
			default:
				return false
			}
		}}, now)
	})
}

// send sends the request to an engine.
func (x *exchange) send(e *engine, now time.Time) {
	i := x.instance
	i.demand.Begin(e.ID, x.key(), "")
	x.wait = i.pace.Sent(service, e.ID, x.prompt, now)
	x.sends++
	priority := x.route.Urgency()
	if i.play.without["priority"] {
		priority = 5
	}
	r := &run{model: x.model, priority: priority, prompt: x.prompt, output: x.caller.output, instance: i, asked: x.arrived}
	x.engine, x.run, x.lastEvent = e, r, time.Time{}
	r.onEvent = func(last bool) {
		i.play.events.after(hop, func(now time.Time) { x.event(r, last, now) })
	}
	r.onEnd = func(ran bool) {
		i.play.events.after(hop, func(now time.Time) { x.notServed(r, ran, now) })
	}
	i.play.events.after(hop, func(now time.Time) {
		if x.run == r {
			e.submit(r, now)
		}
	})
}

// leaveEngine ends the send that is going on.
func (x *exchange) leaveEngine(now time.Time) {
	if x.engine == nil {
		return
	}
	x.wait.Ended(now)
	x.instance.demand.End(x.engine.ID, x.key())
	x.engine, x.run = nil, nil
}

// event passes an event of the stream to the caller.
func (x *exchange) event(r *run, last bool, now time.Time) {
	if x.run != r || x.ended {
		return
	}
	i := x.instance
	if x.lastEvent.IsZero() {
		i.limits.State(&x.engine.Upstream, x.engine.rateLimit(), now)
		i.recordLeave(x.engine, now)
	}
	x.wait.FirstEvent(now)
	i.health.Succeeded(x.engine.ID, now)
	if !x.lastEvent.IsZero() && x.route.TargetGap > 0 {
		i.pace.Gap(service, x.engine.ID, now.Sub(x.lastEvent), x.route.TargetGap, now)
	}
	x.lastEvent = now
	i.play.events.after(hop, func(now time.Time) { x.caller.event(now) })
	if last {
		x.end(func(time.Time) { x.caller.served() })
	}
}

// notServed handles an engine that rejected the request or lost it.
func (x *exchange) notServed(r *run, ran bool, now time.Time) {
	if x.run != r || x.ended {
		return
	}
	i, e := x.instance, x.engine
	x.leaveEngine(now)
	if ran {
		i.health.Failed(e.ID, health.Broken, now)
		i.demand.Failed(e.ID)
		x.end(func(time.Time) { x.caller.failed("upstream_broke") })
		return
	}
	x.rejected++
	if !e.down {
		i.limits.State(&e.Upstream, e.rateLimit(), now)
		i.recordLeave(e, now)
		i.notices.Wait(noticeRun(&e.Upstream), r.wait, now)
	}
	if e.down {
		i.health.Failed(e.ID, health.Unreachable, now)
		i.demand.Failed(e.ID)
	}
	x.avoided[e.ID] = true
	i.missing[missingKey{e.ID, x.model}] = now.Add(missingTTL)
	if x.rejected > maxRejected {
		x.refuse("rejected", shortRetryAfter)
		return
	}
	x.retry(rejectionPause)
}
