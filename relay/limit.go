package relay

import (
	"context"
	"time"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/clock"
	"cardamomcourse.example/cardamom/coord"
	"cardamomcourse.example/cardamom/quota"
	"cardamomcourse.example/cardamom/site"
)

const (
	// permitCallTimeout bounds one call for a permit. After it the request considers all
	// upstreams again: another one may have the model by then.
	permitCallTimeout = time.Second
	// noCoordinatorGrace is how long after its arrival a request is not refused because no
	// coordinator answers.
	noCoordinatorGrace = 250 * time.Millisecond
)

// obtainPermit reports whether the request may be sent to the upstream: it has no rate
// limit, or there is a permit. Otherwise the request has waited, or has ended. If other
// upstreams can run the request, it doesn't wait for a permit for this one.
func (x *exchange) obtainPermit(upstream *site.Upstream, others bool, now time.Time) bool {
	s := x.server
	limit, ok := s.Limits.Limit(upstream, clock.Now())
	if !ok {
		return true
	}
	need := coord.PermitNeed{Limit: limit, Urgency: x.urgency(), Waited: now.Sub(x.arrived)}
	trial := others && !s.Limits.IsFresh(upstream, clock.Now())
	if trial {
		s.Limits.Try(upstream, clock.Now())
	} else {
		need.RemainingTime = x.remaining(now)
		need.CallTimeout = min(need.RemainingTime, permitCallTimeout)
	}
	result := x.awaitPermit(need)
	switch {
	case result.Granted:
		s.Metrics.CountPermit("granted")
		return x.isStillLive(upstream)
	case trial:
		s.Metrics.CountPermit("refused")
	case !result.Answered && s.Alone.Allow(limit, len(s.Views.View().Members()), clock.Now()):
		s.Metrics.CountPermit("alone")
		return true
	case !result.Answered && time.Since(x.arrived) < noCoordinatorGrace:
		x.sleep(recheckInterval)
	case !result.Answered:
		s.Metrics.CountPermit("unanswered")
		x.refuseLimited(upstream, limit, quota.Interval(limit))
	case result.Wait > x.remaining(time.Now()):
		s.Metrics.CountPermit("refused")
		x.refuseLimited(upstream, limit, result.Wait)
	default:
		s.Metrics.CountPermit("later")
	}
	return false
}

// isStillLive reports whether an upstream may still get requests, after a wait.
func (x *exchange) isStillLive(upstream *site.Upstream) bool {
	current, ok := x.server.Views.View().Upstream(upstream.ID)
	return ok && current.State == cardamom.Live && current.StartedMs == upstream.StartedMs
}

// awaitPermit asks for a permit and counts the time as waiting.
func (x *exchange) awaitPermit(need coord.PermitNeed) coord.PermitResult {
	s := x.server
	began := time.Now()
	ctx, cancel := context.WithCancel(x.ctx)
	defer cancel()
	stop := context.AfterFunc(s.Closing, cancel)
	defer stop()
	if x.info.Model != "" && need.CallTimeout > 0 {
		s.Demand.Waiting(x.key, 1)
		defer s.Demand.Waiting(x.key, -1)
	}
	result := s.Permits.Permit(ctx, need)
	x.waited += time.Since(began)
	s.Metrics.ObserveDuration("permit", time.Since(began))
	return result
}

// refuseLimited ends a request that would wait too long for a permit.
func (x *exchange) refuseLimited(upstream *site.Upstream, limit quota.Limit, wait time.Duration) {
	if x.endIfOver() {
		x.markEnded()
		return
	}
	x.log.Info("permit_refused", "request", x.info.ID, "upstream", upstream.ID, "limit", limit.PerSecond, "expected_ms", wait.Milliseconds())
	x.markEnded()
	x.giveUpFor("upstream_limited", quota.RetryAfter(wait))
}

// recordLimit records what a response states of its upstream's rate limit. One that
// belongs to another request states nothing, nor does one without a limit from an
// upstream that doesn't have what the request needs: it may be another upstream at the
// same address.
func (x *exchange) recordLimit(upstream *site.Upstream, reply ResponseInfo) {
	if reply.ID != "" && reply.ID != x.info.ID || reply.Misdirected && !reply.RateLimit.Named {
		return
	}
	if reply.ID == "" && !reply.NotRun && !reply.RateLimit.Named {
		return
	}
	change := x.server.Limits.State(upstream, reply.RateLimit, clock.Now())
	if change.Kind == quota.Unchanged {
		return
	}
	x.server.Metrics.CountRateLimit(change.Kind.String())
	x.log.Info("rate_limit", "upstream", upstream.ID, "change", change.Kind, "limit", change.Limit.PerSecond, "limit_before", change.Before, "header", reply.RateLimit.Invalid, "origin", "response", "request", x.info.ID)
}
