package relay

import (
	"strings"
	"time"

	"cardamomcourse.example/cardamom/clock"
	"cardamomcourse.example/cardamom/conns"
	"cardamomcourse.example/cardamom/poison"
	"cardamomcourse.example/cardamom/site"
)

// maxRecheckPause is the longest pause between two looks of a request that is held back. In a
// longer one there was no upstream for it.
const maxRecheckPause = 4 * recheckInterval

// recordDeath records that an upstream died while it had the request, unless the request
// had already got events of its answer: then it has survived the beginning.
func (x *exchange) recordDeath(upstream *site.Upstream) {
	noticed := clock.Now()
	if x.ctx.Err() != nil || x.progress == hasEvents {
		return
	}
	state := x.server.Pool.Probe(x.ctx, upstream.Address)
	if state == conns.Listening {
		return
	}
	death := string(upstream.ID) + "/" + time.UnixMilli(upstream.StartedMs).UTC().Format(time.RFC3339Nano)
	x.server.Ledger.RecordDeath(x.fingerprint, death, time.Now())
	refused := x.server.Ledger.Verdict(x.fingerprint, time.Now()) == poison.Refused
	x.log.Warn("upstream_died", "request", x.info.ID, "upstream", upstream.ID, "fingerprint", x.fingerprint, "refused", refused, "parts", x.loggedParts(), "progress", x.progress)
	if state == conns.Refusing {
		// One that doesn't answer at all may be behind a link that is cut.
		x.logParts(x.server.Parts.Died(x.service, x.info.SharedParts, poison.NewDeath(death, x.sentAt, noticed, x.progress == answerBegun), noticed))
	}
}

// survived records that the request got the beginning of its answer. Of an answer from another
// instance that instance does: it may be its own failure.
func (x *exchange) survived() {
	if x.viaHop {
		return
	}
	if x.server.Ledger.RecordSurvival(x.fingerprint) {
		x.log.Warn("request_cleared", "request", x.info.ID, "service", x.service, "fingerprint", x.fingerprint)
	}
	x.logParts(x.server.Parts.Survived(x.service, x.info.SharedParts, clock.Now()))
}

// logParts logs the verdicts that have changed.
func (x *exchange) logParts(changes []poison.Change) {
	for _, change := range changes {
		x.server.Metrics.CountPartVerdict(change.Refused())
		x.log.Warn("part_verdict", "service", change.Part().Service(), "part", change.Part().ID(), "refused", change.Refused(), "deaths", strings.Join(change.Deaths(), ","), "origin", "response", "request", x.info.ID)
	}
}

// refusePart ends the request if a part of its prompt is refused, and reports whether it
// did.
func (x *exchange) refusePart() bool {
	verdict, part := x.server.Parts.Verdict(x.service, x.info.SharedParts, clock.Now())
	if verdict != poison.Refused || x.triesPart == part {
		return false
	}
	if x.runs == 0 && x.server.Parts.TryRefused(x.service, part, clock.Now()) {
		x.triesPart = part
		x.log.Warn("part_tried", "request", x.info.ID, "service", x.service, "part", part)
		return false
	}
	x.refusedPart = part
	x.giveUpFor("part_crashes_upstreams", 0)
	return true
}

// admitParts reports whether the request may be sent now, as far as the parts of its
// prompt are concerned: a part that is suspected is sent once at a time, so that it
// crashes few upstreams until it is refused. end has to be called after the send.
func (x *exchange) admitParts() (admitted bool, end func()) {
	s := x.server
	if x.refusePart() {
		x.markEnded()
		return false, nil
	}
	verdict, part := s.Parts.Verdict(x.service, x.info.SharedParts, clock.Now())
	if verdict != poison.Suspected {
		return true, func() {}
	}
	now := clock.Now()
	if pause := now.Sub(x.isolatedAt); pause < maxRecheckPause {
		x.isolatedFor += pause
	}
	end, admitted = s.Parts.Begin(x.service, part, x.isolatedFor)
	if admitted {
		x.isolatedAt = time.Time{}
		return true, end
	}
	x.isolatedAt = now
	x.sleep(recheckInterval)
	return false, nil
}

// hasCleanParts reports whether no part of the prompt is suspected or refused.
func (x *exchange) hasCleanParts() bool {
	verdict, _ := x.server.Parts.Verdict(x.service, x.info.SharedParts, clock.Now())
	return verdict == poison.Clean
}
