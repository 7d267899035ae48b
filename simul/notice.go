package simul

import (
	"time"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/notice"
	"cardamomcourse.example/cardamom/site"
)

const (
	// leaveNotice is how long after an instance passed on an answer that says that the
	// engine leaves its callers' requests may still reach the engine from there.
	leaveNotice = 2 * time.Second
	// waitNotice is how long after an engine asked an instance for a wait requests from
	// there don't count, and waitSlack how many may reach it until the end.
	waitNotice = 500 * time.Millisecond
	waitSlack  = 2
)

// told is what an engine has told the instances of itself, and what it got from them since.
type told struct {
	// leaving is when each instance first passed on that the engine leaves.
	leaving map[*instance]time.Time
	waits   []*toldWait
	// wait is what requests are answered with until waitEnd.
	wait    time.Duration
	waitEnd time.Time
}

// toldWait is a wait that an instance was asked for.
type toldWait struct {
	instance *instance
	at       time.Time
	until    time.Time
	arrivals int
}

// askToWait makes random live engines turn all requests away for a while and ask for a wait.
func (p *play) askToWait(f faultWire, now time.Time) {
	live := p.liveEngines()
	for range min(max(f.Count, 1), len(live)) {
		n := p.faults.IntN(len(live))
		e := live[n]
		live = append(live[:n], live[n+1:]...)
		e.told.wait, e.told.waitEnd = ms(f.WaitMS), now.Add(ms(f.ForMS))
	}
}

// arrived counts a request against what the engine has told its instance, and reports
// whether the engine turns it away.
func (e *engine) arrived(r *run, now time.Time) (turnedAway bool) {
	if at, ok := e.told.leaving[r.instance]; ok && r.asked.After(at.Add(leaveNotice)) {
		e.play.result.AfterLeave++
	}
	for _, w := range e.told.waits {
		if w.instance == r.instance && now.After(w.at.Add(waitNotice)) && now.Before(w.until) {
			w.arrivals++
			e.play.result.InWait = max(e.play.result.InWait, w.arrivals-waitSlack)
		}
	}
	if !now.Before(e.told.waitEnd) {
		return false
	}
	r.wait = e.told.wait
	e.told.waits = append(e.told.waits, &toldWait{instance: r.instance, at: now, until: now.Add(r.wait)})
	return true
}

// forget drops what the engines told an instance that starts again.
func (p *play) forget(i *instance) {
	for _, e := range p.order {
		delete(e.told.leaving, i)
		for _, w := range e.told.waits {
			if w.instance == i {
				w.until = time.Time{}
			}
		}
	}
}

func noticeRun(upstream *site.Upstream) notice.Run {
	return notice.NewRun(upstream.ID, upstream.StartedMs)
}

// recordLeave records that an answer of an engine that leaves is passed on.
func (i *instance) recordLeave(e *engine, now time.Time) {
	if e.State != cardamom.Leaving {
		return
	}
	if _, ok := e.told.leaving[i]; !ok {
		e.told.leaving[i] = now
	}
	i.notices.Leave(noticeRun(&e.Upstream), now)
}

// mayGet reports whether an engine may get requests by what it says of itself, or else when
// it may again, zero if never.
func (i *instance) mayGet(upstream *site.Upstream, now time.Time) (may bool, until time.Time) {
	if i.play.without["notices"] {
		return true, time.Time{}
	}
	return i.notices.MayGet(noticeRun(upstream), now)
}

// mergeLeaves records the runs that leave according to an instance, as leaves that the
// platform lists.
func (c *coordinator) mergeLeaves(runs []notice.Run, now time.Time) {
	if c.play.without["notices"] {
		return
	}
	for _, run := range runs {
		e, ok := c.play.engines[run.ID()]
		if ok && e.StartedMs == run.StartedMs() && c.notices.Leave(run, now) {
			upstream := e.Upstream
			upstream.State = cardamom.Leaving
			c.planner.Update(&upstream, now)
		}
	}
}

// mergeWaits records the waits that engines asked an instance for.
func (c *coordinator) mergeWaits(waits map[notice.Run]time.Time, now time.Time) {
	for run, until := range waits {
		c.waits.Wait(run, until.Sub(now), now)
	}
}

// stepWaits tells the plan which engines want no requests.
func (c *coordinator) stepWaits(now time.Time) {
	if c.play.without["notices"] {
		return
	}
	until := make(map[cardamom.UpstreamID]time.Time)
	for run, end := range c.waits.Waits(now) {
		if e := c.play.engines[run.ID()]; e.StartedMs == run.StartedMs() {
			until[run.ID()] = end
		}
	}
	c.planner.SetWaits(until)
}

// awaitNotice waits where the only engines that could run the request want none until a
// time: for that time, or for another engine that the coordinator has load the model.
func (x *exchange) awaitNotice(until, now time.Time) {
	i, key, starts := x.instance, x.key(), x.instance.starts
	if x.remaining(now) <= 0 {
		x.refuse("upstream_waits", until.Sub(now))
		return
	}
	i.demand.Waiting(key, 1)
	over := false
	leave := func() {
		if !over && i.starts == starts {
			i.demand.Waiting(key, -1)
		}
		over = true
	}
	decide := func(now time.Time) {
		leave()
		if !x.ended {
			x.decide(now)
		}
	}
	waits := i.notices.Waits(now)
	if until.Sub(now) < x.remaining(now) {
		i.play.events.at(until, func(now time.Time) {
			if !over {
				decide(now)
			}
		})
	}
	i.play.events.after(hop, func(now time.Time) {
		c := i.play.coordinator
		c.mergeWaits(waits, now)
		c.stepWaits(now)
		c.need(x.model, x.remaining(now), waiter{x.model, func(now time.Time, ready []*site.Upstream, expected time.Duration, known bool) bool {
			switch {
			case x.ended || over:
				leave()
				return true
			case len(ready) > 0:
				i.play.events.after(hop, func(now time.Time) {
					if !over {
						i.learn(ready)
						decide(now)
					}
				})
				return true
			case known && expected > x.remaining(now) && until.Sub(now) > x.remaining(now) || x.remaining(now) <= 0:
				leave()
				x.refuse("upstream_waits", min(expected, until.Sub(now))+retryAfterMargin)
				return true
			default:
				return false
			}
		}}, now)
	})
}
