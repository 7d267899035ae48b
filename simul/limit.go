package simul

import (
	"slices"
	"time"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/pick"
	"cardamomcourse.example/cardamom/quota"
	"cardamomcourse.example/cardamom/site"
)

const (
	// limitNotice is how long after an engine first named a rate limit all keep to it.
	limitNotice = 3 * time.Second
	// limitWindow is the time over which requests are counted against a limit, of which
	// limitFactor times what it allows and limitSlack more may come.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// permitCallTimeout is how long a request waits for a permit before it considers all
	// engines again.
	permitCallTimeout = time.Second
)

// nameLimit makes random live engines name a rate limit for a while.
func (p *play) nameLimit(f faultWire, now time.Time) {
	live := slices.DeleteFunc(slices.Clone(p.order), func(e *engine) bool { return e.down || e.gone || e.limit != nil })
	for range min(max(f.Count, 1), len(live)) {
		n := p.faults.IntN(len(live))
		e := live[n]
		live = slices.Delete(live, n, n+1)
		limit := f.PerSecond
		e.limit = &limit
		p.events.after(ms(f.ForMS), func(later time.Time) {
			e.limit = nil
			p.result.countLimited(e.arrivalsBetween(now.Add(limitNotice), later), limit)
		})
	}
}

// rateLimit returns what the engine's answers state.
func (e *engine) rateLimit() site.RateLimit {
	if e.limit == nil {
		return site.RateLimit{}
	}
	return site.RateLimit{Named: true, PerSecond: *e.limit}
}

func (e *engine) arrivalsBetween(from, to time.Time) []time.Time {
	return slices.DeleteFunc(slices.Clone(e.arrivals), func(at time.Time) bool { return at.Before(from) || !at.Before(to) })
}

// countLimited records how many requests an engine got beyond what its limit allows.
func (r *Result) countLimited(arrivals []time.Time, limit float64) {
	first := 0
	for i, at := range arrivals {
		for at.Sub(arrivals[first]) >= limitWindow {
			first++
		}
		r.OverLimit = max(r.OverLimit, float64(i-first+1)-limitFactor*limit*limitWindow.Seconds()-limitSlack)
	}
}

// permit asks for a permit to send the request to an engine with a rate limit.
func (x *exchange) permit(limit quota.Limit, trial bool, now time.Time) {
	i := x.instance
	need := x.remaining(now)
	if trial {
		i.limits.Try(i.view[limit.Upstream], now)
		need = 0
	}
	key, starts := x.key(), i.starts
	i.demand.Waiting(key, 1)
	answer := func(permit quota.Permit) {
		i.play.events.after(hop, func(now time.Time) {
			if i.starts == starts {
				i.demand.Waiting(key, -1)
			}
			switch {
			case x.ended:
			case permit.Granted:
				x.sendOnce(i.play.engines[limit.Upstream], now)
			case !trial && permit.Wait > x.remaining(now):
				x.refuse("upstream_limited", quota.RetryAfter(permit.Wait))
			default:
				x.decide(now)
			}
		})
	}
	urgency := x.route.Urgency()
	i.play.events.after(hop, func(now time.Time) {
		c := i.play.coordinator
		c.limits.Merge([]quota.Limit{limit})
		c.permits.Ask(quota.Run{Upstream: limit.Upstream, StartedMs: limit.StartedMs}, &quota.Call{
			Waiting: quota.Waiting{Urgency: urgency, Since: x.arrived}, Until: now.Add(min(need, permitCallTimeout)), Answer: answer,
		}, need, now)
	})
}

// needsPermit returns the limit of the chosen engine, and whether the request is to find
// out if it is still in force.
func (x *exchange) needsPermit(choice pick.Choice, candidates int, now time.Time) (limit quota.Limit, trial, ok bool) {
	i := x.instance
	if i.play.without["permits"] {
		return quota.Limit{}, false, false
	}
	limit, ok = i.limits.Limit(i.view[choice.Upstream], now)
	return limit, ok && candidates > 1 && !i.limits.IsFresh(i.view[choice.Upstream], now), ok
}

// stepLimits grants permits and tells the plan of the limits.
func (c *coordinator) stepLimits(now time.Time) {
	limits := make(map[cardamom.UpstreamID]float64)
	for _, limit := range c.limits.Limits() {
		if !limit.Ended {
			limits[limit.Upstream] = limit.PerSecond
		}
	}
	c.planner.SetRateLimits(limits)
	c.permits.Step(now)
}
