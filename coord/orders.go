package coord

import (
	"context"
	"time"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/clock"
	"cardamomcourse.example/cardamom/plan"
	"cardamomcourse.example/cardamom/site"
)

// resultNames are the outcomes of an order in logs.
var resultNames = map[site.OrderResult]string{
	site.OrderAccepted: "accepted", site.OrderAlreadyDone: "holds", site.OrderConflict: "conflict", site.OrderFenced: "fenced",
	site.OrderRefused: "refused", site.OrderMisdirected: "misdirected", site.OrderUnknown: "unanswered",
}

// sendOrder sends a planned order and passes the outcome to the plan.
func (l *Loop) sendOrder(service cardamom.ServiceID, planned plan.PlannedOrder) {
	number := l.term.number
	order := planned.Order
	order.Holder, order.FencingToken = l.options.ID, cardamom.Fence(number)
	ctx, cancel := l.orderContext(clock.Now())
	go func() {
		defer cancel()
		result := l.options.Engines.Send(ctx, planned.Upstream, order)
		l.logger.Info("order_given", "order", order.Kind, "model", order.Model, "adapter", order.Adapter, "upstream", planned.Upstream.ID,
			"reason", planned.Reason, "purpose", planned.Target, "source", planned.Source, "at_hand", planned.LocalEngines, "expect", order.ExpectedOrders, "fence", number, "outcome", resultNames[result])
		l.post(func(now time.Time) {
			t := l.term
			if t == nil || t.number != number {
				return
			}
			if result == site.OrderFenced {
				l.lease.Forfeit()
				l.endTerm("engines know a newer holder", now)
				return
			}
			if p, ok := t.plans[service]; ok {
				p.Answered(planned, result, now)
			}
		})
	}()
}

// orderContext returns the context of an order. It ends when another instance may have
// taken the lease: on a machine short of processor time, an order may otherwise leave
// long after the plan decided on it.
func (l *Loop) orderContext(now time.Time) (context.Context, context.CancelFunc) {
	until := l.lease.OrdersUntil(l.options.Fenced)
	if until.IsZero() {
		return context.WithCancel(l.ctx)
	}
	return context.WithTimeout(l.ctx, until.Sub(now))
}

// requestReport reads an engine's report and passes it, or its absence, to the
// plan.
func (l *Loop) requestReport(service cardamom.ServiceID, upstream cardamom.Upstream) {
	number := l.term.number
	go func() {
		report, err := l.options.Engines.Report(l.ctx, upstream)
		if err != nil {
			l.options.Reach.Failed(upstream.ID, clock.Now())
			l.logger.Debug("report_missing", "upstream", upstream.ID, "reason", err)
			l.post(func(now time.Time) {
				if t := l.term; t != nil && t.number == number {
					if p, ok := t.plans[service]; ok && t.countsMiss(p, service, upstream.ID, now) && p.ReportMissed(upstream.ID) {
						l.logger.Warn("upstream_down", "upstream", upstream.ID, "address", upstream.Address, "fence", number, "reason", err)
					}
				}
			})
			return
		}
		l.options.Reach.Answered(upstream.ID, clock.Now())
		l.post(func(now time.Time) {
			if t := l.term; t != nil && t.number == number {
				delete(t.firstMisses, upstream.ID)
				if p, ok := t.plans[service]; ok {
					t.recordRestart(upstream.ID, report, now)
					p.Report(upstream.ID, report, now)
					t.recordLimit(upstream.ID, report.RateLimit, now)
					t.recordLeave(upstream.ID, report, now)
				}
			}
		})
	}()
}

// recordRestart records that an engine has started again under its id before it is
// registered so. Its software may have another version by then.
func (t *term) recordRestart(id cardamom.UpstreamID, report site.Report, now time.Time) {
	known, ok := t.loop.state.upstreams[id]
	if !ok || report.StartedMs <= known.StartedMs {
		return
	}
	t.logger.Info("upstream_restarted", "upstream", id, "software_before", known.Version, "origin", "report")
	restarted := *known
	restarted.StartedMs, restarted.RegistrationSeq, restarted.Version, restarted.Loaded = report.StartedMs, 0, "", report.Loaded
	t.update(&restarted, now)
}
