package plan

import (
	"cmp"
	"slices"
	"sort"
	"time"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/site"
)

const (
	// minObservation is how long demand is observed before it decides the number
	// of replicas.
	minObservation = 2 * time.Second
	// initialReplicas is how many replicas a model keeps at most until then.
	initialReplicas = 3
	// utilizationCost is the cost, in seconds of waiting, of a load on an engine with
	// a utilization of 1.
	utilizationCost = 1.5
	// scarceSwapShare is the fraction of engines busy with swaps (an unload and a
	// load) from which memory counts as scarce.
	scarceSwapShare = 0.08
	// swapSeconds is how long one swap takes.
	swapSeconds = 1.8
	// minLoadedTime is how long a newly loaded model is not evicted while requests
	// wait for it.
	minLoadedTime = 1200 * time.Millisecond
	// drainTime is how long the unload of a replica with requests in flight takes, since
	// the engine waits for them.
	drainTime = 1500 * time.Millisecond
	// recentUseWindow is how long after its last request a model counts as recently
	// used.
	recentUseWindow = 1500 * time.Millisecond
	// recentUseCost is the additional cost, in seconds of waiting, of evicting a
	// recently used model.
	recentUseCost = 0.5
	// targetTimeout is how long an engine keeps the target model for which it
	// evicts another: the unload waits for the requests of the evicted model.
	targetTimeout = 8 * time.Second
	// needWindow is the time whose expected arrivals count like waiting requests.
	needWindow = 2 * time.Second
	// minLocalEngines is how many engines should have a model in demand in memory
	// or on disk.
	minLocalEngines = 2
	// minSpareRate is the arrivals per second from which a model counts as in demand.
	minSpareRate = 0.2
	// engineLossRisk is the probability that the only engine that has a model is lost
	// soon.
	engineLossRisk = 0.1
	// minBusyTime is the least time until a busy engine is free, since only a
	// report shows that an order is done.
	minBusyTime = 100 * time.Millisecond
	// evictTime is how long the unload before a load takes.
	evictTime = 400 * time.Millisecond
)

// loadSource is where an engine loads a model from.
type loadSource uint8

const (
	fromMemory loadSource = iota
	fromDisk
	fromStore
)

// sourceNames has the names of the sources in logs.
var sourceNames = map[loadSource]string{fromMemory: "memory", fromDisk: "disk", fromStore: "store"}

func (pl *Planner) source(e *engine, model cardamom.ModelID) loadSource {
	switch {
	case e.InMemory[model]:
		return fromMemory
	case e.OnDisk[model]:
		return fromDisk
	default:
		return fromStore
	}
}

// loadTime returns how long a load of the model on the engine takes. Loads from the
// store slow each other down beyond the known concurrency.
func (pl *Planner) loadTime(e *engine, model cardamom.ModelID) time.Duration {
	spec := pl.spec.Models[model]
	switch pl.source(e, model) {
	case fromMemory:
		return spec.MemoryLoadTime
	case fromDisk:
		return spec.DiskLoadTime
	default:
		running := float64(pl.storeLoads())
		return time.Duration(float64(spec.StoreLoadTime) * max(1, (running+1)/float64(pl.store.concurrency)))
	}
}

// loadedAfterOrder reports whether the engine will have the model loaded once its
// pending order, if any, is done.
func (e *engine) loadedAfterOrder(model cardamom.ModelID) bool {
	if p := e.pending; p != nil && p.order.Model == model && p.order.Adapter == "" {
		return p.order.Kind == site.Load
	}
	_, ok := e.Loaded[model]
	return ok
}

// Decide returns the orders to send now: first for models and adapters that requests
// wait for, then for further replicas of models in demand, then for models to load
// from the store because no engine, or too few, have them in memory or on disk. It
// records the orders as sent.
func (pl *Planner) Decide(now time.Time) []PlannedOrder {
	var orders []PlannedOrder
	issue := func(o PlannedOrder, ok bool) {
		if ok {
			pl.Sent(o, now)
			orders = append(orders, o)
		}
	}
	for _, e := range pl.sorted() {
		e.reserved = 0
		pl.presumeLoaded(e, now)
		issue(pl.loadAfterUnload(e, now))
	}
	waits := pl.activeWaits(now)
	pl.recordWanted(waits, now)
	for _, key := range waits {
		if key.adapter != "" {
			issue(pl.adapterOrder(key, now))
		}
		isMissing := pl.replicas(key.model) == pl.awayReplicas(key.model, now)
		if key.version != "" {
			isMissing = pl.replicasAt(key.version, key.model) == 0
		}
		if isMissing {
			order, ok := pl.loadOrder(key.model, key.version, "wanted", now)
			if ok {
				pl.swaps.arrivals, pl.swaps.updated = pl.swaps.decayedArrivals(now)+1, now
			}
			issue(order, ok)
		}
	}
	models := pl.modelsByDemand()
	for _, model := range models {
		if d, ok := pl.demands[model]; ok && pl.replicas(model) < pl.wantedReplicas(model, now) && d.lastArrival.After(now.Add(-demandDecay)) && pl.replicas(model) > 0 {
			issue(pl.loadOrder(model, "", "demand", now))
		}
	}
	for _, load := range pl.preloads(models, now) {
		issue(pl.loadOrder(load.model, "", load.reason, now))
	}
	return orders
}

// preload is a model to load from the store before it is requested.
type preload struct {
	model  cardamom.ModelID
	reason string
	// value ranks the preloads by the expected requests per second that need them.
	value float64
}

// preloads returns, the most valuable first, those of the models that no engine has in memory
// or on disk, and the models in demand that fewer than minLocalEngines have there. A
// load from the store takes longer than requests wait, and engines leave and fail.
func (pl *Planner) preloads(models []cardamom.ModelID, now time.Time) []preload {
	var list []preload
	for _, model := range models {
		rate := pl.demandOf(model).rate(now)
		switch {
		case pl.replicas(model) == 0 && pl.localCount(model) == 0:
			list = append(list, preload{model, "absent", rate})
		case pl.replicas(model) > 0 && pl.localCount(model) < minLocalEngines && rate >= minSpareRate && pl.observedTime(now) >= minObservation && pl.storeLoads() == 0:
			list = append(list, preload{model, "spare", rate * engineLossRisk})
		}
	}
	sort.SliceStable(list, func(i, j int) bool { return list[i].value > list[j].value })
	return list
}

// loadAfterUnload returns the next order for the target model of an engine: its
// load, or another unload if there is still too little room.
func (pl *Planner) loadAfterUnload(e *engine, now time.Time) (PlannedOrder, bool) {
	if e.target == "" {
		return PlannedOrder{}, false
	}
	spec, ok := pl.spec.Models[e.target]
	if !ok || !e.live() || now.After(e.targetUntil) || e.loadedAfterOrder(e.target) {
		e.target = ""
		pl.replicaCounts = nil
		return PlannedOrder{}, false
	}
	if e.pending != nil {
		return pl.loadBeforeReport(e, spec, now)
	}
	if !e.acceptsOrder(now) || (pl.source(e, e.target) == fromStore && !pl.withinStoreRate(now)) {
		return PlannedOrder{}, false
	}
	evicted, _, fits := pl.roomFor(e, spec, "wanted", now)
	if !fits {
		e.target = ""
		pl.replicaCounts = nil
		return PlannedOrder{}, false
	}
	return pl.nextOrder(e, e.target, evicted, "room", now), true
}

// nextOrder returns the next order for a load of a model on an engine: the load
// itself if evicted is empty, else the unload of evicted, with model as the target to
// load afterwards.
func (pl *Planner) nextOrder(e *engine, model, evicted cardamom.ModelID, reason string, now time.Time) PlannedOrder {
	order := site.Order{Kind: site.Load, Model: model, ExpectedOrders: e.acceptedOrders}
	e.target = ""
	if evicted != "" {
		order = site.Order{Kind: site.Unload, Model: evicted, ExpectedOrders: e.acceptedOrders}
		e.target, e.targetUntil = model, now.Add(targetTimeout)
	}
	planned := PlannedOrder{Upstream: e.Upstream.Upstream, Order: order, Reason: reason, Target: model, Source: sourceNames[pl.source(e, model)]}
	for _, other := range pl.engines {
		if other.live() && pl.source(other, model) != fromStore {
			planned.LocalEngines++
		}
	}
	return planned
}

// activeWaits returns the models and adapters that requests wait for, the most needed
// first, and deletes expired waits. Requests that are refused because a load takes too
// long do not wait, so expected arrivals count too.
func (pl *Planner) activeWaits(now time.Time) []modelKey {
	type activeWait struct {
		key  modelKey
		need float64
	}
	var list []activeWait
	for key, until := range pl.waits {
		if now.After(until) {
			delete(pl.waits, key)
			continue
		}
		d := pl.demandOf(key.model)
		list = append(list, activeWait{key, max(float64(d.waiting), d.rate(now)*needWindow.Seconds())})
	}
	slices.SortFunc(list, func(a, b activeWait) int {
		return cmp.Or(cmp.Compare(b.need, a.need), cmp.Compare(a.key.model, b.key.model), cmp.Compare(a.key.adapter, b.key.adapter), cmp.Compare(a.key.version, b.key.version))
	})
	keys := make([]modelKey, 0, len(list))
	for _, wait := range list {
		keys = append(keys, wait.key)
	}
	return keys
}

// modelsByDemand returns the IDs of all models, the most requested first.
func (pl *Planner) modelsByDemand() []cardamom.ModelID {
	type demanded struct {
		model    cardamom.ModelID
		arrivals float64
	}
	list := make([]demanded, 0, len(pl.spec.Models))
	for model := range pl.spec.Models {
		arrivals := 0.0
		if d, ok := pl.demands[model]; ok {
			arrivals = d.arrivals
		}
		list = append(list, demanded{model, arrivals})
	}
	slices.SortFunc(list, func(a, b demanded) int {
		return cmp.Or(cmp.Compare(b.arrivals, a.arrivals), cmp.Compare(a.model, b.model))
	})
	models := make([]cardamom.ModelID, 0, len(list))
	for _, d := range list {
		models = append(models, d.model)
	}
	return models
}

// acceptsOrder reports whether an order may be sent to the engine now.
func (e *engine) acceptsOrder(now time.Time) bool {
	return e.live() && !e.suspicion.suspected && e.pending == nil && !e.needsReport && !now.Before(e.pausedUntil)
}
