// Package peers keeps what an instance knows of the others and composes the
// digests they exchange within a byte budget.
//
// # Usage
//
//	state := peers.New(self, suspectAfter, budget)
//	reply := state.Merge(digest, now)
//	if state.Alive(party) { ... }
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

// membersPerDigest is how many members there may be before word of one takes
// longer than the suspect time.
const membersPerDigest = 24

// listLag is the greatest time by which the platform's list is taken to lag.
const listLag = 30 * time.Second

// steadyFactor is for how many suspect times a member must be heard of to be steady.
const steadyFactor = 2

// Member is what is known of one instance.
type Member struct {
	instance    cardamom.Instance
	incarnation cardamom.Incarnation
	beat        uint64
	revision    cardamom.Revision
	heard       time.Time
	since       time.Time
	// told is how often this instance has passed the newest word on.
	told int
}

// NewMember returns a member as a digest describes it.
func NewMember(instance cardamom.Instance, incarnation cardamom.Incarnation, beat uint64, revision cardamom.Revision) Member {
	return Member{instance: instance, incarnation: incarnation, beat: beat, revision: revision}
}

// Instance returns the member's name, data centre, addresses and state.
func (m Member) Instance() cardamom.Instance { return m.instance }

// Incarnation returns which run of the instance it is.
func (m Member) Incarnation() cardamom.Incarnation { return m.incarnation }

// Beat returns the member's heartbeat counter.
func (m Member) Beat() uint64 { return m.beat }

// Revision returns the profile revision in force at the member.
func (m Member) Revision() cardamom.Revision { return m.revision }

// Heard returns when the newest heartbeat was learnt.
func (m Member) Heard() time.Time { return m.heard }

// State is one instance's knowledge of the others.
type State struct {
	self     Member
	members  map[cardamom.InstanceID]*Member
	listed   map[cardamom.InstanceID]bool
	listedAt time.Time
	unlisted map[cardamom.InstanceID]cardamom.Incarnation
	holds    map[hold.Resource]hold.Row
	watched  map[cardamom.InstanceID]bool
	suspect  time.Duration
	ticked   time.Time
	cursor   int
	random   *rand.Rand
}

// New returns the knowledge of an instance that has heard of no other.
func New(self Member, suspect time.Duration, seed uint64, now time.Time) *State {
	s := &State{
		self:     self,
		members:  make(map[cardamom.InstanceID]*Member),
		listed:   make(map[cardamom.InstanceID]bool),
		unlisted: make(map[cardamom.InstanceID]cardamom.Incarnation),
		holds:    make(map[hold.Resource]hold.Row),
		suspect:  suspect,
		ticked:   now,
		random:   rand.New(rand.NewPCG(seed, uint64(self.incarnation))),
	}
	s.self.heard = now
	s.members[self.instance.ID] = &s.self
	return s
}

// Self returns this instance.
func (s *State) Self() Member { return s.self }

// Party returns this run of this instance.
func (s *State) Party() hold.Party { return hold.NewParty(s.self.instance.ID, s.self.incarnation) }

// Beat counts this instance's own heartbeat and forgives silence that passed
// while this process itself stood still.
func (s *State) Beat(revision cardamom.Revision, now time.Time) {
	if gap := now.Sub(s.ticked); gap > s.suspect/2 {
		for _, member := range s.members {
			member.heard = member.heard.Add(gap)
		}
	}
	s.ticked = now
	s.self.beat++
	s.self.revision = revision
	s.self.heard = now
}

// Leave marks this instance as leaving.
func (s *State) Leave() { s.self.instance.State = cardamom.Leaving }

// Listed takes a reading of the platform's list. A member that was listed and
// is no longer, and is not heard of either, has ended.
func (s *State) Listed(instances []cardamom.Instance, now time.Time) {
	if s.listedAt.IsZero() {
		s.listedAt = now
	}
	listed := make(map[cardamom.InstanceID]bool, len(instances))
	for _, instance := range instances {
		listed[instance.ID] = true
		delete(s.unlisted, instance.ID)
		if _, known := s.members[instance.ID]; !known {
			s.members[instance.ID] = &Member{instance: instance}
		}
	}
	for id, member := range s.members {
		if s.listed[id] && !listed[id] && !s.heardLately(member, now) {
			s.unlisted[id] = member.incarnation
		}
	}
	for id := range s.listed {
		if _, gone := s.unlisted[id]; !gone {
			listed[id] = true
		}
	}
	s.listed = listed
}

// Learn takes one member's state from a digest or a direct call.
func (s *State) Learn(m Member, now time.Time) {
	if m.instance.ID == s.self.instance.ID {
		return
	}
	known, ok := s.members[m.instance.ID]
	if ok && (m.incarnation < known.incarnation || m.incarnation == known.incarnation && m.beat <= known.beat) {
		return
	}
	m.heard = now
	m.since = now
	if ok && m.incarnation == known.incarnation && s.heardLately(known, now) {
		m.since = known.since
	}
	s.members[m.instance.ID] = &m
	if s.unlisted[m.instance.ID] < m.incarnation {
		delete(s.unlisted, m.instance.ID)
	}
}

// LearnHold takes a row if it is newer and tells whether it was.
func (s *State) LearnHold(row hold.Row) bool {
	if known, ok := s.holds[row.Resource()]; ok && known.Version() >= row.Version() {
		return false
	}
	s.holds[row.Resource()] = row
	s.watched = s.partners()
	return true
}

// partners returns the instances that share a hold with this one, as holder
// and witness.
func (s *State) partners() map[cardamom.InstanceID]bool {
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

// Settled tells whether this instance has had time to hear of the others: of
// every listed one, or for as long as it takes to suspect one.
func (s *State) Settled(now time.Time) bool {
	if s.listedAt.IsZero() {
		return false
	}
	if now.Sub(s.listedAt) > s.suspect {
		return true
	}
	others := 0
	for id := range s.listed {
		if id == s.self.instance.ID {
			continue
		}
		others++
		if member, ok := s.members[id]; !ok || !s.heardLately(member, now) {
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

// Newest returns the greatest hold version known, the issue number of new keys.
func (s *State) Newest() uint64 {
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

// Active returns the members that are heard of and not leaving, in order of name.
func (s *State) Active(now time.Time) []Member {
	var active []Member
	for _, member := range s.Members() {
		if member.instance.State == cardamom.Live && member.incarnation != 0 && s.heardLately(&member, now) {
			active = append(active, member)
		}
	}
	return active
}

// At returns what is known of the members at a time.
func (s *State) At(now time.Time) hold.Members { return &moment{state: s, now: now} }

// absent tells whether an instance that was never heard of has been missing
// from the list for so long that a lag can't explain it.
func (s *State) absent(id cardamom.InstanceID, now time.Time) bool {
	return !s.listed[id] && !s.listedAt.IsZero() && now.Sub(s.listedAt) > listLag
}

func (s *State) heardLately(member *Member, now time.Time) bool {
	return member.instance.ID == s.self.instance.ID || now.Sub(member.heard) < s.patience(member.instance.ID)
}

// patience returns after how long without word a member is suspected. Word of
// partners comes straight from them; word of the others takes the longer the
// more members share the digests.
func (s *State) patience(id cardamom.InstanceID) time.Duration {
	if s.watched[id] || len(s.members) <= membersPerDigest {
		return s.suspect
	}
	return s.suspect * time.Duration(len(s.members)) / membersPerDigest
}

// moment is the knowledge at one time.
type moment struct {
	state *State
	now   time.Time
}

// Alive implements hold.Members.
func (m *moment) Alive(party hold.Party) bool {
	member, ok := m.state.members[party.ID()]
	return ok && member.incarnation == party.Incarnation() && m.state.heardLately(member, m.now)
}

// Ended implements hold.Members.
func (m *moment) Ended(party hold.Party) bool {
	member, ok := m.state.members[party.ID()]
	if ok && member.incarnation > party.Incarnation() {
		return true
	}
	if gone, unlisted := m.state.unlisted[party.ID()]; unlisted {
		return gone == 0 || gone >= party.Incarnation()
	}
	return !ok && m.state.absent(party.ID(), m.now)
}

// Steady implements hold.Members.
func (m *moment) Steady(id cardamom.InstanceID) bool {
	member, ok := m.state.members[id]
	return ok && m.state.heardLately(member, m.now) && m.now.Sub(member.since) > steadyFactor*m.state.suspect
}

// Current implements hold.Members.
func (m *moment) Current(id cardamom.InstanceID) hold.Party {
	member, ok := m.state.members[id]
	if !ok {
		return hold.Party{}
	}
	return hold.NewParty(id, member.incarnation)
}
