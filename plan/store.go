package plan

import (
	"math"
	"time"
)

const (
	// storeRateWindow is the time over which loads from the store are counted for
	// the store's rate limit.
	storeRateWindow = 5500 * time.Millisecond
	// storeRatePercent is the percentage of the store's rate limit that is used.
	storeRatePercent = 90
	// initialConcurrency is how many loads from the store run concurrently until
	// their durations show how many can run at full speed. One would waste the store
	// for as long as the first load takes; too many only share its speed.
	initialConcurrency = 3
	// maxConcurrency is the maximum number of concurrent loads from the store.
	maxConcurrency = 8
	// inheritedLoads is how many loads an earlier coordinator may have started within
	// storeRateWindow: two for each of maxConcurrency, as a load takes longer.
	inheritedLoads = 2 * maxConcurrency
	// slowdownThreshold is the slowdown, the measured duration of a load divided by
	// the duration in the catalog, from which a load counts as slowed down by other
	// loads: a slow engine alone makes 1.3.
	slowdownThreshold = 1.6
	// typicalSlowdown is the mean slowdown over engines without other loads,
	// including the delay of reports.
	typicalSlowdown = 1.15
)

// storeState is what is known about the store that engines load models from.
type storeState struct {
	// loadStarts has the start times of recent loads.
	loadStarts []time.Time
	// inheritedUntil is the time until which loads of an earlier coordinator count.
	inheritedUntil time.Time
	// concurrency is how many loads may run concurrently.
	concurrency int
	// limitFound means that loads were slowed down when more ran concurrently.
	limitFound bool
}

// StoreConcurrency is how many loads from the store can run concurrently at full
// speed, as far as that is known.
type StoreConcurrency struct {
	Loads int
	// LimitReached means that loads were slowed down when more ran concurrently.
	LimitReached bool
}

// StoreConcurrency returns how many loads from the store can run concurrently at full
// speed, as the durations of loads have shown.
func (pl *Planner) StoreConcurrency() StoreConcurrency {
	return StoreConcurrency{pl.store.concurrency, pl.store.limitFound}
}

// SetStoreConcurrency sets the store concurrency that an earlier coordinator found.
func (pl *Planner) SetStoreConcurrency(known StoreConcurrency) {
	pl.store.concurrency, pl.store.limitFound = known.Loads, known.LimitReached
}

// storeLoads returns how many loads from the store run or are about to start.
func (pl *Planner) storeLoads() int {
	count := 0
	for _, e := range pl.sorted() {
		// An order of another coordinator may be such a load.
		if e.foreignOrder && e.live() || e.pending != nil && e.pending.storeLoad || e.target != "" && pl.source(e, e.target) == fromStore {
			count++
		}
	}
	return count
}

// storeLoadAllowed reports whether another load from the store may start now, by
// concurrency and rate.
func (pl *Planner) storeLoadAllowed(now time.Time) bool {
	return pl.storeLoads() < pl.store.concurrency && pl.withinStoreRate(now)
}

// withinStoreRate reports whether the rate limit of the store allows another
// load now.
func (pl *Planner) withinStoreRate(now time.Time) bool {
	recent := pl.store.loadStarts[:0]
	for _, at := range pl.store.loadStarts {
		if now.Sub(at) < storeRateWindow {
			recent = append(recent, at)
		}
	}
	pl.store.loadStarts = recent
	allowed := pl.spec.StoreLoadsPerSecond * storeRateWindow.Seconds() * storeRatePercent / 100
	if now.Before(pl.store.inheritedUntil) {
		return float64(len(recent)+inheritedLoads) < allowed
	}
	return float64(len(recent)) < max(allowed, 1)
}

// undoLoadStart removes a load that did not start from the loads counted for the rate
// limit.
func (pl *Planner) undoLoadStart(p *pending, now time.Time) {
	pl.addOverlap(now)
	if p.storeLoad && len(pl.store.loadStarts) > 0 {
		pl.store.loadStarts = pl.store.loadStarts[:len(pl.store.loadStarts)-1]
	}
}

// addOverlap adds the concurrent loads since the last call to the overlap of
// each load from the store. It must be called before one starts or ends.
func (pl *Planner) addOverlap(now time.Time) {
	running := 0
	for _, e := range pl.engines {
		if e.pending != nil && e.pending.storeLoad {
			running++
		}
	}
	for _, e := range pl.engines {
		if p := e.pending; p != nil && p.storeLoad {
			p.overlap += float64(running) * now.Sub(p.overlapUntil).Seconds()
			p.overlapUntil = now
		}
	}
}

// adjustConcurrency adapts the number of concurrent loads from the store after a load
// has ended. Up to some number of concurrent loads each takes the duration in the
// catalog; beyond it, each takes longer in proportion to the number.
func (pl *Planner) adjustConcurrency(p *pending, now time.Time) {
	pl.addOverlap(now)
	model, ok := pl.spec.Models[p.order.Model]
	took := now.Sub(p.firstSent).Seconds()
	if !ok || model.StoreLoadTime == 0 || took <= 0 {
		return
	}
	overlap, slowdown := p.overlap/took, took/model.StoreLoadTime.Seconds()
	switch {
	case slowdown >= slowdownThreshold && overlap > 1:
		pl.store.concurrency, pl.store.limitFound = max(int(math.Round(overlap*typicalSlowdown/slowdown)), 1), true
	case !pl.store.limitFound && int(math.Round(overlap)) >= pl.store.concurrency:
		pl.store.concurrency = min(pl.store.concurrency+1, maxConcurrency)
	}
}
