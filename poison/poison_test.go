package poison_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cardamomcourse.example/cardamom/poison"
)

var _ = Describe("the ledger of deaths", func() {
	now := time.Unix(1000, 0)

	It("refuses a fingerprint after two deaths, whichever instances recorded them", func() {
		here, there := poison.New(), poison.New()
		here.RecordDeath(7, "u1/1", now)
		there.RecordDeath(7, "u2/1", now)
		Expect(here.Verdict(7, now)).To(Equal(poison.Suspected))
		here.Merge(there.Suspects(now), now)
		Expect(here.Verdict(7, now)).To(Equal(poison.Refused))
		Expect(here.Verdict(8, now)).To(Equal(poison.Clean))
	})

	It("counts one death once, however often it is received", func() {
		here, there := poison.New(), poison.New()
		here.RecordDeath(7, "u1/1", now)
		there.Merge(here.Suspects(now), now)
		for range 3 {
			here.Merge(there.Suspects(now), now)
		}
		Expect(here.Verdict(7, now)).To(Equal(poison.Suspected))
	})

	It("removes a suspect that has expired", func() {
		ledger := poison.New()
		ledger.RecordDeath(7, "u1/1", now)
		ledger.RecordDeath(7, "u2/1", now)
		Expect(ledger.Verdict(7, now.Add(time.Hour))).To(Equal(poison.Clean))
		Expect(ledger.Suspects(now.Add(time.Hour))).To(BeEmpty())
	})

	It("keeps a bounded number of suspects", func() {
		ledger := poison.New()
		for n := range 10000 {
			ledger.RecordDeath(poison.Fingerprint(n), "u/1", now)
		}
		Expect(len(ledger.Suspects(now))).To(BeNumerically("<=", 4096))
	})
})
