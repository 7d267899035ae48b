package cells

import (
	"time"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/policy"
	"cardamomcourse.example/cardamom/retain"
)

// priorityStep is added to the arrival time of a waiting request for each priority
// level above 0, the most urgent, so that more urgent models delay a less urgent one
// for a bounded time.
const priorityStep = 5 * time.Second

// Use is the demand of one instance for one model.
type Use struct {
	Model   cardamom.ModelID
	Waiting int
	Running int
	// Started counts the requests started since the instance's last watch.
	Started int
	// NextArrival is the arrival time of the request that is served next.
	NextArrival time.Time
	Priority    int
	// ServiceTime is the time that serving one request takes, 0 if unknown.
	ServiceTime time.Duration
}

// ReplicaKey identifies a replica: a model on an upstream.
type ReplicaKey struct {
	Model    cardamom.ModelID
	Upstream cardamom.UpstreamID
}

// Watch is the request with which a follower, an instance that follows the cell,
// reports its state and demand.
type Watch struct {
	Instance cardamom.InstanceID
	// Seq is the sequence number of the last change that the instance has applied.
	Seq  uint64
	Uses []Use
	// InFlight lists the replicas on which the instance has requests in flight.
	InFlight []ReplicaKey
}

// follower is an instance that follows the cell's changes and reports its demand.
type follower struct {
	seq      uint64
	uses     map[cardamom.ModelID]Use
	inFlight map[ReplicaKey]bool
	seenAt   time.Time
}

// UpdateFollower applies a watch of a follower.
func (c *Cell) UpdateFollower(watch Watch, now time.Time) {
	f, ok := c.followers[watch.Instance]
	if !ok {
		f = &follower{}
		c.followers[watch.Instance] = f
	}
	f.seq = watch.Seq
	f.seenAt = now
	f.uses = make(map[cardamom.ModelID]Use, len(watch.Uses))
	for _, use := range watch.Uses {
		f.uses[use.Model] = use
		c.recordUse(use.Model, now)
	}
	f.inFlight = make(map[ReplicaKey]bool, len(watch.InFlight))
	for _, key := range watch.InFlight {
		f.inFlight[key] = true
	}
}

// recordUse adds a use of the model and of its base.
func (c *Cell) recordUse(model cardamom.ModelID, now time.Time) {
	c.addUse(model, now)
	if known, ok := c.document.Model(model); ok && known.Base() != "" {
		c.addUse(known.Base(), now)
	}
}

// addUse adds a use to the histories of the model and of its profile.
func (c *Cell) addUse(model cardamom.ModelID, now time.Time) {
	gap := c.historyOf(model).RecordUse(now)
	if known, ok := c.document.Model(model); ok {
		c.profileHistory(known).AddGap(gap)
	}
}

// profileHistory returns the idle gaps of all models with the model's profile.
func (c *Cell) profileHistory(model *policy.Model) *retain.History {
	name := model.Profile().Name()
	history, ok := c.profileHistories[name]
	if !ok {
		history = &retain.History{}
		c.profileHistories[name] = history
	}
	return history
}

func (c *Cell) historyOf(model cardamom.ModelID) *retain.History {
	history, ok := c.histories[model]
	if !ok {
		history = &retain.History{}
		c.histories[model] = history
	}
	return history
}

// RemoveFollower removes an instance that no longer follows the cell.
func (c *Cell) RemoveFollower(instance cardamom.InstanceID) { delete(c.followers, instance) }

// Followers returns the instances that follow the cell, sorted by name.
func (c *Cell) Followers() []cardamom.InstanceID { return sortedKeys(c.followers) }

// demand is the demand of all followers for one model.
type demand struct {
	model   cardamom.ModelID
	waiting int
	running int
	// due is the earliest arrival time of a waiting request, with priorityStep added
	// for each priority level.
	due         time.Time
	serviceTime time.Duration
}

func (c *Cell) demands(now time.Time) map[cardamom.ModelID]demand {
	demands := make(map[cardamom.ModelID]demand)
	for id, f := range c.followers {
		if now.Sub(f.seenAt) > followerExpiry {
			delete(c.followers, id)
			continue
		}
		for model, use := range f.uses {
			demands[model] = demands[model].add(use)
		}
	}
	return demands
}

func (d demand) add(use Use) demand {
	d.model = use.Model
	d.waiting += use.Waiting
	d.running += use.Running
	d.serviceTime = max(d.serviceTime, use.ServiceTime)
	due := use.NextArrival.Add(time.Duration(use.Priority) * priorityStep)
	if use.Waiting > 0 && (d.due.IsZero() || due.Before(d.due)) {
		d.due = due
	}
	return d
}

// followersDrained reports whether no follower sends to the replica any more: all
// have applied change seq and have no request in flight there.
func (c *Cell) followersDrained(key ReplicaKey, seq uint64) bool {
	for _, f := range c.followers {
		if f.seq < seq || f.inFlight[key] {
			return false
		}
	}
	return true
}
