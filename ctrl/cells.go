package ctrl

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/cells"
	"cardamomcourse.example/cardamom/claim"
	"cardamomcourse.example/cardamom/engine"
	"cardamomcourse.example/cardamom/hold"
	"cardamomcourse.example/cardamom/peerpb"
	"cardamomcourse.example/cardamom/route"
)

// heldCell is a cell that this instance decides.
type heldCell struct {
	resource hold.Resource
	cell     *cells.Cell
	epoch    uint64
	recorder claim.Recorder
	paused   bool
	dirty    bool
	decided  time.Time
	pollers  map[cardamom.UpstreamID]*poller
	parked   []*watched
	unsaved  []hold.Entry
	saving   bool
}

// decideEvery is the time between two rounds of a cell without news.
const decideEvery = 100 * time.Millisecond

func (h *heldCell) entries() []hold.Entry {
	var entries []hold.Entry
	for _, placement := range h.cell.Placements() {
		entries = append(entries, entryOf(placement.Upstream, placement.Order))
	}
	return entries
}

func entryOf(upstream cardamom.UpstreamID, order engine.Order) hold.Entry {
	body := encodePlacement(placementWire{
		Upstream: string(upstream), Fence: uint64(order.Fence), Model: string(order.Model),
		Base: string(order.Base), Memory: order.Memory, Checkpoint: order.Checkpoint,
	})
	return hold.Entry{ID: order.ID, Body: body}
}

func placementOf(entry hold.Entry) (cells.Placement, error) {
	var wire placementWire
	if err := json.Unmarshal(entry.Body, &wire); err != nil {
		return cells.Placement{}, eris.Wrapf(err, "decode placement %s", entry.ID)
	}
	return cells.Placement{
		Upstream: cardamom.UpstreamID(wire.Upstream),
		Order: engine.Order{
			ID: entry.ID, Fence: cardamom.Fence(wire.Fence), Kind: engine.OrderLoad,
			Model: cardamom.ModelID(wire.Model), Base: cardamom.ModelID(wire.Base),
			Memory: wire.Memory, Checkpoint: wire.Checkpoint,
		},
	}, nil
}

func (l *Loop) takeCell(row hold.Row, now time.Time) {
	id := cellOf(row.Resource())
	service, ok := serviceOf(l.published.Document(), id)
	if !ok {
		return
	}
	owner := fmt.Sprintf("%s-%d-%d", l.peers.Party().ID(), l.peers.Party().Incarnation(), row.Version())
	held := &heldCell{
		resource: row.Resource(), cell: cells.New(id, owner, l.published.Document()),
		epoch: row.Version(), pollers: make(map[cardamom.UpstreamID]*poller),
	}
	lossy := row.Lossy() == row.Version() && row.Version() > 0
	held.cell.Hold(row.Fence(), service.Fencing(), lossy)
	adopted := l.witness.Entries(row.Resource())
	l.listCell(held, now)
	for _, entry := range adopted {
		placement, err := placementOf(entry)
		if err != nil {
			l.options.Logger.Error("placement_unreadable", "resource", row.Resource(), "error", err)
			continue
		}
		held.cell.Adopt(placement)
	}
	l.witness.Forget(row.Resource())
	l.witness.Raise(row.Resource(), row.Fence())
	l.cells[row.Resource()] = held
	l.options.Logger.Info("cell_held", "cell", id, "version", row.Version(), "adopted", len(adopted), "lossy", lossy)
	l.reopenCell(held, row)
}

func (l *Loop) reopenCell(held *heldCell, row hold.Row) {
	if l.busy[row.Resource()] {
		return
	}
	service, ok := serviceOf(l.published.Document(), held.cell.ID())
	if !ok {
		return
	}
	if row.Fence() != held.cell.Fence() {
		held.cell.Hold(row.Fence(), service.Fencing(), row.Lossy() == held.epoch)
	}
	held.recorder = nil
	if !row.Witness().None() {
		held.recorder = l.recorder(row.Witness())
	}
	held.paused = false
	held.dirty = true
}

func (l *Loop) loseCell(held *heldCell, row hold.Row) {
	for _, p := range held.pollers {
		p.cancel()
	}
	for _, parked := range held.parked {
		parked.reply <- &peerpb.WatchReply{NotHolder: true}
	}
	delete(l.cells, held.resource)
	l.options.Logger.Info("cell_lost", "cell", held.cell.ID(), "holder", row.Holder().ID())
}

// listCell gives a held cell its listed upstreams and polls each.
func (l *Loop) listCell(held *heldCell, now time.Time) {
	service, ok := serviceOf(l.published.Document(), held.cell.ID())
	if !ok {
		return
	}
	var listed []cardamom.Upstream
	for _, upstream := range l.list.Upstreams() {
		if upstream.Service != service.ID() {
			continue
		}
		if cell, ok := route.CellOf(service, upstream); ok && cell == held.cell.ID() {
			listed = append(listed, upstream)
		}
	}
	held.cell.List(listed, now)
	held.dirty = true
	l.syncPollers(held, listed)
}

func (l *Loop) syncPollers(held *heldCell, listed []cardamom.Upstream) {
	wanted := make(map[cardamom.UpstreamID]bool, len(listed))
	for _, upstream := range listed {
		wanted[upstream.ID] = true
		if _, polled := held.pollers[upstream.ID]; !polled {
			held.pollers[upstream.ID] = l.startPoller(held.resource, upstream)
		}
	}
	for id, p := range held.pollers {
		if !wanted[id] {
			p.cancel()
			delete(held.pollers, id)
		}
	}
}

// reported is an upstream's account of itself.
type reported struct {
	resource hold.Resource
	upstream cardamom.UpstreamID
	report   *engine.Report
}

func (e reported) apply(l *Loop, now time.Time) {
	held, ok := l.cells[e.resource]
	if !ok {
		return
	}
	held.cell.Reported(e.upstream, e.report, now)
	held.dirty = true
	l.decide(held, now)
}

// decide takes a cell's due decisions and sends the orders.
func (l *Loop) decide(held *heldCell, now time.Time) {
	if !held.paused && (held.dirty || now.Sub(held.decided) >= decideEvery) {
		held.decided = now
		held.dirty = false
		for _, command := range held.cell.Decide(now) {
			l.sendOrder(held, command)
		}
		held.hurry()
	}
	l.saveDrops(held)
	l.answerParked(held, now)
}

// sent is the result of an order.
type sent struct {
	resource hold.Resource
	upstream cardamom.UpstreamID
	order    string
	result   error
}

func (l *Loop) sendOrder(held *heldCell, command cells.Command) {
	resource, recorder, fence := held.resource, held.recorder, held.cell.Fence()
	if command.Order.Kind != engine.OrderFence {
		l.options.Logger.Info("order", "cell", held.cell.ID(), "kind", command.Order.Kind, "model", command.Order.Model,
			"upstream", command.Upstream, "order_id", command.Order.ID)
	}
	l.start(func(ctx context.Context) event {
		result := sent{resource: resource, upstream: command.Upstream, order: command.Order.ID}
		if recorder != nil && command.Order.Kind != engine.OrderFence {
			// An unload has nothing to record, but a holder that was succeeded
			// must not send it either.
			record := hold.Record{Resource: resource, Fence: fence}
			if command.Record {
				record.Entries = []hold.Entry{entryOf(command.Upstream, command.Order)}
			}
			if err := recorder.Record(ctx, record); err != nil {
				result.result = cells.ErrNotRecorded
				return result
			}
		}
		limited, cancel := context.WithTimeout(ctx, l.options.Settings.EngineTimeout())
		defer cancel()
		result.result = l.options.Engines.Send(limited, command.Address, command.Order)
		return result
	})
}

func (e sent) apply(l *Loop, now time.Time) {
	held, ok := l.cells[e.resource]
	if !ok {
		return
	}
	if e.result != nil {
		l.options.Logger.Warn("order_failed", "cell", held.cell.ID(), "upstream", e.upstream, "order_id", e.order, "error", e.result)
	}
	held.cell.Sent(e.upstream, e.order, e.result, now)
	held.dirty = true
}

// saved is the result of recording ended loads.
type saved struct {
	resource hold.Resource
	err      error
}

// saveDrops tells the witness of loads that have ended.
func (l *Loop) saveDrops(held *heldCell) {
	for _, id := range held.cell.Dropped() {
		held.unsaved = append(held.unsaved, hold.Entry{ID: id, Dropped: true})
	}
	if len(held.unsaved) == 0 || held.saving || held.paused || held.recorder == nil {
		return
	}
	held.saving = true
	record := hold.Record{Resource: held.resource, Fence: held.cell.Fence(), Entries: held.unsaved}
	held.unsaved = nil
	recorder := held.recorder
	l.start(func(ctx context.Context) event {
		return saved{resource: record.Resource, err: recorder.Record(ctx, record)}
	})
}

func (e saved) apply(l *Loop, _ time.Time) {
	if held, ok := l.cells[e.resource]; ok {
		held.saving = false
	}
}
