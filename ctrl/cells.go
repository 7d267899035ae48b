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

// heldCell is the state of a cell whose hold this instance has.
type heldCell struct {
	resource hold.Resource
	cell     *cells.Cell
	// epoch is the version of the row that made this instance the holder. Watch
	// requests and replies carry it as Fence.
	epoch    uint64
	recorder claim.Recorder
	// paused is set while the state is copied to a new witness or holder and the
	// row is written.
	paused bool
	// dirty is set if a decision is due before decideInterval has passed.
	dirty       bool
	decidedAt   time.Time
	pollers     map[cardamom.UpstreamID]*poller
	openWatches []*watchReceived
	// unrecorded are the removals of ended loads that are not sent to the witness yet.
	unrecorded []hold.Entry
	// recording is set while such removals are being sent.
	recording bool
}

// decideInterval is the time between two decisions about a cell when nothing
// has changed.
const decideInterval = 100 * time.Millisecond

func (h *heldCell) entries() []hold.Entry {
	var entries []hold.Entry
	for _, placement := range h.cell.Placements() {
		entries = append(entries, placementEntry(placement.Upstream, placement.Order))
	}
	return entries
}

func placementEntry(upstream cardamom.UpstreamID, order engine.Order) hold.Entry {
	body := encodePlacement(placementWire{
		Upstream: string(upstream), Fence: uint64(order.Fence), Model: string(order.Model),
		Base: string(order.Base), Memory: order.Memory, Checkpoint: order.Checkpoint,
	})
	return hold.Entry{ID: order.ID, Body: body}
}

func decodePlacement(entry hold.Entry) (cells.Placement, error) {
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

func (l *Loop) acquireCell(row hold.Row, now time.Time) {
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
	lossy := row.LossVersion() == row.Version() && row.Version() > 0
	held.cell.SetHold(row.Fence(), service.Fencing(), lossy)
	adopted := l.witness.Entries(row.Resource())
	l.syncUpstreams(held, now)
	for _, entry := range adopted {
		placement, err := decodePlacement(entry)
		if err != nil {
			l.options.Logger.Error("placement_unreadable", "resource", row.Resource(), "error", err)
			continue
		}
		held.cell.Adopt(placement)
	}
	l.witness.Forget(row.Resource())
	l.witness.RaiseFence(row.Resource(), row.Fence())
	l.cells[row.Resource()] = held
	l.options.Logger.Info("cell_held", "cell", id, "version", row.Version(), "adopted", len(adopted), "lossy", lossy)
	l.resumeCell(held, row)
}

func (l *Loop) resumeCell(held *heldCell, row hold.Row) {
	if l.stepRunning[row.Resource()] {
		return
	}
	service, ok := serviceOf(l.published.Document(), held.cell.ID())
	if !ok {
		return
	}
	if row.Fence() != held.cell.Fence() {
		held.cell.SetHold(row.Fence(), service.Fencing(), row.LossVersion() == held.epoch)
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
	for _, watch := range held.openWatches {
		watch.reply <- &peerpb.WatchReply{NotHolder: true}
	}
	delete(l.cells, held.resource)
	l.options.Logger.Info("cell_lost", "cell", held.cell.ID(), "holder", row.Holder().ID())
}

// syncUpstreams sets a held cell's upstreams from the platform's list and polls
// each for reports.
func (l *Loop) syncUpstreams(held *heldCell, now time.Time) {
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
	held.cell.SetUpstreams(listed, now)
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

// reportReceived is a report that an upstream returned.
type reportReceived struct {
	resource hold.Resource
	upstream cardamom.UpstreamID
	report   *engine.Report
}

func (e reportReceived) apply(l *Loop, now time.Time) {
	held, ok := l.cells[e.resource]
	if !ok {
		return
	}
	held.cell.ApplyReport(e.upstream, e.report, now)
	held.dirty = true
	l.decide(held, now)
}

// decide sends a cell's orders if a decision is due, records ended loads and
// answers the watches that are due.
func (l *Loop) decide(held *heldCell, now time.Time) {
	if !held.paused && (held.dirty || now.Sub(held.decidedAt) >= decideInterval) {
		held.decidedAt = now
		held.dirty = false
		for _, command := range held.cell.Decide(now) {
			l.sendOrder(held, command)
		}
		held.wakePollers()
	}
	l.recordEndedLoads(held)
	l.answerWatches(held, now)
}

// orderSent is the result of sending an order.
type orderSent struct {
	resource hold.Resource
	upstream cardamom.UpstreamID
	orderID  string
	err      error
}

func (l *Loop) sendOrder(held *heldCell, command cells.Command) {
	resource, recorder, fence := held.resource, held.recorder, held.cell.Fence()
	if command.Order.Kind != engine.OrderFence {
		l.options.Logger.Info("order", "cell", held.cell.ID(), "kind", command.Order.Kind, "model", command.Order.Model,
			"upstream", command.Upstream, "order_id", command.Order.ID)
	}
	l.start(func(ctx context.Context) event {
		result := orderSent{resource: resource, upstream: command.Upstream, orderID: command.Order.ID}
		if recorder != nil && command.Order.Kind != engine.OrderFence {
			// An unload has no entry to record. The empty record still checks
			// that the witness hasn't seen a newer holder.
			record := hold.Record{Resource: resource, Fence: fence}
			if command.RecordFirst {
				record.Entries = []hold.Entry{placementEntry(command.Upstream, command.Order)}
			}
			if err := recorder.Record(ctx, record); err != nil {
				result.err = cells.ErrNotRecorded
				return result
			}
		}
		limited, cancel := context.WithTimeout(ctx, l.options.Settings.EngineTimeout())
		defer cancel()
		result.err = l.options.Engines.Send(limited, command.Address, command.Order)
		return result
	})
}

func (e orderSent) apply(l *Loop, now time.Time) {
	held, ok := l.cells[e.resource]
	if !ok {
		return
	}
	if e.err != nil {
		l.options.Logger.Warn("order_failed", "cell", held.cell.ID(), "upstream", e.upstream, "order_id", e.orderID, "error", e.err)
	}
	held.cell.ApplySendResult(e.upstream, e.orderID, e.err, now)
	held.dirty = true
}

// endedLoadsRecorded is the result of removing ended loads from the witness.
type endedLoadsRecorded struct {
	resource hold.Resource
	err      error
}

// recordEndedLoads removes loads that have ended from the witness's entries.
func (l *Loop) recordEndedLoads(held *heldCell) {
	for _, id := range held.cell.TakeEndedLoads() {
		held.unrecorded = append(held.unrecorded, hold.Entry{ID: id, Removed: true})
	}
	if len(held.unrecorded) == 0 || held.recording || held.paused || held.recorder == nil {
		return
	}
	held.recording = true
	record := hold.Record{Resource: held.resource, Fence: held.cell.Fence(), Entries: held.unrecorded}
	held.unrecorded = nil
	recorder := held.recorder
	l.start(func(ctx context.Context) event {
		return endedLoadsRecorded{resource: record.Resource, err: recorder.Record(ctx, record)}
	})
}

func (e endedLoadsRecorded) apply(l *Loop, _ time.Time) {
	if held, ok := l.cells[e.resource]; ok {
		held.recording = false
	}
}
