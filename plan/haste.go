package plan

import (
	"maps"
	"time"

	"cardamomcourse.example/cardamom/site"
)

// Reports are some hundred milliseconds old, as the platform says. What follows
// an order is therefore begun when the order can be done, not when a report
// shows it. An engine turns down a load while its drop waits, and a request
// while its load runs, so that neither is lost by being early.

const (
	// dropTime is how long after an accepted drop of an unused model the load
	// behind it is ordered: on both deployments such drops took 50 ms.
	dropTime = 50 * time.Millisecond
	// tryEvery is the time between two tries of that load, mostTries how many are
	// made until reports are waited for.
	tryEvery  = 30 * time.Millisecond
	mostTries = 8
	// presumeAfter is how long after its expected end a load is taken to be done.
	presumeAfter = 20 * time.Millisecond
	// presumeSettle is how long after that a report must show it.
	presumeSettle = time.Second
)

// settle returns how long after its expected end an order that no report shows
// counts as lost.
func (p *pending) settle() time.Duration {
	if p.presumed {
		return presumeSettle
	}
	return settleTime
}

// presume takes a load from disk or memory to be done at its expected end. The
// time of a load from the store depends on others.
func (w *World) presume(e *engine, now time.Time) {
	p := e.pending
	if p == nil || p.presumed || p.doubt || p.stored || p.order.Kind != site.Load || p.order.Adapter != "" {
		return
	}
	if !now.Before(p.ready.Add(presumeAfter)) {
		p.presumed = true
		w.touch(e)
	}
}

// hasten returns the load for which the pending drop makes room, if the drop
// can be done by now.
func (w *World) hasten(e *engine, spec site.Model, now time.Time) (Move, bool) {
	p := e.pending
	drop := p.order
	if drop.Kind != site.Unload || drop.Adapter != "" || p.doubt || p.tries > mostTries || e.unsure || e.doubt.asking || now.Before(e.rest) ||
		now.Sub(p.accepted) < dropTime || now.Sub(p.tried) < tryEvery || w.use(drop.Model).running > 0 {
		return Move{}, false
	}
	if w.source(e, spec.Name) == fromStore && !w.withinRate(now) {
		return Move{}, false
	}
	dropped := w.spec.Models[drop.Model]
	if free := w.spec.MemoryMB - w.heldMB(e) + dropped.SizeMB + float64(len(e.Held[drop.Model]))*dropped.AdapterMB; free < spec.SizeMB {
		return Move{}, false
	}
	return w.step(e, spec.Name, "", "room", now), true
}

// presumeDrop takes the pending drop to be done for a load that is sent.
func (w *World) presumeDrop(e *engine, load *pending) {
	load.after = e.pending
	load.after.dropped = e.Held[load.after.order.Model]
	// Views share the map.
	e.Held = maps.Clone(e.Held)
	delete(e.Held, load.after.order.Model)
}

// finishDrop notes that the engine took the load, so that the drop is done.
func (w *World) finishDrop(e *engine, load *pending, now time.Time) {
	if drop := load.after; drop != nil {
		w.done = append(w.done, Done{Upstream: e.ID, Order: drop.order, Took: now.Sub(drop.began), Expected: drop.ready.Sub(drop.began)})
		load.after = nil
	}
}

// resumeDrop goes back to a drop that was not done yet.
func (w *World) resumeDrop(e *engine, load *pending, now time.Time) {
	w.forgetLoad(load, now)
	drop := load.after
	e.Held = maps.Clone(e.Held)
	e.Held[drop.order.Model] = drop.dropped
	drop.tried, drop.ready = now, now.Add(askEvery)
	drop.tries++
	e.pending, e.purpose, e.within = drop, load.order.Model, now.Add(roomTime)
	w.touch(e)
}

// dropIn returns how long a drop is expected to take from now on.
func (w *World) dropIn(p *pending, now time.Time) time.Duration {
	done := p.accepted.Add(dropTime)
	if p.accepted.IsZero() {
		done = p.sent.Add(dropTime)
	}
	if w.use(p.order.Model).running > 0 || p.tries > mostTries {
		done = p.sent.Add(time.Duration(drainTime * float64(time.Second)))
	}
	return max(done.Sub(now), 0)
}
