package plan

import (
	"time"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/site"
)

const (
	// askEvery is the time between two reports of an engine with an order.
	askEvery = 100 * time.Millisecond
	// askAhead is how long before an order's expected end reports start.
	askAhead = 30 * time.Millisecond
)

// Move is an order to an engine. Its holder and fence are set by the sender.
type Move struct {
	Upstream cardamom.Upstream
	Order    site.Order
	// Reason says in a word why the order is given.
	Reason string
	// Purpose is the model that is loaded now or once room is made for it,
	// Source says where from, and AtHand on how many engines it is in memory or
	// on disk.
	Purpose cardamom.ModelID
	Source  string
	AtHand  int
}

// Sent takes that an order is on its way.
func (w *World) Sent(m Move, now time.Time) {
	e, ok := w.engines[m.Upstream.ID]
	if !ok {
		return
	}
	w.countBeside(now)
	p := &pending{order: m.Order, began: now, sent: now, doubt: true, asked: now, counted: now}
	p.ready = now
	if e.pending != nil {
		w.presumeDrop(e, p)
	}
	if m.Order.Kind == site.Load && m.Order.Adapter == "" {
		p.ready = now.Add(w.loadTime(e, m.Order.Model))
		p.stored = w.source(e, m.Order.Model) == fromStore
		if p.stored {
			w.weights.loads = append(w.weights.loads, now)
		}
	}
	e.pending, e.ordered = p, now
	w.touch(e)
}

// Answered takes the answer to an order.
func (w *World) Answered(m Move, result site.OrderResult, now time.Time) {
	e, ok := w.engines[m.Upstream.ID]
	if !ok || e.pending == nil || e.pending.order != m.Order {
		return
	}
	p := e.pending
	e.ordered = now
	switch result {
	case site.OrderAccepted, site.OrderHolds:
		p.doubt = false
		if result == site.OrderAccepted || m.Order.Adapter != "" {
			e.orders = max(e.orders, m.Order.Expect+1)
		}
		p.accepted = now
		w.finishDrop(e, p, now)
		switch {
		case m.Order.Adapter != "":
			w.setAdapter(e, m.Order, now)
			e.pending = nil
		case result == site.OrderHolds:
			e.pending = nil
			e.unsure = true
		case p.order.Kind == site.Load:
			p.ready = now.Add(w.loadTime(e, m.Order.Model))
		default:
			p.ready = now.Add(askEvery)
		}
		w.touch(e)
	case site.OrderUnknown:
		p.ready = now.Add(doubtTime)
	case site.OrderFenced:
		// Nothing may be concluded from another holder's engine.
		e.rest = now.Add(failureRest)
	default:
		if p.after != nil {
			w.resumeDrop(e, p, now)
			return
		}
		w.drop(e, now)
	}
}

// drop forgets an order that the engine did not take.
func (w *World) drop(e *engine, now time.Time) {
	w.forgetLoad(e.pending, now)
	e.pending = nil
	e.unsure = true
	e.rest = now.Add(failureRest)
	w.touch(e)
}

// setAdapter notes an adapter that was loaded or dropped.
func (w *World) setAdapter(e *engine, order site.Order, now time.Time) {
	held := make(map[cardamom.ModelID][]string, len(e.Held))
	for model, adapters := range e.Held {
		held[model] = adapters
	}
	var names []string
	for _, name := range held[order.Model] {
		if name != order.Adapter {
			names = append(names, name)
		}
	}
	if order.Kind == site.Load {
		names = append(names, order.Adapter)
		key := string(order.Model) + "/" + order.Adapter
		e.ready[key] = now.Add(adapterTime)
		e.used[key] = now
	}
	if _, ok := held[order.Model]; ok {
		held[order.Model] = names
	}
	e.Held = held
}

// Asks returns the engines whose report is due.
func (w *World) Asks(now time.Time) []cardamom.Upstream {
	var list []cardamom.Upstream
	for _, e := range w.sorted() {
		p := e.pending
		due := e.unsure && !now.Before(e.rest)
		if p != nil {
			due = !now.Before(p.ready.Add(-askAhead)) && now.Sub(p.asked) >= askEvery
		}
		if e.doubt.due(now) {
			due, e.doubt.asked = true, now
		}
		if !due {
			continue
		}
		if p != nil {
			p.asked = now
		} else {
			e.rest = now.Add(foreignAsk)
		}
		list = append(list, e.Upstream.Upstream)
	}
	return list
}

// Again returns the orders that got no answer and are to be sent again. The
// engine's order count makes sure that only one of them is carried out.
func (w *World) Again(now time.Time) []Move {
	var moves []Move
	for _, e := range w.sorted() {
		if p := e.pending; p != nil && p.doubt && now.Sub(p.sent) >= doubtTime && !now.Before(e.rest) {
			p.sent = now
			e.rest = now.Add(failureRest)
			moves = append(moves, Move{Upstream: e.Upstream.Upstream, Order: p.order, Reason: "unanswered"})
		}
	}
	return moves
}

// ReadyIn returns how long a request for the model and adapter is expected to
// wait, and whether that is known.
func (w *World) ReadyIn(model cardamom.ModelID, adapter string, now time.Time) (time.Duration, bool) {
	best, known := time.Duration(0), false
	consider := func(wait time.Duration) {
		if !known || wait < best {
			best, known = max(wait, 0), true
		}
	}
	for _, e := range w.engines {
		if !e.live() {
			continue
		}
		if e.purpose == model && e.pending != nil {
			consider(w.dropIn(e.pending, now) + w.loadTime(e, model) + presumeAfter)
		}
		switch view := e.usable(); {
		case view.Holds(model, adapter):
			consider(e.ready[string(model)+"/"+adapter].Sub(now))
		case view.Holds(model, ""):
			consider(adapterTime)
		}
		if p := e.pending; p != nil && p.order.Kind == site.Load && p.order.Model == model && p.order.Adapter == "" {
			consider(p.ready.Add(presumeAfter).Sub(now))
		}
	}
	if known {
		return best, true
	}
	for _, e := range w.engines {
		if !e.live() {
			continue
		}
		wait := w.loadTime(e, model) + askEvery
		if p := e.pending; p != nil {
			wait += p.ready.Sub(now)
		}
		consider(wait)
	}
	return best, known
}
