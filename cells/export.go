package cells

import (
	"sort"
	"time"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/engine"
)

// ReplicaState is the state of a replica. Only a ready one may be sent requests.
type ReplicaState uint8

// The states of a replica.
const (
	ReplicaLoading ReplicaState = iota + 1
	ReplicaReady
	ReplicaDraining
)

// Replica is one model on one upstream, as watchers see it.
type Replica struct {
	ReplicaKey
	Address string
	State   ReplicaState
	ReadyIn time.Duration
	Slots   int
	// Sharers is how many watchers have demand for a model on the upstream.
	Sharers     int
	Running     int
	Waiting     int
	Incarnation cardamom.Incarnation
}

// Delta is what changed in a cell after a sequence number, or all of the cell if
// it is a snapshot.
type Delta struct {
	Seq      uint64
	Snapshot bool
	Replicas []Replica
	Removed  []ReplicaKey
}

// maxRemovals is how many removals are kept for deltas; a watcher that has missed
// more gets a snapshot.
const maxRemovals = 1024

// firstSeq is the sequence number of an empty cell. It differs from 0, the number
// of a watcher without a snapshot, so that a watch of an empty cell can wait too.
const firstSeq = 1

// versionedReplica is a replica with the sequence number of its last change.
type versionedReplica struct {
	replica Replica
	seq     uint64
}

// removal is a removed replica with the sequence number of its removal.
type removal struct {
	seat ReplicaKey
	seq  uint64
}

// watcherView is the cell's state as watchers see it. Deltas reach back to
// oldestSeq; a watcher with an older state needs a snapshot.
type watcherView struct {
	seq       uint64
	oldestSeq uint64
	replicas  map[ReplicaKey]versionedReplica
	removals  []removal
}

func newWatcherView() *watcherView {
	return &watcherView{seq: firstSeq, replicas: make(map[ReplicaKey]versionedReplica)}
}

// Seq returns the sequence number of the last change.
func (c *Cell) Seq() uint64 { return c.view.seq }

// ChangesSince returns what changed after seq, or a snapshot if removals since then are
// no longer kept.
func (c *Cell) ChangesSince(seq uint64) Delta { return c.view.deltaSince(seq) }

func (e *watcherView) deltaSince(seq uint64) Delta {
	delta := Delta{Seq: e.seq, Snapshot: seq == 0 || seq < e.oldestSeq || seq > e.seq}
	if delta.Snapshot {
		seq = 0
	}
	for _, x := range e.replicas {
		if x.seq > seq {
			delta.Replicas = append(delta.Replicas, x.replica)
		}
	}
	sort.Slice(delta.Replicas, func(i, j int) bool { return delta.Replicas[i].less(delta.Replicas[j].ReplicaKey) })
	if delta.Snapshot {
		return delta
	}
	for _, d := range e.removals {
		if d.seq > seq {
			delta.Removed = append(delta.Removed, d.seat)
		}
	}
	return delta
}

func (s ReplicaKey) less(other ReplicaKey) bool {
	if s.Model != other.Model {
		return s.Model < other.Model
	}
	return s.Upstream < other.Upstream
}

// updateView brings the watchers' view up to date with the cell's state.
func (c *Cell) updateView() {
	current := make(map[ReplicaKey]Replica)
	for id, u := range c.upstreams {
		sharers := c.sharers(u)
		for model, loaded := range u.loaded {
			seat := ReplicaKey{Model: model, Upstream: id}
			current[seat] = u.replica(seat, loaded, sharers)
		}
	}
	for seat, replica := range current {
		c.view.set(seat, replica)
	}
	for seat := range c.view.replicas {
		if _, still := current[seat]; !still {
			c.view.remove(seat)
		}
	}
}

// sharers returns how many watchers have demand for a model on the upstream.
func (c *Cell) sharers(u *upstream) int {
	sharers := 0
	for _, w := range c.watchers {
		if w.hasDemandOn(u) {
			sharers++
		}
	}
	return sharers
}

func (w *watcher) hasDemandOn(u *upstream) bool {
	for model := range w.uses {
		if _, loaded := u.loaded[model]; loaded {
			return true
		}
	}
	return false
}

func (u *upstream) replica(seat ReplicaKey, loaded engine.Loaded, sharers int) Replica {
	state := ReplicaLoading
	if loaded.State == engine.Ready {
		state = ReplicaReady
	}
	_, draining := u.draining[seat.Model]
	if draining || u.listed.State == cardamom.Leaving {
		state = ReplicaDraining
	}
	return Replica{
		ReplicaKey: seat, Address: u.listed.Address, State: state, ReadyIn: loaded.ReadyIn, Slots: u.slots, Sharers: sharers,
		Running: loaded.Running, Waiting: loaded.Waiting, Incarnation: u.incarnation,
	}
}

func (e *watcherView) set(seat ReplicaKey, replica Replica) {
	current, ok := e.replicas[seat]
	if ok && !changed(current.replica, replica) {
		current.replica = replica
		e.replicas[seat] = current
		return
	}
	e.seq++
	e.replicas[seat] = versionedReplica{replica: replica, seq: e.seq}
}

// changed reports whether watchers must get the difference at once. Running and
// waiting counts are only sent along with it, unless waiting becomes zero or nonzero.
func changed(before, after Replica) bool {
	return before.State != after.State || before.Address != after.Address || before.Slots != after.Slots || before.Sharers != after.Sharers ||
		before.Incarnation != after.Incarnation || (before.Waiting == 0) != (after.Waiting == 0)
}

func (e *watcherView) remove(seat ReplicaKey) {
	e.seq++
	delete(e.replicas, seat)
	e.removals = append(e.removals, removal{seat: seat, seq: e.seq})
	if len(e.removals) > maxRemovals {
		e.oldestSeq = e.removals[0].seq
		e.removals = e.removals[1:]
	}
}
