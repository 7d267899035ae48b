// Package keep decides how long an idle model stays loaded and when it is
// loaded again ahead of a predicted return.
//
// # Usage
//
//	strategy, ok := keep.Lookup("gaps")
//	plan := strategy.Plan(history, class, price)
//	warm := plan.Warm(now.Sub(history.LastUse()))
//
// A strategy is looked up by the name a profile gives.
package keep

import (
	"math"
	"time"
)

// Plan tells for which idle times a model is loaded: up to Keep, and from From
// to Until. All are times since the last use.
type Plan struct {
	Keep  time.Duration
	From  time.Duration
	Until time.Duration
}

// Warm tells whether a model that has been idle for the time is loaded.
func (p Plan) Warm(idle time.Duration) bool {
	return idle <= p.Keep || p.Ahead(idle)
}

// Ahead tells whether a return is predicted about now.
func (p Plan) Ahead(idle time.Duration) bool {
	return p.From > 0 && idle >= p.From && idle <= p.Until
}

// Strategy returns the plan for a model with its history and that of all models
// of its class. The price is the idle time that one avoided cold start is worth.
type Strategy interface {
	Plan(history, class *History, price time.Duration) Plan
}

// StrategyFunc is a Strategy made of one function.
type StrategyFunc func(history, class *History, price time.Duration) Plan

// Plan implements Strategy.
func (f StrategyFunc) Plan(history, class *History, price time.Duration) Plan {
	return f(history, class, price)
}

// Forever is longer than any process lives.
const Forever = time.Duration(math.MaxInt64)

// Lookup returns the strategy of a name.
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

func fixed(_, _ *History, price time.Duration) Plan { return Plan{Keep: price} }

func always(_, _ *History, _ time.Duration) Plan { return Plan{Keep: Forever} }

// enoughGaps is the weight of gaps from which on they are trusted.
const enoughGaps = 3

// gaps plans for what costs least over the idle gaps seen. A model with few
// gaps is kept as its class is; with few gaps of the class as well it is kept
// for the price, which costs at most twice the least possible.
func gaps(history, class *History, price time.Duration) Plan {
	switch {
	case history.weight() >= enoughGaps:
		return planned(history, price)
	case class.weight() >= enoughGaps:
		return Plan{Keep: planned(class, price).Keep}
	default:
		return Plan{Keep: price}
	}
}

// planned returns the plan of a history, worked out once for each gap seen.
func planned(history *History, price time.Duration) Plan {
	if history.planned && history.price == price {
		return history.plan
	}
	plan := Plan{Keep: bestKeep(history, price)}
	plan.From, plan.Until = bestAhead(history, plan.Keep, price)
	history.plan, history.price, history.planned = plan, price, true
	return plan
}

// bestKeep returns the keep time of least cost: a gap within it costs its own
// length, a longer one the keep time and the price.
func bestKeep(history *History, price time.Duration) time.Duration {
	best := time.Duration(0)
	least := cost(history, 0, price)
	consider := func(candidate time.Duration) {
		if c := cost(history, candidate, price); c < least {
			best, least = candidate, c
		}
	}
	for i := range history.counts {
		if bound(i) > price {
			break
		}
		consider(bound(i))
	}
	consider(price)
	return best
}

// cost returns the summed cost in seconds of keeping for the time over the
// gaps seen.
func cost(history *History, keepFor, price time.Duration) float64 {
	total := 0.0
	for i, count := range history.counts {
		if count > 0 {
			total += count * gapCost(bound(i), keepFor, price)
		}
	}
	return total
}

func gapCost(gap, keepFor, price time.Duration) float64 {
	if gap <= keepFor {
		return gap.Seconds()
	}
	return (keepFor + price).Seconds()
}

// bestAhead returns the time after the keep time in which being loaded saves
// most: each return in it saves the price, each gap that reaches into it costs
// the idle time up to the return or its end.
func bestAhead(history *History, keepFor, price time.Duration) (from, until time.Duration) {
	most := 0.0
	for a := 1; a < buckets; a++ {
		start := bound(a - 1)
		if start < keepFor {
			continue
		}
		saved := 0.0
		for b := a; b < buckets; b++ {
			saved += history.counts[b] * price.Seconds()
			if history.counts[b] == 0 {
				continue
			}
			if net := saved - aheadCost(history, a, b); net > most {
				most, from, until = net, start, bound(b)
			}
		}
	}
	return from, until
}

// aheadCost returns the idle seconds of being loaded from bucket a to bucket b.
func aheadCost(history *History, a, b int) float64 {
	start := bound(a - 1).Seconds()
	total := 0.0
	for i := a; i < buckets; i++ {
		total += history.counts[i] * (bound(min(i, b)).Seconds() - start)
	}
	return total
}
