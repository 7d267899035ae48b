package coord

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cardamomcourse.example/cardamom/lease"
	"cardamomcourse.example/cardamom/poison"
	"cardamomcourse.example/cardamom/site"
	"cardamomcourse.example/cardamom/table"
)

var _ = Describe("requests that upstreams died of", func() {
	It("are still refused after all instances have started again", func() {
		now := time.Now()
		before := newLoop("a", site.OrderAccepted)
		before.becomeCoordinator()
		before.state.ledger.RecordDeath(7, "x/1", now)
		before.state.ledger.RecordDeath(7, "y/1", now)
		before.state.ledger.RecordDeath(8, "x/1", now)
		value := before.encodeLease(lease.Row{Holder: "a", Address: "a:2"})
		after := newLoop("b", site.OrderAccepted)
		after.decodeLease(table.NewRow(leaseKey, value, 9))
		Expect(after.state.ledger.Verdict(7, now)).To(Equal(poison.Refused))
		Expect(after.state.ledger.Verdict(8, now)).To(Equal(poison.Suspected))
		Expect(after.state.ledger.Verdict(9, now)).To(Equal(poison.Clean))
	})

	It("are served after all instances have started again if they were answered since", func() {
		now := time.Now()
		before := newLoop("a", site.OrderAccepted)
		before.becomeCoordinator()
		for _, name := range []string{"x/1", "y/1"} {
			before.state.ledger.RecordDeath(7, name, now)
			before.state.ledger.RecordDeath(8, name, now)
		}
		before.state.ledger.RecordSurvival(7)
		value := before.encodeLease(lease.Row{Holder: "a", Address: "a:2"})
		after := newLoop("b", site.OrderAccepted)
		after.state.ledger.RecordDeath(7, "x/1", now)
		after.decodeLease(table.NewRow(leaseKey, value, 9))
		Expect(after.state.ledger.Verdict(7, now)).To(Equal(poison.Clean))
		Expect(after.state.ledger.Verdict(8, now)).To(Equal(poison.Refused))
	})

	It("are told to other instances as answered", func() {
		now := time.Now()
		here, there := poison.New(), poison.New()
		here.RecordDeath(7, "x/1", now)
		here.RecordSurvival(7)
		there.RecordDeath(7, "x/1", now)
		there.Merge(decodeSuspects(encodeSuspects(here.Suspects(now), now), now), now)
		Expect(there.Verdict(7, now)).To(Equal(poison.Clean))
		for _, name := range []string{"y/1", "z/1"} {
			there.RecordDeath(7, name, now)
		}
		Expect(there.Verdict(7, now)).To(Equal(poison.Suspected))
	})

	// Instances told each other of such requests without the time that had passed, so that they were
	// refused for as long as any two instances ran.
	It("are forgotten a while after the last death, however often instances tell each other of them", func() {
		now := time.Now()
		here, there := poison.New(), poison.New()
		here.RecordDeath(7, "x/1", now)
		here.RecordDeath(7, "y/1", now)
		tell := func(from, to *poison.Ledger) {
			told := encodeSuspects(from.Suspects(now), now)
			now = now.Add(exchangeTimeout)
			to.Merge(decodeSuspects(told, now), now)
		}
		expires := here.Suspects(now)[0].Expires()
		for now.Before(expires.Add(10 * time.Second)) {
			tell(here, there)
			tell(there, here)
			now = now.Add(minExchangeInterval)
		}
		Expect(here.Verdict(7, now)).To(Equal(poison.Clean))
		Expect(there.Verdict(7, now)).To(Equal(poison.Clean))
	})

	It("are forgotten a while after the last death, however often the lease row is read", func() {
		now := time.Now()
		before := newLoop("a", site.OrderAccepted)
		before.becomeCoordinator()
		before.state.ledger.Merge([]poison.Suspect{poison.NewSuspect(7, []string{"x/1", "y/1"}, now.Add(time.Minute))}, now)
		value := before.encodeLease(lease.Row{Holder: "a", Address: "a:2"})
		after := newLoop("b", site.OrderAccepted)
		after.decodeLease(table.NewRow(leaseKey, value, 9))
		Expect(after.state.ledger.Verdict(7, now)).To(Equal(poison.Refused))
		Expect(after.state.ledger.Verdict(7, now.Add(2*time.Minute))).To(Equal(poison.Clean))
	})

	It("take a bounded part of the lease row, however many deaths were outlived", func() {
		now := time.Now()
		l := newLoop("a", site.OrderAccepted)
		l.becomeCoordinator()
		for n := range 200 {
			fingerprint := poison.Fingerprint(n)
			for death := range 40 {
				l.state.ledger.RecordDeath(fingerprint, fmt.Sprintf("i-0123456789/2026-12-06T12:00:00.%03dZ", death), now)
				l.state.ledger.RecordSurvival(fingerprint)
			}
			for death := range 10 {
				l.state.ledger.RecordDeath(fingerprint, fmt.Sprintf("i-9876543210/2026-12-06T12:00:00.%03dZ", death), now)
			}
		}
		Expect(len(l.encodeLease(lease.Row{Holder: "a"}))).To(BeNumerically("<", 24_000))
	})

	It("take a bounded part of the lease row, those with the most deaths first", func() {
		now := time.Now()
		l := newLoop("a", site.OrderAccepted)
		l.becomeCoordinator()
		for n := range 1000 {
			l.state.ledger.RecordDeath(poison.Fingerprint(n), "x/1", now)
		}
		l.state.ledger.RecordDeath(500, "y/1", now)
		value := l.encodeLease(lease.Row{Holder: "a"})
		Expect(len(value)).To(BeNumerically("<", 10_000), fmt.Sprint(len(value)))
		after := newLoop("b", site.OrderAccepted)
		after.decodeLease(table.NewRow(leaseKey, value, 9))
		Expect(after.state.ledger.Verdict(500, now)).To(Equal(poison.Refused))
	})
})
