package plan

import (
	"time"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/site"
)

// usableView returns the engine with the model that its pending order is
// presumed to have loaded, and without the models that the order unloads.
func (e *engine) usableView() *site.Upstream {
	view := e.Upstream
	if e.suspicion.down {
		view.Loaded = nil
		return &view
	}
	p := e.pending
	if p == nil {
		return &view
	}
	view.Loaded = make(map[cardamom.ModelID][]string, len(e.Loaded)+1)
	if p.presumed {
		view.Loaded[p.order.Model] = nil
	}
	for model, adapters := range e.Loaded {
		if !p.unloads(model) {
			view.Loaded[model] = adapters
		}
	}
	return &view
}

// hasVersion reports whether the engine has a software version, which is any if empty.
func (e *engine) hasVersion(version string) bool { return version == "" || e.Version == version }

// replicasAt returns how many engines with a software version have a model or will have it.
func (pl *Planner) replicasAt(version string, model cardamom.ModelID) int {
	count := 0
	for _, e := range pl.engines {
		if e.hasVersion(version) && e.live() && (e.loadedAfterOrder(model) || e.target == model) {
			count++
		}
	}
	return count
}

// Live returns the engines that are listed as live and not suspected.
func (pl *Planner) Live() []cardamom.Upstream {
	var list []cardamom.Upstream
	for _, e := range pl.sorted() {
		if e.live() && !e.suspicion.suspected {
			list = append(list, e.Upstream.Upstream)
		}
	}
	return list
}

// Ready returns the engines that can run requests for the model and adapter now.
func (pl *Planner) Ready(model cardamom.ModelID, adapter string, now time.Time) []*site.Upstream {
	return pl.ReadyAtVersion(model, adapter, "", now)
}

// ReadyAtVersion is Ready for requests that only engines with a software version may run,
// any if it is empty.
func (pl *Planner) ReadyAtVersion(model cardamom.ModelID, adapter, version string, now time.Time) []*site.Upstream {
	var list []*site.Upstream
	for _, e := range pl.sorted() {
		view := e.usableView()
		if e.hasVersion(version) && e.live() && !e.suspicion.suspected && pl.quiet(e, now) == 0 && view.HasLoaded(model, adapter) && !now.Before(e.adapterReady[string(model)+"/"+adapter]) {
			list = append(list, view)
		}
	}
	return list
}
