package plan

import (
	"maps"
	"time"

	"cardamomcourse.example/cardamom/site"
)

// The reports of engines are some hundred milliseconds old, as the platform documents.
// The next order or request is therefore sent when the order before it should be done,
// not when a report shows that. An engine refuses a load while the unload before it
// waits, and a request while the load of its model runs, so sending either too early
// loses nothing.

const (
	// unloadTime is the pause between an accepted unload and the load that it makes
	// room for, if no request for the unloaded model is in flight: such unloads take
	// 50 ms on both deployments.
	unloadTime = 50 * time.Millisecond
	// loadRetryInterval is the time between two attempts at that load.
	loadRetryInterval = 30 * time.Millisecond
	// maxLoadRetries is how many retries are made before waiting for a report.
	maxLoadRetries = 8
	// presumeDelay is how long after its expected end a load is presumed done.
	presumeDelay = 20 * time.Millisecond
	// presumedLostAfter is how long after its expected end a load that is presumed
	// done counts as lost unless a report shows it.
	presumedLostAfter = time.Second
)

// isAccepted reports whether the engine has accepted this order for certain.
func (p *pending) isAccepted() bool { return !p.unanswered && !p.contested }

// lostAfter returns how long after its expected end an order counts as lost if no
// report shows that it was carried out.
func (p *pending) lostAfter() time.Duration {
	if p.presumed {
		return presumedLostAfter
	}
	return orderLostAfter
}

// presumeLoaded presumes a load from disk or memory done shortly after its expected
// end. Loads from the store are left out, since their duration depends on other loads.
func (pl *Planner) presumeLoaded(e *engine, now time.Time) {
	p := e.pending
	if p == nil || p.presumed || !p.isAccepted() || p.storeLoad || p.order.Kind != site.Load || p.order.Adapter != "" {
		return
	}
	if !now.Before(p.expectedEnd.Add(presumeDelay)) {
		p.presumed = true
		pl.markChanged(e)
	}
}

// loadBeforeReport returns the load for which the pending unload makes room, if
// the unload should be done by now.
func (pl *Planner) loadBeforeReport(e *engine, spec site.Model, now time.Time) (PlannedOrder, bool) {
	p := e.pending
	unload := p.order
	if unload.Kind != site.Unload || unload.Adapter != "" || !p.isAccepted() || p.refusedLoads > maxLoadRetries || e.needsReport || e.suspicion.suspected || now.Before(e.pausedUntil) ||
		now.Sub(p.accepted) < unloadTime || now.Sub(p.lastRefusal) < loadRetryInterval || pl.demandOf(unload.Model).running > 0 {
		return PlannedOrder{}, false
	}
	if pl.source(e, spec.Name) == fromStore && !pl.withinStoreRate(now) {
		return PlannedOrder{}, false
	}
	unloaded := pl.spec.Models[unload.Model]
	if free := pl.spec.MemoryMB - pl.loadedMB(e) + unloaded.SizeMB + float64(len(e.Loaded[unload.Model]))*unloaded.AdapterMB; free < spec.SizeMB {
		return PlannedOrder{}, false
	}
	return pl.nextOrder(e, spec.Name, "", "room", now), true
}

// presumeUnloaded presumes the pending unload done for a load that is being
// sent.
func (pl *Planner) presumeUnloaded(e *engine, load *pending) {
	load.precedingUnload = e.pending
	load.precedingUnload.unloadedAdapters = e.Loaded[load.precedingUnload.order.Model]
	// Views that usableView returned earlier share the map.
	e.Loaded = maps.Clone(e.Loaded)
	delete(e.Loaded, load.precedingUnload.order.Model)
}

// finishUnload records that the engine accepted the load, which shows that the
// preceding unload, if there was one, is done.
func (pl *Planner) finishUnload(e *engine, load *pending, now time.Time) {
	if unload := load.precedingUnload; unload != nil {
		pl.ended = append(pl.ended, EndedOrder{Upstream: e.ID, Order: unload.order, Took: now.Sub(unload.firstSent), Expected: unload.expectedEnd.Sub(unload.firstSent)})
		load.precedingUnload = nil
	}
}

// resumeUnload restores the preceding unload of a refused load as the pending
// order.
func (pl *Planner) resumeUnload(e *engine, load *pending, now time.Time) {
	pl.undoLoadStart(load, now)
	unload := load.precedingUnload
	e.Loaded = maps.Clone(e.Loaded)
	e.Loaded[unload.order.Model] = unload.unloadedAdapters
	unload.lastRefusal, unload.expectedEnd = now, now.Add(reportInterval)
	unload.refusedLoads++
	e.pending, e.target, e.targetUntil = unload, load.order.Model, now.Add(targetTimeout)
	pl.markChanged(e)
}

// unloadRemaining returns how much longer an unload is expected to take.
func (pl *Planner) unloadRemaining(p *pending, now time.Time) time.Duration {
	done := p.accepted.Add(unloadTime)
	if p.accepted.IsZero() {
		done = p.lastSent.Add(unloadTime)
	}
	if pl.demandOf(p.order.Model).running > 0 || p.refusedLoads > maxLoadRetries {
		done = p.lastSent.Add(drainTime)
	}
	return max(done.Sub(now), 0)
}
