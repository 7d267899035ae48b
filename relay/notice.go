package relay

import (
	"cardamomcourse.example/cardamom/clock"
	"cardamomcourse.example/cardamom/notice"
	"cardamomcourse.example/cardamom/site"
)

// speaksOfItself reports whether a response comes from the upstream that the request was
// sent to: one to another request, or one that the request is misdirected, may come from
// another upstream at the address.
func (x *exchange) speaksOfItself(reply ResponseInfo) bool {
	return !reply.Misdirected && (reply.ID == x.info.ID || reply.ID == "" && reply.NotRun)
}

// recordNotice records what a response says of its upstream.
func (x *exchange) recordNotice(upstream *site.Upstream, reply ResponseInfo) {
	if !x.speaksOfItself(reply) {
		return
	}
	run := notice.NewRun(upstream.ID, upstream.StartedMs)
	if reply.Leaving && x.server.Notices.Leave(run, clock.Now()) {
		x.server.Metrics.CountNotice("leaving")
		x.log.Info("upstream_leaves", "upstream", upstream.ID, "origin", "response", "request", x.info.ID)
	}
}
