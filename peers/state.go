// Package peers keeps an instance's view of the membership and composes the
// digests that instances exchange (gossip) within a byte budget.
//
// # Usage
//
//	state := peers.New(self, suspectAfter, seed, now)
//	changed := state.Merge(digest, now)
//	if state.At(now).Alive(party) { ... }
//
// The state is owned by the control goroutine.
package peers

import (
	"math/rand/v2"
	"sort"
	"time"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/hold"
)

// membersPerDigest is the number of members up to which digests spread each
// heartbeat within the suspect timeout. In a larger membership the timeout of members
// that are not partners grows in proportion.
const membersPerDigest = 24

// maxListLag is the greatest assumed lag of the platform's list.
const maxListLag = 30 * time.Second

// steadyFactor is the number of suspect timeouts for which a member must have
// been alive to count as steady.
const steadyFactor = 2

// Member is the known state of one instance.
type Member struct {
	instance      cardamom.Instance
	incarnation   cardamom.Incarnation
	heartbeat     uint64
	revision      cardamom.Revision
	lastHeartbeat time.Time
	aliveSince    time.Time
	// sent is how often this instance has put the member's newest state into a digest.
	sent int
}

// NewMember returns a member with the state that a digest carries.
func NewMember(instance cardamom.Instance, incarnation cardamom.Incarnation, heartbeat uint64, revision cardamom.Revision) Member {
	return Member{instance: instance, incarnation: incarnation, heartbeat: heartbeat, revision: revision}
}

// Instance returns the member's name, data centre, addresses and state.
func (m Member) Instance() cardamom.Instance { return m.instance }

// Incarnation returns which run of the instance's process this is.
func (m Member) Incarnation() cardamom.Incarnation { return m.incarnation }

// Heartbeat returns the member's heartbeat counter.
func (m Member) Heartbeat() uint64 { return m.heartbeat }

// Revision returns the newest profile revision that the member has, whether or not
// it is in force there.
func (m Member) Revision() cardamom.Revision { return m.revision }

// LastHeartbeat returns when the newest heartbeat arrived.
func (m Member) LastHeartbeat() time.Time { return m.lastHeartbeat }

// State is one instance's view of the membership and the holds.
type State struct {
	self    Member
	members map[cardamom.InstanceID]*Member
	listed  map[cardamom.InstanceID]bool
	// firstListedAt is when the platform's list was first applied.
	firstListedAt time.Time
	// removed holds the last known incarnation of each removed member, 0 if none.
	removed map[cardamom.InstanceID]cardamom.Incarnation
	holds   map[hold.Resource]hold.Row
	// partners are the instances that share a hold with this one.
	partners     map[cardamom.InstanceID]bool
	suspectAfter time.Duration
	heartbeatAt  time.Time
	holdCursor   int
	random       *rand.Rand
}

// New returns the state of an instance that knows no other members.
func New(self Member, suspectAfter time.Duration, seed uint64, now time.Time) *State {
	s := &State{
		self:         self,
		members:      make(map[cardamom.InstanceID]*Member),
		listed:       make(map[cardamom.InstanceID]bool),
		removed:      make(map[cardamom.InstanceID]cardamom.Incarnation),
		holds:        make(map[hold.Resource]hold.Row),
		suspectAfter: suspectAfter,
		heartbeatAt:  now,
		random:       rand.New(rand.NewPCG(seed, uint64(self.incarnation))),
	}
	s.self.lastHeartbeat = now
	s.members[self.instance.ID] = &s.self
	return s
}

// Self returns this instance.
func (s *State) Self() Member { return s.self }

// Party returns this instance and its incarnation as a party to a hold.
func (s *State) Party() hold.Party { return hold.NewParty(s.self.instance.ID, s.self.incarnation) }

// Heartbeat records a heartbeat of this instance. If this process itself was
// paused since the last one, the pause doesn't count as silence of the other
// members.
func (s *State) Heartbeat(revision cardamom.Revision, now time.Time) {
	if gap := now.Sub(s.heartbeatAt); gap > s.suspectAfter/2 {
		for _, member := range s.members {
			member.lastHeartbeat = member.lastHeartbeat.Add(gap)
		}
	}
	s.heartbeatAt = now
	s.self.heartbeat++
	s.self.revision = revision
	s.self.lastHeartbeat = now
}

// Leave marks this instance as leaving.
func (s *State) Leave() { s.self.instance.State = cardamom.Leaving }

// ApplyList applies a reading of the platform's list. A member that was listed and
// no longer is, and whose heartbeats have stopped, is marked as removed.
func (s *State) ApplyList(instances []cardamom.Instance, now time.Time) {
	if s.firstListedAt.IsZero() {
		s.firstListedAt = now
	}
	listed := make(map[cardamom.InstanceID]bool, len(instances))
	for _, instance := range instances {
		listed[instance.ID] = true
		delete(s.removed, instance.ID)
		if _, known := s.members[instance.ID]; !known {
			s.members[instance.ID] = &Member{instance: instance}
		}
	}
	for id, member := range s.members {
		if s.listed[id] && !listed[id] && !s.isAlive(member, now) {
			s.removed[id] = member.incarnation
		}
	}
	for id := range s.listed {
		if _, removed := s.removed[id]; !removed {
			listed[id] = true
		}
	}
	s.listed = listed
}

// MergeMember applies a member's state from a digest or a direct call if it is
// newer.
func (s *State) MergeMember(m Member, now time.Time) {
	if m.instance.ID == s.self.instance.ID {
		return
	}
	known, ok := s.members[m.instance.ID]
	if ok && (m.incarnation < known.incarnation || m.incarnation == known.incarnation && m.heartbeat <= known.heartbeat) {
		return
	}
	m.lastHeartbeat = now
	m.aliveSince = now
	if ok && m.incarnation == known.incarnation && s.isAlive(known, now) {
		m.aliveSince = known.aliveSince
	}
	s.members[m.instance.ID] = &m
	if s.removed[m.instance.ID] < m.incarnation {
		delete(s.removed, m.instance.ID)
	}
}

// MergeHold stores a hold's row if it is newer and reports whether it was.
func (s *State) MergeHold(row hold.Row) bool {
	if known, ok := s.holds[row.Resource()]; ok && known.Version() >= row.Version() {
		return false
	}
	s.holds[row.Resource()] = row
	s.partners = s.findPartners()
	return true
}

// findPartners returns the instances that share a hold with this one: the
// witnesses of its holds and the holders that it is the witness of.
func (s *State) findPartners() map[cardamom.InstanceID]bool {
	party := s.Party()
	partners := make(map[cardamom.InstanceID]bool)
	for _, row := range s.holds {
		switch party {
		case row.Holder():
			partners[row.Witness().ID()] = true
		case row.Witness():
			partners[row.Holder().ID()] = true
		}
	}
	return partners
}

// MembershipKnown reports whether this instance has had time to learn the
// membership: every listed member is alive, or the suspect timeout has passed
// since the list was first read.
func (s *State) MembershipKnown(now time.Time) bool {
	if s.firstListedAt.IsZero() {
		return false
	}
	if now.Sub(s.firstListedAt) > s.suspectAfter {
		return true
	}
	others := 0
	for id := range s.listed {
		if id == s.self.instance.ID {
			continue
		}
		others++
		if member, ok := s.members[id]; !ok || !s.isAlive(member, now) {
			return false
		}
	}
	return others > 0
}

// Hold returns the newest known row of a resource.
func (s *State) Hold(resource hold.Resource) hold.Row {
	row, ok := s.holds[resource]
	if !ok {
		return hold.NewRow(resource, hold.Party{}, hold.Party{}, 0, 0)
	}
	return row
}

// NewestHoldVersion returns the greatest hold version known. Address responses carry
// it as the issue number, so that keys sent later can be told from those of before a
// loss of claims.
func (s *State) NewestHoldVersion() uint64 {
	var newest uint64
	for _, row := range s.holds {
		newest = max(newest, row.Version())
	}
	return newest
}

// Members returns the known members in order of name.
func (s *State) Members() []Member {
	members := make([]Member, 0, len(s.members))
	for _, member := range s.members {
		members = append(members, *member)
	}
	sort.Slice(members, func(i, j int) bool { return members[i].instance.ID < members[j].instance.ID })
	return members
}

// Active returns the members that are alive and not leaving, in order of name.
func (s *State) Active(now time.Time) []Member {
	var active []Member
	for _, member := range s.Members() {
		if member.instance.State == cardamom.Live && member.incarnation != 0 && s.isAlive(&member, now) {
			active = append(active, member)
		}
	}
	return active
}

// At returns the view of the members at a time.
func (s *State) At(now time.Time) hold.Members { return &membersAt{state: s, now: now} }

// missingFromList reports whether an instance is not in the list although this
// instance has been reading the list for longer than it can lag.
func (s *State) missingFromList(id cardamom.InstanceID, now time.Time) bool {
	return !s.listed[id] && !s.firstListedAt.IsZero() && now.Sub(s.firstListedAt) > maxListLag
}

func (s *State) isAlive(member *Member, now time.Time) bool {
	return member.instance.ID == s.self.instance.ID || now.Sub(member.lastHeartbeat) < s.suspectTimeout(member.instance.ID)
}

// suspectTimeout returns how long after its newest heartbeat a member is
// suspected. Heartbeats of partners arrive directly; those of other members take
// longer the more members share the digests.
func (s *State) suspectTimeout(id cardamom.InstanceID) time.Duration {
	if s.partners[id] || len(s.members) <= membersPerDigest {
		return s.suspectAfter
	}
	return s.suspectAfter * time.Duration(len(s.members)) / membersPerDigest
}

// membersAt is the view of the members at one time.
type membersAt struct {
	state *State
	now   time.Time
}

// Alive implements hold.Members.
func (m *membersAt) Alive(party hold.Party) bool {
	member, ok := m.state.members[party.ID()]
	return ok && member.incarnation == party.Incarnation() && m.state.isAlive(member, m.now)
}

// Ended implements hold.Members.
func (m *membersAt) Ended(party hold.Party) bool {
	member, ok := m.state.members[party.ID()]
	if ok && member.incarnation > party.Incarnation() {
		return true
	}
	if last, removed := m.state.removed[party.ID()]; removed {
		return last == 0 || last >= party.Incarnation()
	}
	return !ok && m.state.missingFromList(party.ID(), m.now)
}

// Steady implements hold.Members.
func (m *membersAt) Steady(id cardamom.InstanceID) bool {
	member, ok := m.state.members[id]
	return ok && m.state.isAlive(member, m.now) && m.now.Sub(member.aliveSince) > steadyFactor*m.state.suspectAfter
}

// Current implements hold.Members.
func (m *membersAt) Current(id cardamom.InstanceID) hold.Party {
	member, ok := m.state.members[id]
	if !ok {
		return hold.Party{}
	}
	return hold.NewParty(id, member.incarnation)
}
