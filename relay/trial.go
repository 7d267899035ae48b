package relay

import (
	"time"

	"cardamomcourse.example/cardamom/pick"
	"cardamomcourse.example/cardamom/poison"
)

// awaitTrial holds a request that crashes upstreams, as far as is known, until it may be sent for
// trial, and reports whether it may be sent. It refuses the request if it gets no trial soon.
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

// refuseSuspect ends a request that crashes upstreams, as far as is known.
func (x *exchange) refuseSuspect() {
	x.giveUpFor("crashes_upstreams", x.server.Ledger.NextTrial(x.fingerprint, time.Now()))
}

// admitTrial reports whether the request may be sent now: it may not have been refused when it
// arrived, and one of those that wait for a trial gets it. Else it ends the request.
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
