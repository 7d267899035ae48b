package plan

import (
	"time"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/site"
)

const (
	// reportInterval is the time between two report requests to an engine with a
	// pending order.
	reportInterval = 100 * time.Millisecond
	// reportLead is how long before the expected end of an order its reports are
	// first requested.
	reportLead = 30 * time.Millisecond
)

// Move is an order to an engine. The sender sets its holder and fencing token.
type Move struct {
	Upstream cardamom.Upstream
	Order    site.Order
	// Reason is why the order is sent, in one word.
	Reason string
	// Purpose is the model that is loaded now or once there is room for it, Source
	// where it is loaded from, and AtHand how many engines have it in memory or on
	// disk.
	Purpose cardamom.ModelID
	Source  string
	AtHand  int
}

// Sent records that an order is being sent.
func (w *World) Sent(m Move, now time.Time) {
	e, ok := w.engines[m.Upstream.ID]
	if !ok {
		return
	}
	w.addOverlap(now)
	p := &pending{order: m.Order, firstSent: now, lastSent: now, unanswered: true, reportRequested: now, overlapUntil: now}
	p.expectedEnd = now
	if e.pending != nil {
		w.presumeUnloaded(e, p)
	}
	if m.Order.Kind == site.Load && m.Order.Adapter == "" {
		p.expectedEnd = now.Add(w.loadTime(e, m.Order.Model))
		p.storeLoad = w.source(e, m.Order.Model) == fromStore
		if p.storeLoad {
			w.store.loadStarts = append(w.store.loadStarts, now)
		}
	}
	e.pending, e.lastOrder = p, now
	w.markChanged(e)
}

// Answered records the result of an order.
func (w *World) Answered(m Move, result site.OrderResult, now time.Time) {
	e, ok := w.engines[m.Upstream.ID]
	if !ok || e.pending == nil || e.pending.order != m.Order {
		return
	}
	p := e.pending
	e.lastOrder = now
	switch result {
	case site.OrderAccepted, site.OrderHolds:
		p.unanswered = false
		if result == site.OrderAccepted || m.Order.Adapter != "" {
			e.orders = max(e.orders, m.Order.Expect+1)
		}
		p.accepted = now
		w.finishUnload(e, p, now)
		switch {
		case m.Order.Adapter != "":
			w.setAdapter(e, m.Order, now)
			e.pending = nil
		case result == site.OrderHolds:
			e.pending = nil
			e.needsReport = true
		case p.order.Kind == site.Load:
			p.expectedEnd = now.Add(w.loadTime(e, m.Order.Model))
		default:
			p.expectedEnd = now.Add(reportInterval)
		}
		w.markChanged(e)
	case site.OrderUnknown:
		p.expectedEnd = now.Add(resendAfter)
	case site.OrderFenced:
		// The engine obeys another holder, so its refusal says nothing about its
		// state.
		e.pausedUntil = now.Add(refusalPause)
	default:
		if p.precedingUnload != nil {
			w.resumeUnload(e, p, now)
			return
		}
		w.discardOrder(e, now)
	}
}

// discardOrder removes the pending order, which the engine did not accept.
func (w *World) discardOrder(e *engine, now time.Time) {
	w.undoLoadStart(e.pending, now)
	e.pending = nil
	e.needsReport = true
	e.pausedUntil = now.Add(refusalPause)
	w.markChanged(e)
}

// setAdapter records that an adapter was loaded or unloaded.
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
		e.adapterReady[key] = now.Add(adapterLoadTime)
		e.adapterUsed[key] = now
	}
	if _, ok := held[order.Model]; ok {
		held[order.Model] = names
	}
	e.Held = held
}

// Asks returns the engines whose report is due, and counts them as asked.
func (w *World) Asks(now time.Time) []cardamom.Upstream {
	var list []cardamom.Upstream
	for _, e := range w.sorted() {
		p := e.pending
		due := e.needsReport && !now.Before(e.pausedUntil)
		if p != nil {
			due = !now.Before(p.expectedEnd.Add(-reportLead)) && now.Sub(p.reportRequested) >= reportInterval
		}
		if e.suspicion.reportDue(now) {
			due, e.suspicion.requested = true, now
		}
		if !due {
			continue
		}
		if p != nil {
			p.reportRequested = now
		} else {
			e.pausedUntil = now.Add(foreignReportInterval)
		}
		list = append(list, e.Upstream.Upstream)
	}
	return list
}

// Again returns the unanswered orders that are to be sent again. The order count
// of the engine makes sure that each is carried out at most once.
func (w *World) Again(now time.Time) []Move {
	var resends []Move
	for _, e := range w.sorted() {
		if p := e.pending; p != nil && p.unanswered && now.Sub(p.lastSent) >= resendAfter && !now.Before(e.pausedUntil) {
			p.lastSent = now
			e.pausedUntil = now.Add(refusalPause)
			resends = append(resends, Move{Upstream: e.Upstream.Upstream, Order: p.order, Reason: "unanswered"})
		}
	}
	return resends
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
		if e.target == model && e.pending != nil {
			consider(w.unloadRemaining(e.pending, now) + w.loadTime(e, model) + presumeDelay)
		}
		switch view := e.usableView(); {
		case view.Holds(model, adapter):
			consider(e.adapterReady[string(model)+"/"+adapter].Sub(now))
		case view.Holds(model, ""):
			consider(adapterLoadTime)
		}
		if p := e.pending; p != nil && p.order.Kind == site.Load && p.order.Model == model && p.order.Adapter == "" {
			consider(p.expectedEnd.Add(presumeDelay).Sub(now))
		}
	}
	if known {
		return best, true
	}
	for _, e := range w.engines {
		if !e.live() {
			continue
		}
		wait := w.loadTime(e, model) + reportInterval
		if p := e.pending; p != nil {
			wait += p.expectedEnd.Sub(now)
		}
		consider(wait)
	}
	return best, known
}
