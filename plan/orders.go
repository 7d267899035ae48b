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

// PlannedOrder is an order to send to an engine. The sender sets the holder of the
// lease and its fencing token in the order.
type PlannedOrder struct {
	Upstream cardamom.Upstream
	Order    site.Order
	// Reason is why the order is sent, in one word: see loadOrder, and "room" for an
	// order after an unload that made room, "adapter" for the order for an adapter and
	// "unanswered" for an order that is sent again.
	Reason string
	// Target is the model that this order loads, or that is loaded after it has made
	// room.
	Target cardamom.ModelID
	// Source is where the target is loaded from: "memory", "disk" or "store".
	Source string
	// LocalEngines is how many engines have the target in memory or on disk.
	LocalEngines int
}

// Sent records that an order is being sent.
func (pl *Planner) Sent(o PlannedOrder, now time.Time) {
	e, ok := pl.engines[o.Upstream.ID]
	if !ok {
		return
	}
	pl.addOverlap(now)
	p := &pending{order: o.Order, firstSent: now, lastSent: now, unanswered: true, reportRequested: now, overlapUntil: now}
	p.expectedEnd = now
	if e.pending != nil {
		pl.presumeUnloaded(e, p)
	}
	if o.Order.Kind == site.Load && o.Order.Adapter == "" {
		p.expectedEnd = now.Add(pl.loadTime(e, o.Order.Model))
		p.storeLoad = pl.source(e, o.Order.Model) == fromStore
		if p.storeLoad {
			pl.store.loadStarts = append(pl.store.loadStarts, now)
		}
	}
	e.pending, e.lastOrder = p, now
	pl.markChanged(e)
}

// Answered records the result of an order.
func (pl *Planner) Answered(o PlannedOrder, result site.OrderResult, now time.Time) {
	e, ok := pl.engines[o.Upstream.ID]
	if !ok || e.pending == nil || e.pending.order != o.Order {
		return
	}
	p := e.pending
	e.lastOrder = now
	switch result {
	case site.OrderAccepted, site.OrderAlreadyDone:
		p.unanswered, p.contested = false, false
		if result == site.OrderAccepted || o.Order.Adapter != "" {
			e.acceptedOrders = max(e.acceptedOrders, o.Order.ExpectedOrders+1)
		}
		p.accepted = now
		pl.finishUnload(e, p, now)
		switch {
		case o.Order.Adapter != "":
			pl.setAdapter(e, o.Order, now)
			e.pending = nil
		case result == site.OrderAlreadyDone:
			e.pending = nil
			e.needsReport = true
		case p.order.Kind == site.Load:
			p.expectedEnd = now.Add(pl.loadTime(e, o.Order.Model))
		default:
			p.expectedEnd = now.Add(reportInterval)
		}
		pl.markChanged(e)
	case site.OrderUnknown:
		if p.unanswered {
			p.expectedEnd = now
		}
	case site.OrderFenced:
		// The engine got an order of a newer coordinator, so its refusal says nothing
		// about its state.
		e.pausedUntil = now.Add(refusalPause)
	default:
		switch {
		case !p.unanswered:
			// The engine accepted the order when it was sent the other time, or another in
			// its place, which a report shows.
		case p.resent:
			p.expectedEnd = now
		case p.precedingUnload != nil:
			pl.resumeUnload(e, p, now)
		default:
			pl.discardOrder(e, now)
		}
	}
}

// discardOrder removes the pending order, which the engine did not accept.
func (pl *Planner) discardOrder(e *engine, now time.Time) {
	pl.undoLoadStart(e.pending, now)
	e.pending = nil
	e.needsReport = true
	e.pausedUntil = now.Add(refusalPause)
	pl.markChanged(e)
}

// setAdapter records that an adapter was loaded or unloaded.
func (pl *Planner) setAdapter(e *engine, order site.Order, now time.Time) {
	loaded := make(map[cardamom.ModelID][]string, len(e.Loaded))
	for model, adapters := range e.Loaded {
		loaded[model] = adapters
	}
	var names []string
	for _, name := range loaded[order.Model] {
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
	if _, ok := loaded[order.Model]; ok {
		loaded[order.Model] = names
	}
	e.Loaded = loaded
}

// DueReports returns the engines whose report is due, and records that it is
// requested.
func (pl *Planner) DueReports(now time.Time) []cardamom.Upstream {
	var list []cardamom.Upstream
	for _, e := range pl.sorted() {
		p := e.pending
		due := e.needsReport && !now.Before(e.pausedUntil)
		if p != nil {
			due = !now.Before(p.expectedEnd.Add(-reportLead)) && now.Sub(p.reportRequested) >= reportInterval
		}
		if e.suspicion.reportDue(now) {
			due, e.suspicion.reportRequested = true, now
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

// Resends returns the unanswered orders that are to be sent again. The order
// count of the engine makes sure that each is carried out at most once.
func (pl *Planner) Resends(now time.Time) []PlannedOrder {
	var resends []PlannedOrder
	for _, e := range pl.sorted() {
		if p := e.pending; p != nil && p.unanswered && now.Sub(p.lastSent) >= resendAfter && !now.Before(e.pausedUntil) {
			p.lastSent, p.resent = now, true
			e.pausedUntil = now.Add(refusalPause)
			resends = append(resends, PlannedOrder{Upstream: e.Upstream.Upstream, Order: p.order, Reason: "unanswered"})
		}
	}
	return resends
}

// ReadyIn returns how long a request for the model and adapter is expected to
// wait, and whether that is known.
func (pl *Planner) ReadyIn(model cardamom.ModelID, adapter string, now time.Time) (time.Duration, bool) {
	return pl.ReadyInAtVersion(model, adapter, "", now)
}

// ReadyInAtVersion is ReadyIn for a request that only engines with a software version may
// run, any if it is empty.
func (pl *Planner) ReadyInAtVersion(model cardamom.ModelID, adapter, version string, now time.Time) (time.Duration, bool) {
	best, known := time.Duration(0), false
	consider := func(wait time.Duration) {
		if !known || wait < best {
			best, known = max(wait, 0), true
		}
	}
	for _, e := range pl.engines {
		if !e.live() || !e.hasVersion(version) {
			continue
		}
		if e.target == model && e.pending != nil {
			consider(max(pl.unloadRemaining(e.pending, now)+pl.loadTime(e, model)+presumeDelay, pl.quiet(e, now)))
		}
		switch view := e.usableView(); {
		case view.HasLoaded(model, adapter):
			consider(max(e.adapterReady[string(model)+"/"+adapter].Sub(now), pl.quiet(e, now)))
		case view.HasLoaded(model, ""):
			consider(max(adapterLoadTime, pl.quiet(e, now)))
		}
		if p := e.pending; p != nil && p.order.Kind == site.Load && p.order.Model == model && p.order.Adapter == "" {
			consider(max(p.expectedEnd.Add(presumeDelay).Sub(now), pl.quiet(e, now)))
		}
	}
	if known {
		return best, true
	}
	for _, e := range pl.engines {
		if !e.live() || !e.hasVersion(version) {
			continue
		}
		wait := pl.loadTime(e, model) + reportInterval
		if p := e.pending; p != nil {
			wait += p.expectedEnd.Sub(now)
		}
		consider(max(wait, pl.quiet(e, now)))
	}
	return best, known
}
