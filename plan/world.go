// Package plan decides which model engine loads and drops which model and
// adapter. It is plain state and functions of it; orders are carried out by
// its caller.
//
// The load it answers: many models of which few are busy at a time, more models
// than places, loads from the store slower than a request's target and loads
// from an engine's own disk within it.
//
// # Usage
//
//	world := plan.New(engine, plan.DefaultProfile, true, now)
//	world.Update(upstream, now)
//	world.Arrived("muse-01", 1, 1460, now)
//	for _, move := range world.Decide(now) {
//	    // send move.Order to move.Upstream, then
//	    world.Sent(move, now)
//	    world.Answered(move, site.OrderAccepted, now)
//	}
package plan

import (
	"sort"
	"time"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/site"
)

const (
	// memoryOf is the time over which a model's demand is remembered.
	memoryOf = 8 * time.Second
	// tokenMemory is that for the size of its prompts. It is shorter, since a
	// rise has to be met before the engine that holds the model is flooded.
	tokenMemory = 3 * time.Second
	// priorArrivals and priorTime give models without any demand a small rate.
	priorArrivals = 0.5
	priorTime     = 10 * time.Second
	// doubtTime is how long an unanswered order may still be carried out
	// before it is asked about again.
	doubtTime = 700 * time.Millisecond
	// settleTime is added to a load's expected time before it counts as lost.
	settleTime = 6 * time.Second
	// adapterTime is the usual time of an adapter's load.
	adapterTime = 25 * time.Millisecond
	// registrationLag is how much older than an order a registration may be
	// that arrives after it: a heartbeat and the list's lag.
	registrationLag = 3 * time.Second
	// foreignAsk is the time between two reports of an engine that carries out
	// another holder's order.
	foreignAsk = 300 * time.Millisecond
	// failureRest is how long an engine that refused an order gets no other.
	failureRest = 500 * time.Millisecond
)

// pending is an order that is being carried out or may be.
type pending struct {
	order  site.Order
	began  time.Time
	sent   time.Time
	ready  time.Time
	asked  time.Time
	doubt  bool
	stored bool
	// beside is the sum of the loads from the store that ran with this one, in
	// seconds, up to counted.
	beside  float64
	counted time.Time
	// accepted is when the engine took the order.
	accepted time.Time
	// after is the drop that has to be done for the engine to take this load,
	// dropped the adapters that it drops. Loads were turned down tries times
	// since it was not, the last time when tried says.
	after   *pending
	dropped []string
	tried   time.Time
	tries   int
	// presumed means that a load's time is over, though no report shows it yet.
	presumed bool
}

// drops tells whether the order takes a model away.
func (p *pending) drops(model cardamom.ModelID) bool {
	return p.order.Kind == site.Unload && p.order.Adapter == "" && p.order.Model == model || p.after != nil && p.after.drops(model)
}

// engine is one model engine.
type engine struct {
	site.Upstream
	// orders is how many orders the engine has accepted, by its reports.
	orders  int64
	ordered time.Time
	pending *pending
	// purpose is the model for which room is being made, until the time.
	purpose cardamom.ModelID
	within  time.Time
	// ready has when adapters that were just ordered can be used.
	ready  map[string]time.Time
	used   map[string]time.Time
	loaded map[cardamom.ModelID]time.Time
	rest   time.Time
	unsure bool
	// foreign means that the engine carries out an order of another coordinator.
	foreign bool
	doubt   doubt
	// claimed is how long the engine will be busy with models that wait for it.
	claimed time.Duration
	changed uint64
}

// live tells whether orders and requests may go to the engine.
func (e *engine) live() bool { return e.State == cardamom.Live && !e.doubt.down }

// World is the engines of one service and the demand for their models.
type World struct {
	spec    *site.Engine
	profile Profile
	engines map[cardamom.UpstreamID]*engine
	uses    map[cardamom.ModelID]*use
	wants   map[want]time.Time
	weights weights
	// swaps counts loads that requests waited for.
	swaps use
	// done has orders that were carried out and not yet told.
	done []Done
	// began is when the first demand was counted.
	began   time.Time
	changes uint64
	// copyCounts and atHands were counted at the change number counted.
	counted    uint64
	copyCounts map[cardamom.ModelID]int
	atHands    map[cardamom.ModelID]int
}

// Done is an order that was carried out.
type Done struct {
	Upstream cardamom.UpstreamID
	Order    site.Order
	Took     time.Duration
	// Expected is how long it was expected to take when it was accepted.
	Expected time.Duration
}

// Done returns the orders that were carried out since the last call.
func (w *World) Done() []Done {
	done := w.done
	w.done = nil
	return done
}

// New returns a world without engines. Loads from the store that others may
// have started are counted for a window from now on unless fresh.
func New(spec *site.Engine, profile Profile, fresh bool, now time.Time) *World {
	w := &World{
		spec: spec, profile: profile, engines: make(map[cardamom.UpstreamID]*engine), uses: make(map[cardamom.ModelID]*use),
		wants: make(map[want]time.Time), weights: weights{atOnce: firstAtOnce},
	}
	if !fresh {
		w.weights.since = now.Add(storeWindow)
	}
	return w
}

// SetProfile replaces how models are kept and spread.
func (w *World) SetProfile(profile Profile) { w.profile = profile }

// SetSpec replaces the service's description.
func (w *World) SetSpec(spec *site.Engine) { w.spec = spec }

// Update takes what an engine says of itself. Words older than the orders it
// is known to have accepted are dropped.
func (w *World) Update(upstream *site.Upstream, now time.Time) {
	known, ok := w.engines[upstream.ID]
	if !ok || known.Born != upstream.Born && upstream.Born > known.Born {
		fresh := &engine{
			Upstream: *upstream, ready: make(map[string]time.Time), used: make(map[string]time.Time),
			loaded: make(map[cardamom.ModelID]time.Time), unsure: true,
		}
		w.engines[upstream.ID] = fresh
		w.touch(fresh)
		return
	}
	if upstream.Born < known.Born {
		return
	}
	if known.State == cardamom.Leaving && upstream.State == cardamom.Live {
		// An older word; a run that leaves does not come back.
		return
	}
	if known.State != upstream.State || known.Address != upstream.Address {
		known.State, known.Address, known.Remaining = upstream.State, upstream.Address, upstream.Remaining
		w.touch(known)
	}
	if upstream.Beat <= known.Beat {
		return
	}
	known.Beat = upstream.Beat
	if known.pending == nil && now.Sub(known.ordered) >= registrationLag && !sameHeld(known.Held, upstream.Held) {
		// A registration may be older than an order, so the engine is asked.
		known.unsure = true
	}
}

// Report takes an engine's answer about its state.
func (w *World) Report(id cardamom.UpstreamID, report site.Report, now time.Time) {
	e, ok := w.engines[id]
	if !ok {
		return
	}
	w.trust(e)
	if report.Orders < e.orders {
		return
	}
	held := make(map[cardamom.ModelID][]string, len(report.Held))
	for model, adapters := range report.Held {
		held[model] = append(append([]string(nil), adapters...), report.Coming[model]...)
	}
	w.hold(e, report.Orders, held, report.InMemory, report.OnDisk, now)
	// An order that is not known here is being carried out: of an earlier holder,
	// or one whose answer was lost.
	e.unsure = report.Busy && e.pending == nil
	e.foreign = e.unsure
	if e.unsure {
		e.rest = now.Add(foreignAsk)
	}
	if p := e.pending; p != nil && !report.Busy && now.Sub(p.ready) > p.settle() {
		w.countBeside(now)
		e.pending = nil
		w.touch(e)
	}
}

// hold sets what an engine has, and ends the order that this fulfils.
func (w *World) hold(e *engine, orders int64, held map[cardamom.ModelID][]string, inMemory, onDisk map[cardamom.ModelID]bool, now time.Time) {
	if !sameHeld(e.Held, held) {
		w.touch(e)
	}
	for model := range held {
		if _, ok := e.Held[model]; !ok {
			e.loaded[model] = now
		}
	}
	w.copyCounts = nil
	accepted := orders > e.orders
	e.orders, e.Held = orders, held
	if len(inMemory)+len(onDisk) > 0 {
		e.InMemory, e.OnDisk = inMemory, onDisk
	}
	p := e.pending
	if p == nil {
		return
	}
	if accepted && p.doubt {
		// The engine's count moved on, so the order was carried out or never can be.
		p.doubt = false
		p.ready = now.Add(w.loadTime(e, p.order.Model))
	}
	_, has := held[p.order.Model]
	if !p.doubt && orders > p.order.Expect && has == (p.order.Kind == site.Load) {
		if p.stored {
			w.learn(p, now)
		}
		w.done = append(w.done, Done{Upstream: e.ID, Order: p.order, Took: now.Sub(p.began), Expected: p.ready.Sub(p.began)})
		e.pending = nil
		w.touch(e)
	}
}

// Gone takes that an engine is no longer listed.
func (w *World) Gone(id cardamom.UpstreamID) {
	if _, ok := w.engines[id]; ok {
		delete(w.engines, id)
		w.changes++
	}
}

func (w *World) touch(e *engine) {
	w.changes++
	e.changed = w.changes
}

// Changes returns a number that grows with each change of what engines hold.
func (w *World) Changes() uint64 { return w.changes }

// Changed returns the engines that changed after the number, as requests may
// use them: a model that is about to be dropped is left out.
func (w *World) Changed(after uint64) []*site.Upstream {
	var list []*site.Upstream
	for _, e := range w.sorted() {
		if e.changed > after {
			list = append(list, e.usable())
		}
	}
	return list
}

// usable returns the engine with what its pending order has brought, and
// without what that takes away.
func (e *engine) usable() *site.Upstream {
	view := e.Upstream
	if e.doubt.down {
		view.Held = nil
		return &view
	}
	p := e.pending
	if p == nil {
		return &view
	}
	view.Held = make(map[cardamom.ModelID][]string, len(e.Held)+1)
	if p.presumed {
		view.Held[p.order.Model] = nil
	}
	for model, adapters := range e.Held {
		if !p.drops(model) {
			view.Held[model] = adapters
		}
	}
	return &view
}

// Ready returns the engines that can run requests for the model and adapter.
func (w *World) Ready(model cardamom.ModelID, adapter string, now time.Time) []*site.Upstream {
	var list []*site.Upstream
	for _, e := range w.sorted() {
		view := e.usable()
		if e.live() && !e.doubt.asking && view.Holds(model, adapter) && !now.Before(e.ready[string(model)+"/"+adapter]) {
			list = append(list, view)
		}
	}
	return list
}

func (w *World) sorted() []*engine {
	list := make([]*engine, 0, len(w.engines))
	for _, e := range w.engines {
		list = append(list, e)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

// sameHeld tells whether two accounts of what an engine holds agree.
func sameHeld(a, b map[cardamom.ModelID][]string) bool {
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
