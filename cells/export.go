package cells

import (
	"sort"
	"time"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/engine"
)

// ReplicaState is whether a replica may be sent requests.
type ReplicaState uint8

// The states of a replica.
const (
	ReplicaLoading ReplicaState = iota + 1
	ReplicaReady
	ReplicaDraining
)

// Replica is one model on one upstream, as followers see it.
type Replica struct {
	Seat
	Address string
	State   ReplicaState
	ReadyIn time.Duration
	Slots   int
	// Sharers is how many followers have demand for the upstream.
	Sharers     int
	Running     int
	Waiting     int
	Incarnation cardamom.Incarnation
}

// Delta is what changed in a cell after a sequence number.
type Delta struct {
	Seq      uint64
	Snapshot bool
	Replicas []Replica
	Gone     []Seat
}

// goneKept bounds how many departures are remembered for deltas.
const goneKept = 1024

// firstSeq is the sequence number of an empty cell. A follower that has seen
// nothing yet has 0, so that a watch of an empty cell can wait as well.
const firstSeq = 1

type exported struct {
	replica Replica
	seq     uint64
}

type departure struct {
	seat Seat
	seq  uint64
}

// exports is the followers' picture of the cell with the sequence number of
// the last change of each part.
type exports struct {
	seq      uint64
	since    uint64
	replicas map[Seat]exported
	gone     []departure
}

func newExports() *exports {
	return &exports{seq: firstSeq, replicas: make(map[Seat]exported)}
}

// Seq returns the sequence number of the last change.
func (c *Cell) Seq() uint64 { return c.exports.seq }

// Since returns what changed after seq, a snapshot if that is no longer known.
func (c *Cell) Since(seq uint64) Delta { return c.exports.after(seq) }

func (e *exports) after(seq uint64) Delta {
	delta := Delta{Seq: e.seq, Snapshot: seq == 0 || seq < e.since || seq > e.seq}
	if delta.Snapshot {
		seq = 0
	}
	for _, x := range e.replicas {
		if x.seq > seq {
			delta.Replicas = append(delta.Replicas, x.replica)
		}
	}
	sort.Slice(delta.Replicas, func(i, j int) bool { return delta.Replicas[i].less(delta.Replicas[j].Seat) })
	if delta.Snapshot {
		return delta
	}
	for _, d := range e.gone {
		if d.seq > seq {
			delta.Gone = append(delta.Gone, d.seat)
		}
	}
	return delta
}

func (s Seat) less(other Seat) bool {
	if s.Model != other.Model {
		return s.Model < other.Model
	}
	return s.Upstream < other.Upstream
}

// export renews the followers' picture from the cell's state.
func (c *Cell) export() {
	current := make(map[Seat]Replica)
	for id, u := range c.upstreams {
		sharers := c.sharers(u)
		for model, loaded := range u.loaded {
			seat := Seat{Model: model, Upstream: id}
			current[seat] = u.replica(seat, loaded, sharers)
		}
	}
	for seat, replica := range current {
		c.exports.set(seat, replica)
	}
	for seat := range c.exports.replicas {
		if _, still := current[seat]; !still {
			c.exports.remove(seat)
		}
	}
}

// sharers returns how many followers have demand for a model on the upstream.
func (c *Cell) sharers(u *upstream) int {
	sharers := 0
	for _, w := range c.watchers {
		if w.shares(u) {
			sharers++
		}
	}
	return sharers
}

func (w *watcher) shares(u *upstream) bool {
	for model := range w.uses {
		if _, loaded := u.loaded[model]; loaded {
			return true
		}
	}
	return false
}

func (u *upstream) replica(seat Seat, loaded engine.Loaded, sharers int) Replica {
	state := ReplicaLoading
	if loaded.State == engine.Ready {
		state = ReplicaReady
	}
	_, draining := u.draining[seat.Model]
	if draining || u.listed.State == cardamom.Leaving {
		state = ReplicaDraining
	}
	return Replica{
		Seat: seat, Address: u.listed.Address, State: state, ReadyIn: loaded.ReadyIn, Slots: u.slots, Sharers: sharers,
		Running: loaded.Running, Waiting: loaded.Waiting, Incarnation: u.incarnation,
	}
}

func (e *exports) set(seat Seat, replica Replica) {
	known, ok := e.replicas[seat]
	if ok && !changed(known.replica, replica) {
		known.replica = replica
		e.replicas[seat] = known
		return
	}
	e.seq++
	e.replicas[seat] = exported{replica: replica, seq: e.seq}
}

// changed tells whether followers must hear of the difference at once. Load
// that wavers is not news.
func changed(before, after Replica) bool {
	return before.State != after.State || before.Address != after.Address || before.Slots != after.Slots || before.Sharers != after.Sharers ||
		before.Incarnation != after.Incarnation || (before.Waiting == 0) != (after.Waiting == 0)
}

func (e *exports) remove(seat Seat) {
	e.seq++
	delete(e.replicas, seat)
	e.gone = append(e.gone, departure{seat: seat, seq: e.seq})
	if len(e.gone) > goneKept {
		e.since = e.gone[0].seq
		e.gone = e.gone[1:]
	}
}
