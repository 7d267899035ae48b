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
// the members whose newest state was sent least often, then the holds.
func (s *State) Compose(budget int) *peerpb.Digest {
	digest := &peerpb.Digest{From: string(s.self.instance.ID), Revision: uint64(s.self.revision)}
	digest.Members = append(digest.Members, encodeMember(s.self))
	room := budget/2 - proto.Size(digest)
	for _, member := range s.leastSent() {
		wire := encodeMember(*member)
		room -= proto.Size(wire) + fieldOverhead
		if room < 0 {
			break
		}
		member.sent++
		digest.Members = append(digest.Members, wire)
	}
	s.addHolds(digest, budget-proto.Size(digest))
	return digest
}

// leastSent returns the members with a heartbeat in the order in which to send
// them: those whose newest state was sent least often first, among equals the
// most recent heartbeat first.
func (s *State) leastSent() []*Member {
	var members []*Member
	for _, member := range s.members {
		if member.incarnation != 0 && member.instance.ID != s.self.instance.ID {
			members = append(members, member)
		}
	}
	sort.Slice(members, func(i, j int) bool {
		if members[i].sent != members[j].sent {
			return members[i].sent < members[j].sent
		}
		if !members[i].lastHeartbeat.Equal(members[j].lastHeartbeat) {
			return members[i].lastHeartbeat.After(members[j].lastHeartbeat)
		}
		return members[i].instance.ID < members[j].instance.ID
	})
	return members
}

// addHolds fills half of the room with the newest holds and the rest with the
// others in rotation, so that each is sent after a bounded number of digests.
func (s *State) addHolds(digest *peerpb.Digest, room int) {
	rows := make([]hold.Row, 0, len(s.holds))
	for _, row := range s.holds {
		rows = append(rows, row)
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Version() > rows[j].Version() })
	sent := 0
	newestRoom := room / 2
	for ; sent < len(rows); sent++ {
		wire := encodeHold(rows[sent])
		newestRoom -= proto.Size(wire) + fieldOverhead
		if newestRoom < 0 {
			break
		}
		room -= proto.Size(wire) + fieldOverhead
		digest.Holds = append(digest.Holds, wire)
	}
	rest := rows[sent:]
	for range rest {
		wire := encodeHold(rest[s.holdCursor%len(rest)])
		room -= proto.Size(wire) + fieldOverhead
		if room < 0 {
			return
		}
		s.holdCursor++
		digest.Holds = append(digest.Holds, wire)
	}
}

// Merge applies a digest and returns the resources whose hold has changed.
func (s *State) Merge(digest *peerpb.Digest, now time.Time) []hold.Resource {
	for _, wire := range digest.GetMembers() {
		s.MergeMember(decodeMember(wire), now)
	}
	var changed []hold.Resource
	for _, wire := range digest.GetHolds() {
		row := decodeHold(wire)
		if s.MergeHold(row) {
			changed = append(changed, row.Resource())
		}
	}
	return changed
}

// Targets returns the members to send the next digest to: one random member and one
// random partner (an instance that shares a hold with this one), since this instance
// must detect that a partner failed.
func (s *State) Targets() []Member {
	var others, partners []Member
	for _, member := range s.Members() {
		if member.instance.ID == s.self.instance.ID || member.instance.PeerAddress == "" {
			continue
		}
		if _, removed := s.removed[member.instance.ID]; removed {
			continue
		}
		others = append(others, member)
		if s.partners[member.instance.ID] {
			partners = append(partners, member)
		}
	}
	var targets []Member
	if len(others) > 0 {
		targets = append(targets, others[s.random.IntN(len(others))])
	}
	if len(partners) > 0 {
		next := partners[s.random.IntN(len(partners))]
		if next.instance.ID != targets[0].instance.ID {
			targets = append(targets, next)
		}
	}
	return targets
}

func encodeMember(m Member) *peerpb.Member {
	return &peerpb.Member{
		Id: string(m.instance.ID), Incarnation: uint64(m.incarnation), Place: string(m.instance.DataCentre),
		CallerAddress: m.instance.CallerAddress, PeerAddress: m.instance.PeerAddress,
		Beat: m.heartbeat, Leaving: m.instance.State == cardamom.Leaving, Revision: uint64(m.revision),
	}
}

func decodeMember(w *peerpb.Member) Member {
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

func encodeHold(row hold.Row) *peerpb.Hold {
	return &peerpb.Hold{
		Resource: string(row.Resource()), Version: row.Version(), Lossy: row.LossVersion(),
		Holder: string(row.Holder().ID()), HolderIncarnation: uint64(row.Holder().Incarnation()),
		Witness: string(row.Witness().ID()), WitnessIncarnation: uint64(row.Witness().Incarnation()),
	}
}

func decodeHold(w *peerpb.Hold) hold.Row {
	holder := hold.NewParty(cardamom.InstanceID(w.GetHolder()), cardamom.Incarnation(w.GetHolderIncarnation()))
	witness := hold.NewParty(cardamom.InstanceID(w.GetWitness()), cardamom.Incarnation(w.GetWitnessIncarnation()))
	return hold.NewRow(hold.Resource(w.GetResource()), holder, witness, w.GetVersion(), w.GetLossy())
}
