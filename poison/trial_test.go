package poison_test

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cardamomcourse.example/cardamom/poison"
)

//go:embed testdata/trials.json
var trialScripts []byte

// trialStep is an event, or a question with the answer that is wanted.
type trialStep struct {
	AtMS     int64  `json:"at_ms"`
	Died     string `json:"died"`
	Answered bool   `json:"answered"`
	Verdict  string `json:"verdict"`
	Ask      *bool  `json:"ask"`
	// Grant is whether the coordinator, which is the same instance, grants a trial.
	Grant  *bool  `json:"grant"`
	Try    *bool  `json:"try"`
	WaitMS *int64 `json:"wait_ms"`
}

// takes reports whether an instance takes a trial.
func takes(ledger *poison.Ledger, fingerprint poison.Fingerprint, now time.Time) bool {
	_, ok := ledger.TakeTrial(fingerprint, now)
	return ok
}

// A refused request was never sent again, so that no answer could clear it.
var _ = Describe("trials of a refused fingerprint", func() {
	var scripts []struct {
		Name  string      `json:"name"`
		Steps []trialStep `json:"steps"`
	}
	if err := json.Unmarshal(trialScripts, &scripts); err != nil {
		panic(err)
	}
	began := time.Unix(1000, 0)
	for _, script := range scripts {
		It(script.Name, func() {
			ledger := poison.New()
			for n, step := range script.Steps {
				now := began.Add(time.Duration(step.AtMS) * time.Millisecond)
				message := fmt.Sprintf("step %d", n+1)
				switch {
				case step.Died != "":
					ledger.RecordDeath(7, step.Died, now)
				case step.Answered:
					ledger.RecordSurvival(7)
				case step.Verdict != "":
					Expect(ledger.Verdict(7, now)).To(Equal(verdicts[step.Verdict]), message)
				case step.Ask != nil:
					_, ok := ledger.AskTrial(7, now)
					Expect(ok).To(Equal(*step.Ask), message)
				case step.Grant != nil:
					name := ledger.Grant(7, now)
					Expect(name != "").To(Equal(*step.Grant), message)
					ledger.Merge([]poison.Suspect{ledger.Suspects(now)[0].Granting(name)}, now)
				case step.Try != nil:
					Expect(ledger.MayTry(7, now)).To(Equal(*step.Try), message)
					_, ok := ledger.Try(7, now)
					Expect(ok).To(Equal(*step.Try), message)
				case step.WaitMS != nil:
					Expect(ledger.NextTrial(7, now).Milliseconds()).To(Equal(*step.WaitMS), message)
				}
			}
		})
	}

	It("are taken by an instance that needs no grant of another one", func() {
		ledger := poison.New()
		ledger.RecordDeath(7, "u1", began)
		ledger.RecordDeath(7, "u2", began)
		Expect(takes(ledger, 7, began.Add(900*time.Millisecond))).To(BeFalse())
		Expect(takes(ledger, 7, began.Add(2*time.Second))).To(BeTrue())
		Expect(takes(ledger, 7, began.Add(3*time.Second))).To(BeFalse())
	})

	It("come late, if instances are cautious, for a fingerprint that was never answered", func() {
		ledger := poison.New()
		ledger.SetCautious(true)
		for _, name := range []string{"u1", "u2", "u3", "u4"} {
			ledger.RecordDeath(7, name, began)
		}
		ledger.RecordSurvival(8)
		for _, name := range []string{"u1", "u2", "u3", "u4"} {
			ledger.RecordDeath(8, name, began)
		}
		Expect(takes(ledger, 7, began.Add(9*time.Minute))).To(BeFalse())
		Expect(takes(ledger, 7, began.Add(11*time.Minute))).To(BeTrue())
		Expect(takes(ledger, 8, began.Add(2*time.Second))).To(BeTrue())
	})

	It("are known to instances that hear of them, and forgotten with an answer", func() {
		here, there := poison.New(), poison.New()
		here.RecordDeath(7, "u1", began)
		here.RecordDeath(7, "u2", began)
		now := began.Add(2 * time.Second)
		Expect(takes(here, 7, now)).To(BeTrue())
		there.Merge(here.Suspects(now), now)
		_, ok := there.AskTrial(7, now.Add(4*time.Second))
		Expect(ok).To(BeFalse())
		Expect(here.RecordSurvival(7)).To(BeTrue())
		there.Merge(here.Suspects(now), now)
		here.Merge(there.Suspects(now), now)
		for _, ledger := range []*poison.Ledger{here, there} {
			trials, _ := ledger.Suspects(now)[0].Trials()
			Expect(trials).To(BeEmpty())
			Expect(ledger.Verdict(7, now)).To(Equal(poison.Clean))
		}
	})
})
