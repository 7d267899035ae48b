package retry_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"cardamomcourse.example/cardamom/retry"
)

func TestRetry(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "retry")
}

var limits = retry.Limits{Ratio: 0.2, Window: 10 * time.Second, Slack: 56}

// TestWindows checks that several instances together stay within the limits in
// every window of a random history.
func TestWindows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		instances := rapid.IntRange(1, 12).Draw(t, "instances")
		budgets := make([]*retry.Budget, instances)
		for i := range budgets {
			budgets[i] = retry.New(limits)
		}
		now := time.Unix(1000, 0)
		var requests, retries []time.Time
		for range rapid.IntRange(1, 600).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "gap")) * time.Millisecond)
			budget := budgets[rapid.IntRange(0, instances-1).Draw(t, "instance")]
			if rapid.IntRange(0, 2).Draw(t, "kind") == 0 {
				budget.CountRequest("s", now)
				requests = append(requests, now)
			} else if budget.AllowRetry("s", instances, now).Allowed {
				retries = append(retries, now)
			}
		}
		for _, end := range retries {
			if spent, allowed := within(retries, end, limits.Window), limits.Ratio*float64(within(requests, end, limits.Window))+limits.Slack; float64(spent) > allowed {
				t.Fatalf("%d retries in the window before %v, %.1f allowed", spent, end, allowed)
			}
		}
	})
}

// within counts the times in the window that ends at end.
func within(times []time.Time, end time.Time, window time.Duration) int {
	count := 0
	for _, at := range times {
		if !at.After(end) && end.Sub(at) < window {
			count++
		}
	}
	return count
}

var _ = Describe("the budget", func() {
	It("allows retries again once the window has passed", func() {
		budget := retry.New(limits)
		now := time.Unix(1000, 0)
		for budget.AllowRetry("s", 8, now).Allowed {
		}
		Expect(budget.AllowRetry("s", 8, now.Add(time.Second)).Allowed).To(BeFalse())
		Expect(budget.AllowRetry("s", 8, now.Add(2*limits.Window)).Allowed).To(BeTrue())
	})

	It("allows fewer retries before members are known and while a new coordinator discovers them", func() {
		spend := func(members ...int) int {
			budget := retry.New(limits)
			now := time.Unix(1000, 0)
			count := 0
			for _, n := range members {
				now = now.Add(100 * time.Millisecond)
				for budget.AllowRetry("s", n, now).Allowed {
					count++
				}
			}
			return count
		}
		Expect(spend(0)).To(BeZero())
		Expect(spend(30, 1, 2)).To(Equal(spend(30)))
		Expect(spend(8)).To(BeNumerically(">", spend(30)))
	})

	It("counts each service separately", func() {
		budget := retry.New(limits)
		now := time.Unix(1000, 0)
		for budget.AllowRetry("s", 8, now).Allowed {
		}
		Expect(budget.AllowRetry("other", 8, now).Allowed).To(BeTrue())
	})
})
