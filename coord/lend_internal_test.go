package coord

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/clock"
	"cardamomcourse.example/cardamom/retry"
)

var _ = Describe("credit of the retry budget", func() {
	const service = cardamom.ServiceID("s")

	// budgets gives each loop a budget that has earned so much credit.
	budgets := func(loops []*Loop, credit float64) []*retry.Budget {
		var list []*retry.Budget
		for _, l := range loops {
			budget := retry.New(retry.Limits{Ratio: 2 * credit, Window: 10 * time.Second}, 0)
			budget.CountRequest(service, clock.Now())
			l.options.Lender = budget
			list = append(list, budget)
		}
		return list
	}
	sum := func(credits []retry.Credit) float64 {
		total := 0.0
		for _, c := range credits {
			total += c.Amount()
		}
		return total
	}

	It("comes together from fractions at several instances, of which one is gone", func() {
		loops := connected(lendersAsked*lendRounds + 1)
		list := budgets(loops, 0.4)
		for n := range loops[0].state.members {
			if n == 1 {
				loops[0].state.members[n].SyncAddress = "127.0.0.1:1"
			}
		}
		loops[0].views.current.Store(loops[0].state.view())
		asking := list[0]
		now := clock.Now()
		Expect(asking.AllowRetry(service, now).Allowed).To(BeFalse())
		credits := loops[0].BorrowCredit(context.Background(), service, asking.Missing(service, now))
		Expect(asking.Receive(service, credits, clock.Now())).To(BeTrue())
		Expect(asking.AllowRetry(service, clock.Now()).Allowed).To(BeTrue())

		left := 0.0
		for _, b := range list[1:] {
			left += sum(b.Lend(service, 10, clock.Now()))
		}
		Expect(left + sum(credits)).To(BeNumerically("~", 0.4*float64(len(list)-1), 1e-6))
	})

	It("is asked of no instance that is leaving, nor of the asking one", func() {
		members := []Member{{ID: "a"}, {ID: "b", Leaving: true}, {ID: "c"}}
		Expect(lenders(members, "a", 6, func(int, func(i, j int)) {})).To(Equal([]Member{{ID: "c"}}))
	})
})
