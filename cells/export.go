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

// Replica is one model on one upstream, as followers see it.
type Replica struct {
	ReplicaKey
	Address string
	State   ReplicaState
	ReadyIn time.Duration
	Slots   int
	// Sharers is how many followers have demand for a model on the upstream.
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

// maxRemovals is how many removals are kept for deltas; a follower that has missed
// more gets a snapshot.
const maxRemovals = 1024

// firstSeq is the sequence number of an empty cell. It differs from 0, the number
// of a follower without a snapshot, so that a watch of an empty cell can wait too.
const firstSeq = 1

// versionedReplica is a replica with the sequence number of its last change.
type versionedReplica struct {
	replica Replica
	seq     uint64
}

// removal is a removed replica with the sequence number of its removal.
type removal struct {
	key ReplicaKey
	seq uint64
}

// followerView is the cell's state as followers see it. Deltas reach back to
// oldestSeq; a follower with an older state needs a snapshot.
type followerView struct {
	seq       uint64
	oldestSeq uint64
	replicas  map[ReplicaKey]versionedReplica
	removals  []removal
}

func newFollowerView() *followerView {
	return &followerView{seq: firstSeq, replicas: make(map[ReplicaKey]versionedReplica)}
}

// Seq returns the sequence number of the last change.
func (c *Cell) Seq() uint64 { return c.view.seq }

// ChangesSince returns what changed after seq, or a snapshot if removals since then are
// no longer kept.
func (c *Cell) ChangesSince(seq uint64) Delta { return c.view.deltaSince(seq) }

func (v *followerView) deltaSince(seq uint64) Delta {
	delta := Delta{Seq: v.seq, Snapshot: seq == 0 || seq < v.oldestSeq || seq > v.seq}
	if delta.Snapshot {
		seq = 0
	}
	for _, versioned := range v.replicas {
		if versioned.seq > seq {
			delta.Replicas = append(delta.Replicas, versioned.replica)
		}
	}
	sort.Slice(delta.Replicas, func(i, j int) bool { return delta.Replicas[i].less(delta.Replicas[j].ReplicaKey) })
	if delta.Snapshot {
		return delta
	}
	for _, removed := range v.removals {
		if removed.seq > seq {
			delta.Removed = append(delta.Removed, removed.key)
		}
	}
	return delta
}

func (k ReplicaKey) less(other ReplicaKey) bool {
	if k.Model != other.Model {
		return k.Model < other.Model
	}
	return k.Upstream < other.Upstream
}

// updateView brings the followers' view up to date with the cell's state.
func (c *Cell) updateView() {
	current := make(map[ReplicaKey]Replica)
	for id, u := range c.upstreams {
		sharers := c.sharers(u)
		for model, loaded := range u.loaded {
			key := ReplicaKey{Model: model, Upstream: id}
			current[key] = u.replica(key, loaded, sharers)
		}
	}
	for key, replica := range current {
		c.view.set(key, replica)
	}
	for key := range c.view.replicas {
		if _, still := current[key]; !still {
			c.view.remove(key)
		}
	}
}

// sharers returns how many followers have demand for a model on the upstream.
func (c *Cell) sharers(u *upstream) int {
	sharers := 0
	for _, f := range c.followers {
		if f.hasDemandOn(u) {
			sharers++
		}
	}
	return sharers
}

func (f *follower) hasDemandOn(u *upstream) bool {
	for model := range f.uses {
		if _, loaded := u.loaded[model]; loaded {
			return true
		}
	}
	return false
}

func (u *upstream) replica(key ReplicaKey, loaded engine.Loaded, sharers int) Replica {
	state := ReplicaLoading
	if loaded.State == engine.Ready {
		state = ReplicaReady
	}
	_, draining := u.draining[key.Model]
	if draining || u.listed.State == cardamom.Leaving {
		state = ReplicaDraining
	}
	return Replica{
		ReplicaKey: key, Address: u.listed.Address, State: state, ReadyIn: loaded.ReadyIn, Slots: u.slots, Sharers: sharers,
		Running: loaded.Running, Waiting: loaded.Waiting, Incarnation: u.incarnation,
	}
}

func (v *followerView) set(key ReplicaKey, replica Replica) {
	current, ok := v.replicas[key]
	if ok && !changed(current.replica, replica) {
		current.replica = replica
		v.replicas[key] = current
		return
	}
	v.seq++
	v.replicas[key] = versionedReplica{replica: replica, seq: v.seq}
}

// changed reports whether followers must get the new state at once. A change of only
// ReadyIn, Running or Waiting is sent with the replica's next other change, unless
// Waiting becomes zero or nonzero.
func changed(before, after Replica) bool {
	return before.State != after.State || before.Address != after.Address || before.Slots != after.Slots || before.Sharers != after.Sharers ||
		before.Incarnation != after.Incarnation || (before.Waiting == 0) != (after.Waiting == 0)
}

func (v *followerView) remove(key ReplicaKey) {
	v.seq++
	delete(v.replicas, key)
	v.removals = append(v.removals, removal{key: key, seq: v.seq})
	if len(v.removals) > maxRemovals {
		v.oldestSeq = v.removals[0].seq
		v.removals = v.removals[1:]
	}
}
