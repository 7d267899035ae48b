package poison_test

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cardamomcourse.example/cardamom/poison"
)

//go:embed testdata/parts.json
var partScripts []byte

// partStep is an event, or a question with the answer that is wanted.
type partStep struct {
	AtMS int64 `json:"at_ms"`
	// Died, Survived, Verdict and Try have the parts of a prompt, separated by commas.
	Died     string `json:"died"`
	Survived string `json:"survived"`
	Verdict  string `json:"verdict"`
	Try      string `json:"try"`
	// Death is the name of the death, a new one if empty.
	Death string `json:"death"`
	// SentMS is when the request was sent, 100 ms before its death if 0.
	SentMS int64 `json:"sent_ms"`
	// Waiting means that its answer had not begun.
	Waiting bool `json:"waiting"`
	// Times is how many requests survived, one if 0.
	Times int    `json:"times"`
	Want  string `json:"want"`
	Part  string `json:"part"`
}

var verdicts = map[string]poison.Verdict{"clean": poison.Clean, "suspected": poison.Suspected, "refused": poison.Refused}

var _ = Describe("the ledger of parts", func() {
	var scripts []struct {
		Name string `json:"name"`
		// Trials means that this instance may let requests through for trial.
		Trials bool       `json:"trials"`
		Steps  []partStep `json:"steps"`
	}
	if err := json.Unmarshal(partScripts, &scripts); err != nil {
		panic(err)
	}
	began := time.Unix(1000, 0)
	for _, script := range scripts {
		It(script.Name, func() {
			parts := poison.NewParts()
			parts.AllowTrials(script.Trials)
			for n, step := range script.Steps {
				now := began.Add(time.Duration(step.AtMS) * time.Millisecond)
				message := fmt.Sprintf("step %d", n+1)
				switch {
				case step.Died != "":
					name := step.Death
					if name == "" {
						name = fmt.Sprintf("u%d", n)
					}
					sent := now.Add(-100 * time.Millisecond)
					if step.SentMS > 0 {
						sent = began.Add(time.Duration(step.SentMS) * time.Millisecond)
					}
					parts.Died("s", strings.Split(step.Died, ","), poison.NewDeath(name, sent, now, !step.Waiting), now)
				case step.Survived != "":
					for range max(step.Times, 1) {
						parts.Survived("s", strings.Split(step.Survived, ","), now)
					}
				case step.Try != "":
					Expect(parts.TryRefused("s", step.Try, now)).To(Equal(step.Want == "clean"), message)
				default:
					verdict, part := parts.Verdict("s", strings.Split(step.Verdict, ","), now)
					Expect(verdict).To(Equal(verdicts[step.Want]), message)
					if step.Part != "" {
						Expect(part).To(Equal(step.Part), message)
					}
				}
			}
		})
	}

	die := func(parts *poison.Parts, part, death string, now time.Time) []poison.Change {
		return parts.Died("s", []string{part}, poison.NewDeath(death, now.Add(-time.Millisecond), now, true), now)
	}

	It("tells when a part is refused and when no longer, with the deaths", func() {
		parts := poison.NewParts()
		Expect(die(parts, "bad", "u1", began)).To(BeEmpty())
		Expect(die(parts, "bad", "u2", began.Add(time.Second))).To(BeEmpty())
		changes := die(parts, "bad", "u3", began.Add(2*time.Second))
		Expect(changes).To(HaveLen(1))
		Expect(changes[0].Refused()).To(BeTrue())
		Expect(changes[0].Part()).To(Equal(poison.NewPart("s", "bad")))
		Expect(changes[0].Deaths()).To(Equal([]string{"u1", "u2", "u3"}))
		changes = parts.Survived("s", []string{"bad"}, began.Add(3*time.Second))
		Expect(changes).To(HaveLen(1))
		Expect(changes[0].Refused()).To(BeFalse())
	})

	It("keeps services apart", func() {
		parts := poison.NewParts()
		for n := range 3 {
			die(parts, "bad", fmt.Sprint(n), began.Add(time.Duration(n)*time.Second))
		}
		verdict, _ := parts.Verdict("other", []string{"bad"}, began.Add(3*time.Second))
		Expect(verdict).To(Equal(poison.Clean))
	})

	It("refuses a part whose deaths several instances saw, once each knows all", func() {
		here, there := poison.NewParts(), poison.NewParts()
		die(here, "bad", "u1", began)
		die(there, "bad", "u2", began.Add(time.Second))
		die(there, "bad", "u3", began.Add(2*time.Second))
		now := began.Add(3 * time.Second)
		Expect(here.Merge(there.News(now), now)).To(HaveLen(1))
		there.Merge(here.News(now), now)
		for _, parts := range []*poison.Parts{here, there} {
			verdict, _ := parts.Verdict("s", []string{"bad"}, now)
			Expect(verdict).To(Equal(poison.Refused))
		}
	})

	// dieTogether records three rounds of deaths that two parts share, each with one more
	// part besides, while requests without them survive.
	dieTogether := func(parts *poison.Parts, shared string, now time.Time) {
		for n := range 6 {
			at := now.Add(time.Duration(n) * time.Second)
			death := poison.NewDeath(fmt.Sprintf("u%d", n), at.Add(-time.Millisecond), at, true)
			parts.Died("s", []string{[]string{"a", "b"}[n/3]}, death, at)
			parts.Died("s", []string{shared}, death, at)
			parts.Survived("s", []string{"good"}, at)
			parts.Survived("s", []string{"good"}, at)
		}
	}

	It("refuses a part on which another instance has settled, though here others explain its deaths", func() {
		here, there := poison.NewParts(), poison.NewParts()
		now := began.Add(7 * time.Second)
		dieTogether(there, "c", began)
		news := there.News(now)
		here.Merge(news, now)
		verdict, _ := here.Verdict("s", []string{"c"}, now)
		Expect(verdict).To(Equal(poison.Refused))

		here.Survived("s", []string{"c"}, now)
		here.Merge(news, now.Add(time.Second))
		verdict, _ = here.Verdict("s", []string{"c"}, now.Add(time.Second))
		Expect(verdict).To(Equal(poison.Clean))
		there.Merge(here.News(now), now)
		verdict, _ = there.Verdict("s", []string{"c"}, now)
		Expect(verdict).To(Equal(poison.Clean))
	})

	It("doesn't settle with another instance that knows of no survival", func() {
		here, there := poison.NewParts(), poison.NewParts()
		now := began.Add(7 * time.Second)
		dieTogether(there, "c", began)
		here.Survived("s", []string{"c"}, now)
		die(here, "c", "later", now.Add(time.Second))
		here.Merge(there.News(now), now.Add(2*time.Second))
		verdict, _ := here.Verdict("s", []string{"c"}, now.Add(2*time.Second))
		Expect(verdict).NotTo(Equal(poison.Refused))
	})

	It("clears a part that requests have survived elsewhere since", func() {
		here, there := poison.NewParts(), poison.NewParts()
		for n := range 3 {
			die(here, "good", fmt.Sprint(n), began.Add(time.Duration(n)*time.Second))
		}
		there.Survived("s", []string{"good"}, began.Add(5*time.Second))
		now := began.Add(6 * time.Second)
		there.Merge(here.Evidence(now), now)
		Expect(here.Merge(there.Evidence(now), now)).To(HaveLen(1))
		verdict, _ := here.Verdict("s", []string{"good"}, now)
		Expect(verdict).To(Equal(poison.Clean))
	})

	It("has no news of a part once requests with it have survived for some time", func() {
		parts := poison.NewParts()
		die(parts, "good", "u1", began)
		for s := range 20 {
			parts.Survived("s", []string{"good"}, began.Add(time.Duration(s+1)*time.Second))
		}
		Expect(parts.News(began.Add(9 * time.Second))).To(HaveLen(1))
		Expect(parts.News(began.Add(20 * time.Second))).To(BeEmpty())
	})

	It("sends one request with a suspected part at a time", func() {
		parts := poison.NewParts()
		end, ok := parts.Begin("s", "bad", 0)
		Expect(ok).To(BeTrue())
		_, ok = parts.Begin("s", "bad", 0)
		Expect(ok).To(BeFalse())
		_, ok = parts.Begin("s", "other", 0)
		Expect(ok).To(BeTrue())
		end()
		_, ok = parts.Begin("s", "bad", 0)
		Expect(ok).To(BeTrue())
	})

	It("sends one request with any part that may have crashed two upstreams at a time, from one instance", func() {
		here, there := poison.NewParts(), poison.NewParts()
		here.AllowTrials(true)
		for n := range 2 {
			at := began.Add(time.Duration(n) * time.Second)
			for _, part := range []string{"bad", "worse"} {
				die(here, part, fmt.Sprint(n), at)
			}
			die(here, "once", fmt.Sprint("once", n/2), at)
		}
		there.Merge(here.News(began.Add(time.Second)), began.Add(time.Second))
		end, ok := here.Begin("s", "bad", 0)
		Expect(ok).To(BeTrue())
		_, ok = here.Begin("s", "worse", time.Hour)
		Expect(ok).To(BeFalse())
		_, ok = here.Begin("s", "once", 0)
		Expect(ok).To(BeTrue())
		_, ok = there.Begin("s", "bad", 900*time.Millisecond)
		Expect(ok).To(BeFalse())
		_, ok = there.Begin("s", "bad", time.Second)
		Expect(ok).To(BeTrue())
		here.Survived("s", []string{"worse"}, began.Add(2*time.Second))
		end()
		_, ok = here.Begin("s", "bad", 0)
		Expect(ok).To(BeTrue())
	})

	It("refuses no part that the operator declares sound", func() {
		parts := poison.NewParts()
		for n := range 3 {
			die(parts, "bad", fmt.Sprint(n), began.Add(time.Duration(n)*time.Second))
		}
		now := began.Add(3 * time.Second)
		parts.SetSound([]poison.Part{poison.NewPart("s", "bad")})
		verdict, _ := parts.Verdict("s", []string{"bad"}, now)
		Expect(verdict).To(Equal(poison.Clean))
		parts.SetSound(nil)
		verdict, _ = parts.Verdict("s", []string{"bad"}, now)
		Expect(verdict).To(Equal(poison.Refused))
	})

	It("keeps a bounded number of parts, and of these the ones with the most deaths", func() {
		parts := poison.NewParts()
		for n := range 3 {
			die(parts, "bad", fmt.Sprint(n), began.Add(time.Duration(n)*time.Second))
		}
		for n := range 3000 {
			die(parts, fmt.Sprintf("p%d", n), "u", began.Add(time.Minute))
		}
		Expect(len(parts.Evidence(began.Add(time.Minute)))).To(BeNumerically("<=", 2048))
		verdict, _ := parts.Verdict("s", []string{"bad"}, began.Add(time.Minute))
		Expect(verdict).To(Equal(poison.Refused))
	})
})
