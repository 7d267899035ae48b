package plan

import (
	"time"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/site"
)

// EndedOrder is an order that was carried out, or never will be.
type EndedOrder struct {
	Upstream cardamom.UpstreamID
	Order    site.Order
	Took     time.Duration
	// Expected is how long it was expected to take when it was accepted.
	Expected time.Duration
	// Displaced means that the engine accepted an order of an earlier coordinator in its
	// place, so that it never carries this one out.
	Displaced bool
}

// TakeEnded returns the orders that ended since the last call.
func (pl *Planner) TakeEnded() []EndedOrder {
	ended := pl.ended
	pl.ended = nil
	return ended
}

// end removes the pending order of an engine, which was carried out or displaced.
func (pl *Planner) end(e *engine, displaced bool, now time.Time) {
	p := e.pending
	pl.ended = append(pl.ended, EndedOrder{Upstream: e.ID, Order: p.order, Took: now.Sub(p.firstSent), Expected: p.expectedEnd.Sub(p.firstSent), Displaced: displaced})
	e.pending = nil
	pl.markChanged(e)
}

// settle finds out by a report what became of the pending order of an engine.
//
// Once the engine has accepted more orders than the pending one expects, it has accepted
// that one or another that expects the same number, and the count doesn't tell which. Only
// an answer of the engine or what it has loaded does.
func (pl *Planner) settle(e *engine, report site.Report, now time.Time) {
	p := e.pending
	if p == nil || report.AcceptedOrders <= p.order.ExpectedOrders {
		return
	}
	if p.unanswered {
		p.unanswered, p.contested = false, true
		p.expectedEnd = now.Add(pl.loadTime(e, p.order.Model))
	}
	switch {
	case e.hasEffect(p.order):
		if p.storeLoad {
			pl.adjustConcurrency(p, now)
		}
		pl.end(e, false, now)
	case p.contested && (!report.Busy || p.order.Adapter != ""):
		// Orders for adapters take no time. A load from the store still counts towards the
		// rate limit, since the order in its place may be one.
		pl.addOverlap(now)
		pl.end(e, true, now)
	}
}

// hasEffect reports whether the engine has loaded what a load orders, or lacks what an
// unload does.
func (e *engine) hasEffect(order site.Order) bool {
	return e.HasLoaded(order.Model, order.Adapter) == (order.Kind == site.Load)
}
