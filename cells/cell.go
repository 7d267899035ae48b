// Package cells decides which models are loaded on the upstreams of one cell.
//
// A Cell is owned by the control goroutine of the instance that holds it. It
// takes events (reports, results of orders, use by instances) and returns the
// orders to send. It never counts memory or a replica slot as free until a
// report shows it: time decides when to act, never what is free.
//
// # Usage
//
//	cell := cells.New("muse-models/psyrri-hall/0", "entry-1-17", document)
//	cell.List(upstreams, now)
//	cell.Reported("runner-1", report, now)
//	cell.Used("entry-2", use, now)
//	for _, command := range cell.Decide(now) { ... }
package cells

import (
	"fmt"
	"sort"
	"time"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/engine"
	"cardamomcourse.example/cardamom/keep"
	"cardamomcourse.example/cardamom/policy"
)

// Command is an order for one upstream.
type Command struct {
	Upstream cardamom.UpstreamID
	Address  string
	Order    engine.Order
	// Record tells that the order must be recorded before it is sent.
	Record bool
}

// pending is an order whose effect no report has shown yet.
type pending struct {
	order    engine.Order
	sentAt   time.Time
	accepted bool
	inFlight bool
}

// upstream is what the cell knows of one upstream.
type upstream struct {
	listed      cardamom.Upstream
	incarnation cardamom.Incarnation
	memory      int
	slots       int
	fenced      bool
	loaded      map[cardamom.ModelID]engine.Loaded
	cached      map[cardamom.ModelID]cardamom.Tier
	reported    time.Time
	pending     map[string]*pending
	draining    map[cardamom.ModelID]uint64
	barred      map[cardamom.ModelID]time.Time
	loading     map[cardamom.ModelID]time.Time
}

// Cell is the state of one cell.
type Cell struct {
	id        cardamom.CellID
	owner     string
	document  *policy.Document
	fence     cardamom.Fence
	fencing   bool
	lossy     bool
	orders    uint64
	upstreams map[cardamom.UpstreamID]*upstream
	history   map[cardamom.ModelID]*keep.History
	classes   map[string]*keep.History
	watchers  map[cardamom.InstanceID]*watcher
	exports   *exports
	// loadPerMB is the average time in nanoseconds of loading one MB.
	loadPerMB float64
	dropped   []string
}

// New returns a cell without upstreams. The owner is unique to one run of one
// instance and starts the identity of each order.
func New(id cardamom.CellID, owner string, document *policy.Document) *Cell {
	return &Cell{
		id: id, owner: owner, document: document,
		upstreams: make(map[cardamom.UpstreamID]*upstream),
		history:   make(map[cardamom.ModelID]*keep.History),
		classes:   make(map[string]*keep.History),
		watchers:  make(map[cardamom.InstanceID]*watcher),
		exports:   newExports(),
	}
}

// ID returns the cell's name.
func (c *Cell) ID() cardamom.CellID { return c.id }

// Fence returns the fence of the hold the cell is decided under.
func (c *Cell) Fence() cardamom.Fence { return c.fence }

// Hold sets the fence of the hold. Fencing tells that the engines refuse older
// fences. Lossy tells that earlier placements are not known, so that an
// upstream without a report may have any model loaded.
func (c *Cell) Hold(fence cardamom.Fence, fencing, lossy bool) {
	if fence > c.fence {
		for _, u := range c.upstreams {
			u.fenced = false
		}
	}
	c.fence = fence
	c.fencing = fencing
	c.lossy = lossy
}

// Publish sets the document that decisions follow.
func (c *Cell) Publish(document *policy.Document) { c.document = document }

// List takes the platform's list of the cell's upstreams. An upstream that is
// no longer listed has ended, with all that was loaded on it.
func (c *Cell) List(listed []cardamom.Upstream, _ time.Time) {
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
			c.dropped = append(c.dropped, orderID)
		}
		for _, loaded := range u.loaded {
			c.dropped = append(c.dropped, loaded.OrderID)
		}
		delete(c.upstreams, id)
	}
	c.export()
}

func (c *Cell) upstream(id cardamom.UpstreamID) *upstream {
	u, ok := c.upstreams[id]
	if !ok {
		u = &upstream{
			listed:   cardamom.Upstream{ID: id},
			loaded:   make(map[cardamom.ModelID]engine.Loaded),
			pending:  make(map[string]*pending),
			draining: make(map[cardamom.ModelID]uint64),
			barred:   make(map[cardamom.ModelID]time.Time),
			loading:  make(map[cardamom.ModelID]time.Time),
		}
		c.upstreams[id] = u
	}
	return u
}

// Reported takes an upstream's account of itself.
func (c *Cell) Reported(id cardamom.UpstreamID, report *engine.Report, now time.Time) {
	u, ok := c.upstreams[id]
	if !ok {
		return
	}
	before := u.loaded
	c.learnLoads(u, report, now)
	u.incarnation = report.Incarnation
	u.memory = report.Memory
	u.slots = report.Slots
	u.cached = report.Cached
	u.reported = now
	u.fenced = !c.fencing || report.Fence >= c.fence.Order(0)
	u.loaded = make(map[cardamom.ModelID]engine.Loaded, len(report.Loaded))
	for _, loaded := range report.Loaded {
		u.loaded[loaded.Model] = loaded
	}
	c.settle(u, report)
	for model, loaded := range before {
		if _, still := u.loaded[model]; !still {
			delete(u.draining, model)
			c.drop(u, loaded.OrderID)
		}
	}
	c.export()
}

// learnLoads takes the times of loads that the report shows finished.
func (c *Cell) learnLoads(u *upstream, report *engine.Report, now time.Time) {
	for _, loaded := range report.Loaded {
		known, held := u.loaded[loaded.Model]
		model, ok := c.document.Model(loaded.Model)
		since := u.loading[loaded.Model]
		switch {
		case loaded.State == engine.Loading && since.IsZero():
			u.loading[loaded.Model] = now
		case loaded.State == engine.Ready && held && known.State == engine.Loading && ok && !since.IsZero():
			sample := float64(now.Sub(since)) / float64(model.Checkpoint())
			if c.loadPerMB == 0 {
				c.loadPerMB = sample
			}
			c.loadPerMB += loadSmoothing * (sample - c.loadPerMB)
			delete(u.loading, loaded.Model)
		}
	}
}

// settle ends the pending orders whose effect the report shows, and those of
// an earlier holder that a fenced engine can no longer accept.
func (c *Cell) settle(u *upstream, report *engine.Report) {
	accepted := make(map[string]bool, len(report.Orders))
	for _, id := range report.Orders {
		accepted[id] = true
	}
	for id, p := range u.pending {
		stale := c.fencing && u.fenced && p.order.Fence < c.fence.Order(0)
		if !accepted[id] && !stale {
			continue
		}
		delete(u.pending, id)
		loaded, held := u.loaded[p.order.Model]
		if p.order.Kind == engine.OrderLoad && (!held || loaded.OrderID != id) {
			c.drop(u, id)
		}
		if p.order.Kind == engine.OrderLoad && !held {
			u.barred[p.order.Model] = u.reported.Add(retryLoad)
		}
	}
}

// Sent takes the result of sending an order.
func (c *Cell) Sent(id cardamom.UpstreamID, orderID string, result error, now time.Time) {
	u, ok := c.upstreams[id]
	if !ok {
		return
	}
	p, ok := u.pending[orderID]
	if !ok {
		return
	}
	p.inFlight = false
	switch {
	case result == nil:
		p.accepted = true
	case proven(result):
		delete(u.pending, orderID)
		u.barred[p.order.Model] = now.Add(retryLoad)
		if p.order.Kind == engine.OrderLoad {
			c.drop(u, orderID)
		}
	}
}

// Placement is a load that was ordered, in the form kept with the witness.
type Placement struct {
	Upstream cardamom.UpstreamID
	Order    engine.Order
}

// Adopt takes a placement of an earlier holder. It stays charged until a
// report settles it.
func (c *Cell) Adopt(placement Placement) {
	u := c.upstream(placement.Upstream)
	u.pending[placement.Order.ID] = &pending{order: placement.Order, accepted: true}
}

// Placements returns every load that may be in effect, in order of identity.
func (c *Cell) Placements() []Placement {
	var placements []Placement
	for id, u := range c.upstreams {
		for _, p := range u.pending {
			if p.order.Kind == engine.OrderLoad {
				placements = append(placements, Placement{Upstream: id, Order: p.order})
			}
		}
		for model, loaded := range u.loaded {
			if _, waits := u.pending[loaded.OrderID]; waits {
				continue
			}
			placements = append(placements, Placement{Upstream: id, Order: c.loadOrder(loaded.OrderID, model, loaded.Memory)})
		}
	}
	sort.Slice(placements, func(i, j int) bool { return placements[i].Order.ID < placements[j].Order.ID })
	return placements
}

func (c *Cell) loadOrder(id string, model cardamom.ModelID, memory int) engine.Order {
	order := engine.Order{ID: id, Fence: c.fence.Order(c.orders), Kind: engine.OrderLoad, Model: model, Memory: memory}
	if known, ok := c.document.Model(model); ok {
		order.Base = known.Base()
		order.Checkpoint = known.Checkpoint()
	}
	return order
}

// Dropped returns the identities of loads that ended since the last call.
func (c *Cell) Dropped() []string {
	dropped := c.dropped
	c.dropped = nil
	return dropped
}

func (c *Cell) drop(u *upstream, orderID string) {
	for _, loaded := range u.loaded {
		if loaded.OrderID == orderID {
			return
		}
	}
	c.dropped = append(c.dropped, orderID)
}

// Count returns how many replicas of a model are loaded or may be.
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

// Charged returns the memory in MB that is in use on an upstream or may be.
func (c *Cell) Charged(id cardamom.UpstreamID) int {
	u, ok := c.upstreams[id]
	if !ok {
		return 0
	}
	return u.charged()
}

func (u *upstream) charged() int {
	charged := 0
	for _, loaded := range u.loaded {
		charged += loaded.Memory
	}
	for _, p := range u.pending {
		if p.order.Kind != engine.OrderLoad {
			continue
		}
		if _, held := u.loaded[p.order.Model]; !held {
			charged += p.order.Memory
		}
	}
	return charged
}

// pausePerUpstream is the pause between two reports of an upstream in use for
// each upstream of the cell, so that a cell's reports are bounded in all.
const pausePerUpstream = 125 * time.Millisecond

// unhurried is a pause longer than any between two reports.
const unhurried = time.Hour

// Expecting tells whether news of the upstream is due, and after what time: an
// order or a load is under way, a replica drains, or followers use it.
func (c *Cell) Expecting(id cardamom.UpstreamID) (time.Duration, bool) {
	u, ok := c.upstreams[id]
	if !ok {
		return 0, false
	}
	due := unhurried
	for _, loaded := range u.loaded {
		if loaded.State == engine.Loading {
			due = min(due, loaded.ReadyIn)
		}
	}
	if len(u.pending) > 0 || len(u.draining) > 0 || u.reported.IsZero() {
		due = 0
	}
	if due == unhurried && c.sharers(u) > 0 {
		due = time.Duration(len(c.upstreams)) * pausePerUpstream
	}
	return due, due < unhurried
}

// known tells whether what is loaded on the upstream can be trusted for decisions.
func (u *upstream) known(now time.Time) bool {
	return !u.reported.IsZero() && now.Sub(u.reported) < reportFresh && u.fenced
}

func (c *Cell) nextID() string {
	c.orders++
	return fmt.Sprintf("%s-%d", c.owner, c.orders)
}
