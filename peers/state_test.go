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

func tell(s *peers.State, n int, incarnation cardamom.Incarnation, beat uint64, now time.Time) {
	s.Learn(peers.NewMember(instance(n), incarnation, beat, 0), now)
}

var _ = Describe("what an instance knows of the others", func() {
	var s *peers.State
	two := hold.NewParty("entry-hall-2", 5)

	BeforeEach(func() {
		s = newState(1, 1)
		s.Listed([]cardamom.Instance{instance(1), instance(2)}, start)
		tell(s, 2, 5, 1, start)
	})

	It("takes a member for alive while its heartbeat grows", func() {
		Expect(s.At(start.Add(time.Second)).Alive(two)).To(BeTrue())
		Expect(s.At(start.Add(3 * time.Second)).Alive(two)).To(BeFalse())
		tell(s, 2, 5, 2, start.Add(3*time.Second))
		Expect(s.At(start.Add(4 * time.Second)).Alive(two)).To(BeTrue())
	})

	It("does not take an old heartbeat told again for a sign of life", func() {
		tell(s, 2, 5, 1, start.Add(3*time.Second))
		Expect(s.At(start.Add(4 * time.Second)).Alive(two)).To(BeFalse())
	})

	It("never takes silence alone for the end", func() {
		Expect(s.At(start.Add(time.Hour)).Ended(two)).To(BeFalse())
	})

	It("knows of the end from a later run or from the list", func() {
		tell(s, 2, 6, 1, start)
		Expect(s.At(start).Ended(two)).To(BeTrue())
		three := hold.NewParty("entry-hall-3", 7)
		s.Listed([]cardamom.Instance{instance(1), instance(3)}, start)
		tell(s, 3, 7, 1, start)
		later := start.Add(5 * time.Second)
		s.Listed([]cardamom.Instance{instance(1)}, later)
		Expect(s.At(later).Ended(three)).To(BeTrue())
	})

	It("does not believe a list that misses a member it hears of", func() {
		s.Listed([]cardamom.Instance{instance(1)}, start.Add(time.Second))
		Expect(s.At(start.Add(time.Second)).Ended(two)).To(BeFalse())
	})

	It("does not suspect others for the time in which it stood still itself", func() {
		s.Beat(0, start.Add(time.Second))
		s.Beat(0, start.Add(10*time.Minute))
		Expect(s.At(start.Add(10 * time.Minute)).Alive(two)).To(BeTrue())
	})

	It("ignores what others say of itself", func() {
		tell(s, 1, 99, 99, start)
		Expect(s.Self().Incarnation()).To(Equal(cardamom.Incarnation(1)))
	})

	It("takes the newer of two rows", func() {
		Expect(s.LearnHold(hold.NewRow("claims/0", two, hold.Party{}, 9, 0))).To(BeTrue())
		Expect(s.LearnHold(hold.NewRow("claims/0", hold.NewParty("x", 1), hold.Party{}, 8, 0))).To(BeFalse())
		Expect(s.Hold("claims/0").Holder()).To(Equal(two))
	})
})

var _ = Describe("a digest", func() {
	It("stays within its budget with any number of members and holds", func() {
		s := newState(1, 1)
		for n := 2; n < 400; n++ {
			tell(s, n, cardamom.Incarnation(n), 1, start)
			s.LearnHold(hold.NewRow(hold.Resource(fmt.Sprintf("claims/%d", n)), hold.NewParty("a", 1), hold.NewParty("b", 1), uint64(n), 0))
		}
		Expect(proto.Size(s.Compose(budget))).To(BeNumerically("<=", budget))
	})

	It("brings every member and hold to everyone in a bounded number of exchanges", func() {
		const count, rounds = 60, 60
		states := make([]*peers.State, count)
		for n := range states {
			states[n] = newState(n+1, 1)
			tell(states[n], (n+1)%count+1, 1, 1, start)
			states[n].LearnHold(hold.NewRow(hold.Resource(fmt.Sprintf("claims/%d", n)), hold.NewParty("a", 1), hold.Party{}, uint64(n+1), 0))
		}
		byID := make(map[cardamom.InstanceID]*peers.State, count)
		for _, s := range states {
			byID[s.Self().Instance().ID] = s
		}
		now := start
		for range rounds {
			now = now.Add(100 * time.Millisecond)
			for _, s := range states {
				s.Beat(0, now)
				for _, target := range s.Targets() {
					other := byID[target.Instance().ID]
					other.Merge(s.Compose(budget), now)
					s.Merge(other.Compose(budget), now)
				}
			}
		}
		for _, s := range states {
			Expect(len(s.Active(now))).To(Equal(count))
			Expect(s.Newest()).To(Equal(uint64(count)))
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
			t.Fatal("a digest changed who this instance is")
		}
		if size := proto.Size(state.Compose(budget)); size > budget {
			t.Fatalf("digest of %d bytes, budget %d", size, budget)
		}
	})
}
