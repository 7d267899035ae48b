package relay

import (
	"time"

	"cardamomcourse.example/cardamom/pick"
	"cardamomcourse.example/cardamom/poison"
)

// A request whose like upstreams have died of is refused, but for trials: one request at a time is
// sent to find out whether upstreams die of it. The coordinator grants trials to instances where
// such a request waits.

// awaitTrial reports whether the request may go on: its like isn't refused, or this instance may
// use a trial, for which the request waits if one is due. Else it refuses the request.
func (x *exchange) awaitTrial() bool {
	ledger := x.server.Ledger
	x.onTrial = x.from.trial
	if x.onTrial || ledger.MayTry(x.fingerprint, time.Now()) {
		return true
	}
	until, waits := ledger.AskTrial(x.fingerprint, time.Now())
	for waits && x.ctx.Err() == nil && time.Now().Before(until) {
		if ledger.MayTry(x.fingerprint, time.Now()) {
			return true
		}
		x.sleep(recheckInterval)
	}
	if x.ctx.Err() == nil || !x.endIfOver() {
		x.refuseSuspect()
	}
	return false
}

// refuseSuspect ends a request whose like is refused, with the time until the next trial.
func (x *exchange) refuseSuspect() {
	x.giveUpFor("crashes_upstreams", x.server.Ledger.NextTrial(x.fingerprint, time.Now()))
}

// admitTrial reports whether the request may be sent now. It uses the instance's trial if its like
// is refused by now, and ends the request if another one has used it.
func (x *exchange) admitTrial() bool {
	ledger := x.server.Ledger
	if x.onTrial || ledger.Verdict(x.fingerprint, time.Now()) != poison.Refused {
		return true
	}
	name, ok := ledger.Try(x.fingerprint, time.Now())
	if !ok {
		x.refuseSuspect()
		return false
	}
	x.onTrial, x.trial = true, name
	x.log.Warn("request_tried", "request", x.info.ID, "service", x.service, "fingerprint", x.fingerprint)
	return true
}

// returnTrial gives the request's trial back if it has reached no upstream.
func (x *exchange) returnTrial() {
	if x.trial != "" && x.sends == 0 {
		x.server.Ledger.Return(x.fingerprint, x.trial)
	}
}

// needsQuietUpstream reports whether the request may end its upstream, so that it goes where few
// others end with it.
func (x *exchange) needsQuietUpstream() bool {
	return !x.hasCleanParts() || x.server.Ledger.Verdict(x.fingerprint, time.Now()) == poison.Refused
}

// leastBusy returns the candidates with the fewest requests in flight if the request may end its
// upstream, else all.
func (x *exchange) leastBusy(usable []pick.Candidate) []pick.Candidate {
	if len(usable) == 0 || !x.needsQuietUpstream() {
		return usable
	}
	least := usable[0].Running
	for _, candidate := range usable {
		least = min(least, candidate.Running)
	}
	var chosen []pick.Candidate
	for _, candidate := range usable {
		if candidate.Running == least {
			chosen = append(chosen, candidate)
		}
	}
	return chosen
}
