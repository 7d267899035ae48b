package plan

import (
	"math"
	"time"
)

const (
	// storeWindow is the time over which loads from the store are counted.
	storeWindow = 5500 * time.Millisecond
	// ceilingShare is the part of the store's rate that is used, in percent.
	ceilingShare = 90
	// firstAtOnce is how many loads from the store run beside each other until
	// their times show how many have their full speed, mostAtOnce the bound.
	firstAtOnce = 1
	mostAtOnce  = 8
	// inherited is how many loads another coordinator may have begun within the
	// window: each place of mostAtOnce twice, as a load takes longer.
	inherited = 2 * mostAtOnce
	// slowed is how many times its own time a load takes at least that others
	// slow down: a slow engine alone makes 1.3. usual is the mean over engines
	// and the lag of reports.
	slowed = 1.6
	usual  = 1.15
)

// weights is what is known of the store that engines load models from.
type weights struct {
	// loads are the beginnings of the last loads.
	loads []time.Time
	// since is when the loads of another coordinator no longer count.
	since time.Time
	// atOnce is how many loads run beside each other, found tells that more
	// were slowed down.
	atOnce int
	found  bool
}

// AtOnce is how many loads from the store run beside each other.
type AtOnce struct {
	Loads int
	// Bound means that more were slowed down.
	Bound bool
}

// AtOnce returns what was found out about loads beside each other.
func (w *World) AtOnce() AtOnce { return AtOnce{w.weights.atOnce, w.weights.found} }

// Told takes what an earlier coordinator found out.
func (w *World) Told(known AtOnce) { w.weights.atOnce, w.weights.found = known.Loads, known.Bound }

// storeLoads returns how many loads from the store are in progress.
func (w *World) storeLoads() int {
	count := 0
	for _, e := range w.engines {
		// What another coordinator ordered may be such a load.
		if e.foreign && e.live() || e.pending != nil && e.pending.stored || e.purpose != "" && w.source(e, e.purpose) == fromStore {
			count++
		}
	}
	return count
}

// mayStore tells whether another load from the store fits its rate.
func (w *World) mayStore(now time.Time) bool {
	return w.storeLoads() < w.weights.atOnce && w.withinRate(now)
}

// withinRate tells whether a load from the store may begin now.
func (w *World) withinRate(now time.Time) bool {
	recent := w.weights.loads[:0]
	for _, at := range w.weights.loads {
		if now.Sub(at) < storeWindow {
			recent = append(recent, at)
		}
	}
	w.weights.loads = recent
	allowed := w.spec.StoreLoads * storeWindow.Seconds() * ceilingShare / 100
	if now.Before(w.weights.since) {
		return float64(len(recent)+inherited) < allowed
	}
	return float64(len(recent)) < max(allowed, 1)
}

// forgetLoad takes that a load did not begin.
func (w *World) forgetLoad(p *pending, now time.Time) {
	w.countBeside(now)
	if p.stored && len(w.weights.loads) > 0 {
		w.weights.loads = w.weights.loads[:len(w.weights.loads)-1]
	}
}

// countBeside adds up, for each load from the store, how many run with it. It
// is called before one begins or ends.
func (w *World) countBeside(now time.Time) {
	running := 0
	for _, e := range w.engines {
		if e.pending != nil && e.pending.stored {
			running++
		}
	}
	for _, e := range w.engines {
		if p := e.pending; p != nil && p.stored {
			p.beside += float64(running) * now.Sub(p.counted).Seconds()
			p.counted = now
		}
	}
}

// learn adapts how many loads run beside each other to the time one took. Each
// takes its own time while they are few, and longer in proportion beyond.
func (w *World) learn(p *pending, now time.Time) {
	w.countBeside(now)
	model, ok := w.spec.Models[p.order.Model]
	took := now.Sub(p.began).Seconds()
	if !ok || model.FromStore == 0 || took <= 0 {
		return
	}
	ran, times := p.beside/took, took/model.FromStore.Seconds()
	switch {
	case times >= slowed && ran > 1:
		w.weights.atOnce, w.weights.found = max(int(math.Round(ran*usual/times)), 1), true
	case !w.weights.found && int(math.Round(ran)) >= w.weights.atOnce:
		w.weights.atOnce = min(w.weights.atOnce+1, mostAtOnce)
	}
}
