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
// every window of a random history, in which they also start again.
func TestWindows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		instances := rapid.IntRange(1, 12).Draw(t, "instances")
		g := &group{members: instances}
		now := time.Unix(1000, 0)
		for i := range instances {
			g.processes = append(g.processes, &process{budget: retry.New(limits, float64(i)/float64(instances)), started: now})
		}
		for range rapid.IntRange(1, 600).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "gap")) * time.Millisecond)
			number := rapid.IntRange(0, instances-1).Draw(t, "instance")
			budget := g.processes[number].budget
			budget.SetMembers(instances, now, now)
			switch rapid.IntRange(0, 30).Draw(t, "kind") {
			case 0:
				g.processes[number] = &process{budget: retry.New(limits, rapid.Float64Range(0, 0.999).Draw(t, "phase")), started: now}
			case 1, 2, 3, 4, 5, 6, 7, 8, 9, 10:
				budget.CountRequest("s", now)
				g.requests = append(g.requests, now)
			default:
				if budget.AllowRetry("s", now).Allowed {
					g.retries = append(g.retries, now)
				}
			}
		}
		for _, start := range g.retries {
			if sent, allowed := within(g.retries, start.Add(limits.Window-1), limits.Window), g.allowed(start); float64(sent) > allowed {
				t.Fatalf("%d retries in the window from %v on, %.1f allowed", sent, start, allowed)
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

// spendAll sends all the retries that the budget allows.
func spendAll(budget *retry.Budget, now time.Time) int {
	count := 0
	for budget.AllowRetry("s", now).Allowed {
		count++
	}
	return count
}

var _ = Describe("the budget", func() {
	const members = 8
	began := time.Unix(1000, 0)

	It("allows retries again once credit was earned, and none from before that", func() {
		budget := retry.New(limits, 0)
		earn := func(now time.Time) {
			for range 50 {
				budget.CountRequest("s", now)
			}
		}
		Expect(spendAll(budget, began)).To(BeZero())
		earn(began)
		Expect(spendAll(budget, began)).To(Equal(5))
		Expect(budget.AllowRetry("s", began.Add(time.Second)).Allowed).To(BeFalse())
		earn(began.Add(2 * time.Second))
		Expect(spendAll(budget, began.Add(6*time.Second))).To(Equal(5))
		earn(began.Add(10 * time.Second))
		Expect(spendAll(budget, began.Add(15*time.Second+limits.Window/20))).To(BeZero())
	})

	It("earns less slack before members are known and while a new coordinator discovers them", func() {
		spend := func(members ...int) int {
			budget := retry.New(retry.Limits{Ratio: 0.2, Window: 10 * time.Second, Slack: 1000}, 0)
			now := began
			for _, n := range members {
				budget.SetMembers(n, now, now)
				now = now.Add(2 * time.Second)
			}
			return spendAll(budget, now)
		}
		Expect(spend(0, 0, 0)).To(BeZero())
		Expect(spend(30, 1, 2)).To(Equal(spend(30, 30, 30)))
		Expect(spend(30, 1, 2)).To(BeNumerically(">", 0))
		Expect(spend(8, 8, 8)).To(BeNumerically(">", spend(30, 30, 30)))
	})

	It("earns no slack while nobody confirms the members", func() {
		budget := retry.New(limits, 0)
		budget.SetMembers(members, began, began)
		budget.SetMembers(members, began, began.Add(3*limits.Window))
		Expect(spendAll(budget, began.Add(3*limits.Window))).To(BeZero())
		budget.SetMembers(members, began.Add(3*limits.Window), began.Add(3*limits.Window))
		Expect(spendAll(budget, began.Add(4*limits.Window))).To(BeNumerically(">", 0))
	})

	It("counts each service separately", func() {
		budget := retry.New(limits, 0)
		budget.SetMembers(members, began, began)
		now := began.Add(limits.Window)
		Expect(spendAll(budget, now)).To(BeNumerically(">", 0))
		Expect(budget.AllowRetry("other", now).Allowed).To(BeTrue())
	})

	It("tells when it begins and ceases to refuse", func() {
		budget := retry.New(limits, 0)
		for range 10 {
			budget.CountRequest("s", began)
		}
		Expect(budget.AllowRetry("s", began).Changed).To(BeFalse())
		refused := budget.AllowRetry("s", began)
		Expect(refused.Allowed).To(BeFalse())
		Expect(refused.Changed).To(BeTrue())
		Expect(budget.AllowRetry("s", began).Changed).To(BeFalse())
	})
})
