package plan

import (
	"time"

	cardamom "cardamomcourse.example/cardamom"
)

// limitedCost is the cost, in seconds of waiting, of a load on an engine with a rate
// limit: its requests would wait for permits.
const limitedCost = 2.0

// SetRateLimits sets the rate limits, in requests a second, of the engines that name
// one.
func (pl *Planner) SetRateLimits(limits map[cardamom.UpstreamID]float64) { pl.rateLimits = limits }

// limitedReplicas returns how many replicas of a model are on engines whose rate limit
// is below the demand for what they have loaded. They don't count as further replicas,
// since the demand beyond the limit needs another engine.
func (pl *Planner) limitedReplicas(model cardamom.ModelID, now time.Time) int {
	count := 0
	for id, limit := range pl.rateLimits {
		if e, ok := pl.engines[id]; ok && e.live() && e.loadedAfterOrder(model) && pl.requestRate(e, now) > limit {
			count++
		}
	}
	return count
}

// requestRate returns the requests a second for the models that an engine has loaded, as
// far as they fall to it.
func (pl *Planner) requestRate(e *engine, now time.Time) float64 {
	rate := 0.0
	window := pl.effectiveWindows(now).arrivals
	for model := range e.Loaded {
		if d, ok := pl.demands[model]; ok {
			rate += d.decayedArrivals(now) / window / float64(max(pl.replicas(model), 1))
		}
	}
	return rate
}
