// Package lease decides which instance coordinates: the one that holds a row
// of the platform's store and has renewed it lately.
//
// # Usage
//
//	state := lease.New("entry-1", 3*time.Second)
//	state.Observe(lease.Row{Version: 12, Holder: "entry-2"}, clock, now)
//	switch state.Next(now) {
//	case lease.Take, lease.Renew:
//	    // write the row if it is still at state.Version(), then
//	    state.Written(version, began)
//	}
//	if state.Valid(now) { /* give orders under state.Fence() */ }
//
// Times come from package steady, so that a suspended holder notices.
package lease

import (
	"time"

	cardamom "cardamomcourse.example/cardamom"
)

const (
	// renewals is how many times a holder renews within the term.
	renewals = 3
	// validShare is the part of the term, in percent, in which a holder acts.
	// The rest covers orders that are still on their way.
	validShare = 80
	// expiryShare is the part of the term, in percent, after which an
	// unchanged row counts as expired.
	expiryShare = 110
	// outageTime is how long the word that the store gave no answer holds.
	outageTime = 1500 * time.Millisecond
)

// Row is the lease as it is stored.
type Row struct {
	Version  uint64
	Holder   cardamom.InstanceID
	Address  string
	Released bool
	// Renewed is when the row was written by the store's steady clock, in
	// milliseconds; 0 if unknown.
	Renewed int64
}

// Action is what to do next about the lease.
type Action uint8

// The actions on a lease.
const (
	Nothing Action = iota
	Take
	Renew
)

// State is what one instance believes of the lease. It is not safe for
// concurrent use.
type State struct {
	own       cardamom.InstanceID
	term      time.Duration
	row       Row
	seen      time.Time
	known     bool
	held      bool
	fence     cardamom.Fence
	confirmed time.Time
	notBefore time.Time
	outage    time.Time
}

// New returns the state of an instance that has not read the row yet.
func New(own cardamom.InstanceID, term time.Duration) *State {
	return &State{own: own, term: term}
}

// Observe takes the row as it was read when the store's clock showed so many
// milliseconds, 0 if that is unknown.
func (s *State) Observe(row Row, clock int64, now time.Time) {
	if s.known && row.Version <= s.row.Version {
		return
	}
	if s.held && row.Version > s.row.Version {
		s.held = false
	}
	if row.Released && row.Holder != s.own {
		s.notBefore = now.Add(s.term)
	}
	s.row, s.seen, s.known = row, now, true
	if row.Renewed > 0 && clock > row.Renewed {
		s.seen = now.Add(-time.Duration(clock-row.Renewed) * time.Millisecond)
	}
}

// Next returns what to do at the time.
func (s *State) Next(now time.Time) Action {
	switch {
	case !s.known:
		return Nothing
	case s.held:
		if now.Sub(s.confirmed) >= s.term/renewals {
			return Renew
		}
		return Nothing
	case s.row.Version == 0, s.row.Released, s.row.Holder == s.own:
		return Take
	case now.Sub(s.seen) >= s.term*expiryShare/100:
		return Take
	default:
		return Nothing
	}
}

// Version returns the version that the row must have for the next write.
func (s *State) Version() uint64 { return s.row.Version }

// Written takes the success of a write that began at the time.
func (s *State) Written(version uint64, address string, began time.Time) {
	if !s.held {
		s.fence = cardamom.Fence(version)
		// A predecessor on another instance may have given orders until now.
		if s.row.Version != 0 && s.row.Holder != s.own && !s.row.Released {
			s.notBefore = began
		}
	}
	s.held = true
	s.confirmed = began
	s.row = Row{Version: version, Holder: s.own, Address: address}
	s.seen = began
	s.known = true
}

// Conflict takes that a write met another version: the row has to be read.
func (s *State) Conflict() {
	s.held = false
	s.known = false
	s.row.Version = 0
}

// Held tells whether the instance holds the lease as far as it knows.
func (s *State) Held() bool { return s.held }

// Valid tells whether the holder may act: it has renewed lately enough that
// nobody else can have taken over.
func (s *State) Valid(now time.Time) bool {
	return s.held && now.Sub(s.confirmed) < s.term*validShare/100
}

// Unreachable takes that a renewal got no answer from the store.
func (s *State) Unreachable(now time.Time) { s.outage = now }

// MayOrder tells whether the holder may give orders. A successor of a holder
// that released the lease waits a term, so that the two do not take turns.
//
// Where engines refuse old fences, a holder that just failed to reach the store
// goes on: if another has taken over, the engines turn this one away.
func (s *State) MayOrder(now time.Time, fenced bool) bool {
	if now.Before(s.notBefore) {
		return false
	}
	return s.Valid(now) || (fenced && s.held && now.Sub(s.outage) < outageTime)
}

// Fence returns the fencing number of the current tenure.
func (s *State) Fence() cardamom.Fence { return s.fence }

// Holder returns the last known holder and its address.
func (s *State) Holder() (cardamom.InstanceID, string) {
	if !s.known || s.row.Released {
		return "", ""
	}
	return s.row.Holder, s.row.Address
}
