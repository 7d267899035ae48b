package cells

import (
	"time"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/keep"
	"cardamomcourse.example/cardamom/policy"
)

// ageStep is how much later a waiting request counts as arrived for each step
// of priority, so that patient models are overtaken for a bounded time.
const ageStep = 5 * time.Second

// Use is what one instance does with one model.
type Use struct {
	Model   cardamom.ModelID
	Waiting int
	Running int
	Started int
	// Since is when the request that is served next has arrived.
	Since    time.Time
	Priority int
	// Service is the time of one request in service, 0 if unknown.
	Service time.Duration
}

// Seat is a model on an upstream.
type Seat struct {
	Model    cardamom.ModelID
	Upstream cardamom.UpstreamID
}

// Watch is what an instance that follows the cell says of itself.
type Watch struct {
	Instance cardamom.InstanceID
	// Seq is the last change the instance has applied.
	Seq  uint64
	Uses []Use
	// Busy lists where the instance has requests in progress.
	Busy []Seat
}

// watcher is an instance that follows the cell.
type watcher struct {
	seq  uint64
	uses map[cardamom.ModelID]Use
	busy map[Seat]bool
	seen time.Time
}

// Used takes what an instance that follows the cell says of itself.
func (c *Cell) Used(watch Watch, now time.Time) {
	w, ok := c.watchers[watch.Instance]
	if !ok {
		w = &watcher{}
		c.watchers[watch.Instance] = w
	}
	w.seq = watch.Seq
	w.seen = now
	w.uses = make(map[cardamom.ModelID]Use, len(watch.Uses))
	for _, use := range watch.Uses {
		w.uses[use.Model] = use
		c.touch(use.Model, now)
	}
	w.busy = make(map[Seat]bool, len(watch.Busy))
	for _, seat := range watch.Busy {
		w.busy[seat] = true
	}
}

// touch records a use of the model and of its base.
func (c *Cell) touch(model cardamom.ModelID, now time.Time) {
	c.record(model, now)
	if known, ok := c.document.Model(model); ok && known.Base() != "" {
		c.record(known.Base(), now)
	}
}

// record adds a use to the histories of the model and of its profile.
func (c *Cell) record(model cardamom.ModelID, now time.Time) {
	gap := c.historyOf(model).Use(now)
	if known, ok := c.document.Model(model); ok {
		c.classOf(known).Add(gap)
	}
}

// classOf returns the gaps of all models with the model's profile.
func (c *Cell) classOf(model *policy.Model) *keep.History {
	name := model.Profile().Name()
	class, ok := c.classes[name]
	if !ok {
		class = &keep.History{}
		c.classes[name] = class
	}
	return class
}

func (c *Cell) historyOf(model cardamom.ModelID) *keep.History {
	history, ok := c.history[model]
	if !ok {
		history = &keep.History{}
		c.history[model] = history
	}
	return history
}

// Unwatch forgets an instance that no longer follows the cell.
func (c *Cell) Unwatch(instance cardamom.InstanceID) { delete(c.watchers, instance) }

// Watchers returns the instances that follow the cell, in order of name.
func (c *Cell) Watchers() []cardamom.InstanceID { return sortedKeys(c.watchers) }

// demand is the use of one model over all watchers.
type demand struct {
	model   cardamom.ModelID
	waiting int
	running int
	// due orders the demands: arrival, later by a step for each priority.
	due     time.Time
	service time.Duration
}

func (c *Cell) demands(now time.Time) map[cardamom.ModelID]demand {
	demands := make(map[cardamom.ModelID]demand)
	for id, w := range c.watchers {
		if now.Sub(w.seen) > watcherExpiry {
			delete(c.watchers, id)
			continue
		}
		for model, use := range w.uses {
			demands[model] = demands[model].add(use)
		}
	}
	return demands
}

func (d demand) add(use Use) demand {
	d.model = use.Model
	d.waiting += use.Waiting
	d.running += use.Running
	d.service = max(d.service, use.Service)
	due := use.Since.Add(time.Duration(use.Priority) * ageStep)
	if use.Waiting > 0 && (d.due.IsZero() || due.Before(d.due)) {
		d.due = due
	}
	return d
}

// drained tells whether no follower can still send to the seat.
func (c *Cell) drained(seat Seat, seq uint64) bool {
	for _, w := range c.watchers {
		if w.seq < seq || w.busy[seat] {
			return false
		}
	}
	return true
}
