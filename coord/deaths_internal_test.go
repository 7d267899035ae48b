package coord

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cardamomcourse.example/cardamom/clock"
	"cardamomcourse.example/cardamom/poison"
	"cardamomcourse.example/cardamom/site"
	"cardamomcourse.example/cardamom/syncpb"
)

// Instances forgot what a request had crashed when all of them were killed before the next renewal
// of the lease, whose row alone outlasts them.
var _ = Describe("the death of an upstream", func() {
	var l *Loop
	var store rows
	deaths := map[string]func(l *Loop, now time.Time){
		"of a request": func(l *Loop, _ time.Time) { l.options.Ledger.RecordDeath(7, "u/1", time.Now()) },
		"of a part": func(l *Loop, now time.Time) {
			l.options.Parts.Died("s", []string{"p"}, poison.NewDeath("u/1", now, now, true), now)
		},
	}
	BeforeEach(func() {
		l = newLoop("i-1", site.OrderAccepted)
		store = rows{committed: make(chan []byte, 1)}
		l.options.Table = store
		l.becomeCoordinator()
		l.lastLeaseCall = start
	})

	for name, die := range deaths {
		It("is stored before the lease is renewed: "+name, func() {
			die(l, clock.Now())
			l.stepLease(start.Add(deathWriteInterval / 2))
			Expect(l.leaseCallInFlight).To(BeFalse())
			l.stepLease(start.Add(deathWriteInterval))
			Expect(l.leaseCallInFlight).To(BeTrue())
			Eventually(store.committed).Should(Receive(ContainSubstring("u/1")))
			l.leaseCallInFlight = false
			l.stepLease(start.Add(3 * deathWriteInterval))
			Expect(l.leaseCallInFlight).To(BeFalse())
		})

		It("makes the next exchange start early: "+name, func() {
			die(l, clock.Now())
			var event func(time.Time)
			Eventually(l.events).Should(Receive(&event))
			l.reportSoon = false
			event(clock.Now())
			Expect(l.reportSoon).To(BeTrue())
		})
	}

	It("is stored if a member has seen it", func() {
		suspects := encodeSuspects([]poison.Suspect{poison.NewSuspect(7, []string{"u/1"}, poison.Expiry(time.Now()))}, time.Now())
		l.exchange(&syncpb.ExchangeRequest{Member: &syncpb.Member{Instance: "i-2"}, Suspects: suspects}, start)
		l.stepLease(start.Add(deathWriteInterval))
		Eventually(store.committed).Should(Receive(ContainSubstring("u/1")))
	})
})
