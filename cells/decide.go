package cells

import (
	"errors"
	"sort"
	"time"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/engine"
	"cardamomcourse.example/cardamom/policy"
	"cardamomcourse.example/cardamom/retain"
)

const (
	// maxReportAge is the greatest age of a report used for decisions.
	maxReportAge = 10 * time.Second
	// resendInterval is the time between two sends of an unsettled order.
	resendInterval = 500 * time.Millisecond
	// failedLoadBackoff is how long a model is not loaded on an upstream after an
	// order for it failed there.
	failedLoadBackoff = 2 * time.Second
	// followerExpiry is how long the demand of a silent follower counts.
	followerExpiry = 30 * time.Second
	// defaultLoadTime is the expected time of a load before one was measured.
	defaultLoadTime = 5 * time.Second
	// loadSmoothing is the weight of the newest load in the average load time.
	loadSmoothing = 0.3
)

// ErrNotRecorded means the witness did not record the order; it was not sent.
var ErrNotRecorded = errors.New("order not recorded")

// hadNoEffect reports whether the error proves that the send of an order had no effect.
func hadNoEffect(err error) bool {
	return errors.Is(err, engine.ErrStaleFence) || errors.Is(err, engine.ErrRefused) ||
		errors.Is(err, engine.ErrUnreachable) || errors.Is(err, ErrNotRecorded)
}

// round is the state of one call of Decide.
type round struct {
	cell    *Cell
	now     time.Time
	demands map[cardamom.ModelID]demand
	// freeStreams is how many more loads may read the weight store.
	freeStreams int
	commands    []Command
}

// Decide returns the orders to send now.
func (c *Cell) Decide(now time.Time) []Command {
	r := &round{cell: c, now: now, demands: c.demands(now)}
	r.resend()
	r.sendFences()
	r.load()
	r.drain()
	r.unload()
	c.updateView()
	return r.commands
}

// resend sends unsettled orders again, under the same ID, except refused ones, for
// which it sends the engine a newer fencing token.
func (r *round) resend() {
	for _, id := range r.upstreamIDs() {
		u := r.cell.upstreams[id]
		for _, orderID := range sortedKeys(u.pending) {
			p := u.pending[orderID]
			if p.inFlight || r.now.Sub(p.sentAt) < resendInterval || u.listed.Address == "" || !u.fenced {
				continue
			}
			if p.refused {
				r.sendFence(id, u)
				continue
			}
			p.order.Fence = max(p.order.Fence, r.cell.fence.ForOrder(r.cell.orderSeq))
			r.send(id, p, p.order.Kind == engine.OrderLoad)
		}
	}
}

// sendFences sends the fencing token of this hold to each engine that has not seen it.
func (r *round) sendFences() {
	for _, id := range r.upstreamIDs() {
		u := r.cell.upstreams[id]
		if !u.fenced && !u.reportedAt.IsZero() {
			r.sendFence(id, u)
		}
	}
}

// sendFence sends the engine a newer fencing token, unless one is on its way.
func (r *round) sendFence(id cardamom.UpstreamID, u *upstream) {
	if !u.hasPending(engine.OrderFence) {
		r.order(id, engine.Order{Kind: engine.OrderFence})
	}
}

func (u *upstream) hasPending(kind engine.OrderKind) bool {
	for _, p := range u.pending {
		if p.order.Kind == kind {
			return true
		}
	}
	return false
}

// load orders the missing replicas. Models with waiting requests come first, in
// order of due time.
func (r *round) load() {
	if r.cell.placementsUnknown && !r.allTrusted() {
		return
	}
	r.freeStreams = r.cell.loadStreams() - r.cell.remoteLoads()
	for _, short := range r.shortages() {
		for range short.missing {
			if !r.place(short.model) {
				break
			}
		}
	}
}

func (r *round) allTrusted() bool {
	for _, u := range r.cell.upstreams {
		if !u.trusted(r.now) {
			return false
		}
	}
	return true
}

// shortage is a model with fewer replicas than it should have.
type shortage struct {
	model   *policy.Model
	demand  demand
	missing int
}

func (r *round) shortages() []shortage {
	var shortages []shortage
	for _, id := range r.cell.document.Models() {
		model, _ := r.cell.document.Model(id)
		quota := model.Quota(r.cell.id)
		if quota == 0 {
			continue
		}
		d := r.demands[id]
		missing := r.desired(model, d, quota) - r.cell.Count(id)
		if missing > 0 {
			shortages = append(shortages, shortage{model: model, demand: d, missing: missing})
		}
	}
	sort.SliceStable(shortages, func(i, j int) bool { return shortages[i].before(shortages[j]) })
	return shortages
}

func (s shortage) before(other shortage) bool {
	if (s.demand.waiting > 0) != (other.demand.waiting > 0) {
		return s.demand.waiting > 0
	}
	return s.demand.due.Before(other.demand.due)
}

// desired returns how many replicas a model should have in this cell.
func (r *round) desired(model *policy.Model, d demand, quota int) int {
	minimum := min(model.Profile().MinWarm(), quota)
	if r.preloadDue(model) {
		minimum = max(minimum, 1)
	}
	if d.waiting == 0 {
		return minimum
	}
	replicas := 1
	if r.backlogExceedsLoadTime(model, d) {
		replicas = r.cell.Count(model.ID()) + 1
	}
	return min(max(replicas, minimum), quota)
}

// preloadDue reports whether the model's keep strategy predicts requests for it about
// now, so that a replica is to be loaded before they arrive.
func (r *round) preloadDue(model *policy.Model) bool {
	history, recorded := r.cell.histories[model.ID()]
	if !recorded {
		return false
	}
	plan, ok := r.plan(model, history)
	return ok && plan.PreloadDue(r.now.Sub(history.LastUse()))
}

// plan returns for which idle times the model's keep strategy has it loaded.
func (r *round) plan(model *policy.Model, history *retain.History) (retain.Plan, bool) {
	strategy, ok := retain.Lookup(model.Profile().KeepStrategy())
	if !ok {
		return retain.Plan{}, false
	}
	return strategy.Plan(history, r.cell.profileHistory(model), model.Profile().KeepFor()), true
}

// backlogExceedsLoadTime reports whether the ready replicas need longer to serve
// the waiting requests than another replica takes to load.
func (r *round) backlogExceedsLoadTime(model *policy.Model, d demand) bool {
	slots := r.cell.readySlots(model.ID())
	if slots == 0 || d.waiting == 0 {
		return false
	}
	backlog := time.Duration(float64(d.waiting) / float64(slots) * float64(d.serviceTime))
	return backlog > r.cell.loadTime(model)
}

// loadTime returns the expected time of a load from the weight store.
func (c *Cell) loadTime(model *policy.Model) time.Duration {
	if c.loadTimePerMB == 0 {
		return defaultLoadTime
	}
	return time.Duration(c.loadTimePerMB * float64(model.Checkpoint()))
}

// readySlots returns how many requests the ready replicas of the model can run at once.
func (c *Cell) readySlots(model cardamom.ModelID) int {
	slots := 0
	for _, u := range c.upstreams {
		if loaded, ok := u.loaded[model]; ok && loaded.State == engine.Ready {
			slots += u.slots
		}
	}
	return slots
}

// place orders one replica of the model. If its base is not ready or memory is
// short, it first orders the base or starts to drain the replicas to evict. It
// reports whether a load of the model was ordered.
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
		r.freeStreams--
	}
	r.order(id, engine.Order{
		Kind: engine.OrderLoad, Model: model.ID(), Base: model.Base(),
		Memory: model.Memory(), Checkpoint: model.Checkpoint(),
	})
	return true
}

// baseReady reports whether the adapter's base is ready on some upstream, and
// orders the base if no replica of it is loaded or pending.
func (r *round) baseReady(adapter *policy.Model) bool {
	if r.cell.readySlots(adapter.Base()) > 0 {
		return true
	}
	base, ok := r.cell.document.Model(adapter.Base())
	if ok && r.cell.Count(base.ID()) == 0 {
		r.place(base)
	}
	return false
}

// order gives the order an ID and a fencing token and adds it to the commands.
func (r *round) order(id cardamom.UpstreamID, order engine.Order) {
	order.ID = r.cell.nextOrderID()
	order.Fence = r.cell.fence.ForOrder(r.cell.orderSeq)
	u := r.cell.upstreams[id]
	p := &pending{order: order}
	u.pending[order.ID] = p
	r.send(id, p, order.Kind == engine.OrderLoad)
}

func (r *round) send(id cardamom.UpstreamID, p *pending, record bool) {
	p.sentAt = r.now
	p.inFlight = true
	address := r.cell.upstreams[id].listed.Address
	r.commands = append(r.commands, Command{Upstream: id, Address: address, Order: p.order, RecordFirst: record})
}

// drain starts to drain replicas that are not needed or on a leaving upstream,
// and cancels the drain of a model that requests wait for again.
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
			case draining && !leaving && r.hasWaiting(model) && !u.hasPending(engine.OrderUnload) && r.cell.readyCount(model) == 0:
				delete(u.draining, model)
			case !draining && loaded.State == engine.Ready && r.shouldUnload(u, model):
				r.startDrain(u, model)
			}
		}
	}
}

func (r *round) hasWaiting(model cardamom.ModelID) bool {
	return r.demands[model].waiting > 0
}

// readyCount returns how many replicas of the model accept requests.
func (c *Cell) readyCount(model cardamom.ModelID) int {
	count := 0
	for _, u := range c.upstreams {
		loaded, ok := u.loaded[model]
		if _, draining := u.draining[model]; ok && !draining && loaded.State == engine.Ready {
			count++
		}
	}
	return count
}

// shouldUnload reports whether a replica that is not in use is over the model's quota,
// or has been idle for longer than the model's keep strategy keeps it loaded.
func (r *round) shouldUnload(u *upstream, id cardamom.ModelID) bool {
	if u.inUse(id, r) {
		return false
	}
	model, known := r.cell.document.Model(id)
	if !known || r.cell.readyCount(id) > model.Quota(r.cell.id) {
		return true
	}
	if r.cell.readyCount(id) <= model.Profile().MinWarm() {
		return false
	}
	history := r.cell.historyOf(id)
	if history.LastUse().IsZero() {
		history.RecordUse(r.now)
	}
	plan, ok := r.plan(model, history)
	return ok && !plan.Warm(r.now.Sub(history.LastUse()))
}

// inUse reports whether the model has requests, or is the base of an adapter that
// is loaded or pending on the upstream or that requests wait for.
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

// startDrain marks the replica as draining and stores the sequence number of that
// change.
func (r *round) startDrain(u *upstream, model cardamom.ModelID) {
	if _, draining := u.draining[model]; draining {
		return
	}
	u.draining[model] = 0
	r.cell.updateView()
	u.draining[model] = r.cell.Seq()
}

// unload orders the unload of drained replicas, one at a time for each upstream.
func (r *round) unload() {
	for _, id := range r.upstreamIDs() {
		u := r.cell.upstreams[id]
		if len(u.pending) > 0 || !u.trusted(r.now) {
			continue
		}
		for _, model := range sortedKeys(u.draining) {
			loaded, held := u.loaded[model]
			if !held {
				delete(u.draining, model)
				continue
			}
			key := ReplicaKey{Model: model, Upstream: id}
			if loaded.Running > 0 || loaded.Waiting > 0 || !r.cell.followersDrained(key, u.draining[model]) {
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
