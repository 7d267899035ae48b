package relay

import (
	"cardamomcourse.example/cardamom/clock"
	"cardamomcourse.example/cardamom/quota"
	"cardamomcourse.example/cardamom/site"
)

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
