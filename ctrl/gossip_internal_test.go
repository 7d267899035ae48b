package ctrl

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cardamomcourse.example/cardamom/peerpb"
	"cardamomcourse.example/cardamom/poison"
)

func TestCtrl(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ctrl")
}

// Instances told each other of deaths only, so that one which had no answer itself refused what
// the others had answered.
var _ = Describe("digests of requests that upstreams died of", func() {
	now := time.Now()
	tell := func(from, to *poison.Ledger) {
		digest := &peerpb.Digest{}
		for _, suspect := range from.Suspects(now) {
			digest.Suspects = append(digest.Suspects, encodeSuspect(suspect))
		}
		to.Merge(suspectsFromWire(digest), now)
	}

	It("tell which of them a request like it has outlived", func() {
		here, there := poison.New(), poison.New()
		for _, name := range []string{"x/1", "y/1"} {
			here.RecordDeath(7, name, now)
			there.RecordDeath(7, name, now)
		}
		here.RecordSurvival(7)
		tell(here, there)
		Expect(there.Verdict(7, now)).To(Equal(poison.Clean))
		there.RecordDeath(7, "z/1", now)
		there.RecordDeath(7, "z/2", now)
		Expect(there.Verdict(7, now)).To(Equal(poison.Suspected))
	})

	It("tell of trials", func() {
		here, there := poison.New(), poison.New()
		for _, name := range []string{"x/1", "y/1"} {
			here.RecordDeath(7, name, now.Add(-2*time.Second))
		}
		_, ok := here.TakeTrial(7, now)
		Expect(ok).To(BeTrue())
		tell(here, there)
		_, ok = there.TakeTrial(7, now.Add(4*time.Second))
		Expect(ok).To(BeFalse())
		_, ok = there.TakeTrial(7, now.Add(6*time.Second))
		Expect(ok).To(BeTrue())
	})
})
