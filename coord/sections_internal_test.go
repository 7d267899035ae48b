package coord

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/demand"
	"cardamomcourse.example/cardamom/site"
	"cardamomcourse.example/cardamom/syncpb"
)

// plainUpstream returns an upstream of a service without engines.
func plainUpstream(n int, startedMS int64) *site.Upstream {
	return &site.Upstream{
		Upstream:  cardamom.Upstream{ID: cardamom.UpstreamID(fmt.Sprintf("i-%08x", n)), Service: "plain", Address: fmt.Sprintf("10.0.%d.%d:80", n/250, n%250), State: cardamom.Live},
		StartedMs: startedMS, Version: "v1",
	}
}

// memberOf returns a loop that has the coordinators' catalog and no upstreams.
func memberOf(id cardamom.InstanceID) *Loop {
	l := newLoop(id, site.OrderAccepted)
	l.setCatalog(nil, site.NewCatalog(1, nil, []site.Service{{Name: "plain"}}, site.Limits{}), "test")
	return l
}

// coordinatorOf returns a loop that coordinates so many upstreams in a term.
func coordinatorOf(id cardamom.InstanceID, upstreams int, rate float64, term uint64) *Loop {
	l := memberOf(id)
	l.options.ListRate = rate
	l.lease.RecordWrite(term, l.options.SyncAddress, start)
	l.beginTerm(true, start)
	for n := range upstreams {
		l.term.update(plainUpstream(n, 1), start)
	}
	l.state.upstreamsConfirmed = start
	return l
}

// listed returns the digests of what the coordinator has published.
func (l *Loop) listed() listDigest {
	fresh := list{}
	fresh.refresh(l.term)
	return *fresh.digest
}

// exchangeWith makes one exchange with a coordinator, and returns the reply.
func (l *Loop) exchangeWith(coordinator *Loop, now time.Time) *syncpb.ExchangeReply {
	reply := coordinator.exchange(l.report(demand.Report{}), now)
	l.handleExchangeReply(coordinator.options.SyncAddress, reply, nil, now, now)
	return reply
}

// follows exchanges until the instance has the coordinator's list, and returns how many upstreams
// it was sent in how many exchanges.
func (l *Loop) follows(coordinator *Loop, now time.Time) (sent, exchanges int) {
	for exchanges < 200 {
		reply := l.exchangeWith(coordinator, now.Add(time.Duration(exchanges)*100*time.Millisecond))
		sent += len(reply.GetUpstreams())
		exchanges++
		if l.position.term == coordinator.term.number && l.position.change == coordinator.term.change {
			return sent, exchanges
		}
	}
	return sent, exchanges
}

var _ = Describe("a list of upstreams that an instance compares with its coordinator's", func() {
	const many = 3000

	It("comes in bounded parts if the instance has nothing", func() {
		coordinator, member := coordinatorOf("i-1", many, 0, 7), memberOf("i-2")
		for range 20 {
			reply := member.exchangeWith(coordinator, start)
			Expect(len(reply.GetUpstreams())).To(BeNumerically("<", maxListEntries+50))
		}
		Expect(*digestList(member.state.upstreams)).To(Equal(coordinator.listed()))
		Expect(member.state.upstreams).To(HaveLen(many))
	})

	It("costs little if the instance has nearly all of it, whoever it had that from", func() {
		before, member := coordinatorOf("i-1", many, 0, 7), memberOf("i-2")
		member.follows(before, start)
		coordinator := coordinatorOf("i-3", many, 0, 8)
		for n := range 60 {
			coordinator.term.update(plainUpstream(n*40, 2), start)
		}
		coordinator.term.remove("i-00000007")
		member.position = position{}
		sent, exchanges := member.follows(coordinator, start)
		Expect(sent).To(BeNumerically("<", 600))
		Expect(exchanges).To(BeNumerically("<=", 3))
		Expect(*digestList(member.state.upstreams)).To(Equal(coordinator.listed()))
		Expect(member.state.upstreams).To(HaveLen(many - 1))
	})

	It("is compared rather than sent if too much has changed since the last exchange", func() {
		coordinator, member := coordinatorOf("i-1", 100, 0, 7), memberOf("i-2")
		member.follows(coordinator, start)
		for n := range many {
			coordinator.term.update(plainUpstream(n, 2), start)
			member.setUpstream(plainUpstream(n, 2), "platform")
		}
		sent, exchanges := member.follows(coordinator, start)
		Expect(sent).To(BeZero())
		Expect(exchanges).To(Equal(2))
	})

	It("doesn't count as confirmed until all of it has come", func() {
		coordinator, member := coordinatorOf("i-1", many, 0, 7), memberOf("i-2")
		for member.position.term == 0 {
			Expect(member.state.upstreamsConfirmed.IsZero()).To(BeTrue())
			member.exchangeWith(coordinator, start)
			Expect(member.lastAnswered).To(Equal(start))
		}
		Expect(member.state.upstreamsConfirmed).To(Equal(start))
	})

	It("takes no more of the coordinator's link than its rate, however many ask", func() {
		const rate = 5000
		coordinator := coordinatorOf("i-1", many, rate, 7)
		members := make([]*Loop, 100)
		for n := range members {
			members[n] = memberOf(cardamom.InstanceID(fmt.Sprintf("m-%d", n)))
		}
		sent := 0
		for tick := range 40 {
			for _, member := range members {
				sent += len(member.exchangeWith(coordinator, start.Add(time.Duration(tick)*50*time.Millisecond)).GetUpstreams())
			}
		}
		Expect(sent).To(And(BeNumerically(">", 1.9*rate), BeNumerically("<", 2.4*rate)))
	})

	It("has an upstream that was removed and listed again between two exchanges", func() {
		coordinator, member := coordinatorOf("i-1", 10, 0, 7), memberOf("i-2")
		member.follows(coordinator, start)
		coordinator.term.remove("i-00000003")
		coordinator.term.update(plainUpstream(3, 2), start)
		member.exchangeWith(coordinator, start)
		Expect(member.state.upstreams).To(HaveKey(cardamom.UpstreamID("i-00000003")))
	})

	It("comes at once and whole to an instance of a version that can't compare", func() {
		coordinator := coordinatorOf("i-1", many, 1, 7)
		reply := coordinator.exchange(&syncpb.ExchangeRequest{Member: &syncpb.Member{Instance: "i-2"}}, start)
		Expect(reply.GetFull()).To(BeTrue())
		Expect(reply.GetUpstreams()).To(HaveLen(many))
	})

	It("is taken over whole from a coordinator of a version that can't compare", func() {
		member := memberOf("i-2")
		member.setUpstream(plainUpstream(1, 1), "platform")
		reply := &syncpb.ExchangeReply{Coordinates: true, Tenure: 7, Change: 5, Full: true, Upstreams: []*syncpb.Upstream{encodeUpstream(plainUpstream(2, 1))}}
		member.handleExchangeReply("i-1:2", reply, nil, start, start)
		Expect(member.state.upstreams).To(HaveLen(1))
		Expect(member.position.change).To(BeEquivalentTo(5))
	})

	It("keeps what a coordinator lacks that has read no registrations", func() {
		coordinator, member := coordinatorOf("i-1", 10, 0, 7), memberOf("i-2")
		coordinator.state.upstreamsConfirmed = time.Time{}
		member.setUpstream(plainUpstream(20, 1), "platform")
		member.exchangeWith(coordinator, start)
		Expect(member.state.upstreams).To(HaveLen(11))
		coordinator.state.upstreamsConfirmed = start
		member.exchangeWith(coordinator, start)
		Expect(member.state.upstreams).To(HaveLen(10))
	})

	// Lists change while they are compared, replies are lost, and coordinators follow each other.
	It("is the coordinator's whenever it counts as confirmed, on random histories", func() {
		seed := GinkgoRandomSeed()
		confirmed := 0
		for run := range 30 {
			random := rand.New(rand.NewPCG(uint64(seed), uint64(run)))
			rate := []float64{0, 2000}[random.IntN(2)]
			term := uint64(7)
			coordinator := coordinatorOf("i-0", 1200, rate, term)
			members := []*Loop{memberOf("m-1"), memberOf("m-2"), memberOf("m-3")}
			now := start
			for range 400 {
				now = now.Add(time.Duration(random.IntN(60)) * time.Millisecond)
				coordinator.state.upstreamsConfirmed = now
				member := members[random.IntN(len(members))]
				switch n := random.IntN(1300); random.IntN(12) {
				case 0, 1:
					coordinator.term.update(plainUpstream(n, int64(1+random.IntN(3))), now)
				case 2:
					coordinator.term.remove(plainUpstream(n, 1).ID)
				case 3:
					member.applyListing(site.UpstreamUpdate{Present: []*site.Upstream{plainUpstream(n, 1)}}, now, now)
				case 4:
					if random.IntN(6) == 0 {
						term++
						coordinator = coordinatorOf(cardamom.InstanceID(fmt.Sprintf("i-%d", term%2)), 1100+random.IntN(200), rate, term)
						coordinator.state.upstreamsConfirmed = now
					}
				case 5:
					_ = coordinator.exchange(member.report(demand.Report{}), now)
				case 6:
					// The platform is read while an exchange is under way.
					reply := coordinator.exchange(member.report(demand.Report{}), now)
					member.applyListing(site.UpstreamUpdate{Present: []*site.Upstream{plainUpstream(n, 1)}}, now.Add(-time.Millisecond), now)
					member.handleExchangeReply(coordinator.options.SyncAddress, reply, nil, now, now)
				default:
					before := member.state.upstreamsConfirmed
					member.exchangeWith(coordinator, now)
					if member.state.upstreamsConfirmed.After(before) {
						confirmed++
						Expect(*digestList(member.state.upstreams) == coordinator.listed()).To(BeTrue(), "seed %d run %d", seed, run)
					}
				}
			}
			for _, member := range members {
				member.exchangeWith(coordinator, now)
				member.follows(coordinator, now.Add(time.Second))
				Expect(*digestList(member.state.upstreams) == coordinator.listed()).To(BeTrue(), "seed %d run %d", seed, run)
			}
		}
		Expect(confirmed).To(BeNumerically(">", 500))
	})
})
