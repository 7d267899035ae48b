package cells_test

import (
	"fmt"
	"time"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/cells"
	"cardamomcourse.example/cardamom/engine"
	"cardamomcourse.example/cardamom/hold"
	"cardamomcourse.example/cardamom/policy"
)

const worldDocument = `{
	"profiles": {"p": {"replicas": 2, "keep": "fixed", "keep_ms": 1000}, "one": {"extends": "p", "replicas": 1}},
	"services": {"s": {"kind": "models", "places": ["x"], "fencing": %t, "runner_memory_mb": 100}},
	"models": {
		"a": {"service": "s", "profile": "p", "memory_mb": 40, "checkpoint_mb": 40},
		"b": {"service": "s", "profile": "one", "memory_mb": 60, "checkpoint_mb": 60},
		"c": {"service": "s", "profile": "one", "memory_mb": 50, "checkpoint_mb": 50},
		"a1": {"service": "s", "profile": "p", "base": "a", "memory_mb": 10, "checkpoint_mb": 5},
		"b1": {"service": "s", "profile": "one", "base": "b", "memory_mb": 10, "checkpoint_mb": 5}
	}
}`

const (
	worldCell     = cardamom.CellID("s/x/0")
	worldResource = hold.Resource("cell/s/x/0")
	worldMemory   = 100
)

// simEngine simulates an engine that checks neither memory nor quotas.
type simEngine struct {
	listed      cardamom.Upstream
	fencing     bool
	incarnation cardamom.Incarnation
	fence       cardamom.Fence
	loaded      map[cardamom.ModelID]engine.Loaded
	accepted    map[string]bool
	orders      []string
	removed     bool
}

func (e *simEngine) apply(order engine.Order) error {
	if e.removed {
		return engine.ErrOutcomeUnknown
	}
	if e.fencing && order.Fence < e.fence {
		return engine.ErrStaleFence
	}
	e.fence = max(e.fence, order.Fence)
	if e.accepted[order.ID] {
		return nil
	}
	switch order.Kind {
	case engine.OrderLoad:
		if _, held := e.loaded[order.Model]; held {
			return engine.ErrRefused
		}
		if base, ok := e.loaded[order.Base]; order.Base != "" && (!ok || base.State != engine.Ready) {
			return engine.ErrRefused
		}
		e.loaded[order.Model] = engine.Loaded{Model: order.Model, State: engine.Loading, OrderID: order.ID, Memory: order.Memory}
	case engine.OrderUnload:
		delete(e.loaded, order.Model)
	}
	e.accepted[order.ID] = true
	e.orders = append(e.orders, order.ID)
	return nil
}

func (e *simEngine) report() *engine.Report {
	report := &engine.Report{
		Incarnation: e.incarnation, Fence: e.fence, Fencing: e.fencing, Memory: worldMemory, Slots: 2,
		Orders: append([]string(nil), e.orders...), Cached: map[cardamom.ModelID]cardamom.Tier{},
	}
	for _, loaded := range e.loaded {
		report.Loaded = append(report.Loaded, loaded)
	}
	return report
}

// sentOrder is an order on the simulated network.
type sentOrder struct {
	from    *cells.Cell
	command cells.Command
}

// world simulates a cell with its engines, witness and network, and their faults.
type world struct {
	document *policy.Document
	fencing  bool
	now      time.Time
	version  uint64
	engines  []*simEngine
	witness  *hold.Witness
	cell     *cells.Cell
	paused   []*cells.Cell
	network  []sentOrder
	uses     []cells.Use
}

func newWorld(fencing bool, engines int) (*world, error) {
	document, err := policy.Parse("world", fmt.Appendf(nil, worldDocument, fencing))
	if err != nil {
		return nil, err
	}
	w := &world{document: document, fencing: fencing, now: time.Unix(1000, 0), version: 1, witness: hold.NewWitness()}
	for n := range engines {
		w.engines = append(w.engines, &simEngine{
			listed:  cardamom.Upstream{ID: cardamom.UpstreamID(fmt.Sprintf("u%d", n)), Service: "s", DataCentre: "x", Address: "a", State: cardamom.Live},
			fencing: fencing, incarnation: 1, loaded: map[cardamom.ModelID]engine.Loaded{}, accepted: map[string]bool{},
		})
	}
	w.cell = w.newCell()
	w.record(hold.Record{Resource: worldResource, Fence: cardamom.Fence(w.version), Reset: true})
	return w, nil
}

func (w *world) newCell() *cells.Cell {
	cell := cells.New(worldCell, fmt.Sprintf("holder-%d", w.version), w.document)
	cell.SetHold(cardamom.Fence(w.version), w.fencing, false)
	cell.SetUpstreams(w.listed(), w.now)
	return cell
}

func (w *world) listed() []cardamom.Upstream {
	var listed []cardamom.Upstream
	for _, e := range w.engines {
		if !e.removed {
			listed = append(listed, e.listed)
		}
	}
	return listed
}

func (w *world) record(record hold.Record) bool { return w.witness.Apply(record) }

// takeOver replaces the holder by a successor built from the witness's entries.
// The old holder is only paused and may resume later.
func (w *world) takeOver() {
	w.paused = append(w.paused, w.cell)
	entries := w.witness.Entries(worldResource)
	w.version++
	w.cell = w.newCell()
	for _, entry := range entries {
		w.cell.Adopt(decodeEntry(entry))
	}
	w.record(hold.Record{Resource: worldResource, Fence: cardamom.Fence(w.version), Reset: true, Entries: encodeAll(w.cell.Placements())})
}

// decide runs one round of a holder and records its loads before they are sent.
func (w *world) decide(cell *cells.Cell) {
	cell.UpdateFollower(cells.Watch{Instance: "i", Seq: cell.Seq(), Uses: w.uses}, w.now)
	for _, command := range cell.Decide(w.now) {
		entry := encodeEntry(cells.Placement{Upstream: command.Upstream, Order: command.Order})
		if command.RecordFirst && !w.record(hold.Record{Resource: worldResource, Fence: cell.Fence(), Entries: []hold.Entry{entry}}) {
			cell.ApplySendResult(command.Upstream, command.Order.ID, cells.ErrNotRecorded, w.now)
			continue
		}
		w.network = append(w.network, sentOrder{from: cell, command: command})
	}
	for _, id := range cell.TakeEndedLoads() {
		w.record(hold.Record{Resource: worldResource, Fence: cell.Fence(), Entries: []hold.Entry{{ID: id, Removed: true}}})
	}
}

// deliver delivers one order to its engine. A duplicate arrives again later; with
// a lost reply the sender doesn't know whether the order took effect.
func (w *world) deliver(n int, duplicate, loseReply bool) {
	m := w.network[n]
	if !duplicate {
		w.network = append(w.network[:n], w.network[n+1:]...)
	}
	result := w.engineOf(m.command.Upstream).apply(m.command.Order)
	if loseReply {
		result = engine.ErrOutcomeUnknown
	}
	m.from.ApplySendResult(m.command.Upstream, m.command.Order.ID, result, w.now)
}

// dropOrder drops an order before it reaches its engine, which the sender can't know.
func (w *world) dropOrder(n int) {
	m := w.network[n]
	w.network = append(w.network[:n], w.network[n+1:]...)
	m.from.ApplySendResult(m.command.Upstream, m.command.Order.ID, engine.ErrOutcomeUnknown, w.now)
}

func (w *world) engineOf(id cardamom.UpstreamID) *simEngine {
	for _, e := range w.engines {
		if e.listed.ID == id {
			return e
		}
	}
	return nil
}

func (w *world) report(cell *cells.Cell, e *simEngine) {
	if !e.removed {
		cell.ApplyReport(e.listed.ID, e.report(), w.now)
	}
}

func (w *world) finishLoads(e *simEngine) {
	for model, loaded := range e.loaded {
		loaded.State = engine.Ready
		e.loaded[model] = loaded
	}
}

// remove ends an engine for good. Orders in flight to it are lost.
func (w *world) remove(e *simEngine) {
	e.removed = true
	e.loaded = map[cardamom.ModelID]engine.Loaded{}
	w.cell.SetUpstreams(w.listed(), w.now)
}

// violation describes a limit that the engines' true state exceeds, empty if none.
func (w *world) violation() string {
	replicas := make(map[cardamom.ModelID]int)
	for _, e := range w.engines {
		memory := 0
		for model, loaded := range e.loaded {
			replicas[model]++
			memory += loaded.Memory
		}
		if memory > worldMemory {
			return fmt.Sprintf("%s has %d MB loaded of %d MB", e.listed.ID, memory, worldMemory)
		}
	}
	for id, count := range replicas {
		model, _ := w.document.Model(id)
		if count > model.Quota(worldCell) {
			return fmt.Sprintf("%d replicas of %s, quota %d", count, id, model.Quota(worldCell))
		}
	}
	return ""
}
