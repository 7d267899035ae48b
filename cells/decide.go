package cells

import (
	"errors"
	"sort"
	"time"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/engine"
	"cardamomcourse.example/cardamom/keep"
	"cardamomcourse.example/cardamom/policy"
)

const (
	// reportFresh is how old a report may be for new decisions.
	reportFresh = 10 * time.Second
	// resendAfter is how long an unsettled order waits before its next send.
	resendAfter = 500 * time.Millisecond
	// retryLoad is how long a failed load keeps its model off the upstream.
	retryLoad = 2 * time.Second
	// watcherExpiry is how long a silent follower's demand counts.
	watcherExpiry = 30 * time.Second
	// defaultLoadTime is the expected time of a load before one was seen.
	defaultLoadTime = 5 * time.Second
	// loadSmoothing is the weight of the newest load in the expected time.
	loadSmoothing = 0.3
)

// ErrNotRecorded means the witness did not take the order; it was not sent.
var ErrNotRecorded = errors.New("order not recorded")

// proven tells whether the error proves that the order took no effect.
func proven(err error) bool {
	return errors.Is(err, engine.ErrStaleFence) || errors.Is(err, engine.ErrRefused) ||
		errors.Is(err, engine.ErrUnreachable) || errors.Is(err, ErrNotRecorded)
}

// round is one pass over the cell.
type round struct {
	cell     *Cell
	now      time.Time
	demands  map[cardamom.ModelID]demand
	streams  int
	commands []Command
}

// Decide returns the orders to send now.
func (c *Cell) Decide(now time.Time) []Command {
	r := &round{cell: c, now: now, demands: c.demands(now)}
	r.resend()
	r.fence()
	r.load()
	r.drain()
	r.unload()
	c.export()
	return r.commands
}

// resend repeats the orders that no report has settled, under their identity.
func (r *round) resend() {
	for _, id := range r.upstreamIDs() {
		u := r.cell.upstreams[id]
		for _, orderID := range sortedKeys(u.pending) {
			p := u.pending[orderID]
			if p.inFlight || r.now.Sub(p.sentAt) < resendAfter || u.listed.Address == "" || !u.fenced {
				continue
			}
			p.order.Fence = max(p.order.Fence, r.cell.fence.Order(r.cell.orders))
			r.send(id, p, p.order.Kind == engine.OrderLoad)
		}
	}
}

// fence tells each engine that refuses old fences the fence of this hold.
func (r *round) fence() {
	for _, id := range r.upstreamIDs() {
		u := r.cell.upstreams[id]
		if u.fenced || u.reported.IsZero() || u.hasKind(engine.OrderFence) {
			continue
		}
		r.order(id, engine.Order{Kind: engine.OrderFence})
	}
}

func (u *upstream) hasKind(kind engine.OrderKind) bool {
	for _, p := range u.pending {
		if p.order.Kind == kind {
			return true
		}
	}
	return false
}

// load orders the replicas that demand and profiles call for, those due first before the others.
func (r *round) load() {
	if r.cell.lossy && !r.allKnown() {
		return
	}
	r.streams = r.cell.loadStreams() - r.cell.remoteLoads()
	for _, want := range r.wants() {
		for range want.missing {
			if !r.place(want.model) {
				break
			}
		}
	}
}

func (r *round) allKnown() bool {
	for _, u := range r.cell.upstreams {
		if !u.known(r.now) {
			return false
		}
	}
	return true
}

// want is a model with fewer replicas than it should have.
type want struct {
	model   *policy.Model
	demand  demand
	missing int
}

func (r *round) wants() []want {
	var wants []want
	for _, id := range r.cell.document.Models() {
		model, _ := r.cell.document.Model(id)
		quota := model.Quota(r.cell.id)
		if quota == 0 {
			continue
		}
		d := r.demands[id]
		missing := r.desired(model, d, quota) - r.cell.Count(id)
		if missing > 0 {
			wants = append(wants, want{model: model, demand: d, missing: missing})
		}
	}
	sort.SliceStable(wants, func(i, j int) bool { return wants[i].before(wants[j]) })
	return wants
}

func (w want) before(other want) bool {
	if (w.demand.waiting > 0) != (other.demand.waiting > 0) {
		return w.demand.waiting > 0
	}
	return w.demand.due.Before(other.demand.due)
}

// desired returns how many replicas a model should have in this cell.
func (r *round) desired(model *policy.Model, d demand, quota int) int {
	least := min(model.Profile().MinWarm(), quota)
	if r.returning(model) {
		least = max(least, 1)
	}
	if d.waiting == 0 {
		return least
	}
	replicas := 1
	if r.crowded(model, d) {
		replicas = r.cell.Count(model.ID()) + 1
	}
	return min(max(replicas, least), quota)
}

// returning tells whether the model is predicted to be asked for about now.
func (r *round) returning(model *policy.Model) bool {
	history, known := r.cell.history[model.ID()]
	if !known {
		return false
	}
	plan, ok := r.plan(model, history)
	return ok && plan.Ahead(r.now.Sub(history.LastUse()))
}

// plan returns for which idle times the model's profile has it loaded.
func (r *round) plan(model *policy.Model, history *keep.History) (keep.Plan, bool) {
	strategy, ok := keep.Lookup(model.Profile().Keep())
	if !ok {
		return keep.Plan{}, false
	}
	return strategy.Plan(history, r.cell.classOf(model), model.Profile().KeepFor()), true
}

// crowded tells whether the waiting requests take longer to serve with the
// ready replicas than another replica takes to load.
func (r *round) crowded(model *policy.Model, d demand) bool {
	slots := r.cell.slotsOf(model.ID())
	if slots == 0 || d.waiting == 0 {
		return false
	}
	backlog := time.Duration(float64(d.waiting) / float64(slots) * float64(d.service))
	return backlog > r.cell.loadTime(model)
}

// loadTime returns the expected time of a load from the weight store.
func (c *Cell) loadTime(model *policy.Model) time.Duration {
	if c.loadPerMB == 0 {
		return defaultLoadTime
	}
	return time.Duration(c.loadPerMB * float64(model.Checkpoint()))
}

// slotsOf returns the slots of the upstreams on which the model is ready.
func (c *Cell) slotsOf(model cardamom.ModelID) int {
	slots := 0
	for _, u := range c.upstreams {
		if loaded, ok := u.loaded[model]; ok && loaded.State == engine.Ready {
			slots += u.slots
		}
	}
	return slots
}

// place orders one replica of the model, or first what it needs: its base, or
// memory. It tells whether a load of the model was ordered.
func (r *round) place(model *policy.Model) bool {
	if r.cell.Count(model.ID()) >= model.Quota(r.cell.id) {
		return false
	}
	if model.Base() != "" && !r.baseReady(model) {
		return false
	}
	id, victims, ok := r.choose(model)
	if !ok {
		return false
	}
	u := r.cell.upstreams[id]
	if len(victims) > 0 {
		for _, victim := range victims {
			r.startDrain(u, victim)
		}
		return false
	}
	if u.tier(model.ID()) == cardamom.TierRemote {
		r.streams--
	}
	r.order(id, engine.Order{
		Kind: engine.OrderLoad, Model: model.ID(), Base: model.Base(),
		Memory: model.Memory(), Checkpoint: model.Checkpoint(),
	})
	return true
}

// baseReady tells whether some upstream has the adapter's base, and orders the
// base if none has or will.
func (r *round) baseReady(adapter *policy.Model) bool {
	if r.cell.slotsOf(adapter.Base()) > 0 {
		return true
	}
	base, ok := r.cell.document.Model(adapter.Base())
	if ok && r.cell.Count(base.ID()) == 0 {
		r.place(base)
	}
	return false
}

// order starts an order of this round.
func (r *round) order(id cardamom.UpstreamID, order engine.Order) {
	order.ID = r.cell.nextID()
	order.Fence = r.cell.fence.Order(r.cell.orders)
	u := r.cell.upstreams[id]
	p := &pending{order: order}
	u.pending[order.ID] = p
	r.send(id, p, order.Kind == engine.OrderLoad)
}

func (r *round) send(id cardamom.UpstreamID, p *pending, record bool) {
	p.sentAt = r.now
	p.inFlight = true
	address := r.cell.upstreams[id].listed.Address
	r.commands = append(r.commands, Command{Upstream: id, Address: address, Order: p.order, Record: record})
}

// drain starts to retire replicas that nobody asks for, and takes back a
// drain whose model is asked for again.
func (r *round) drain() {
	for _, id := range r.upstreamIDs() {
		u := r.cell.upstreams[id]
		for _, model := range sortedKeys(u.loaded) {
			loaded := u.loaded[model]
			_, draining := u.draining[model]
			leaving := u.listed.State == cardamom.Leaving
			switch {
			case leaving && !draining && loaded.State == engine.Ready:
				r.startDrain(u, model)
			case draining && !leaving && r.wanted(model) && !u.hasKind(engine.OrderUnload) && r.cell.ready(model) == 0:
				delete(u.draining, model)
			case !draining && loaded.State == engine.Ready && r.idle(u, model):
				r.startDrain(u, model)
			}
		}
	}
}

func (r *round) wanted(model cardamom.ModelID) bool {
	return r.demands[model].waiting > 0
}

// ready returns how many replicas of the model take requests.
func (c *Cell) ready(model cardamom.ModelID) int {
	count := 0
	for _, u := range c.upstreams {
		loaded, ok := u.loaded[model]
		if _, draining := u.draining[model]; ok && !draining && loaded.State == engine.Ready {
			count++
		}
	}
	return count
}

// idle tells whether a replica has outlived its keep-alive time or its quota.
func (r *round) idle(u *upstream, id cardamom.ModelID) bool {
	if u.inUse(id, r) {
		return false
	}
	model, known := r.cell.document.Model(id)
	if !known || r.cell.ready(id) > model.Quota(r.cell.id) {
		return true
	}
	if r.cell.ready(id) <= model.Profile().MinWarm() {
		return false
	}
	history := r.cell.historyOf(id)
	if history.LastUse().IsZero() {
		history.Use(r.now)
	}
	plan, ok := r.plan(model, history)
	return ok && !plan.Warm(r.now.Sub(history.LastUse()))
}

// inUse tells whether the replica has requests or is the base of a loaded adapter.
func (u *upstream) inUse(id cardamom.ModelID, r *round) bool {
	loaded := u.loaded[id]
	if loaded.Running > 0 || loaded.Waiting > 0 {
		return true
	}
	d := r.demands[id]
	if d.waiting > 0 || d.running > 0 {
		return true
	}
	for other := range u.loaded {
		if model, ok := r.cell.document.Model(other); ok && model.Base() == id {
			return true
		}
	}
	for _, p := range u.pending {
		if p.order.Base == id {
			return true
		}
	}
	for model, d := range r.demands {
		if known, ok := r.cell.document.Model(model); ok && known.Base() == id && d.waiting > 0 {
			return true
		}
	}
	return false
}

func (r *round) startDrain(u *upstream, model cardamom.ModelID) {
	if _, draining := u.draining[model]; draining {
		return
	}
	u.draining[model] = 0
	r.cell.export()
	u.draining[model] = r.cell.Seq()
}

// unload orders the drained replicas away.
func (r *round) unload() {
	for _, id := range r.upstreamIDs() {
		u := r.cell.upstreams[id]
		if len(u.pending) > 0 || !u.known(r.now) {
			continue
		}
		for _, model := range sortedKeys(u.draining) {
			loaded, held := u.loaded[model]
			if !held {
				delete(u.draining, model)
				continue
			}
			seat := Seat{Model: model, Upstream: id}
			if loaded.Running > 0 || loaded.Waiting > 0 || !r.cell.drained(seat, u.draining[model]) {
				continue
			}
			r.order(id, engine.Order{Kind: engine.OrderUnload, Model: model})
			break
		}
	}
}

func (r *round) upstreamIDs() []cardamom.UpstreamID { return sortedKeys(r.cell.upstreams) }

func sortedKeys[K ~string, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i] < keys[j] })
	return keys
}
