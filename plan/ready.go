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

// Ready returns the engines that can run requests for the model and adapter now.
func (pl *Planner) Ready(model cardamom.ModelID, adapter string, now time.Time) []*site.Upstream {
	var list []*site.Upstream
	for _, e := range pl.sorted() {
		view := e.usableView()
		if e.live() && !e.suspicion.suspected && pl.quiet(e, now) == 0 && view.HasLoaded(model, adapter) && !now.Before(e.adapterReady[string(model)+"/"+adapter]) {
			list = append(list, view)
		}
	}
	return list
}
