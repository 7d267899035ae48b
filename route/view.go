// Package route holds the immutable view that traffic reads and the choices
// made on it: who serves a model, which addresses a caller gets.
//
// # Usage
//
//	view := holder.Load()
//	cell, ok := view.Serving(model)
//	answer, ok := view.Addresses("muse-01", "psyrri-hall")
package route

import (
	"sync/atomic"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/cells"
	"cardamomcourse.example/cardamom/hold"
	"cardamomcourse.example/cardamom/peers"
	"cardamomcourse.example/cardamom/policy"
	"cardamomcourse.example/cardamom/route/rank"
)

// addressFan is how many instances an address answer names for a model.
const addressFan = 2

// View is what traffic knows. It is never changed once stored.
type View struct {
	// Self is this instance.
	Self cardamom.Instance
	// Published is the profile document in force, nil before the first.
	Published *policy.Published
	// Offered is a newer document that is not in force yet, nil if there is none.
	Offered *policy.Published
	// Active are the members that take callers, in order of name.
	Active []peers.Member
	// Follows gives the replicas of the cells this instance follows.
	Follows map[cardamom.CellID]map[cardamom.ModelID][]cells.Replica
	// Plain are the live upstreams of plain services.
	Plain map[cardamom.ServiceID][]cardamom.Upstream
	// Claims are the owners of the claim shards.
	Claims []hold.Row
	// Cells are the holders of the cells this instance follows.
	Cells []hold.Row
	// Issue is the newest hold version known.
	Issue uint64
	// Unready tells why the instance is not ready, empty if it is.
	Unready string
	// Leaving tells that the instance takes no new callers.
	Leaving bool
}

// Holder gives traffic the newest view.
type Holder struct {
	view atomic.Pointer[View]
}

// NewHolder returns a holder of an unready view.
func NewHolder(self cardamom.Instance) *Holder {
	h := &Holder{}
	h.Store(&View{Self: self, Unready: "starting"})
	return h
}

// Load returns the newest view.
func (h *Holder) Load() *View { return h.view.Load() }

// Store makes a view the newest.
func (h *Holder) Store(view *View) { h.view.Store(view) }

// Newest returns the newest document known, in force or offered.
func (v *View) Newest() *policy.Published {
	if v.Offered != nil {
		return v.Offered
	}
	return v.Published
}

// Model returns the model of that name in force.
func (v *View) Model(id cardamom.ModelID) (*policy.Model, bool) {
	if v.Published == nil {
		return nil, false
	}
	return v.Published.Document().Model(id)
}

// Serving returns the first of the model's cells that this instance follows,
// one where the model is loaded before one where it is not.
func (v *View) Serving(model *policy.Model) (cardamom.CellID, bool) {
	var first cardamom.CellID
	for _, cell := range model.Cells() {
		replicas, followed := v.Follows[cell]
		if !followed {
			continue
		}
		if ready(replicas[model.ID()]) {
			return cell, true
		}
		if first == "" {
			first = cell
		}
	}
	return first, first != ""
}

func ready(replicas []cells.Replica) bool {
	for _, replica := range replicas {
		if replica.State == cells.ReplicaReady {
			return true
		}
	}
	return false
}

// Forward returns an instance that serves the model if this one does not.
func (v *View) Forward(model *policy.Model) (peers.Member, bool) {
	for _, member := range v.near(model) {
		if member.Instance().ID != v.Self.ID {
			return member, true
		}
	}
	return peers.Member{}, false
}

// near returns the active members that follow the model's cells: those in the
// place of its home first, each place in the order of the model's ranking.
func (v *View) near(model *policy.Model) []peers.Member {
	var members []peers.Member
	for _, cell := range model.Cells() {
		members = append(members, v.ranked(string(model.ID()), v.in(DataCentreOf(cell)))...)
	}
	if len(members) == 0 {
		members = v.ranked(string(model.ID()), v.Active)
	}
	return members
}

func (v *View) in(centre cardamom.DataCentre) []peers.Member {
	var members []peers.Member
	for _, member := range v.Active {
		if member.Instance().DataCentre == centre {
			members = append(members, member)
		}
	}
	return members
}

func (v *View) ranked(key string, members []peers.Member) []peers.Member {
	byID := make(map[cardamom.InstanceID]peers.Member, len(members))
	ids := make([]cardamom.InstanceID, 0, len(members))
	for _, member := range members {
		byID[member.Instance().ID] = member
		ids = append(ids, member.Instance().ID)
	}
	ordered := make([]peers.Member, 0, len(members))
	for _, id := range rank.Order(key, ids) {
		ordered = append(ordered, byID[id])
	}
	return ordered
}

// Addresses returns the instances a caller should connect to for a model, or
// for a plain service from a data centre. The caller picks one at random.
func (v *View) Addresses(name string, centre cardamom.DataCentre) ([]peers.Member, bool) {
	if model, ok := v.Model(cardamom.ModelID(name)); ok {
		near := v.near(model)
		return near[:min(len(near), addressFan)], true
	}
	if v.Published == nil {
		return nil, false
	}
	service, ok := v.Published.Document().Service(cardamom.ServiceID(name))
	if !ok || service.Kind() != policy.KindPlain {
		return nil, false
	}
	if near := v.in(centre); len(near) > 0 {
		return near, true
	}
	return v.Active, true
}
