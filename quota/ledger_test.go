package quota_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cardamomcourse.example/cardamom/quota"
)

var _ = Describe("a ledger of quotas before an organisation that is over its limit", func() {
	const rate, burst = 20_000.0, 20_000.0
	allowance := quota.NewAllowance("o", 1, rate, burst)
	start := time.Unix(1000, 0)

	// play asks for long prompts and look-ups, so many times the rate in all, and returns what
	// was granted of each in tokens, and when.
	type grant struct {
		at     time.Time
		amount float64
	}
	play := func(seed uint64, length time.Duration, prompts, lookups float64) (large, small []grant, asked int) {
		random := rand.New(rand.NewPCG(seed, 1))
		ledger := quota.NewLedger()
		for now := start; now.Sub(start) < length; now = now.Add(10 * time.Millisecond) {
			if random.Float64() < prompts*rate/100/9000 {
				if granted, _, wait := ledger.Ask(allowance, 9000, time.Second, now); granted {
					large = append(large, grant{now.Add(wait), 9000})
				}
			}
			if random.Float64() < lookups {
				asked++
				if granted, _, wait := ledger.Ask(allowance, 200, 60*time.Millisecond, now); granted {
					small = append(small, grant{now.Add(wait), 200})
				}
			}
		}
		return large, small, asked
	}
	sum := func(grants []grant) float64 {
		total := 0.0
		for _, g := range grants {
			total += g.amount
		}
		return total
	}

	It("lets look-ups pass long prompts that wait", func() {
		for seed := range uint64(20) {
			large, small, asked := play(seed, 20*time.Second, 5, 0.04)
			Expect(float64(len(small))).To(BeNumerically(">", 0.9*float64(asked)), "seed %d", seed)
			Expect(sum(large)).To(BeNumerically(">", 0.9*rate*20), "seed %d", seed)
		}
	})

	It("leaves most of the rate to long prompts if there are more look-ups than that", func() {
		for seed := range uint64(20) {
			large, _, _ := play(seed, 20*time.Second, 5, 1)
			Expect(sum(large)).To(BeNumerically(">", 0.8*rate*20), "seed %d", seed)
		}
	})

	It("keeps to the quota in each window", func() {
		for seed := range uint64(20) {
			large, small, _ := play(seed, 40*time.Second, 5, 1)
			for from := start; from.Sub(start) < 32*time.Second; from = from.Add(100 * time.Millisecond) {
				total := 0.0
				for _, grants := range [][]grant{large, small} {
					for _, g := range grants {
						if !g.at.Before(from) && g.at.Before(from.Add(8*time.Second)) {
							total += g.amount
						}
					}
				}
				Expect(total).To(BeNumerically("<=", rate*8+burst+9000+rate/10), "seed %d", seed)
			}
		}
	})
})
