package coord

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cardamomcourse.example/cardamom/lease"
	"cardamomcourse.example/cardamom/poison"
	"cardamomcourse.example/cardamom/site"
	"cardamomcourse.example/cardamom/syncpb"
	"cardamomcourse.example/cardamom/table"
)

// A refused request was never sent again, so that no answer could clear it, at any instance.
var _ = Describe("trials of requests that upstreams died of", func() {
	var coordinator *Loop
	var members []*poison.Ledger
	// tell lets a member exchange what it knows of such requests with the coordinator.
	tell := func(n int) {
		now := time.Now()
		request := &syncpb.ExchangeRequest{Member: &syncpb.Member{Instance: string(rune('b' + n))}, Suspects: encodeSuspects(members[n].Suspects(now), now)}
		members[n].Merge(decodeSuspects(coordinator.exchange(request, start).GetSuspects(), now), now)
	}
	ask := func(n int) bool {
		_, ok := members[n].AskTrial(7, time.Now())
		return ok
	}
	try := func(n int) string {
		name, ok := members[n].Try(7, time.Now())
		Expect(ok).To(BeTrue())
		return name
	}
	BeforeEach(func() {
		coordinator = newLoop("a", site.OrderAccepted)
		coordinator.becomeCoordinator()
		members = []*poison.Ledger{poison.New(), poison.New()}
		past := time.Now().Add(-2 * time.Second)
		for _, name := range []string{"x/1", "y/1"} {
			members[0].RecordDeath(7, name, past)
		}
		tell(0)
		tell(1)
		Expect(members[1].Verdict(7, time.Now())).To(Equal(poison.Refused))
	})

	It("are granted to one instance at a time, which is one where a request waits", func() {
		Expect(members[1].MayTry(7, time.Now())).To(BeFalse())
		tell(1)
		Expect(members[1].MayTry(7, time.Now())).To(BeFalse())
		Expect(ask(0)).To(BeTrue())
		Expect(ask(1)).To(BeTrue())
		tell(1)
		tell(0)
		Expect(members[1].MayTry(7, time.Now())).To(BeTrue())
		Expect(members[0].MayTry(7, time.Now())).To(BeFalse())
		try(1)
	})

	It("clear the request everywhere if it is answered", func() {
		Expect(ask(1)).To(BeTrue())
		tell(1)
		try(1)
		members[1].RecordSurvival(7)
		tell(1)
		tell(0)
		Expect(members[0].Verdict(7, time.Now())).To(Equal(poison.Clean))
		Expect(coordinator.state.ledger.Verdict(7, time.Now())).To(Equal(poison.Clean))
	})

	It("are in the lease row, so that instances that all start again try the request no more often", func() {
		Expect(ask(1)).To(BeTrue())
		tell(1)
		try(1)
		members[1].RecordDeath(7, "z/1", time.Now())
		tell(1)
		value := coordinator.encodeLease(lease.Row{Holder: "a", Address: "a:2"})
		after := newLoop("b", site.OrderAccepted)
		after.decodeLease(table.NewRow(leaseKey, value, 9))
		now := time.Now().Add(4 * time.Second)
		Expect(after.state.ledger.Verdict(7, now)).To(Equal(poison.Refused))
		_, ok := after.state.ledger.AskTrial(7, now)
		Expect(ok).To(BeFalse())
	})

	It("are stored at once, like deaths, and so is an answer after them", func() {
		before := coordinator.deaths()
		Expect(ask(0)).To(BeTrue())
		tell(0)
		Expect(coordinator.deaths()).To(Equal(before))
		try(0)
		tell(0)
		tried := coordinator.deaths()
		Expect(tried).To(BeNumerically(">", before))
		members[0].RecordSurvival(7)
		tell(0)
		Expect(coordinator.deaths()).To(BeNumerically(">", tried))
	})

	// A trial for which only upstreams were tried that had ended took the place of the next one for
	// a second, and that went to others that had ended.
	It("are granted anew at once if the request has reached no upstream", func() {
		Expect(ask(1)).To(BeTrue())
		tell(1)
		name := try(1)
		tell(1)
		members[1].Return(7, name)
		tell(1)
		tell(0)
		for _, ledger := range append(members, coordinator.state.ledger) {
			trials, _ := ledger.Suspects(time.Now())[0].Trials()
			Expect(trials).To(BeEmpty())
			Expect(ledger.Verdict(7, time.Now())).To(Equal(poison.Refused))
		}
		Expect(ask(0)).To(BeTrue())
		tell(0)
		try(0)
	})

	It("are granted by the coordinator to itself", func() {
		ledger := coordinator.state.ledger
		_, ok := ledger.AskTrial(7, time.Now())
		Expect(ok).To(BeTrue())
		coordinator.lastExchange = time.Time{}
		coordinator.stepExchange(start.Add(time.Hour))
		Expect(ledger.MayTry(7, time.Now())).To(BeTrue())
	})
})
