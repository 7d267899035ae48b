package simul_test

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cardamomcourse.example/cardamom/simul"
)

func TestSimul(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "simul")
}

//go:embed testdata/checks.json
var checksJSON []byte

// check is what callers must get in plays of a scenario.
type check struct {
	Name     string   `json:"name"`
	Scenario string   `json:"scenario"`
	Seeds    uint64   `json:"seeds"`
	Kinds    []string `json:"kinds"`
	// Without is a mechanism without which a count of all kinds and seeds together,
	// Compare, must be larger: with it, it is AtMost times as large.
	Without string  `json:"without"`
	Compare string  `json:"compare"`
	AtMost  float64 `json:"at_most"`
	// OverLimit means that no engine may get more than its rate limit allows, and that one
	// does without the mechanism.
	OverLimit bool `json:"over_limit"`
	// Notices means that no engine may get a request against what it says of itself, and that
	// one does without the mechanism, in each of the two ways.
	Notices bool `json:"notices"`
	// LostAtMost bounds the requests of the kinds that got no whole response.
	LostAtMost *int `json:"lost_at_most"`
	// LateFirstShare bounds the share of the requests whose first event came too late.
	LateFirstShare float64 `json:"late_first_share"`
	// RecoveredWithinMS after BackAtMS, RecoveredShare of the share in target before
	// KilledAtMS must be reached.
	KilledAtMS        int     `json:"killed_at_ms"`
	BackAtMS          int     `json:"back_at_ms"`
	RecoveredWithinMS int     `json:"recovered_within_ms"`
	RecoveredShare    float64 `json:"recovered_share"`
}

// windowMS is the length of the windows of a result.
const windowMS = 2000

func load(name string) *simul.Scenario {
	scenario, err := simul.Load("../scenarios/load/" + name + ".jsonc")
	Expect(err).NotTo(HaveOccurred())
	return scenario
}

// count sums a count over the kinds and seeds of a check.
func (c check) count(what string, options ...simul.Option) int {
	scenario := load(c.Scenario)
	sum := 0
	for n := range c.Seeds {
		result := simul.Play(scenario, scenario.Seed()+n, options...)
		for _, name := range c.Kinds {
			kind := result.Kind(name)
			Expect(kind).NotTo(BeNil(), name)
			sum += map[string]int{"late_gap": kind.LateGap, "late_first": kind.LateFirst, "lost": kind.Lost(), "asked": kind.Asked}[what]
		}
	}
	return sum
}

// shareIn returns the share in target of the whole windows of a span.
func shareIn(result *simul.Result, fromMS, toMS int) float64 {
	all := simul.Window{}
	for n, w := range result.Windows {
		if n*windowMS >= fromMS && (n+1)*windowMS <= toMS {
			all.Asked += w.Asked
			all.InTarget += w.InTarget
		}
	}
	return all.Share()
}

var _ = Describe("callers under load", func() {
	var checks []check
	if err := json.Unmarshal(checksJSON, &checks); err != nil {
		panic(err)
	}
	for _, c := range checks {
		It(c.Name, func() {
			switch {
			case c.Notices:
				without, err := simul.Without(c.Without)
				Expect(err).NotTo(HaveOccurred())
				scenario := load(c.Scenario)
				for n := range c.Seeds {
					result := simul.Play(scenario, scenario.Seed()+n)
					Expect(result.AfterLeave).To(BeZero(), "seed %d", scenario.Seed()+n)
					Expect(result.InWait).To(BeZero(), "seed %d", scenario.Seed()+n)
					result = simul.Play(scenario, scenario.Seed()+n, without)
					Expect(result.AfterLeave).To(BeNumerically(">", 0), "seed %d", scenario.Seed()+n)
					Expect(result.InWait).To(BeNumerically(">", 0), "seed %d", scenario.Seed()+n)
				}
			case c.OverLimit:
				without, err := simul.Without(c.Without)
				Expect(err).NotTo(HaveOccurred())
				scenario := load(c.Scenario)
				for n := range c.Seeds {
					Expect(simul.Play(scenario, scenario.Seed()+n).OverLimit).To(BeZero(), "seed %d", scenario.Seed()+n)
					Expect(simul.Play(scenario, scenario.Seed()+n, without).OverLimit).To(BeNumerically(">", 0), "seed %d", scenario.Seed()+n)
				}
			case c.Without != "":
				without, err := simul.Without(c.Without)
				Expect(err).NotTo(HaveOccurred())
				Expect(float64(c.count(c.Compare))).To(BeNumerically("<=", c.AtMost*float64(c.count(c.Compare, without))))
			}
			if c.LostAtMost != nil {
				Expect(c.count("lost")).To(BeNumerically("<=", *c.LostAtMost))
			}
			if c.LateFirstShare > 0 {
				Expect(float64(c.count("late_first"))).To(BeNumerically("<=", c.LateFirstShare*float64(c.count("asked"))))
			}
			if c.RecoveredShare > 0 {
				scenario := load(c.Scenario)
				for n := range c.Seeds {
					result := simul.Play(scenario, scenario.Seed()+n)
					before := shareIn(result, 0, c.KilledAtMS-windowMS)
					from := c.BackAtMS + c.RecoveredWithinMS
					after := shareIn(result, from, len(result.Windows)*windowMS)
					Expect(after).To(BeNumerically(">=", c.RecoveredShare*before), "seed %d", scenario.Seed()+n)
				}
			}
		})
	}
})

var _ = Describe("a play", func() {
	It("gives the same result for the same seed, and another for another", func() {
		scenario := load("rare")
		print := func(seed uint64) string {
			var out bytes.Buffer
			Expect(simul.Play(scenario, seed).Print(&out)).To(Succeed())
			return out.String()
		}
		Expect(print(5)).To(Equal(print(5)))
		Expect(print(5)).NotTo(Equal(print(6)))
	})

	It("ends every request once, also when engines and instances fail", func() {
		result := simul.Play(load("grown"), 7)
		for _, kind := range result.Kinds {
			Expect(kind.InTarget+kind.LateFirst+kind.LateGap+kind.Lost()).To(Equal(kind.Asked), kind.Name)
		}
	})

	It("knows the mechanisms that can be switched off", func() {
		_, err := simul.Without("nonsense")
		Expect(err).To(MatchError(`mechanism "nonsense" is unknown; there are ` + simul.Mechanisms()))
	})
})

var _ = Describe("a scenario file", func() {
	DescribeTable("is rejected with the key and line of the fault",
		func(from, to, expected string) {
			body, err := os.ReadFile("../scenarios/load/busy.jsonc")
			Expect(err).NotTo(HaveOccurred())
			path := filepath.Join(GinkgoT().TempDir(), "bad.jsonc")
			changed := bytes.Replace(body, []byte(from), []byte(to), 1)
			Expect(changed).NotTo(Equal(body))
			Expect(os.WriteFile(path, changed, 0o600)).To(Succeed())
			_, err = simul.Load(path)
			Expect(err).To(MatchError(ContainSubstring(expected)))
		},
		Entry("if a figure is negative", `"step_ms": 4.43`, `"step_ms": -1`, "bad.jsonc:9: engines.step_ms"),
		Entry("if a key is unknown", `"length_ms"`, `"size_ms"`, "size_ms"),
		Entry("if a model does not exist", `"models": [0, 9], "skew": 1.2, "prompt": 700`, `"models": [0, 99], "skew": 1.2, "prompt": 700`, `kind "draft" asks for models 0 to 99, but there are models 0 to 45`),
	)

	It("that does not exist is an error", func() {
		_, err := simul.Load("missing.jsonc")
		Expect(err).To(MatchError(ContainSubstring("missing.jsonc")))
	})
})
