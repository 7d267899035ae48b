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
