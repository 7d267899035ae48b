package plan

import (
	"math"
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
	// ceilingShare is the part of the store's rate that is used, in percent.
	ceilingShare = 90
	// roomTime is how long an engine keeps the purpose for which it drops a
	// model: the drop waits for the model's requests.
	roomTime = 8 * time.Second
)

// origin is where an engine loads a model from.
type origin uint8

const (
	fromMemory origin = iota
	fromDisk
	fromStore
)

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
		return time.Duration(float64(spec.FromStore) * max(1, (running+1)/max(w.atOnce, 1)))
	}
}

// storeLoads returns how many loads from the store are in progress.
func (w *World) storeLoads() int {
	count := 0
	for _, e := range w.engines {
		if e.pending != nil && e.pending.stored || e.purpose != "" && w.source(e, e.purpose) == fromStore {
			count++
		}
	}
	return count
}

// mayStore tells whether another load from the store fits its rate.
func (w *World) mayStore(now time.Time) bool {
	return w.storeLoads() < int(w.atOnce) && w.withinRate(now)
}

// withinRate tells whether a load from the store may begin now.
func (w *World) withinRate(now time.Time) bool {
	if now.Before(w.since) {
		return false
	}
	recent := w.loads[:0]
	for _, at := range w.loads {
		if now.Sub(at) < storeWindow {
			recent = append(recent, at)
		}
	}
	w.loads = recent
	allowed := w.spec.StoreLoads * storeWindow.Seconds() * ceilingShare / 100
	return float64(len(recent)) < max(allowed, 1)
}

// copies returns how many engines hold a model, load it or make room for it.
func (w *World) copies(model cardamom.ModelID) int {
	if w.counted != w.changes || w.copyCounts == nil {
		w.countCopies()
	}
	return w.copyCounts[model]
}

// countCopies counts the copies of all models.
func (w *World) countCopies() {
	w.copyCounts = make(map[cardamom.ModelID]int, len(w.spec.Models))
	w.atHands = make(map[cardamom.ModelID]bool, len(w.spec.Models))
	for _, e := range w.engines {
		if e.State != cardamom.Live {
			continue
		}
		for model := range e.Held {
			if e.willHold(model) {
				w.copyCounts[model]++
			}
		}
		if p := e.pending; p != nil && p.order.Adapter == "" && p.order.Kind == site.Load {
			if _, ok := e.Held[p.order.Model]; !ok {
				w.copyCounts[p.order.Model]++
			}
		}
		if e.purpose != "" && !e.willHold(e.purpose) {
			w.copyCounts[e.purpose]++
		}
		for model := range e.OnDisk {
			w.atHands[model] = true
		}
		for model := range e.InMemory {
			w.atHands[model] = true
		}
	}
	w.counted = w.changes
}

// willHold tells whether the engine holds the model once its order is done.
func (e *engine) willHold(model cardamom.ModelID) bool {
	if p := e.pending; p != nil && p.order.Model == model && p.order.Adapter == "" {
		return p.order.Kind == site.Load
	}
	_, ok := e.Held[model]
	return ok
}

// wanted returns how many copies of a model its demand justifies. Before any
// demand is seen, copies that are there are the best word on what is busy.
func (w *World) wanted(model cardamom.ModelID, now time.Time) int {
	seen := w.seen(now).Seconds()
	if seen < firstLook.Seconds() {
		return min(max(w.copies(model), 1), firstCopies)
	}
	u, ok := w.uses[model]
	if !ok {
		return 1
	}
	span := w.span(now, memoryOf)
	count := 1
	if u.decayed(now)/span >= w.secondRate(now) {
		count = 2
	}
	count = max(count, int(math.Ceil(w.tokenRate(model, now)/w.profile.CopyTokens)))
	count = max(count, int(math.Ceil(float64(u.running+u.waiting)/w.profile.CopyRunning)))
	return min(count, w.profile.MostCopies)
}

// secondRate returns the arrivals a second from which a second copy is worth
// its place: each takes the place of a rare model, whose requests then wait for
// a swap.
func (w *World) secondRate(now time.Time) float64 {
	busy := w.swaps.decayed(now) / w.span(now, memoryOf) * swapTime / float64(max(len(w.engines), 1))
	if busy > scarceSwaps {
		return w.profile.ScarceCopyRate
	}
	return w.profile.SecondCopyRate
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
	for _, model := range w.models() {
		if w.copies(model) == 0 && !w.atHand(model) {
			give(w.loadMove(model, "absent", now))
		}
	}
	return moves
}

// followUp returns the load for which room was made on an engine.
func (w *World) followUp(e *engine, now time.Time) (Move, bool) {
	if e.purpose == "" {
		return Move{}, false
	}
	spec, ok := w.spec.Models[e.purpose]
	if !ok || e.State != cardamom.Live || now.After(e.within) || e.willHold(e.purpose) {
		e.purpose = ""
		w.copyCounts = nil
		return Move{}, false
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
	return Move{Upstream: e.Upstream.Upstream, Order: order, Reason: reason}
}

// dueWants returns what requests wait for, the most waited for first, and
// forgets what nobody waits for any more.
func (w *World) dueWants(now time.Time) []want {
	var list []want
	for key, until := range w.wants {
		if now.After(until) {
			delete(w.wants, key)
			continue
		}
		list = append(list, key)
	}
	sort.Slice(list, func(i, j int) bool {
		a, b := list[i], list[j]
		if x, y := w.use(a.model).waiting, w.use(b.model).waiting; x != y {
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

// atHand tells whether some engine can load the model without the store.
func (w *World) atHand(model cardamom.ModelID) bool {
	if w.counted != w.changes || w.copyCounts == nil {
		w.countCopies()
	}
	return w.atHands[model]
}

// loadMove returns the next order that brings a model onto the engine where
// that costs least: the load itself, or the drop that makes room for it.
func (w *World) loadMove(model cardamom.ModelID, reason string, now time.Time) (Move, bool) {
	spec, ok := w.spec.Models[model]
	if !ok {
		return Move{}, false
	}
	var best *engine
	var drop cardamom.ModelID
	least := math.Inf(1)
	for _, e := range w.sorted() {
		if !e.free(now) || e.purpose != "" || e.willHold(model) {
			continue
		}
		if w.source(e, model) == fromStore && !w.mayStore(now) {
			continue
		}
		victim, loss, fits := w.room(e, spec, reason, now)
		if !fits {
			continue
		}
		if cost := w.loadTime(e, model).Seconds() + loss + crowding*w.crowd(e, model, now); cost < least {
			best, drop, least = e, victim, cost
		}
	}
	if best == nil {
		return Move{}, false
	}
	return w.step(best, model, drop, reason, now), true
}

// crowd returns how busy an engine would be with a copy of the model, in parts
// of what one copy should read: models on one engine wait for each other.
func (w *World) crowd(e *engine, model cardamom.ModelID, now time.Time) float64 {
	total := w.tokenRate(model, now) / float64(w.copies(model)+1)
	for held := range e.Held {
		total += w.tokenRate(held, now) / float64(max(w.copies(held), 1))
	}
	return total / w.profile.CopyTokens
}

// tokenRate returns the prompt tokens a second that a model is asked for.
func (w *World) tokenRate(model cardamom.ModelID, now time.Time) float64 {
	u, ok := w.uses[model]
	if !ok {
		return 0
	}
	return u.tokens * u.left(now, tokenMemory) / w.span(now, tokenMemory)
}

// span returns the seconds that what is remembered for a time stands for: it approaches
// the rate times the memory.
func (w *World) span(now time.Time, memory time.Duration) float64 {
	seen := max(w.seen(now), firstLook).Seconds()
	return memory.Seconds() * (1 - math.Exp(-seen/memory.Seconds()))
}

// free tells whether the engine takes an order now.
func (e *engine) free(now time.Time) bool {
	return e.State == cardamom.Live && e.pending == nil && !e.unsure && !now.Before(e.rest)
}

// room returns whether an engine has or can make room for a model: the model to
// drop next, if any, and what its loss costs in seconds of waiting.
func (w *World) room(e *engine, spec site.Model, reason string, now time.Time) (cardamom.ModelID, float64, bool) {
	free := w.spec.MemoryMB - w.heldMB(e)
	if free >= spec.SizeMB {
		return "", 0, true
	}
	type option struct {
		model cardamom.ModelID
		loss  float64
		size  float64
	}
	var options []option
	for model := range e.Held {
		if loss, ok := w.loss(e, model, spec, reason, now); ok {
			options = append(options, option{model, loss, w.spec.Models[model].SizeMB + float64(len(e.Held[model]))*w.spec.Models[model].AdapterMB})
		}
	}
	sort.Slice(options, func(i, j int) bool {
		if options[i].loss != options[j].loss {
			return options[i].loss < options[j].loss
		}
		return options[i].model < options[j].model
	})
	total := 0.0
	for _, option := range options {
		free += option.size
		total += option.loss
		if free >= spec.SizeMB {
			return options[0].model, total, true
		}
	}
	return "", 0, false
}

// loss returns what dropping a model costs in seconds of waiting, and whether
// it may be dropped for the other at all.
func (w *World) loss(e *engine, model cardamom.ModelID, other site.Model, reason string, now time.Time) (float64, bool) {
	u := w.use(model)
	if now.Sub(e.loaded[model]) < youngTime && u.waiting > 0 {
		return 0, false
	}
	drain := w.drain(model, u, now)
	if w.copies(model) > w.wanted(model, now) {
		return 0.05 + drain, true
	}
	if u.waiting > 0 || w.copies(model) > 1 {
		return 0, false
	}
	rate := u.rate(now)
	if reason != "wanted" && rate >= 0.8*w.use(other.Name).rate(now) && reason != "absent" {
		return 0, false
	}
	if reason == "absent" && u.running > 0 {
		return 0, false
	}
	// A dropped model comes back from this engine's disk, and its requests
	// wait for that and for the drop that makes room for it.
	again := w.spec.Models[model].FromDisk.Seconds() + 0.3
	return 0.3 + 4*rate*again + drain, true
}

// drain returns how long a drop is expected to wait, in seconds: for the
// requests that a copy has in progress, and for those that come again soon.
func (w *World) drain(model cardamom.ModelID, u *use, now time.Time) float64 {
	wait := drainTime * math.Min(float64(u.running)/float64(max(w.copies(model), 1)), 1)
	if now.Sub(u.last) < recentUse {
		wait += recentLoss
	}
	return wait
}

// heldMB returns the memory that an engine's models and adapters take.
func (w *World) heldMB(e *engine) float64 {
	total := 0.0
	for model, adapters := range e.Held {
		spec := w.spec.Models[model]
		total += spec.SizeMB + float64(len(adapters))*spec.AdapterMB
	}
	if p := e.pending; p != nil && p.order.Kind == site.Load {
		if p.order.Adapter != "" {
			total += w.spec.Models[p.order.Model].AdapterMB
		} else if _, ok := e.Held[p.order.Model]; !ok {
			total += w.spec.Models[p.order.Model].SizeMB
		}
	}
	return total
}

// adapterMove returns the next order that brings an adapter to an engine that
// holds its model.
func (w *World) adapterMove(key want, now time.Time) (Move, bool) {
	spec := w.spec.Models[key.model]
	var best *engine
	var drop site.Order
	least := math.Inf(1)
	for _, e := range w.sorted() {
		if _, ok := e.usable().Held[key.model]; !ok || e.State != cardamom.Live {
			continue
		}
		if e.Holds(key.model, key.adapter) {
			return Move{}, false
		}
		if !e.free(now) {
			continue
		}
		count, oldest, oldestAt := 0, site.Order{}, now
		for model, adapters := range e.Held {
			for _, name := range adapters {
				count++
				at := e.used[string(model)+"/"+name]
				if at.Before(oldestAt) || oldest.Adapter == "" {
					oldest, oldestAt = site.Order{Kind: site.Unload, Model: model, Adapter: name, Expect: e.orders}, at
				}
			}
		}
		full := count >= w.spec.AdapterSlots || w.heldMB(e)+spec.AdapterMB > w.spec.MemoryMB
		cost := float64(count)
		if full {
			if oldest.Adapter == "" {
				continue
			}
			cost = 100 - now.Sub(oldestAt).Seconds()
		}
		if cost < least {
			best, least = e, cost
			drop = site.Order{}
			if full {
				drop = oldest
			}
		}
	}
	if best == nil {
		return Move{}, false
	}
	order := site.Order{Kind: site.Load, Model: key.model, Adapter: key.adapter, Expect: best.orders}
	if drop.Adapter != "" {
		order = drop
	}
	return Move{Upstream: best.Upstream.Upstream, Order: order, Reason: "adapter"}, true
}
