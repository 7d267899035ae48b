package plan

import (
	"math"
	"sort"
	"time"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/site"
)

// loadOrder returns the next order that brings a model onto the engine where
// that costs least: the load itself, or the unload that makes room for it.
func (pl *Planner) loadOrder(model cardamom.ModelID, reason string, now time.Time) (PlannedOrder, bool) {
	spec, ok := pl.spec.Models[model]
	if !ok {
		return PlannedOrder{}, false
	}
	var best *engine
	var evicted cardamom.ModelID
	least := math.Inf(1)
	for _, e := range pl.sorted() {
		if !e.live() || e.suspicion.suspected || e.loadedAfterOrder(model) {
			continue
		}
		busy := pl.busyTime(e, now)
		if pl.source(e, model) == fromStore && (busy > 0 || !pl.storeLoadAllowed(now) || reason == "demand" && spec.StoreLoadTime > demandDecay) {
			// Such a load takes longer than demand is remembered.
			continue
		}
		victim, evictCost, fits := pl.roomFor(e, spec, reason, now)
		if !fits && busy == 0 {
			continue
		}
		if cost := busy.Seconds() + pl.loadTime(e, model).Seconds() + evictCost + utilizationCost*pl.utilization(e, model, now); cost < least {
			best, evicted, least = e, victim, cost
		}
	}
	if best == nil {
		return PlannedOrder{}, false
	}
	if !best.acceptsOrder(now) || best.target != "" {
		// Waiting for this engine takes less time than a load elsewhere.
		best.reserved += pl.loadTime(best, model) + evictTime
		return PlannedOrder{}, false
	}
	return pl.nextOrder(best, model, evicted, reason, now), true
}

// busyTime returns how long it takes until an order for another model can be
// sent to the engine, 0 if it can now. It includes the time reserved so far by
// this run of Decide.
func (pl *Planner) busyTime(e *engine, now time.Time) time.Duration {
	if e.acceptsOrder(now) && e.target == "" {
		return 0
	}
	busy := e.reserved + max(e.pausedUntil.Sub(now), minBusyTime)
	if p := e.pending; p != nil {
		busy += max(p.expectedEnd.Sub(now), 0)
	}
	if e.target != "" && !e.loadedAfterOrder(e.target) {
		busy += pl.loadTime(e, e.target)
	}
	return busy
}

// roomFor returns the model to evict next so that another fits, if any, the cost
// of all evictions needed in seconds of waiting, and whether the other can fit
// at all.
func (pl *Planner) roomFor(e *engine, spec site.Model, reason string, now time.Time) (cardamom.ModelID, float64, bool) {
	free := pl.spec.MemoryMB - pl.loadedMB(e)
	if free >= spec.SizeMB {
		return "", 0, true
	}
	type option struct {
		model cardamom.ModelID
		cost  float64
		size  float64
	}
	var options []option
	for model := range e.Loaded {
		if cost, ok := pl.evictionCost(e, model, spec, reason, now); ok {
			options = append(options, option{model, cost, pl.spec.Models[model].SizeMB + float64(len(e.Loaded[model]))*pl.spec.Models[model].AdapterMB})
		}
	}
	sort.Slice(options, func(i, j int) bool {
		if options[i].cost != options[j].cost {
			return options[i].cost < options[j].cost
		}
		return options[i].model < options[j].model
	})
	total := 0.0
	for _, option := range options {
		free += option.size
		total += option.cost
		if free >= spec.SizeMB {
			return options[0].model, total, true
		}
	}
	return "", 0, false
}

// evictionCost returns what evicting a model costs in seconds of waiting, and
// whether it may be evicted for the other at all.
func (pl *Planner) evictionCost(e *engine, model cardamom.ModelID, other site.Model, reason string, now time.Time) (float64, bool) {
	d := pl.demandOf(model)
	if now.Sub(e.loadedAt[model]) < minLoadedTime && d.waiting > 0 {
		return 0, false
	}
	drain := pl.expectedDrain(model, d, now)
	if pl.replicas(model) > pl.wantedReplicas(model, now) {
		return 0.05 + drain, true
	}
	if d.waiting > 0 || pl.replicas(model) > 1 {
		return 0, false
	}
	rate := d.rate(now)
	if reason != "wanted" && rate >= 0.8*pl.demandOf(other.Name).rate(now) && reason != "absent" {
		return 0, false
	}
	if reason == "absent" && d.running > 0 {
		return 0, false
	}
	// An evicted model is loaded again from the disk of this engine, and its
	// requests wait for that and for the unload that makes room for it.
	reload := pl.spec.Models[model].DiskLoadTime.Seconds() + 0.3
	return 0.3 + 4*rate*reload + drain, true
}

// expectedDrain returns how long an unload is expected to wait, in seconds: for
// the requests that a replica has in flight, and for those that arrive soon.
func (pl *Planner) expectedDrain(model cardamom.ModelID, d *modelDemand, now time.Time) float64 {
	wait := drainSeconds * math.Min(float64(d.running)/float64(max(pl.replicas(model), 1)), 1)
	if now.Sub(d.lastArrival) < recentUseWindow {
		wait += recentUseCost
	}
	return wait
}

// loadedMB returns the memory that the models and adapters of an engine take,
// including a pending load.
func (pl *Planner) loadedMB(e *engine) float64 {
	total := 0.0
	for model, adapters := range e.Loaded {
		spec := pl.spec.Models[model]
		total += spec.SizeMB + float64(len(adapters))*spec.AdapterMB
	}
	if p := e.pending; p != nil && p.order.Kind == site.Load {
		if p.order.Adapter != "" {
			total += pl.spec.Models[p.order.Model].AdapterMB
		} else if _, ok := e.Loaded[p.order.Model]; !ok {
			total += pl.spec.Models[p.order.Model].SizeMB
		}
	}
	return total
}

// adapterOrder returns the next order that brings an adapter to an engine that
// has loaded its model.
func (pl *Planner) adapterOrder(key modelKey, now time.Time) (PlannedOrder, bool) {
	spec := pl.spec.Models[key.model]
	var best *engine
	var unload site.Order
	least := math.Inf(1)
	for _, e := range pl.sorted() {
		if _, ok := e.usableView().Loaded[key.model]; !ok || !e.live() {
			continue
		}
		if e.HasLoaded(key.model, key.adapter) {
			return PlannedOrder{}, false
		}
		if !e.acceptsOrder(now) {
			continue
		}
		count, oldest, oldestAt := 0, site.Order{}, now
		for model, adapters := range e.Loaded {
			for _, name := range adapters {
				count++
				at := e.adapterUsed[string(model)+"/"+name]
				if at.Before(oldestAt) || oldest.Adapter == "" {
					oldest, oldestAt = site.Order{Kind: site.Unload, Model: model, Adapter: name, ExpectedOrders: e.orders}, at
				}
			}
		}
		full := count >= pl.spec.AdapterSlots || pl.loadedMB(e)+spec.AdapterMB > pl.spec.MemoryMB
		cost := float64(count)
		if full {
			if oldest.Adapter == "" {
				continue
			}
			cost = 100 - now.Sub(oldestAt).Seconds()
		}
		if cost < least {
			best, least = e, cost
			unload = site.Order{}
			if full {
				unload = oldest
			}
		}
	}
	if best == nil {
		return PlannedOrder{}, false
	}
	order := site.Order{Kind: site.Load, Model: key.model, Adapter: key.adapter, ExpectedOrders: best.orders}
	if unload.Adapter != "" {
		order = unload
	}
	return PlannedOrder{Upstream: best.Upstream.Upstream, Order: order, Reason: "adapter"}, true
}
