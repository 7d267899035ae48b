// Package route has the routing state of an instance as an immutable view, from
// which it decides which cell and instance serve a model and which addresses a
// caller gets.
//
// A cell is a set of engines whose loads one instance plans. The instances that
// follow the cell receive updates of its replicas and serve its models. A hold is
// an instance's lease on a cell or on a shard of the claims.
//
// # Usage
//
//	view := views.Load()
//	cell, ok := view.ServingCell(model)
//	members, ok := view.Addresses("muse-01", "psyrri-hall")
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

// addressesPerModel is how many instances an address response lists for a model.
const addressesPerModel = 2

// View is the state that requests are routed by. It is immutable once stored.
type View struct {
	// Self is this instance.
	Self cardamom.Instance
	// Published is the profile document in force, nil if there is none yet.
	Published *policy.Published
	// Pending is a newer document that is not in force yet, nil if there is none.
	Pending *policy.Published
	// Active are the members that accept callers, in order of name.
	Active []peers.Member
	// FollowedCells gives the replicas by model in each cell that this instance follows.
	FollowedCells map[cardamom.CellID]map[cardamom.ModelID][]cells.Replica
	// Plain are the live upstreams of plain services.
	Plain map[cardamom.ServiceID][]cardamom.Upstream
	// ClaimHolds are the hold rows of the claim shards.
	ClaimHolds []hold.Row
	// CellHolds are the hold rows of the cells that this instance follows.
	CellHolds []hold.Row
	// Issue is the newest hold version known. Address responses carry it, so that
	// keys sent later can be told from those of before a loss of claims.
	Issue uint64
	// UnreadyReason is the reason why the instance is not ready, empty if it is.
	UnreadyReason string
	// Leaving is true if the instance accepts no new callers.
	Leaving bool
}

// ViewStore stores the current view. It is safe for concurrent use.
type ViewStore struct {
	view atomic.Pointer[View]
}

// NewViewStore returns a ViewStore with a view that is not ready.
func NewViewStore(self cardamom.Instance) *ViewStore {
	s := &ViewStore{}
	s.Store(&View{Self: self, UnreadyReason: "starting"})
	return s
}

// Load returns the current view.
func (s *ViewStore) Load() *View { return s.view.Load() }

// Store replaces the current view.
func (s *ViewStore) Store(view *View) { s.view.Store(view) }

// Newest returns the newest document known, in force or pending.
func (v *View) Newest() *policy.Published {
	if v.Pending != nil {
		return v.Pending
	}
	return v.Published
}

// Model returns the model with that ID in the document in force.
func (v *View) Model(id cardamom.ModelID) (*policy.Model, bool) {
	if v.Published == nil {
		return nil, false
	}
	return v.Published.Document().Model(id)
}

// ServingCell returns the cell in which this instance serves the model. Of the
// model's cells that the instance follows, it is the first with a ready replica, or
// simply the first if no replica is ready.
func (v *View) ServingCell(model *policy.Model) (cardamom.CellID, bool) {
	var first cardamom.CellID
	for _, cell := range model.Cells() {
		replicas, followed := v.FollowedCells[cell]
		if !followed {
			continue
		}
		if anyReady(replicas[model.ID()]) {
			return cell, true
		}
		if first == "" {
			first = cell
		}
	}
	return first, first != ""
}

func anyReady(replicas []cells.Replica) bool {
	for _, replica := range replicas {
		if replica.State == cells.ReplicaReady {
			return true
		}
	}
	return false
}

// ForwardTarget returns another instance that can serve the model.
func (v *View) ForwardTarget(model *policy.Model) (peers.Member, bool) {
	for _, member := range v.candidates(model) {
		if member.Instance().ID != v.Self.ID {
			return member, true
		}
	}
	return peers.Member{}, false
}

// IsFirst reports whether this instance is the first of those that can serve the model.
func (v *View) IsFirst(model *policy.Model) bool {
	candidates := v.candidates(model)
	return len(candidates) > 0 && candidates[0].Instance().ID == v.Self.ID
}

// candidates returns the active members that follow the model's cells, in the order
// of the cells and, within a data centre, by rendezvous hash of the model. If there
// are none it returns all active members.
func (v *View) candidates(model *policy.Model) []peers.Member {
	var members []peers.Member
	for _, cell := range model.Cells() {
		members = append(members, v.ranked(string(model.ID()), v.activeIn(DataCentreOf(cell)))...)
	}
	if len(members) == 0 {
		members = v.ranked(string(model.ID()), v.Active)
	}
	return members
}

func (v *View) activeIn(centre cardamom.DataCentre) []peers.Member {
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

// Addresses returns the instances that a caller may connect to for the model or
// plain service with the name. The caller connects to one at random. For a plain
// service they are the instances in the data centre, or all if there are none.
func (v *View) Addresses(name string, centre cardamom.DataCentre) ([]peers.Member, bool) {
	if model, ok := v.Model(cardamom.ModelID(name)); ok {
		members := v.candidates(model)
		return members[:min(len(members), addressesPerModel)], true
	}
	if v.Published == nil {
		return nil, false
	}
	service, ok := v.Published.Document().Service(cardamom.ServiceID(name))
	if !ok || service.Kind() != policy.KindPlain {
		return nil, false
	}
	if members := v.activeIn(centre); len(members) > 0 {
		return members, true
	}
	return v.Active, true
}
