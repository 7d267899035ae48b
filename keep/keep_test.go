package keep_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"cardamomcourse.example/cardamom/keep"
)

// naiveCost is the cost in seconds of keeping for the time over real gaps.
func naiveCost(gaps []time.Duration, keepFor, price time.Duration) float64 {
	total := 0.0
	for _, gap := range gaps {
		if gap <= keepFor {
			total += gap.Seconds()
			continue
		}
		total += (keepFor + price).Seconds()
	}
	return total
}

// naiveBest is the least cost over all times that could matter.
func naiveBest(gaps []time.Duration, price time.Duration) float64 {
	best := min(naiveCost(gaps, 0, price), naiveCost(gaps, price, price))
	for _, gap := range gaps {
		if gap <= price {
			best = min(best, naiveCost(gaps, gap, price))
		}
	}
	return best
}

var _ = Describe("the strategy gaps", func() {
	strategy, _ := keep.Lookup("gaps")
	start := time.Unix(1000, 0)

	It("costs little more than the best time found from the gaps themselves", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			price := time.Duration(rapid.IntRange(5, 600).Draw(t, "price")) * time.Second
			short := time.Duration(rapid.IntRange(2, 100).Draw(t, "short")) * time.Second
			long := time.Duration(rapid.IntRange(100, 5000).Draw(t, "long")) * time.Second
			history := &keep.History{}
			now := start
			history.Use(now)
			var gaps []time.Duration
			for range 40 {
				gap := short
				if rapid.Bool().Draw(t, "is long") {
					gap = long
				}
				now = now.Add(gap)
				history.Use(now)
				gaps = append(gaps, gap)
			}
			got := naiveCost(gaps, strategy.Plan(history, &keep.History{}, price).Keep, price)
			// Buckets round a gap up by at most a fifth, and older gaps weigh less.
			if best := naiveBest(gaps, price); got > 1.5*best {
				t.Fatalf("cost %.0f s, best %.0f s", got, best)
			}
		})
	})

	It("keeps an unknown model for the price", func() {
		Expect(strategy.Plan(&keep.History{}, &keep.History{}, time.Minute)).To(Equal(keep.Plan{Keep: time.Minute}))
	})

	It("keeps a model seen seldom as its class is kept", func() {
		class := &keep.History{}
		for range 20 {
			class.Add(5 * time.Second)
			class.Add(time.Hour)
		}
		plan := strategy.Plan(&keep.History{}, class, 10*time.Minute)
		Expect(plan.Keep).To(BeNumerically("~", 6*time.Second, 2*time.Second))
	})

	It("lets go at once of a model whose gaps are all longer than the price", func() {
		history := &keep.History{}
		for n := range 10 {
			history.Use(start.Add(time.Duration(n*n) * time.Hour))
		}
		Expect(strategy.Plan(history, &keep.History{}, time.Minute)).To(Equal(keep.Plan{}))
	})

	It("loads ahead of a return that repeats, and only about then", func() {
		history := &keep.History{}
		for n := range 10 {
			history.Use(start.Add(time.Duration(n) * time.Hour))
		}
		plan := strategy.Plan(history, &keep.History{}, 20*time.Minute)
		Expect(plan.Warm(10 * time.Minute)).To(BeFalse())
		Expect(plan.Warm(59 * time.Minute)).To(BeTrue())
		Expect(plan.Warm(90 * time.Minute)).To(BeFalse())
	})
})
