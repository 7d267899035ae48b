// Package lease decides which instance is the coordinator: the one that holds the lease
// row in the platform's store and has renewed it recently. The coordinator plans the
// loads of all models and sends orders, the commands to load or unload a model, to the
// engines (model servers). Its period in office is a term. The fencing token of a term
// is the version of the row that began it.
//
// # Usage
//
//	state := lease.New("entry-1", 3*time.Second)
//	state.Observe(lease.Row{Version: 12, Holder: "entry-2"}, incarnation, storeTime, now)
//	switch state.Next(now) {
//	case lease.Take, lease.Renew:
//	    // write the row if it is still at state.Version(), then
//	    state.RecordWrite(version, address, began)
//	}
//	if state.MayOrder(now, fenced) { /* send orders with state.FencingToken() */ }
//
// A store that returns from an older copy begins a new incarnation (see package table).
// The row may then be an older one, or gone, and name a holder that was replaced since,
// while the real holder still believes in its lease. So a row that was written in an
// earlier incarnation gives the lease to nobody: it can be taken once everything that was
// valid before the loss has expired, a lease's time after this instance has first seen the
// incarnation. Only the holder itself may take it again before, as long as its own lease
// is valid.
//
// Where engines don't check fencing tokens, two instances must not take turns at sending
// orders within a lease's duration. So an instance sends none until that time has passed
// since the last possible order of another one. The row names who may last have sent orders,
// and until when, so that the wait outlasts the instance that has to wait.
//
// Times come from package clock, which counts the time while the machine is
// suspended too: a holder that was suspended finds its lease expired.
package lease

import (
	"time"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/table"
)

const (
	// renewalsPerLease is how many times a holder renews the lease within its duration.
	renewalsPerLease = 3
	// validPercent is the percentage of the duration in which a holder sends orders
	// after a renewal. The rest leaves time for orders in flight to arrive.
	validPercent = 80
	// expiryPercent is the percentage of the duration after which a row that has not
	// changed counts as expired.
	expiryPercent = 110
	// outageGrace is how long a holder may go on sending orders after a renewal that
	// failed other than by a conflict, if engines check fencing tokens. Each further
	// failure starts this time again.
	outageGrace = 1500 * time.Millisecond
)

// Row is the lease as it is stored.
type Row struct {
	// Version is the version of the row, 0 if there is none yet.
	Version uint64
	Holder  cardamom.InstanceID
	// Address is where other instances reach the holder.
	Address string
	// Released means that the holder gave the lease up.
	Released bool
	// Renewed is when the row was written: the milliseconds on the store's monotonic
	// clock, 0 if unknown.
	Renewed int64
	// Incarnation is the incarnation of the store in which the row was written, 0 if the
	// store had none.
	Incarnation uint64
	// OrderedBy is the instance that may last have sent orders, empty if it can be any.
	OrderedBy cardamom.InstanceID
	// OrderedUntil is until when it may have sent them: the milliseconds on the store's
	// monotonic clock, 0 if all that is known is that it was before the row was written.
	OrderedUntil int64
}

// Action is the next thing to do with the lease.
type Action uint8

// The actions.
const (
	Nothing Action = iota
	Take
	Renew
)

// State is what one instance knows of the lease. It is not safe for concurrent
// use.
type State struct {
	own      cardamom.InstanceID
	duration time.Duration
	row      Row
	// rowRenewed is when the row was written, or when it was read if that is unknown.
	rowRenewed time.Time
	rowKnown   bool
	held       bool
	// fencingToken goes with each order, so that engines can refuse orders of earlier
	// terms.
	fencingToken cardamom.Fence
	// lastRenewal is when the last successful write of this instance began.
	lastRenewal time.Time
	// orderedBy is who may have sent orders until orderedUntil, before this instance may:
	// mayOrderFrom is the earliest time at which this instance may send one as holder, the
	// zero time if there is no wait.
	orderedBy    cardamom.InstanceID
	orderedUntil time.Time
	mayOrderFrom time.Time
	// lastOutage is when a write of the row last failed other than by a conflict.
	lastOutage time.Time
	// incarnation is the newest known one of the store, and incarnationSince when this
	// instance first saw it, zero before the first read.
	incarnation      uint64
	incarnationSince time.Time
	// regainUntil is the time until which this instance may take the lease though the row
	// is of an earlier incarnation, since it held the lease when the store was restored.
	regainUntil time.Time
}

// New returns the state of an instance that has not read the row yet.
func New(own cardamom.InstanceID, duration time.Duration) *State {
	return &State{own: own, duration: duration}
}

// Observe records the row as it was read from an incarnation of the store. storeTime is
// the time of the read on the store's monotonic clock, in milliseconds; 0 if unknown. It
// reports whether the store has begun that incarnation since this instance last saw it.
func (s *State) Observe(row Row, incarnation uint64, storeTime int64, now time.Time) bool {
	if table.Judge(s.incarnation, incarnation) == table.Outdated {
		return false
	}
	restored := s.enter(incarnation, now)
	if s.rowKnown && row.Version <= s.row.Version {
		return restored
	}
	if s.held && row.Version > s.row.Version {
		s.held = false
	}
	s.row, s.rowRenewed, s.rowKnown = row, now, true
	switch {
	case s.isRestored() && row.Version == 0:
		s.rowRenewed = s.incarnationSince
	case s.isRestored():
		// The row's time is on a clock that may have gone back, and its holder may have
		// released or lost the lease since.
	case row.Renewed > 0 && storeTime > row.Renewed:
		s.rowRenewed = now.Add(-time.Duration(storeTime-row.Renewed) * time.Millisecond)
	}
	if row.Incarnation == incarnation {
		if row.Holder != s.own {
			s.regainUntil = time.Time{}
		}
		s.observeOrders(storeTime, now)
	}
	return restored
}

// observeOrders records who may have sent orders, and until when, by the row that was read.
func (s *State) observeOrders(storeTime int64, now time.Time) {
	if s.row.Version == 0 {
		return
	}
	s.orderedBy, s.orderedUntil, s.mayOrderFrom = s.row.OrderedBy, s.rowRenewed, time.Time{}
	if s.row.OrderedUntil > 0 && storeTime > s.row.OrderedUntil {
		if until := now.Add(-time.Duration(storeTime-s.row.OrderedUntil) * time.Millisecond); until.Before(s.orderedUntil) {
			s.orderedUntil = until
		}
	}
	if s.orderedBy != s.own {
		s.mayOrderFrom = s.orderedUntil.Add(s.duration)
	}
}

// enter records that the store answered in an incarnation, and reports whether that is
// newer than one in which it answered before.
func (s *State) enter(incarnation uint64, now time.Time) bool {
	first := s.incarnationSince.IsZero()
	if !first && incarnation == s.incarnation {
		return false
	}
	s.incarnation, s.incarnationSince = incarnation, now
	if first {
		return false
	}
	// While the own lease is valid, no other instance has held one since.
	s.regainUntil = s.lastRenewal.Add(s.duration * validPercent / 100)
	if !now.Before(s.mayOrderFrom) {
		s.orderedBy, s.orderedUntil = "", now
	}
	// Orders of this instance with a lower fencing token may be on their way until then.
	if s.mayOrderFrom.Before(s.regainUntil) {
		s.mayOrderFrom = s.regainUntil
	}
	s.Invalidate()
	return true
}

// MayRegain reports whether this instance may take the lease at once, since its own was
// still valid when the store was restored.
func (s *State) MayRegain(now time.Time) bool {
	return s.rowKnown && !s.held && s.isRestored() && now.Before(s.regainUntil)
}

// isRestored reports whether the row was written in an earlier incarnation, or may have
// been and is gone.
func (s *State) isRestored() bool { return s.row.Incarnation != s.incarnation }

// Next returns what to do now.
func (s *State) Next(now time.Time) Action {
	switch {
	case !s.rowKnown:
		return Nothing
	case s.held:
		if now.Sub(s.lastRenewal) >= s.duration/renewalsPerLease {
			return Renew
		}
		return Nothing
	case s.MayRegain(now):
		return Take
	case !s.isRestored() && (s.row.Version == 0 || s.row.Released || s.row.Holder == s.own):
		return Take
	case now.Sub(s.rowRenewed) >= s.duration*expiryPercent/100:
		return Take
	default:
		return Nothing
	}
}

// FreeSince returns when the lease became free to take, the zero time if nobody has
// held it yet.
func (s *State) FreeSince() time.Time {
	switch {
	case !s.rowKnown || (s.row.Version == 0 && !s.isRestored()):
		return time.Time{}
	case s.row.Released && !s.isRestored():
		return s.rowRenewed
	default:
		return s.rowRenewed.Add(s.duration * expiryPercent / 100)
	}
}

// Version returns the version that the next write expects the row to have.
func (s *State) Version() uint64 { return s.row.Version }

// RecordWrite records a successful write of the row. began is when the write was
// started: its result may have arrived much later. It reports whether the write counts:
// one in another incarnation than the one that this instance has read does not.
func (s *State) RecordWrite(version uint64, address string, began time.Time) bool {
	if table.Incarnation(version) != s.incarnation {
		return false
	}
	if !s.held {
		s.fencingToken = cardamom.Fence(version)
	}
	s.held = true
	s.lastRenewal = began
	s.row = Row{Version: version, Holder: s.own, Address: address, Incarnation: s.incarnation}
	s.rowRenewed = began
	s.rowKnown = true
	return true
}

// Invalidate discards what is known of the lease, for example after a write that
// failed because the row had another version. The row must then be read again.
func (s *State) Invalidate() {
	s.held = false
	s.rowKnown = false
	s.row.Version = 0
}

// Forfeit is Invalidate for an instance that knows of a newer holder: its own last renewal
// says nothing any more.
func (s *State) Forfeit() {
	s.Invalidate()
	s.lastRenewal, s.regainUntil = time.Time{}, time.Time{}
}

// Held reports whether the instance holds the lease as far as it knows. The
// lease may have expired; Valid checks that.
func (s *State) Held() bool { return s.held }

// Valid reports whether the holder has renewed recently enough that no other
// instance can have taken the lease.
func (s *State) Valid(now time.Time) bool {
	return s.held && now.Sub(s.lastRenewal) < s.duration*validPercent/100
}

// RecordOutage records that a write of the row failed other than by a conflict, for
// example without an answer from the store.
func (s *State) RecordOutage(now time.Time) { s.lastOutage = now }

// InOutage reports whether the last write of the holder failed other than by a conflict, so
// that nobody else can take the lease for now.
func (s *State) InOutage() bool { return s.held && s.lastOutage.After(s.lastRenewal) }

// MayOrder reports whether the holder may send orders. Where engines don't check fencing
// tokens, it sends none until a lease's duration after the last possible order of another
// instance, so that the two do not take turns at sending orders.
//
// fenced means that engines refuse orders with an older fencing token. Then a holder
// whose last renewals failed may go on for outageGrace after the last failure: once
// another instance has taken the lease, engines refuse this one's orders.
func (s *State) MayOrder(now time.Time, fenced bool) bool {
	if !fenced && now.Before(s.mayOrderFrom) {
		return false
	}
	return s.Valid(now) || (fenced && s.held && now.Sub(s.lastOutage) < outageGrace)
}

// LastOrders returns who may last have sent orders, and until when, for a row that this
// instance writes as the holder: itself, unless it still has to wait for another one's.
func (s *State) LastOrders(now time.Time, fenced bool) (by cardamom.InstanceID, until time.Time) {
	if !fenced && now.Before(s.mayOrderFrom) {
		return s.orderedBy, s.orderedUntil
	}
	return s.own, now
}

// OrdersUntil returns the time until which an order may be on its way to an engine, the
// zero time if there is no such limit: where engines check fencing tokens, they refuse
// an order that arrives too late.
func (s *State) OrdersUntil(fenced bool) time.Time {
	if fenced {
		return time.Time{}
	}
	return s.lastRenewal.Add(s.duration * validPercent / 100)
}

// FencingToken returns the fencing token of the current term.
func (s *State) FencingToken() cardamom.Fence { return s.fencingToken }

// Incarnation returns the newest known incarnation of the store.
func (s *State) Incarnation() uint64 { return s.incarnation }

// Holder returns the last known holder and its address, both empty if there is none,
// the lease is released, or the row was restored with the store.
func (s *State) Holder() (cardamom.InstanceID, string) {
	if !s.rowKnown || s.row.Released || s.isRestored() {
		return "", ""
	}
	return s.row.Holder, s.row.Address
}
