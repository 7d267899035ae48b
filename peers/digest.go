package peers

import (
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/hold"
	"cardamomcourse.example/cardamom/peerpb"
)

// fieldOverhead is the size in bytes of a repeated field's tag and length.
const fieldOverhead = 4

// Compose returns a digest of at most budget bytes: this instance first, then
// the members whose newest word was passed on least, then the holds.
func (s *State) Compose(budget int) *peerpb.Digest {
	digest := &peerpb.Digest{From: string(s.self.instance.ID), Revision: uint64(s.self.revision)}
	digest.Members = append(digest.Members, memberWire(s.self))
	room := budget/2 - proto.Size(digest)
	for _, member := range s.leastTold() {
		wire := memberWire(*member)
		room -= proto.Size(wire) + fieldOverhead
		if room < 0 {
			break
		}
		member.told++
		digest.Members = append(digest.Members, wire)
	}
	s.addHolds(digest, budget-proto.Size(digest))
	return digest
}

// leastTold returns the heard-of members whose newest word was passed on least
// often, the newest first among equals.
func (s *State) leastTold() []*Member {
	var members []*Member
	for _, member := range s.members {
		if member.incarnation != 0 && member.instance.ID != s.self.instance.ID {
			members = append(members, member)
		}
	}
	sort.Slice(members, func(i, j int) bool {
		if members[i].told != members[j].told {
			return members[i].told < members[j].told
		}
		if !members[i].heard.Equal(members[j].heard) {
			return members[i].heard.After(members[j].heard)
		}
		return members[i].instance.ID < members[j].instance.ID
	})
	return members
}

// addHolds adds the newest holds to half of the room and rotates through all
// in the rest.
func (s *State) addHolds(digest *peerpb.Digest, room int) {
	rows := make([]hold.Row, 0, len(s.holds))
	for _, row := range s.holds {
		rows = append(rows, row)
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Version() > rows[j].Version() })
	sent := 0
	newest := room / 2
	for ; sent < len(rows); sent++ {
		wire := holdWire(rows[sent])
		newest -= proto.Size(wire) + fieldOverhead
		if newest < 0 {
			break
		}
		room -= proto.Size(wire) + fieldOverhead
		digest.Holds = append(digest.Holds, wire)
	}
	rest := rows[sent:]
	for range rest {
		wire := holdWire(rest[s.cursor%len(rest)])
		room -= proto.Size(wire) + fieldOverhead
		if room < 0 {
			return
		}
		s.cursor++
		digest.Holds = append(digest.Holds, wire)
	}
}

// Merge takes a digest and returns the resources whose hold has changed.
func (s *State) Merge(digest *peerpb.Digest, now time.Time) []hold.Resource {
	for _, wire := range digest.GetMembers() {
		s.Learn(memberDomain(wire), now)
	}
	var changed []hold.Resource
	for _, wire := range digest.GetHolds() {
		row := holdDomain(wire)
		if s.LearnHold(row) {
			changed = append(changed, row.Resource())
		}
	}
	return changed
}

// Targets returns whom to send the next digest to: one random member and one
// of those this instance must notice the silence of.
func (s *State) Targets() []Member {
	var others, watched []Member
	for _, member := range s.Members() {
		if member.instance.ID == s.self.instance.ID || member.instance.PeerAddress == "" {
			continue
		}
		if _, ended := s.unlisted[member.instance.ID]; ended {
			continue
		}
		others = append(others, member)
		if s.watched[member.instance.ID] {
			watched = append(watched, member)
		}
	}
	var targets []Member
	if len(others) > 0 {
		targets = append(targets, others[s.random.IntN(len(others))])
	}
	if len(watched) > 0 {
		next := watched[s.random.IntN(len(watched))]
		if next.instance.ID != targets[0].instance.ID {
			targets = append(targets, next)
		}
	}
	return targets
}

func memberWire(m Member) *peerpb.Member {
	return &peerpb.Member{
		Id: string(m.instance.ID), Incarnation: uint64(m.incarnation), Place: string(m.instance.DataCentre),
		CallerAddress: m.instance.CallerAddress, PeerAddress: m.instance.PeerAddress,
		Beat: m.beat, Leaving: m.instance.State == cardamom.Leaving, Revision: uint64(m.revision),
	}
}

func memberDomain(w *peerpb.Member) Member {
	state := cardamom.Live
	if w.GetLeaving() {
		state = cardamom.Leaving
	}
	instance := cardamom.Instance{
		ID: cardamom.InstanceID(w.GetId()), DataCentre: cardamom.DataCentre(w.GetPlace()),
		CallerAddress: w.GetCallerAddress(), PeerAddress: w.GetPeerAddress(), State: state,
	}
	return NewMember(instance, cardamom.Incarnation(w.GetIncarnation()), w.GetBeat(), cardamom.Revision(w.GetRevision()))
}

func holdWire(row hold.Row) *peerpb.Hold {
	return &peerpb.Hold{
		Resource: string(row.Resource()), Version: row.Version(), Lossy: row.Lossy(),
		Holder: string(row.Holder().ID()), HolderIncarnation: uint64(row.Holder().Incarnation()),
		Witness: string(row.Witness().ID()), WitnessIncarnation: uint64(row.Witness().Incarnation()),
	}
}

func holdDomain(w *peerpb.Hold) hold.Row {
	holder := hold.NewParty(cardamom.InstanceID(w.GetHolder()), cardamom.Incarnation(w.GetHolderIncarnation()))
	witness := hold.NewParty(cardamom.InstanceID(w.GetWitness()), cardamom.Incarnation(w.GetWitnessIncarnation()))
	return hold.NewRow(hold.Resource(w.GetResource()), holder, witness, w.GetVersion(), w.GetLossy())
}
