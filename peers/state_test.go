package peers_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/hold"
	"cardamomcourse.example/cardamom/peerpb"
	"cardamomcourse.example/cardamom/peers"
)

const (
	suspectAfter = 2 * time.Second
	budget       = 2048
)

var start = time.Unix(1000, 0)

func instance(n int) cardamom.Instance {
	return cardamom.Instance{
		ID: cardamom.InstanceID(fmt.Sprintf("entry-hall-%d", n)), DataCentre: "hall", State: cardamom.Live,
		CallerAddress: fmt.Sprintf("10.0.0.%d:7400", n), PeerAddress: fmt.Sprintf("10.0.0.%d:7401", n),
	}
}

func newState(n int, incarnation cardamom.Incarnation) *peers.State {
	return peers.New(peers.NewMember(instance(n), incarnation, 1, 0), suspectAfter, uint64(n), start)
}

func learn(s *peers.State, n int, incarnation cardamom.Incarnation, heartbeat uint64, now time.Time) {
	s.MergeMember(peers.NewMember(instance(n), incarnation, heartbeat, 0), now)
}

var _ = Describe("the state of the membership", func() {
	var s *peers.State
	two := hold.NewParty("entry-hall-2", 5)

	BeforeEach(func() {
		s = newState(1, 1)
		s.ApplyList([]cardamom.Instance{instance(1), instance(2)}, start)
		learn(s, 2, 5, 1, start)
	})

	It("counts a member as alive while its heartbeat grows", func() {
		Expect(s.At(start.Add(time.Second)).Alive(two)).To(BeTrue())
		Expect(s.At(start.Add(3 * time.Second)).Alive(two)).To(BeFalse())
		learn(s, 2, 5, 2, start.Add(3*time.Second))
		Expect(s.At(start.Add(4 * time.Second)).Alive(two)).To(BeTrue())
	})

	It("ignores a heartbeat that it already knows", func() {
		learn(s, 2, 5, 1, start.Add(3*time.Second))
		Expect(s.At(start.Add(4 * time.Second)).Alive(two)).To(BeFalse())
	})

	It("does not count a member as ended for its silence alone", func() {
		Expect(s.At(start.Add(time.Hour)).Ended(two)).To(BeFalse())
	})

	It("counts a member as ended after a later incarnation or a removal from the list", func() {
		learn(s, 2, 6, 1, start)
		Expect(s.At(start).Ended(two)).To(BeTrue())
		three := hold.NewParty("entry-hall-3", 7)
		s.ApplyList([]cardamom.Instance{instance(1), instance(3)}, start)
		learn(s, 3, 7, 1, start)
		later := start.Add(5 * time.Second)
		s.ApplyList([]cardamom.Instance{instance(1)}, later)
		Expect(s.At(later).Ended(three)).To(BeTrue())
	})

	It("ignores that a list omits a member that is alive", func() {
		s.ApplyList([]cardamom.Instance{instance(1)}, start.Add(time.Second))
		Expect(s.At(start.Add(time.Second)).Ended(two)).To(BeFalse())
	})

	It("does not suspect other members for a pause of its own process", func() {
		s.Heartbeat(0, start.Add(time.Second))
		s.Heartbeat(0, start.Add(10*time.Minute))
		Expect(s.At(start.Add(10 * time.Minute)).Alive(two)).To(BeTrue())
	})

	It("ignores the state that others send about this instance", func() {
		learn(s, 1, 99, 99, start)
		Expect(s.Self().Incarnation()).To(Equal(cardamom.Incarnation(1)))
	})

	It("keeps the newer of two rows", func() {
		Expect(s.MergeHold(hold.NewRow("claims/0", two, hold.Party{}, 9, 0))).To(BeTrue())
		Expect(s.MergeHold(hold.NewRow("claims/0", hold.NewParty("x", 1), hold.Party{}, 8, 0))).To(BeFalse())
		Expect(s.Hold("claims/0").Holder()).To(Equal(two))
	})
})

var _ = Describe("a digest", func() {
	It("stays within its budget with any number of members and holds", func() {
		s := newState(1, 1)
		for n := 2; n < 400; n++ {
			learn(s, n, cardamom.Incarnation(n), 1, start)
			s.MergeHold(hold.NewRow(hold.Resource(fmt.Sprintf("claims/%d", n)), hold.NewParty("a", 1), hold.NewParty("b", 1), uint64(n), 0))
		}
		Expect(proto.Size(s.Compose(budget))).To(BeNumerically("<=", budget))
	})

	It("spreads every member and hold to all instances in a bounded number of exchanges", func() {
		const count, rounds = 60, 60
		states := make([]*peers.State, count)
		for n := range states {
			states[n] = newState(n+1, 1)
			learn(states[n], (n+1)%count+1, 1, 1, start)
			states[n].MergeHold(hold.NewRow(hold.Resource(fmt.Sprintf("claims/%d", n)), hold.NewParty("a", 1), hold.Party{}, uint64(n+1), 0))
		}
		byID := make(map[cardamom.InstanceID]*peers.State, count)
		for _, s := range states {
			byID[s.Self().Instance().ID] = s
		}
		now := start
		for range rounds {
			now = now.Add(100 * time.Millisecond)
			for _, s := range states {
				s.Heartbeat(0, now)
				for _, target := range s.Targets() {
					other := byID[target.Instance().ID]
					other.Merge(s.Compose(budget), now)
					s.Merge(other.Compose(budget), now)
				}
			}
		}
		for _, s := range states {
			Expect(len(s.Active(now))).To(Equal(count))
			Expect(s.NewestHoldVersion()).To(Equal(uint64(count)))
			Expect(s.Hold("claims/0").Version()).To(Equal(uint64(1)))
		}
	})
})

func FuzzMerge(f *testing.F) {
	s := newState(2, 5)
	seed, err := proto.Marshal(s.Compose(budget))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Fuzz(func(t *testing.T, data []byte) {
		var digest peerpb.Digest
		if proto.Unmarshal(data, &digest) != nil {
			return
		}
		state := newState(1, 1)
		state.Merge(&digest, start)
		if state.Self().Incarnation() != 1 {
			t.Fatal("a digest changed the incarnation of this instance")
		}
		if size := proto.Size(state.Compose(budget)); size > budget {
			t.Fatalf("digest of %d bytes, budget %d", size, budget)
		}
	})
}
