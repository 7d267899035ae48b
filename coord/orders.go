package coord

import (
	"time"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/plan"
	"cardamomcourse.example/cardamom/site"
)

// resultNames are the answers to an order in logs.
var resultNames = map[site.OrderResult]string{
	site.OrderAccepted: "accepted", site.OrderHolds: "holds", site.OrderConflict: "conflict", site.OrderFenced: "fenced",
	site.OrderRefused: "refused", site.OrderMisdirected: "misdirected", site.OrderUnknown: "unanswered",
}

// order sends a planned order and takes its answer.
func (l *Loop) order(service cardamom.ServiceID, move plan.Move) {
	number := l.tenure.number
	order := move.Order
	order.Holder, order.Fence = l.options.ID, cardamom.Fence(number)
	go func() {
		result := l.options.Engines.Send(l.ctx, move.Upstream, order)
		l.logger.Info("order_given", "order", order.Kind, "model", order.Model, "adapter", order.Adapter, "upstream", move.Upstream.ID,
			"reason", move.Reason, "purpose", move.Purpose, "source", move.Source, "at_hand", move.AtHand, "expect", order.Expect, "fence", number, "outcome", resultNames[result])
		l.post(func(now time.Time) {
			t := l.tenure
			if t == nil || t.number != number {
				return
			}
			if result == site.OrderFenced {
				l.lease.Conflict()
				l.endTenure("engines know a newer holder")
				return
			}
			if w, ok := t.worlds[service]; ok {
				w.Answered(move, result, now)
			}
		})
	}()
}

// ask asks an engine for its report.
func (l *Loop) ask(service cardamom.ServiceID, upstream cardamom.Upstream) {
	number := l.tenure.number
	go func() {
		report, err := l.options.Engines.Report(l.ctx, upstream)
		if err != nil {
			l.logger.Debug("report_missing", "upstream", upstream.ID, "reason", err)
			l.post(func(time.Time) {
				if t := l.tenure; t != nil && t.number == number {
					if w, ok := t.worlds[service]; ok && w.Silent(upstream.ID) {
						l.logger.Warn("upstream_down", "upstream", upstream.ID, "address", upstream.Address, "fence", number, "reason", err)
					}
				}
			})
			return
		}
		l.post(func(now time.Time) {
			if t := l.tenure; t != nil && t.number == number {
				if w, ok := t.worlds[service]; ok {
					w.Report(upstream.ID, report, now)
				}
			}
		})
	}()
}
