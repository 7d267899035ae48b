package poison_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

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

	It("clears a fingerprint of all deaths when a request with it is answered", func() {
		ledger := poison.New()
		ledger.RecordDeath(7, "u1/1", now)
		ledger.RecordSurvival(7)
		Expect(ledger.Verdict(7, now)).To(Equal(poison.Clean))
		ledger.RecordDeath(7, "u2/1", now)
		Expect(ledger.Verdict(7, now)).To(Equal(poison.Suspected))
	})

	It("does not take a death back that an instance still tells which knows of no answer", func() {
		here, there := poison.New(), poison.New()
		for _, name := range []string{"u1/1", "u2/1"} {
			here.RecordDeath(7, name, now)
			there.RecordDeath(7, name, now)
		}
		here.RecordSurvival(7)
		here.Merge(there.Suspects(now), now)
		Expect(here.Verdict(7, now)).To(Equal(poison.Clean))
		Expect(there.Verdict(7, now)).To(Equal(poison.Refused))
		there.Merge(here.Suspects(now), now)
		Expect(there.Verdict(7, now)).To(Equal(poison.Clean))
	})

	It("refuses a fingerprint that was answered before only after four deaths", func() {
		here, there := poison.New(), poison.New()
		here.RecordSurvival(7)
		for n := range 4 {
			Expect(here.Verdict(7, now)).NotTo(Equal(poison.Refused), "%d deaths", n)
			here.RecordDeath(7, fmt.Sprintf("u%d/1", n), now)
			there.Merge(here.Suspects(now), now)
			Expect(there.Verdict(7, now)).To(Equal(here.Verdict(7, now)))
		}
		Expect(here.Verdict(7, now)).To(Equal(poison.Refused))
	})

	It("forgets which fingerprints were answered only after thousands of others", func() {
		ledger := poison.New()
		ledger.RecordSurvival(7)
		for n := range 4000 {
			ledger.RecordSurvival(poison.Fingerprint(1000 + n))
		}
		ledger.RecordDeath(7, "u1/1", now)
		ledger.RecordDeath(7, "u2/1", now)
		Expect(ledger.Verdict(7, now)).To(Equal(poison.Suspected))
	})

	It("remembers a bounded number of outlived deaths", func() {
		ledger := poison.New()
		for n := range 1000 {
			ledger.RecordDeath(7, fmt.Sprintf("u%d/1", n), now)
			ledger.RecordSurvival(7)
		}
		Expect(len(ledger.Suspects(now)[0].Outlived())).To(BeNumerically("<=", 32))
	})

	It("comes to the same verdict at all instances, in whichever order they hear of each other", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			ledgers := make([]*poison.Ledger, rapid.IntRange(2, 5).Draw(t, "instances"))
			for n := range ledgers {
				ledgers[n] = poison.New()
			}
			one := func(label string) *poison.Ledger {
				return ledgers[rapid.IntRange(0, len(ledgers)-1).Draw(t, label)]
			}
			deaths, answered := 0, false
			for range rapid.IntRange(1, 30).Draw(t, "steps") {
				switch rapid.IntRange(0, 3).Draw(t, "step") {
				case 0:
					deaths++
					one("died at").RecordDeath(7, fmt.Sprintf("u%d/1", deaths), now)
				case 1:
					if rapid.Bool().Draw(t, "answered") {
						answered = true
						one("answered at").RecordSurvival(7)
					}
				default:
					one("to").Merge(one("from").Suspects(now), now)
				}
			}
			for range 2 {
				for _, from := range ledgers {
					for _, to := range ledgers {
						to.Merge(from.Suspects(now), now)
					}
				}
			}
			verdict := ledgers[0].Verdict(7, now)
			for _, ledger := range ledgers {
				if got := ledger.Verdict(7, now); got != verdict {
					t.Fatalf("verdicts %d and %d", verdict, got)
				}
			}
			if !answered && (verdict == poison.Refused) != (deaths >= 2) {
				t.Fatalf("verdict %d after %d deaths and no answer", verdict, deaths)
			}
			one("answered at last").RecordSurvival(7)
			for range 2 {
				for _, from := range ledgers {
					for _, to := range ledgers {
						to.Merge(from.Suspects(now), now)
					}
				}
			}
			for _, ledger := range ledgers {
				if got := ledger.Verdict(7, now); got == poison.Refused {
					t.Fatalf("refused after an answer and %d deaths", deaths)
				}
			}
		})
	})

	It("removes a suspect that has expired", func() {
		ledger := poison.New()
		ledger.RecordDeath(7, "u1/1", now)
		ledger.RecordDeath(7, "u2/1", now)
		Expect(ledger.Verdict(7, now.Add(time.Hour))).To(Equal(poison.Clean))
		Expect(ledger.Suspects(now.Add(time.Hour))).To(BeEmpty())
	})

	It("removes one that isn't refused sooner, also if an answer has cleared it", func() {
		ledger := poison.New()
		ledger.RecordDeath(7, "u1/1", now)
		ledger.RecordDeath(8, "u1/1", now)
		ledger.RecordSurvival(8)
		ledger.RecordDeath(9, "u1/1", now)
		ledger.RecordDeath(9, "u2/1", now)
		later := now.Add(11 * time.Minute)
		Expect(ledger.Verdict(9, later)).To(Equal(poison.Refused))
		Expect(ledger.Suspects(later)).To(HaveLen(1))
	})

	It("keeps a bounded number of suspects", func() {
		ledger := poison.New()
		for n := range 10000 {
			ledger.RecordDeath(poison.Fingerprint(n), "u/1", now)
		}
		Expect(len(ledger.Suspects(now))).To(BeNumerically("<=", 4096))
	})
})
