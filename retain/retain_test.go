package retain_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"cardamomcourse.example/cardamom/retain"
)

// naiveCost returns the cost in seconds of a keep time, from the exact gaps instead of
// their histogram.
func naiveCost(gaps []time.Duration, keepFor, coldStartCost time.Duration) float64 {
	total := 0.0
	for _, gap := range gaps {
		if gap <= keepFor {
			total += gap.Seconds()
			continue
		}
		total += (keepFor + coldStartCost).Seconds()
	}
	return total
}

// naiveBest returns the least cost over the keep times that can be the best: 0, the
// cost of a cold start and each gap up to it.
func naiveBest(gaps []time.Duration, coldStartCost time.Duration) float64 {
	best := min(naiveCost(gaps, 0, coldStartCost), naiveCost(gaps, coldStartCost, coldStartCost))
	for _, gap := range gaps {
		if gap <= coldStartCost {
			best = min(best, naiveCost(gaps, gap, coldStartCost))
		}
	}
	return best
}

var _ = Describe("the strategy gaps", func() {
	strategy, _ := retain.Lookup("gaps")
	start := time.Unix(1000, 0)

	It("costs little more than the best keep time for the exact gaps", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			coldStartCost := time.Duration(rapid.IntRange(5, 600).Draw(t, "price")) * time.Second
			short := time.Duration(rapid.IntRange(2, 100).Draw(t, "short")) * time.Second
			long := time.Duration(rapid.IntRange(100, 5000).Draw(t, "long")) * time.Second
			history := &retain.History{}
			now := start
			history.RecordUse(now)
			var gaps []time.Duration
			for range 40 {
				gap := short
				if rapid.Bool().Draw(t, "is long") {
					gap = long
				}
				now = now.Add(gap)
				history.RecordUse(now)
				gaps = append(gaps, gap)
			}
			got := naiveCost(gaps, strategy.Plan(history, &retain.History{}, coldStartCost).KeepFor, coldStartCost)
			// The factor allows for buckets, which round a gap up by at most a fifth, and
			// for the lower weight of older gaps.
			if best := naiveBest(gaps, coldStartCost); got > 1.5*best {
				t.Fatalf("cost %.0f s, best %.0f s", got, best)
			}
		})
	})

	It("keeps a model without a history for the cost of a cold start", func() {
		Expect(strategy.Plan(&retain.History{}, &retain.History{}, time.Minute)).To(Equal(retain.Plan{KeepFor: time.Minute}))
	})

	It("keeps a model with few gaps as the history of its profile suggests", func() {
		profileHistory := &retain.History{}
		for range 20 {
			profileHistory.AddGap(5 * time.Second)
			profileHistory.AddGap(time.Hour)
		}
		plan := strategy.Plan(&retain.History{}, profileHistory, 10*time.Minute)
		Expect(plan.KeepFor).To(BeNumerically("~", 6*time.Second, 2*time.Second))
	})

	It("unloads a model at once if keeping it through each of its gaps would cost more than a cold start", func() {
		history := &retain.History{}
		for n := range 10 {
			history.RecordUse(start.Add(time.Duration(n*n) * time.Hour))
		}
		Expect(strategy.Plan(history, &retain.History{}, time.Minute)).To(Equal(retain.Plan{}))
	})

	It("loads a model only around the time of a request that comes at regular intervals", func() {
		history := &retain.History{}
		for n := range 10 {
			history.RecordUse(start.Add(time.Duration(n) * time.Hour))
		}
		plan := strategy.Plan(history, &retain.History{}, 20*time.Minute)
		Expect(plan.Warm(10 * time.Minute)).To(BeFalse())
		Expect(plan.Warm(59 * time.Minute)).To(BeTrue())
		Expect(plan.Warm(90 * time.Minute)).To(BeFalse())
	})
})
