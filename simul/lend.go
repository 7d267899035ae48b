package simul

import (
	"time"

	"cardamomcourse.example/cardamom/retry"
)

// lendersAsked is how many other instances are asked for the credit of one retry, as by
// package coord.
const lendersAsked = 6

// borrow asks other instances for credit if the request's instance lacks some for a retry,
// sends the request when they have answered, and reports whether it asked.
func (x *exchange) borrow(e *engine, now time.Time) bool {
	i := x.instance
	missing := i.budget.Missing(service, now)
	if missing <= 0 || i.play.without["lend"] {
		return false
	}
	var lent []retry.Credit
	for asked, n := range i.play.lending.Perm(len(i.play.instances)) {
		lender := i.play.instances[n]
		if asked == lendersAsked || missing <= 0 {
			break
		}
		if lender == i || lender.down {
			continue
		}
		for _, c := range lender.budget.Lend(service, missing, now) {
			lent = append(lent, c)
			missing -= c.Amount()
		}
	}
	starts := i.starts
	i.play.events.after(2*hop, func(now time.Time) {
		if i.starts != starts || x.ended {
			return
		}
		i.budget.Receive(service, lent, now)
		x.sendOnce(e, now)
	})
	return true
}
