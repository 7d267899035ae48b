package plan

import (
	"sort"
	"time"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/site"
)

const (
	// firstLook is how long demand is watched before copies are judged by it,
	// firstCopies how many a model keeps until then.
	firstLook   = 2 * time.Second
	firstCopies = 3
	// crowding is the waiting in seconds that a fully busy engine costs.
	crowding = 1.5
	// scarceSwaps is the part of the engines that are busy with swaps from
	// which places count as scarce, swapTime what one swap takes in seconds.
	scarceSwaps = 0.08
	swapTime    = 1.8
	// youngTime is how long a loaded model is kept for the requests that it
	// was loaded for.
	youngTime = 1200 * time.Millisecond
	// drainTime is how many seconds a copy with requests in progress takes to
	// be dropped.
	drainTime = 1.5
	// recentUse is how long after its last request a model is rather kept, and
	// recentLoss what dropping it costs then in seconds.
	recentUse  = 1500 * time.Millisecond
	recentLoss = 0.5
	// roomTime is how long an engine keeps the purpose for which it drops a
	// model: the drop waits for the model's requests.
	roomTime = 8 * time.Second
	// needTime is the time for which the requests of a model count as waiting.
	needTime = 2 * time.Second
	// spareCopies is how many engines should have a model in demand at hand,
	// spareRate from how many arrivals a second on.
	// lossRisk is how likely the one engine that has a model is lost soon.
	spareCopies = 2
	spareRate   = 0.2
	lossRisk    = 0.1
	// leastBusy is the least time until a busy engine is free: an order's end is
	// seen by a report. turnTime is what a model's drop takes before a load.
	leastBusy = 100 * time.Millisecond
	turnTime  = 400 * time.Millisecond
)

// origin is where an engine loads a model from.
type origin uint8

const (
	fromMemory origin = iota
	fromDisk
	fromStore
)

// sourceNames are the origins in logs.
var sourceNames = map[origin]string{fromMemory: "memory", fromDisk: "disk", fromStore: "store"}

func (w *World) source(e *engine, model cardamom.ModelID) origin {
	switch {
	case e.InMemory[model]:
		return fromMemory
	case e.OnDisk[model]:
		return fromDisk
	default:
		return fromStore
	}
}

func (w *World) loadTime(e *engine, model cardamom.ModelID) time.Duration {
	spec := w.spec.Models[model]
	switch w.source(e, model) {
	case fromMemory:
		return spec.FromMemory
	case fromDisk:
		return spec.FromDisk
	default:
		running := float64(w.storeLoads())
		return time.Duration(float64(spec.FromStore) * max(1, (running+1)/float64(w.weights.atOnce)))
	}
}

// willHold tells whether the engine holds the model once its order is done.
func (e *engine) willHold(model cardamom.ModelID) bool {
	if p := e.pending; p != nil && p.order.Model == model && p.order.Adapter == "" {
		return p.order.Kind == site.Load
	}
	_, ok := e.Held[model]
	return ok
}

// Decide returns the orders to give now: for what requests wait for first, then
// copies for models in demand, then models that no engine has at hand.
func (w *World) Decide(now time.Time) []Move {
	var moves []Move
	give := func(m Move, ok bool) {
		if ok {
			w.Sent(m, now)
			moves = append(moves, m)
		}
	}
	for _, e := range w.sorted() {
		e.claimed = 0
		w.presume(e, now)
		give(w.followUp(e, now))
	}
	for _, key := range w.dueWants(now) {
		if key.adapter != "" {
			give(w.adapterMove(key, now))
		}
		if w.copies(key.model) == 0 {
			move, ok := w.loadMove(key.model, "wanted", now)
			if ok {
				w.swaps.count, w.swaps.at = w.swaps.decayed(now)+1, now
			}
			give(move, ok)
		}
	}
	for _, model := range w.models() {
		if u, ok := w.uses[model]; ok && w.copies(model) < w.wanted(model, now) && u.last.After(now.Add(-memoryOf)) && w.copies(model) > 0 {
			give(w.loadMove(model, "demand", now))
		}
	}
	for _, need := range w.storeNeeds(now) {
		give(w.loadMove(need.model, need.reason, now))
	}
	return moves
}

// storeNeed is a model that is loaded from the store before it is asked for.
type storeNeed struct {
	model  cardamom.ModelID
	reason string
	worth  float64
}

// storeNeeds returns the models that no engine has at hand, and those in demand
// that few have, the most valuable first: a load from the store takes longer
// than requests wait, and engines leave and die.
func (w *World) storeNeeds(now time.Time) []storeNeed {
	var list []storeNeed
	for _, model := range w.models() {
		rate := w.use(model).rate(now)
		switch {
		case w.copies(model) == 0 && w.atHand(model) == 0:
			list = append(list, storeNeed{model, "absent", rate})
		case w.copies(model) > 0 && w.atHand(model) < spareCopies && rate >= spareRate && w.seen(now) >= firstLook && w.storeLoads() == 0:
			list = append(list, storeNeed{model, "spare", rate * lossRisk})
		}
	}
	sort.SliceStable(list, func(i, j int) bool { return list[i].worth > list[j].worth })
	return list
}

// followUp returns the load for which room was made on an engine.
func (w *World) followUp(e *engine, now time.Time) (Move, bool) {
	if e.purpose == "" {
		return Move{}, false
	}
	spec, ok := w.spec.Models[e.purpose]
	if !ok || !e.live() || now.After(e.within) || e.willHold(e.purpose) {
		e.purpose = ""
		w.copyCounts = nil
		return Move{}, false
	}
	if e.pending != nil {
		return w.hasten(e, spec, now)
	}
	if !e.free(now) || (w.source(e, e.purpose) == fromStore && !w.withinRate(now)) {
		return Move{}, false
	}
	victim, _, fits := w.room(e, spec, "wanted", now)
	if !fits {
		e.purpose = ""
		w.copyCounts = nil
		return Move{}, false
	}
	return w.step(e, e.purpose, victim, "room", now), true
}

// step returns the order that comes next to bring a model onto an engine.
func (w *World) step(e *engine, model, drop cardamom.ModelID, reason string, now time.Time) Move {
	order := site.Order{Kind: site.Load, Model: model, Expect: e.orders}
	e.purpose = ""
	if drop != "" {
		order = site.Order{Kind: site.Unload, Model: drop, Expect: e.orders}
		e.purpose, e.within = model, now.Add(roomTime)
	}
	move := Move{Upstream: e.Upstream.Upstream, Order: order, Reason: reason, Purpose: model, Source: sourceNames[w.source(e, model)]}
	for _, other := range w.engines {
		if other.live() && w.source(other, model) != fromStore {
			move.AtHand++
		}
	}
	return move
}

// dueWants returns what requests wait for, the most waited for first, and
// forgets what nobody waits for any more. Requests that are refused since a load
// takes too long do not wait, so what is asked for counts too.
func (w *World) dueWants(now time.Time) []want {
	var list []want
	for key, until := range w.wants {
		if now.After(until) {
			delete(w.wants, key)
			continue
		}
		list = append(list, key)
	}
	need := func(model cardamom.ModelID) float64 {
		u := w.use(model)
		return max(float64(u.waiting), u.rate(now)*needTime.Seconds())
	}
	sort.Slice(list, func(i, j int) bool {
		a, b := list[i], list[j]
		if x, y := need(a.model), need(b.model); x != y {
			return x > y
		}
		if a.model != b.model {
			return a.model < b.model
		}
		return a.adapter < b.adapter
	})
	return list
}

// models returns the names of all models, the most used first.
func (w *World) models() []cardamom.ModelID {
	list := make([]cardamom.ModelID, 0, len(w.spec.Models))
	for model := range w.spec.Models {
		list = append(list, model)
	}
	count := func(model cardamom.ModelID) float64 {
		if u, ok := w.uses[model]; ok {
			return u.count
		}
		return 0
	}
	sort.Slice(list, func(i, j int) bool {
		if x, y := count(list[i]), count(list[j]); x != y {
			return x > y
		}
		return list[i] < list[j]
	})
	return list
}

// free tells whether the engine takes an order now.
func (e *engine) free(now time.Time) bool {
	return e.live() && !e.doubt.asking && e.pending == nil && !e.unsure && !now.Before(e.rest)
}
