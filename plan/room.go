package plan

import (
	"math"
	"sort"
	"time"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/site"
)

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
		if !e.live() || e.doubt.asking || e.willHold(model) {
			continue
		}
		busy := w.busyFor(e, now)
		if w.source(e, model) == fromStore && (busy > 0 || !w.mayStore(now) || reason == "demand" && spec.FromStore > memoryOf) {
			// Demand is remembered for less than such a load takes.
			continue
		}
		victim, loss, fits := w.room(e, spec, reason, now)
		if !fits && busy == 0 {
			continue
		}
		if cost := busy.Seconds() + w.loadTime(e, model).Seconds() + loss + crowding*w.crowd(e, model, now); cost < least {
			best, drop, least = e, victim, cost
		}
	}
	if best == nil {
		return Move{}, false
	}
	if !best.free(now) || best.purpose != "" {
		// Sooner than a load elsewhere: the model waits for the engine.
		best.claimed += w.loadTime(best, model) + turnTime
		return Move{}, false
	}
	return w.step(best, model, drop, reason, now), true
}

// busyFor returns how long it takes until the engine can be given an order for
// another model, 0 if it can now. It counts what this pass already left to it.
func (w *World) busyFor(e *engine, now time.Time) time.Duration {
	if e.free(now) && e.purpose == "" {
		return 0
	}
	busy := e.claimed + max(e.rest.Sub(now), leastBusy)
	if p := e.pending; p != nil {
		busy += max(p.ready.Sub(now), 0)
	}
	if e.purpose != "" && !e.willHold(e.purpose) {
		busy += w.loadTime(e, e.purpose)
	}
	return busy
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
		if _, ok := e.usable().Held[key.model]; !ok || !e.live() {
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
