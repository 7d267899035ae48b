// Package keep decides how long an idle model stays loaded.
//
// # Usage
//
//	strategy, ok := keep.Lookup("gaps")
//	if now.Sub(history.LastUse()) > strategy.Keep(history, price) { ... }
//
// A strategy is looked up by the name a profile gives.
package keep

import (
	"math"
	"time"
)

// Strategy returns how long after its last use a model stays loaded. The price
// is the idle time that one avoided cold start is worth.
type Strategy interface {
	Keep(history *History, price time.Duration) time.Duration
}

// StrategyFunc is a Strategy made of one function.
type StrategyFunc func(history *History, price time.Duration) time.Duration

// Keep implements Strategy.
func (f StrategyFunc) Keep(history *History, price time.Duration) time.Duration {
	return f(history, price)
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

func fixed(_ *History, price time.Duration) time.Duration { return price }

func always(*History, time.Duration) time.Duration { return Forever }

// gaps keeps a model for the time that costs least over the idle gaps seen: a
// gap shorter than the time costs its own length, a longer one the time plus
// the price. With no gaps seen it is the price, which costs at most twice the
// least possible.
func gaps(history *History, price time.Duration) time.Duration {
	if history.weight() < enoughGaps {
		return price
	}
	best := price
	least := cost(history, price, price)
	for i := range history.counts {
		candidate := bound(i)
		if candidate > price {
			break
		}
		if c := cost(history, candidate, price); c < least {
			best, least = candidate, c
		}
	}
	if c := cost(history, 0, price); c < least {
		best = 0
	}
	return best
}

// enoughGaps is the weight of gaps from which on they are trusted.
const enoughGaps = 3

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
