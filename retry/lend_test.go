package retry_test

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"cardamomcourse.example/cardamom/retry"
)

// askedAtMost is how many other instances are asked for the credit of one retry.
const askedAtMost = 6

//go:embed testdata/shares.json
var shareCases []byte

// shareCase is a load of which all requests fail at first, evenly over all instances.
type shareCase struct {
	Instances    int     `json:"instances"`
	RequestsPerS float64 `json:"requests_per_s"`
	Slack        float64 `json:"slack"`
}

// borrow lets the instances with the given numbers lend what a retry of another one lacks.
func borrow(budgets []*retry.Budget, asking int, lenders []int, now time.Time) {
	missing := budgets[asking].Missing("s", now)
	var lent []retry.Credit
	for _, n := range lenders {
		if n == asking || missing <= 0 {
			continue
		}
		for _, c := range budgets[n].Lend("s", missing, now) {
			lent = append(lent, c)
			missing -= c.Amount()
		}
	}
	if len(lent) > 0 {
		budgets[asking].Receive("s", lent, now)
	}
}

// usedShare plays 30 s in which every request fails at once, and returns how much of the
// credit that all instances earned in the last 20 s was spent on retries.
func usedShare(c shareCase, lending bool) float64 {
	const tick = 10 * time.Millisecond
	limits := retry.Limits{Ratio: 0.2, Window: 10 * time.Second, Slack: c.Slack}
	random := rand.New(rand.NewPCG(1, 1))
	budgets := make([]*retry.Budget, c.Instances)
	for i := range budgets {
		budgets[i] = retry.New(limits, random.Float64())
	}
	began := time.Unix(1000, 0)
	due, sent, requests := 0.0, 0, 0
	for now := began; now.Before(began.Add(30 * time.Second)); now = now.Add(tick) {
		counted := now.Sub(began) >= 10*time.Second
		for due += c.RequestsPerS * tick.Seconds(); due >= 1; due-- {
			i := random.IntN(c.Instances)
			budgets[i].SetMembers(c.Instances, now, now)
			budgets[i].CountRequest("s", now)
			if lending {
				borrow(budgets, i, random.Perm(c.Instances)[:min(c.Instances, askedAtMost)], now)
			}
			allowed := budgets[i].AllowRetry("s", now).Allowed
			if counted {
				requests++
				if allowed {
					sent++
				}
			}
		}
	}
	earned := limits.Ratio/2*float64(requests) + 0.7*limits.Slack/2*2
	return float64(sent) / min(earned, float64(requests))
}

var _ = Describe("the credit of all instances", func() {
	var cases []shareCase
	if err := json.Unmarshal(shareCases, &cases); err != nil {
		panic(err)
	}
	for _, c := range cases {
		It(fmt.Sprintf("is there for the requests that fail, at %d instances and %.0f requests a second", c.Instances, c.RequestsPerS), func() {
			Expect(usedShare(c, true)).To(BeNumerically(">=", 0.8))
			fmt.Fprintf(GinkgoWriter, "%+v: %.2f alone, %.2f lending\n", c, usedShare(c, false), usedShare(c, true))
		})
	}

	It("is spent where it was, whether or not it arrives", func() {
		now := time.Unix(1000, 0)
		lender, asking := retry.New(limits, 0), retry.New(limits, 0)
		for range 10 {
			lender.CountRequest("s", now)
		}
		Expect(asking.Missing("s", now)).To(Equal(1.0))
		lent := lender.Lend("s", 1, now)
		Expect(lender.AllowRetry("s", now).Allowed).To(BeFalse())
		Expect(asking.Receive("s", lent, now)).To(BeTrue())
		Expect(asking.AllowRetry("s", now).Allowed).To(BeTrue())
		Expect(asking.AllowRetry("s", now).Allowed).To(BeFalse())
	})

	It("isn't asked for again at once by an instance that got too little", func() {
		now := time.Unix(1000, 0)
		asking := retry.New(limits, 0)
		Expect(asking.Receive("s", nil, now)).To(BeFalse())
		Expect(asking.Missing("s", now)).To(BeZero())
		Expect(asking.Missing("s", now.Add(time.Second))).To(Equal(1.0))
	})
})

// TestWindowsWithLending checks that instances that lend each other credit stay within the
// limits in every window of a random history, in which they also start again and answers
// come late or never.
func TestWindowsWithLending(t *testing.T) {
	const maxLendTime = 150 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		instances := rapid.IntRange(2, 40).Draw(t, "instances")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		g := &group{members: instances}
		budgets := make([]*retry.Budget, instances)
		for i := range budgets {
			budgets[i] = retry.New(limits, random.Float64())
		}
		type answer struct {
			budget *retry.Budget
			lent   []retry.Credit
			at     time.Time
		}
		var pending []answer
		now := time.Unix(1000, 0)
		for range rapid.IntRange(100, 3000).Draw(t, "events") {
			now = now.Add(time.Duration(random.IntN(30)) * time.Millisecond)
			i := random.IntN(instances)
			budgets[i].SetMembers(instances, now, now)
			switch kind := random.IntN(100); {
			case kind == 0:
				budgets[i] = retry.New(limits, random.Float64())
			case kind < 40:
				budgets[i].CountRequest("s", now)
				g.requests = append(g.requests, now)
			case kind < 70:
				if missing := budgets[i].Missing("s", now); missing > 0 {
					asked := now
					var lent []retry.Credit
					answered := now.Add(time.Duration(random.Int64N(int64(maxLendTime))))
					for range askedAtMost {
						lender := budgets[random.IntN(instances)]
						for _, c := range lender.Lend("s", missing, now) {
							age := now.Sub(c.Earned())
							lent = append(lent, retry.NewCredit(c.Amount(), asked.Add(-age)))
						}
					}
					if random.IntN(5) > 0 {
						pending = append(pending, answer{budgets[i], lent, answered})
					}
				}
			default:
				if budgets[i].AllowRetry("s", now).Allowed {
					g.retries = append(g.retries, now.Add(time.Duration(random.Int64N(int64(maxRetryDelay)))))
				}
			}
			rest := pending[:0]
			for _, a := range pending {
				if a.at.After(now) {
					rest = append(rest, a)
					continue
				}
				a.budget.Receive("s", a.lent, now)
			}
			pending = rest
		}
		for _, start := range g.retries {
			if sent, allowed := within(g.retries, start.Add(limits.Window-1), limits.Window), g.allowed(start); float64(sent) > allowed {
				t.Fatalf("%d retries in the window from %v on, %.1f allowed", sent, start, allowed)
			}
		}
	})
}
