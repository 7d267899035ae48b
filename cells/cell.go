// Package cells decides which models are loaded on the upstreams of one cell, a
// group of a service's upstreams in one data centre.
//
// A Cell belongs to the control goroutine of the instance that holds the cell (see
// package hold). It is given events (reports, results of orders, demand of
// instances) and returns the orders to send. It counts memory and replicas as freed
// only once a report shows it; a timeout alone never frees them.
//
// # Usage
//
//	cell := cells.New("muse-models/psyrri-hall/0", "entry-1-17", document)
//	cell.SetUpstreams(upstreams, now)
//	cell.ApplyReport("runner-1", report, now)
//	cell.UpdateFollower(watch, now)
//	for _, command := range cell.Decide(now) { ... }
package cells

import (
	"errors"
	"fmt"
	"sort"
	"time"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/engine"
	"cardamomcourse.example/cardamom/policy"
	"cardamomcourse.example/cardamom/retain"
)

// Command is an order for one upstream.
type Command struct {
	Upstream cardamom.UpstreamID
	Address  string
	Order    engine.Order
	// RecordFirst is set if the witness must record the order before it is sent.
	RecordFirst bool
}

// pending is an order that is not settled: no report has shown its outcome yet.
type pending struct {
	order    engine.Order
	sentAt   time.Time
	inFlight bool
	// uncertain is set once a send of the order may have been accepted, after which
	// the failure of another send doesn't prove that the order took no effect.
	uncertain bool
	// refused is set once the engine has refused a send of an uncertain order. The
	// order is not sent again: a report with a newer fencing token settles it.
	refused bool
}

// upstream is what the cell knows of one upstream.
type upstream struct {
	listed      cardamom.Upstream
	incarnation cardamom.Incarnation
	memory      int
	slots       int
	// fenced is set if the engine refuses the orders of earlier holders or the
	// service has no fencing.
	fenced     bool
	loaded     map[cardamom.ModelID]engine.Loaded
	cached     map[cardamom.ModelID]cardamom.Tier
	reportedAt time.Time
	pending    map[string]*pending
	// draining holds, for each draining model, the sequence number of the change
	// that makes followers stop sending requests to its replica.
	draining map[cardamom.ModelID]uint64
	// retryAfter is when a model may be loaded again after an order for it failed.
	retryAfter   map[cardamom.ModelID]time.Time
	loadingSince map[cardamom.ModelID]time.Time
}

// Cell is the state of one cell.
type Cell struct {
	id                cardamom.CellID
	owner             string
	document          *policy.Document
	fence             cardamom.Fence
	fencing           bool
	placementsUnknown bool
	orderSeq          uint64
	upstreams         map[cardamom.UpstreamID]*upstream
	histories         map[cardamom.ModelID]*retain.History
	profileHistories  map[string]*retain.History
	followers         map[cardamom.InstanceID]*follower
	view              *followerView
	// loadTimePerMB is the moving average of the nanoseconds it takes to load one MB.
	loadTimePerMB float64
	endedLoads    []string
}

// New returns a cell without upstreams. The owner is unique to one run of one
// instance and is the prefix of every order's ID.
func New(id cardamom.CellID, owner string, document *policy.Document) *Cell {
	return &Cell{
		id: id, owner: owner, document: document,
		upstreams:        make(map[cardamom.UpstreamID]*upstream),
		histories:        make(map[cardamom.ModelID]*retain.History),
		profileHistories: make(map[string]*retain.History),
		followers:        make(map[cardamom.InstanceID]*follower),
		view:             newFollowerView(),
	}
}

// ID returns the cell's name.
func (c *Cell) ID() cardamom.CellID { return c.id }

// Fence returns the fencing token of the hold under which the cell decides.
func (c *Cell) Fence() cardamom.Fence { return c.fence }

// SetHold sets the fencing token of the hold. If fencing is set, the engines refuse
// older tokens. If placementsUnknown is set, placements of earlier holders may be
// missing, so an upstream without a report may have any model loaded.
func (c *Cell) SetHold(fence cardamom.Fence, fencing, placementsUnknown bool) {
	if fence > c.fence {
		for _, u := range c.upstreams {
			u.fenced = false
		}
	}
	c.fence = fence
	c.fencing = fencing
	c.placementsUnknown = placementsUnknown
}

// SetDocument sets the profile document that decisions follow.
func (c *Cell) SetDocument(document *policy.Document) { c.document = document }

// SetUpstreams sets the cell's upstreams to those the platform lists. An upstream that
// is no longer listed has ended, and so has all that was loaded on it.
func (c *Cell) SetUpstreams(listed []cardamom.Upstream, _ time.Time) {
	seen := make(map[cardamom.UpstreamID]bool, len(listed))
	for _, l := range listed {
		seen[l.ID] = true
		c.upstream(l.ID).listed = l
	}
	for id, u := range c.upstreams {
		if seen[id] {
			continue
		}
		for orderID := range u.pending {
			c.endedLoads = append(c.endedLoads, orderID)
		}
		for _, loaded := range u.loaded {
			c.endedLoads = append(c.endedLoads, loaded.OrderID)
		}
		delete(c.upstreams, id)
	}
	c.updateView()
}

func (c *Cell) upstream(id cardamom.UpstreamID) *upstream {
	u, ok := c.upstreams[id]
	if !ok {
		u = &upstream{
			listed:       cardamom.Upstream{ID: id},
			loaded:       make(map[cardamom.ModelID]engine.Loaded),
			pending:      make(map[string]*pending),
			draining:     make(map[cardamom.ModelID]uint64),
			retryAfter:   make(map[cardamom.ModelID]time.Time),
			loadingSince: make(map[cardamom.ModelID]time.Time),
		}
		c.upstreams[id] = u
	}
	return u
}

// ApplyReport applies a report of an upstream's engine.
func (c *Cell) ApplyReport(id cardamom.UpstreamID, report *engine.Report, now time.Time) {
	u, ok := c.upstreams[id]
	if !ok {
		return
	}
	before := u.loaded
	c.measureLoads(u, report, now)
	u.incarnation = report.Incarnation
	u.memory = report.Memory
	u.slots = report.Slots
	u.cached = report.Cached
	u.reportedAt = now
	u.fenced = !c.fencing || report.Fence >= c.fence.ForOrder(0)
	u.loaded = make(map[cardamom.ModelID]engine.Loaded, len(report.Loaded))
	for _, loaded := range report.Loaded {
		u.loaded[loaded.Model] = loaded
	}
	c.settle(u, report)
	for model, loaded := range before {
		if _, still := u.loaded[model]; !still {
			delete(u.draining, model)
			c.recordEnded(u, loaded.OrderID)
		}
	}
	c.updateView()
}

// measureLoads updates the average load time from the loads that the report shows finished.
func (c *Cell) measureLoads(u *upstream, report *engine.Report, now time.Time) {
	for _, loaded := range report.Loaded {
		known, held := u.loaded[loaded.Model]
		model, ok := c.document.Model(loaded.Model)
		since := u.loadingSince[loaded.Model]
		switch {
		case loaded.State == engine.Loading && since.IsZero():
			u.loadingSince[loaded.Model] = now
		case loaded.State == engine.Ready && held && known.State == engine.Loading && ok && !since.IsZero():
			sample := float64(now.Sub(since)) / float64(model.Checkpoint())
			if c.loadTimePerMB == 0 {
				c.loadTimePerMB = sample
			}
			c.loadTimePerMB += loadSmoothing * (sample - c.loadTimePerMB)
			delete(u.loadingSince, loaded.Model)
		}
	}
}

// settle removes the pending orders that the report shows accepted, and those that
// the engine can no longer accept because it has seen a newer fencing token.
func (c *Cell) settle(u *upstream, report *engine.Report) {
	accepted := make(map[string]bool, len(report.Orders))
	for _, id := range report.Orders {
		accepted[id] = true
	}
	for id, p := range u.pending {
		stale := c.fencing && p.order.Fence < report.Fence
		if !accepted[id] && !stale {
			continue
		}
		delete(u.pending, id)
		loaded, held := u.loaded[p.order.Model]
		if p.order.Kind == engine.OrderLoad && (!held || loaded.OrderID != id) {
			c.recordEnded(u, id)
		}
		if p.order.Kind == engine.OrderLoad && !held {
			u.retryAfter[p.order.Model] = u.reportedAt.Add(failedLoadBackoff)
		}
	}
}

// ApplySendResult applies the result of one send of an order. A send that failed
// says nothing of earlier sends, which may have been accepted without a reply. Only an
// engine without fencing tokens settles those by refusing the order, since it accepts
// again what it has accepted and no report can show more.
func (c *Cell) ApplySendResult(id cardamom.UpstreamID, orderID string, result error, now time.Time) {
	u, ok := c.upstreams[id]
	if !ok {
		return
	}
	p, ok := u.pending[orderID]
	if !ok {
		return
	}
	p.inFlight = false
	if !hadNoEffect(result) {
		p.uncertain = true
		return
	}
	refused := errors.Is(result, engine.ErrRefused)
	if p.uncertain && (c.fencing || !refused) {
		p.refused = refused && p.order.Kind != engine.OrderFence
		return
	}
	delete(u.pending, orderID)
	u.retryAfter[p.order.Model] = now.Add(failedLoadBackoff)
	if p.order.Kind == engine.OrderLoad {
		c.recordEnded(u, orderID)
	}
}

// Placement is an ordered load, as the witness records it.
type Placement struct {
	Upstream cardamom.UpstreamID
	Order    engine.Order
}

// Adopt adds a placement of an earlier holder. Its memory stays reserved until a
// report settles it.
func (c *Cell) Adopt(placement Placement) {
	u := c.upstream(placement.Upstream)
	u.pending[placement.Order.ID] = &pending{order: placement.Order, uncertain: true}
}

// Placements returns every load that may be in effect, sorted by order ID.
func (c *Cell) Placements() []Placement {
	var placements []Placement
	for id, u := range c.upstreams {
		for _, p := range u.pending {
			if p.order.Kind == engine.OrderLoad {
				placements = append(placements, Placement{Upstream: id, Order: p.order})
			}
		}
		for model, loaded := range u.loaded {
			if _, isPending := u.pending[loaded.OrderID]; isPending {
				continue
			}
			placements = append(placements, Placement{Upstream: id, Order: c.loadOrder(loaded.OrderID, model, loaded.Memory)})
		}
	}
	sort.Slice(placements, func(i, j int) bool { return placements[i].Order.ID < placements[j].Order.ID })
	return placements
}

func (c *Cell) loadOrder(id string, model cardamom.ModelID, memory int) engine.Order {
	order := engine.Order{ID: id, Fence: c.fence.ForOrder(c.orderSeq), Kind: engine.OrderLoad, Model: model, Memory: memory}
	if known, ok := c.document.Model(model); ok {
		order.Base = known.Base()
		order.Checkpoint = known.Checkpoint()
	}
	return order
}

// TakeEndedLoads returns the order IDs of the loads that ended since the last call.
func (c *Cell) TakeEndedLoads() []string {
	ended := c.endedLoads
	c.endedLoads = nil
	return ended
}

// recordEnded records that a load has ended, unless its model is still loaded.
func (c *Cell) recordEnded(u *upstream, orderID string) {
	for _, loaded := range u.loaded {
		if loaded.OrderID == orderID {
			return
		}
	}
	c.endedLoads = append(c.endedLoads, orderID)
}

// Count returns how many replicas of a model are loaded or may be, because a
// load of it is pending.
func (c *Cell) Count(model cardamom.ModelID) int {
	count := 0
	for _, u := range c.upstreams {
		count += u.count(model)
	}
	return count
}

func (u *upstream) count(model cardamom.ModelID) int {
	if _, ok := u.loaded[model]; ok {
		return 1
	}
	for _, p := range u.pending {
		if p.order.Kind == engine.OrderLoad && p.order.Model == model {
			return 1
		}
	}
	return 0
}

// ReservedMemory returns the memory in MB that loaded models and pending loads take on
// an upstream.
func (c *Cell) ReservedMemory(id cardamom.UpstreamID) int {
	u, ok := c.upstreams[id]
	if !ok {
		return 0
	}
	return u.reservedMemory()
}

func (u *upstream) reservedMemory() int {
	reserved := 0
	for _, loaded := range u.loaded {
		reserved += loaded.Memory
	}
	for _, p := range u.pending {
		if p.order.Kind != engine.OrderLoad {
			continue
		}
		if _, held := u.loaded[p.order.Model]; !held {
			reserved += p.order.Memory
		}
	}
	return reserved
}

// reportIntervalPerUpstream times the cell's number of upstreams is the time between
// two reports of an upstream in use, which bounds the rate of reports of a cell.
const reportIntervalPerUpstream = 125 * time.Millisecond

// noReportDue is longer than any time between two reports and means that none is due.
const noReportDue = time.Hour

// ReportDue returns the time until the upstream's next report is to be fetched and
// whether one is due: the upstream has sent none yet, an order is pending, a model
// loads or drains, or followers use it.
func (c *Cell) ReportDue(id cardamom.UpstreamID) (time.Duration, bool) {
	u, ok := c.upstreams[id]
	if !ok {
		return 0, false
	}
	due := noReportDue
	for _, loaded := range u.loaded {
		if loaded.State == engine.Loading {
			due = min(due, loaded.ReadyIn)
		}
	}
	if len(u.pending) > 0 || len(u.draining) > 0 || u.reportedAt.IsZero() {
		due = 0
	}
	if due == noReportDue && c.sharers(u) > 0 {
		due = time.Duration(len(c.upstreams)) * reportIntervalPerUpstream
	}
	return due, due < noReportDue
}

// trusted reports whether the upstream's last report may be used for decisions: it
// is recent and the engine refuses the orders of earlier holders.
func (u *upstream) trusted(now time.Time) bool {
	return !u.reportedAt.IsZero() && now.Sub(u.reportedAt) < maxReportAge && u.fenced
}

func (c *Cell) nextOrderID() string {
	c.orderSeq++
	return fmt.Sprintf("%s-%d", c.owner, c.orderSeq)
}
