package relay

import (
	"net/http"
	"time"
)

// endIfOver ends a request whose deadline has come or whose caller has
// disconnected, or that has not run when the instance closes. It reports whether
// it did.
func (x *exchange) endIfOver() bool {
	if x.r.Context().Err() != nil {
		x.callerLeft()
	}
	if time.Until(x.deadline()) <= minSendTime || x.ending() {
		x.endUnanswered()
		return true
	}
	return x.runs == 0 && x.refuseIfClosing()
}

// ending reports whether the instance ends before the request's response can arrive.
func (x *exchange) ending() bool { return !x.from.hopped && x.server.Ending.Err() != nil }

// refuseIfClosing refuses the request if the instance is closing, and reports
// whether it did.
func (x *exchange) refuseIfClosing() bool {
	if x.server.Closing.Err() == nil {
		return false
	}
	x.refuse("leaving", leavingRetryDelay)
	return true
}

// endUnanswered ends the request at its deadline, or when the instance ends.
func (x *exchange) endUnanswered() {
	switch ending := x.ending(); {
	case x.runs == 0 && ending:
		x.refuse("leaving", leavingRetryDelay)
	case x.runs == 0:
		x.refuse("deadline", defaultRetryDelay)
	case ending:
		x.fail(http.StatusBadGateway, "leaving")
	default:
		x.fail(http.StatusGatewayTimeout, "deadline")
	}
}

// giveUp ends a request that gets no further attempt.
func (x *exchange) giveUp(reason string) { x.giveUpFor(reason, defaultRetryDelay) }

// giveUpFor ends such a request with the time after which the caller may come back.
func (x *exchange) giveUpFor(reason string, wait time.Duration) {
	if x.runs > 0 {
		x.fail(http.StatusBadGateway, reason)
		return
	}
	x.refuse(reason, wait)
}
