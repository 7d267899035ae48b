// Package retain decides how long an idle model stays loaded and when it is
// loaded again before a predicted request. A cold start is a request that waits for
// a load. An idle gap is the time between two uses of a model.
//
// # Usage
//
//	strategy, ok := retain.Lookup("gaps")
//	plan := strategy.Plan(history, profileHistory, coldStartCost)
//	warm := plan.Warm(now.Sub(history.LastUse()))
//
// The profile of a model, its settings for replicas and deadlines, names the strategy.
package retain

import (
	"math"
	"time"
)

// Plan holds the idle times at which a model is to be loaded. All are times since
// the last use.
type Plan struct {
	// KeepFor is how long the model stays loaded after its last use.
	KeepFor time.Duration
	// PreloadFrom and PreloadUntil bound the interval in which a request is
	// predicted and the model is loaded again. Both are 0 if none is predicted.
	PreloadFrom  time.Duration
	PreloadUntil time.Duration
}

// Warm reports whether a model that has been idle for the given time is to be loaded,
// either kept or loaded again.
func (p Plan) Warm(idle time.Duration) bool {
	return idle <= p.KeepFor || p.PreloadDue(idle)
}

// PreloadDue reports whether a request is predicted after the given idle time.
func (p Plan) PreloadDue(idle time.Duration) bool {
	return p.PreloadFrom > 0 && idle >= p.PreloadFrom && idle <= p.PreloadUntil
}

// Strategy plans for a model from its history and that of all models with its
// profile. The cost of a cold start is the time for which it is worth keeping an idle
// model loaded to avoid the cold start.
type Strategy interface {
	Plan(history, profileHistory *History, coldStartCost time.Duration) Plan
}

// StrategyFunc is a function that implements Strategy.
type StrategyFunc func(history, profileHistory *History, coldStartCost time.Duration) Plan

// Plan implements Strategy.
func (f StrategyFunc) Plan(history, profileHistory *History, coldStartCost time.Duration) Plan {
	return f(history, profileHistory, coldStartCost)
}

// Forever is the keep time of a model that is never unloaded for being idle.
const Forever = time.Duration(math.MaxInt64)

// Lookup returns the strategy of that name.
func Lookup(name string) (Strategy, bool) {
	switch name {
	case "fixed":
		return StrategyFunc(fixed), true
	case "always":
		return StrategyFunc(always), true
	case "gaps":
		return StrategyFunc(gaps), true
	default:
		return nil, false
	}
}

// fixed keeps each model for the cost of a cold start after its last use.
func fixed(_, _ *History, keepFor time.Duration) Plan { return Plan{KeepFor: keepFor} }

// always keeps each model loaded.
func always(_, _ *History, _ time.Duration) Plan { return Plan{KeepFor: Forever} }

// minGapWeight is the least total weight of the gaps in a history from which the
// strategy gaps plans.
const minGapWeight = 3

// gaps returns the plan of least cost over the recorded idle gaps. A model with
// few gaps is kept as the history of its profile suggests; if that has few gaps
// too, it is kept for the cost of a cold start. Whatever the gap turns out to be,
// this costs at most twice the least possible.
func gaps(history, profileHistory *History, coldStartCost time.Duration) Plan {
	switch {
	case history.totalWeight() >= minGapWeight:
		return cachedPlan(history, coldStartCost)
	case profileHistory.totalWeight() >= minGapWeight:
		return Plan{KeepFor: cachedPlan(profileHistory, coldStartCost).KeepFor}
	default:
		return Plan{KeepFor: coldStartCost}
	}
}

// cachedPlan returns the plan for a history, computed again only after another
// gap or with another cost of a cold start.
func cachedPlan(history *History, coldStartCost time.Duration) Plan {
	if history.planValid && history.planColdStartCost == coldStartCost {
		return history.plan
	}
	plan := Plan{KeepFor: bestKeep(history, coldStartCost)}
	plan.PreloadFrom, plan.PreloadUntil = bestPreload(history, plan.KeepFor, coldStartCost)
	history.plan, history.planColdStartCost, history.planValid = plan, coldStartCost, true
	return plan
}

// bestKeep returns the keep time of least cost: a gap within it costs its own
// length, a longer one the keep time and a cold start.
func bestKeep(history *History, coldStartCost time.Duration) time.Duration {
	best := time.Duration(0)
	lowest := cost(history, 0, coldStartCost)
	consider := func(candidate time.Duration) {
		if c := cost(history, candidate, coldStartCost); c < lowest {
			best, lowest = candidate, c
		}
	}
	for i := range history.counts {
		if upperBound(i) > coldStartCost {
			break
		}
		consider(upperBound(i))
	}
	consider(coldStartCost)
	return best
}

// cost returns the total cost in seconds of a keep time over all gaps.
func cost(history *History, keepFor, coldStartCost time.Duration) float64 {
	total := 0.0
	for i, count := range history.counts {
		if count > 0 {
			total += count * costOfGap(upperBound(i), keepFor, coldStartCost)
		}
	}
	return total
}

// costOfGap returns the cost in seconds of one gap.
func costOfGap(gap, keepFor, coldStartCost time.Duration) float64 {
	if gap <= keepFor {
		return gap.Seconds()
	}
	return (keepFor + coldStartCost).Seconds()
}

// bestPreload returns the interval after the keep time in which being loaded saves
// most: each gap that ends in it saves a cold start, and each gap that reaches
// into it costs the idle time up to the end of the gap or of the interval.
func bestPreload(history *History, keepFor, coldStartCost time.Duration) (from, until time.Duration) {
	bestSaving := 0.0
	for a := 1; a < bucketCount; a++ {
		start := upperBound(a - 1)
		if start < keepFor {
			continue
		}
		saved := 0.0
		for b := a; b < bucketCount; b++ {
			saved += history.counts[b] * coldStartCost.Seconds()
			if history.counts[b] == 0 {
				continue
			}
			if net := saved - preloadCost(history, a, b); net > bestSaving {
				bestSaving, from, until = net, start, upperBound(b)
			}
		}
	}
	return from, until
}

// preloadCost returns the idle seconds, over all gaps, that a model spends loaded if
// it is loaded from the lower bound of bucket a to the upper bound of bucket b.
func preloadCost(history *History, a, b int) float64 {
	start := upperBound(a - 1).Seconds()
	total := 0.0
	for i := a; i < bucketCount; i++ {
		total += history.counts[i] * (upperBound(min(i, b)).Seconds() - start)
	}
	return total
}
