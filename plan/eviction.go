package plan

import (
	"math"
	"sort"
	"time"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/site"
)

// loadOrder returns the next order for a load of a model on the engine where the load
// costs least, in seconds of waiting: the load itself, or the unload of another model
// that makes room for it.
//
// reason is "wanted" if requests wait for the model, "demand" for a further replica of
// a model in demand, "absent" for a model that no engine has in memory or on disk, and
// "spare" for a model in demand that too few engines have there.
//
// Only engines with the software version are considered, all if it is empty.
//
// loadOrder returns false if no order is to be sent now: the model is unknown, no
// engine can load it, or the engine where that costs least is busy. In the last case
// it adds the time of the load to the reserved time of that engine.
func (pl *Planner) loadOrder(model cardamom.ModelID, version, reason string, now time.Time) (PlannedOrder, bool) {
	spec, ok := pl.spec.Models[model]
	if !ok {
		return PlannedOrder{}, false
	}
	var best *engine
	var bestEvicted cardamom.ModelID
	lowestCost := math.Inf(1)
	for _, e := range pl.sorted() {
		if !e.hasVersion(version) || !e.live() || e.suspicion.suspected || e.loadedAfterOrder(model) {
			continue
		}
		busy := pl.busyTime(e, now)
		if pl.source(e, model) == fromStore && (busy > 0 || !pl.storeLoadAllowed(now) || reason == "demand" && spec.StoreLoadTime > demandDecay) {
			// A load from the store is left to engines that are free, and to times when
			// the store allows another one. It is of no use for a further replica if it
			// takes longer than demand is remembered.
			continue
		}
		wait := max(busy+pl.loadTime(e, model), pl.quiet(e, now))
		if wait.Seconds() >= lowestCost {
			continue
		}
		evicted, evictCost, fits := pl.roomFor(e, spec, reason, now)
		// A busy engine without room stays a candidate: its loaded models change, and
		// it may have room when it is free.
		if !fits && busy == 0 {
			continue
		}
		cost := wait.Seconds() + evictCost + utilizationCost*pl.utilization(e, model, now)
		if _, limited := pl.rateLimits[e.ID]; limited {
			cost += limitedCost
		}
		if cost < lowestCost {
			best, bestEvicted, lowestCost = e, evicted, cost
		}
	}
	if best == nil {
		return PlannedOrder{}, false
	}
	if !best.acceptsOrder(now) || best.target != "" {
		// Waiting for this engine costs less than a load elsewhere.
		best.reserved += pl.loadTime(best, model) + evictTime
		return PlannedOrder{}, false
	}
	if reason == "wanted" && bestEvicted != "" && pl.demandOf(bestEvicted).running > 0 && now.Sub(pl.wantedSince[model]) < drainTime {
		// An unload would occupy the engine until the requests in flight have ended, while
		// another model may become idle sooner, here or elsewhere.
		return PlannedOrder{}, false
	}
	return pl.nextOrder(best, model, bestEvicted, reason, now), true
}

// busyTime returns the expected time until an order for another model can be sent to
// the engine, 0 if that is possible now. It includes the time that this run of Decide
// has already reserved for loads on the engine.
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

// roomFor finds out how an engine gets enough free memory for the model that spec
// describes. It returns the model to evict next, empty if the memory is free already;
// the total cost of the needed evictions, in seconds of waiting; and false if the
// memory can't be freed.
func (pl *Planner) roomFor(e *engine, spec site.Model, reason string, now time.Time) (cardamom.ModelID, float64, bool) {
	free := pl.spec.MemoryMB - pl.loadedMB(e)
	if free >= spec.SizeMB {
		return "", 0, true
	}
	type candidate struct {
		model cardamom.ModelID
		cost  float64
		size  float64
	}
	var candidates []candidate
	for model := range e.Loaded {
		if cost, ok := pl.evictionCost(e, model, spec, reason, now); ok {
			candidates = append(candidates, candidate{model, cost, pl.spec.Models[model].SizeMB + float64(len(e.Loaded[model]))*pl.spec.Models[model].AdapterMB})
		}
	}
	sort.Slice(candidates, func(i, j int) bool {
		if candidates[i].cost != candidates[j].cost {
			return candidates[i].cost < candidates[j].cost
		}
		return candidates[i].model < candidates[j].model
	})
	total := 0.0
	for _, c := range candidates {
		free += c.size
		total += c.cost
		if free >= spec.SizeMB {
			return candidates[0].model, total, true
		}
	}
	return "", 0, false
}

// evictionCost returns the cost of evicting a model for another, in seconds of waiting,
// and whether it may be evicted. A model that was just loaded for waiting requests may
// not. Beyond the wanted number of replicas a model may be evicted at little cost. The
// only replica may be evicted if no requests wait for the model and, depending on the
// reason of the load,
//   - "wanted": always
//   - "absent": if no request for it is in flight
//   - otherwise: if it is requested clearly less often than the other model
func (pl *Planner) evictionCost(e *engine, model cardamom.ModelID, other site.Model, reason string, now time.Time) (float64, bool) {
	d := pl.demandOf(model)
	if now.Sub(e.loadedAt[model]) < minLoadedTime && d.waiting > 0 {
		return 0, false
	}
	drain := pl.drainCost(model, d, now)
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

// drainCost returns the cost in seconds of the wait before an unload: the expected
// time until the requests in flight on a replica have ended, and a penalty for a model
// that was requested recently, since more requests may follow.
func (pl *Planner) drainCost(model cardamom.ModelID, d *modelDemand, now time.Time) float64 {
	cost := drainTime.Seconds() * math.Min(float64(d.running)/float64(max(pl.replicas(model), 1)), 1)
	if now.Sub(d.lastArrival) < recentUseWindow {
		cost += recentUseCost
	}
	return cost
}

// loadedMB returns the memory in MB that the models and adapters of an engine take,
// including those of a pending load.
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

// adapterOrder returns the next order that makes an engine with the model load an
// adapter of the model: the load itself, or the unload of the least recently used
// adapter of an engine that is full. It returns false if an engine has the adapter
// already or no engine can get an order.
func (pl *Planner) adapterOrder(key modelKey, now time.Time) (PlannedOrder, bool) {
	spec := pl.spec.Models[key.model]
	var best *engine
	var unload site.Order
	lowestCost := math.Inf(1)
	for _, e := range pl.sorted() {
		if _, ok := e.usableView().Loaded[key.model]; !ok || !e.live() || !e.hasVersion(key.version) {
			continue
		}
		if e.HasLoaded(key.model, key.adapter) {
			return PlannedOrder{}, false
		}
		if !e.acceptsOrder(now) {
			continue
		}
		count, leastRecent, leastRecentUse := 0, site.Order{}, now
		for model, adapters := range e.Loaded {
			for _, name := range adapters {
				count++
				at := e.adapterUsed[string(model)+"/"+name]
				if at.Before(leastRecentUse) || leastRecent.Adapter == "" {
					leastRecent, leastRecentUse = site.Order{Kind: site.Unload, Model: model, Adapter: name, ExpectedOrders: e.acceptedOrders}, at
				}
			}
		}
		full := count >= pl.spec.AdapterSlots || pl.loadedMB(e)+spec.AdapterMB > pl.spec.MemoryMB
		// An engine with room costs its number of adapters. A full one costs 100 less
		// the seconds since its least recently used adapter was used.
		cost := float64(count)
		if full {
			if leastRecent.Adapter == "" {
				continue
			}
			cost = 100 - now.Sub(leastRecentUse).Seconds()
		}
		if cost < lowestCost {
			best, lowestCost = e, cost
			unload = site.Order{}
			if full {
				unload = leastRecent
			}
		}
	}
	if best == nil {
		return PlannedOrder{}, false
	}
	order := site.Order{Kind: site.Load, Model: key.model, Adapter: key.adapter, ExpectedOrders: best.acceptedOrders}
	if unload.Adapter != "" {
		order = unload
	}
	return PlannedOrder{Upstream: best.Upstream.Upstream, Order: order, Reason: "adapter"}, true
}
