package relay

import (
	"time"

	"cardamomcourse.example/cardamom/clock"
	"cardamomcourse.example/cardamom/notice"
	"cardamomcourse.example/cardamom/site"
)

// noticeRecheckInterval is the interval at which a request that waits for the end of an
// upstream's wait looks for another upstream.
const noticeRecheckInterval = 50 * time.Millisecond

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
	switch wait := reply.Wait; {
	case wait.Invalid != "" && x.server.Notices.Invalid(upstream.ID):
		x.server.Metrics.CountNotice("invalid_wait")
		x.log.Info("upstream_wait", "upstream", upstream.ID, "change", "ignored", "header", wait.Invalid, "request", x.info.ID)
	case wait.Named && x.server.Notices.Wait(run, wait.For, clock.Now()):
		x.server.Metrics.CountNotice("wait")
		x.log.Info("upstream_wait", "upstream", upstream.ID, "change", "began", "expected_ms", wait.For.Milliseconds(), "request", x.info.ID)
	}
}

// mayGet reports whether an upstream may get requests by what it says of itself, or else
// when it may again, zero if never.
func (s *Server) mayGet(upstream *site.Upstream) (bool, time.Time) {
	return s.Notices.MayGet(notice.NewRun(upstream.ID, upstream.StartedMs), clock.Now())
}

// awaitNotice waits where the only upstreams that could run the request want none until a
// time, or ends the request if that is too late. A request that needs a model waits for
// another engine with it as well.
func (x *exchange) awaitNotice(until time.Time, needsModel bool) {
	if needsModel && (x.runs == 0 || x.route.Repeatable()) {
		x.awaitModel(nil, until)
		return
	}
	wait := until.Sub(clock.Now())
	if wait >= x.remaining(time.Now()) {
		x.markEnded()
		x.giveUpFor("upstream_waits", wait)
		return
	}
	x.sleep(min(wait, noticeRecheckInterval))
}
