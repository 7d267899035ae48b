// Package plan decides which engine loads and unloads which model and adapter.
// It keeps state but does no I/O: its caller sends the orders.
//
// An engine is a model server. An order is a command to an engine to load or unload a
// model or adapter. A model that an engine has loaded is a replica of the model. An
// engine loads a model from its own memory or disk, if it has the model there, or from
// the store that all engines share. A profile sets how many replicas the models of a
// service get. The coordinator is the instance that holds the lease and uses this
// package.
//
// It is designed for many models of which few are busy at a time, more models
// than fit in memory, loads from the store slower than the target latency of a
// request, and loads from an engine's own disk within it.
//
// # Usage
//
//	planner := plan.New(spec, plan.DefaultProfile, true, now)
//	planner.Update(upstream, now)
//	planner.Report(upstream.ID, report, now)
//	planner.Arrived("muse-01", 1, 1460, now)
//	for _, order := range planner.Decide(now) {
//	    // send order.Order to order.Upstream, then
//	    planner.Answered(order, site.OrderAccepted, now)
//	}
package plan

import (
	"cmp"
	"slices"
	"time"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/site"
)

const (
	// demandDecay is the time constant with which the demand for a model decays.
	demandDecay = 8 * time.Second
	// tokenDecay is the time constant with which the count of prompt tokens decays. It
	// is shorter than demandDecay, so that after a rise another replica is loaded
	// before the engine that has the model is overloaded.
	tokenDecay = 3 * time.Second
	// priorArrivals is added to the arrivals and priorTime to the time over which
	// they are counted, so that models without any demand have a small rate.
	priorArrivals = 0.5
	priorTime     = 10 * time.Second
	// resendAfter is how long after it was sent an unanswered order is sent again. An
	// engine answers within milliseconds, and carries out only one of the two, as both
	// expect the same number of orders before them.
	resendAfter = 200 * time.Millisecond
	// orderLostAfter is how long after its expected end an order counts as lost.
	orderLostAfter = 6 * time.Second
	// adapterLoadTime is the usual time to load an adapter.
	adapterLoadTime = 25 * time.Millisecond
	// registrationLag is how long after an order a registration may still show the
	// engine as it was before the order: a heartbeat interval and the delay of the
	// list of registrations.
	registrationLag = 3 * time.Second
	// foreignReportInterval is the time between two report requests to an engine
	// that carries out an order of another coordinator.
	foreignReportInterval = 300 * time.Millisecond
	// refusalPause is how long no other order is sent to an engine that refused
	// one.
	refusalPause = 500 * time.Millisecond
)

// pending is an order that an engine carries out or may carry out.
type pending struct {
	order           site.Order
	firstSent       time.Time
	lastSent        time.Time
	expectedEnd     time.Time
	reportRequested time.Time
	unanswered      bool
	// contested means that the engine, by its count of orders, accepted either this order
	// or one of an earlier coordinator in its place.
	contested bool
	// resent means that the order was sent more than once, so that the refusal of one
	// of them doesn't show that the engine carried out none.
	resent    bool
	storeLoad bool
	// overlap is the number of loads from the store that ran at each moment of this
	// load, itself included, integrated over time in seconds up to overlapUntil.
	overlap      float64
	overlapUntil time.Time
	// accepted is when the engine accepted the order.
	accepted time.Time
	// precedingUnload is the unload that has to be done before the engine can
	// accept this load.
	precedingUnload *pending
	// unloadedAdapters are the adapters that this unload removes with their model.
	unloadedAdapters []string
	// lastRefusal is when the load after this unload was last refused, because the
	// unload was not done.
	lastRefusal time.Time
	// refusedLoads is how often that load was refused.
	refusedLoads int
	// presumed means that this load is presumed done, since it is past its expected
	// end, and that no report has shown it yet.
	presumed bool
}

// unloads reports whether the order or its preceding unload unloads the model.
func (p *pending) unloads(model cardamom.ModelID) bool {
	return p.order.Kind == site.Unload && p.order.Adapter == "" && p.order.Model == model || p.precedingUnload != nil && p.precedingUnload.unloads(model)
}

// engine is what is known about an engine.
type engine struct {
	site.Upstream
	// acceptedOrders is how many orders the engine has accepted, by its reports and
	// by its answers to orders.
	acceptedOrders int64
	lastOrder      time.Time
	pending        *pending
	// target is the model that the engine is to load once the eviction of another
	// model has made room. It is given up after targetUntil.
	target      cardamom.ModelID
	targetUntil time.Time
	// adapterReady has the times from which just loaded adapters can be used. Its
	// keys are MODEL/ADAPTER.
	adapterReady map[string]time.Time
	// adapterUsed has the times at which adapters were last used, by the same keys.
	adapterUsed map[string]time.Time
	loadedAt    map[cardamom.ModelID]time.Time
	// pausedUntil is the time until which no order is sent to the engine, and no
	// report requested because of needsReport.
	pausedUntil time.Time
	// needsReport means that a report has to show the state of the engine before it
	// gets another order.
	needsReport bool
	// foreignOrder means that the engine carries out an order of another
	// coordinator.
	foreignOrder bool
	suspicion    suspicion
	// reserved is the total time of the loads that the current run of Decide has
	// postponed until the engine is free.
	reserved time.Duration
	version  uint64
}

// live reports whether orders and requests may be sent to the engine.
func (e *engine) live() bool { return e.State == cardamom.Live && !e.suspicion.down }

// Planner has the engines of one service and the demand for their models, and
// decides from them what the engines load and unload.
type Planner struct {
	spec    *site.EngineSpec
	profile Profile
	engines map[cardamom.UpstreamID]*engine
	// byID are the engines sorted by ID, nil if they are to be sorted again.
	byID    []*engine
	demands map[cardamom.ModelID]*modelDemand
	waits   map[modelKey]time.Time
	store   storeState
	// rateLimits are the rate limits of engines in requests a second.
	rateLimits map[cardamom.UpstreamID]float64
	// wantedSince is since when requests wait for each model that no engine has.
	wantedSince map[cardamom.ModelID]time.Time
	// quietUntil is until when engines want no requests.
	quietUntil map[cardamom.UpstreamID]time.Time
	// swaps counts the loads that requests waited for.
	swaps modelDemand
	// ended has the ended orders that TakeEnded has not returned yet.
	ended   []EndedOrder
	windows windows
	// demandSince is when the first demand was counted.
	demandSince time.Time
	version     uint64
	// replicaCounts and localCounts were counted at the version countedVersion.
	countedVersion uint64
	replicaCounts  map[cardamom.ModelID]int
	localCounts    map[cardamom.ModelID]int
}

// New returns a planner without engines. fresh means that there was no coordinator
// before. Otherwise loads from the store that the earlier coordinator may have started
// count towards the store's rate limit for a while.
func New(spec *site.EngineSpec, profile Profile, fresh bool, now time.Time) *Planner {
	pl := &Planner{
		spec: spec, profile: profile, engines: make(map[cardamom.UpstreamID]*engine), demands: make(map[cardamom.ModelID]*modelDemand),
		waits: make(map[modelKey]time.Time), store: storeState{concurrency: initialConcurrency},
	}
	if !fresh {
		pl.store.inheritedUntil = now.Add(storeRateWindow)
	}
	return pl
}

// SetProfile replaces the profile.
func (pl *Planner) SetProfile(profile Profile) { pl.profile = profile }

// SetSpec replaces the description of the engines.
func (pl *Planner) SetSpec(spec *site.EngineSpec) { pl.spec = spec }

// Update records the registration of an engine, unless a newer one is known.
// Only a report replaces the loaded models of a known engine.
func (pl *Planner) Update(upstream *site.Upstream, now time.Time) {
	known, ok := pl.engines[upstream.ID]
	if !ok || known.StartedMs != upstream.StartedMs && upstream.StartedMs > known.StartedMs {
		fresh := &engine{
			Upstream: *upstream, adapterReady: make(map[string]time.Time), adapterUsed: make(map[string]time.Time),
			loadedAt: make(map[cardamom.ModelID]time.Time), needsReport: true,
		}
		pl.engines[upstream.ID] = fresh
		pl.byID = nil
		pl.markChanged(fresh)
		return
	}
	if upstream.StartedMs < known.StartedMs {
		return
	}
	if known.State == cardamom.Leaving && upstream.State == cardamom.Live {
		// This registration is older; an engine that leaves does not come back in
		// the same run.
		return
	}
	if known.State != upstream.State || known.Address != upstream.Address || known.Version != upstream.Version {
		known.State, known.Address, known.Version, known.Remaining = upstream.State, upstream.Address, upstream.Version, upstream.Remaining
		pl.markChanged(known)
	}
	if upstream.RegistrationSeq <= known.RegistrationSeq {
		return
	}
	known.RegistrationSeq = upstream.RegistrationSeq
	if known.pending == nil && now.Sub(known.lastOrder) >= registrationLag && !sameLoaded(known.Loaded, upstream.Loaded) {
		// A registration may be older than an order, so a report is requested.
		known.needsReport = true
	}
}

// Report records the report of an engine.
func (pl *Planner) Report(id cardamom.UpstreamID, report site.Report, now time.Time) {
	e, ok := pl.engines[id]
	if !ok {
		return
	}
	pl.clearSuspicion(e)
	if report.AcceptedOrders < e.acceptedOrders {
		return
	}
	loaded := make(map[cardamom.ModelID][]string, len(report.Loaded))
	for model, adapters := range report.Loaded {
		loaded[model] = append(append([]string(nil), adapters...), report.LoadingAdapters[model]...)
	}
	pl.setLoaded(e, report, loaded, now)
	pl.settle(e, report, now)
	// The engine carries out an order that is not known here: one of an earlier
	// coordinator, or one whose answer was lost.
	e.needsReport = report.Busy && e.pending == nil
	e.foreignOrder = e.needsReport
	if e.needsReport {
		e.pausedUntil = now.Add(foreignReportInterval)
	}
	if p := e.pending; p != nil && !report.Busy && now.Sub(p.expectedEnd) > p.lostAfter() {
		pl.addOverlap(now)
		e.pending = nil
		pl.markChanged(e)
	}
}

// setLoaded sets what an engine has loaded by its report.
func (pl *Planner) setLoaded(e *engine, report site.Report, loaded map[cardamom.ModelID][]string, now time.Time) {
	if !sameLoaded(e.Loaded, loaded) {
		pl.markChanged(e)
	}
	for model := range loaded {
		if _, ok := e.Loaded[model]; !ok {
			e.loadedAt[model] = now
		}
	}
	pl.replicaCounts = nil
	e.acceptedOrders, e.Loaded = report.AcceptedOrders, loaded
	if len(report.InMemory)+len(report.OnDisk) > 0 {
		e.InMemory, e.OnDisk = report.InMemory, report.OnDisk
	}
}

// Remove removes an engine that is no longer listed.
func (pl *Planner) Remove(id cardamom.UpstreamID) {
	if _, ok := pl.engines[id]; ok {
		delete(pl.engines, id)
		pl.byID = nil
		pl.version++
	}
}

func (pl *Planner) markChanged(e *engine) {
	pl.version++
	e.version = pl.version
}

// Version returns a number that grows with each change of the engines or their
// orders.
func (pl *Planner) Version() uint64 { return pl.version }

// ChangedSince returns the engines that changed after the given version, with the
// models that requests may use: a model that is about to be unloaded is left out.
func (pl *Planner) ChangedSince(after uint64) []*site.Upstream {
	var list []*site.Upstream
	for _, e := range pl.sorted() {
		if e.version > after {
			list = append(list, e.usableView())
		}
	}
	return list
}

// sorted returns the engines sorted by ID.
func (pl *Planner) sorted() []*engine {
	if pl.byID == nil {
		for _, e := range pl.engines {
			pl.byID = append(pl.byID, e)
		}
		slices.SortFunc(pl.byID, func(a, b *engine) int { return cmp.Compare(a.ID, b.ID) })
	}
	return pl.byID
}

// sameLoaded reports whether two records of what an engine has loaded are equal.
func sameLoaded(a, b map[cardamom.ModelID][]string) bool {
	if len(a) != len(b) {
		return false
	}
	for model, adapters := range a {
		others, ok := b[model]
		if !ok || len(others) != len(adapters) {
			return false
		}
		set := make(map[string]bool, len(adapters))
		for _, name := range adapters {
			set[name] = true
		}
		for _, name := range others {
			if !set[name] {
				return false
			}
		}
	}
	return true
}
