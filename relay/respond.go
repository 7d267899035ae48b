package relay

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"cardamomcourse.example/cardamom/conns"
	"cardamomcourse.example/cardamom/health"
	"cardamomcourse.example/cardamom/memory"
	"cardamomcourse.example/cardamom/site"
)

const (
	// maxBufferedBytes is the size up to which a response is read whole before any
	// of it is forwarded.
	maxBufferedBytes = 256 << 10
	// readBufferBytes is the size of the buffer for one read of a body.
	readBufferBytes = 8 << 10
	// maxResponseBytes bounds the body of a response that is no stream.
	maxResponseBytes = 32 << 20
	// logOneIn is the sampling rate of log lines for successful requests: one in
	// logOneIn, chosen by id, so that all instances choose the same requests.
	logOneIn = 16
)

// errTooLarge means that a response is larger than any that is forwarded.
var errTooLarge = eris.New("response is too large")

// notRunStatuses are the statuses that mean to callers that a request has not run.
var notRunStatuses = map[int]bool{
	http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true,
	http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true,
}

// handleResponse forwards an upstream's response. It reports whether to continue
// with another attempt, after a server error or a broken response.
func (x *exchange) handleResponse(upstream *site.Upstream, response *conns.Response) bool {
	now := time.Now()
	status := response.Status()
	x.framing, x.tailBytes, x.answeredBy = response.Framing(), 0, upstream
	if status >= http.StatusInternalServerError {
		x.runs++
		x.server.Health.Failed(upstream.ID, health.ServerError, now)
		if x.route.Kind == site.Idempotent && x.mayRetry() {
			response.Discard()
			x.avoid(upstream.ID)
			x.log.Info("erred", "request", x.info.ID, "upstream", upstream.ID, "status", status, "age_ms", x.ageMS(now))
			return true
		}
	} else {
		x.runs++
		x.server.Health.Succeeded(upstream.ID, now)
	}
	if notRunStatuses[status] {
		// To callers these statuses mean that the request has not run. The upstream
		// did not state that, so the request may have run.
		response.Discard()
		x.fail(http.StatusBadGateway, "unfounded_refusal")
		return false
	}
	if x.headerSent && !x.continues(response) {
		response.Discard()
		x.abort("not_resumed")
	}
	x.progress = answerBegun
	if x.route.Kind == site.Streaming && status < http.StatusMultipleChoices {
		return x.forwardStream(upstream, response)
	}
	return x.forwardWhole(upstream, response)
}

// forwardWhole reads a response whole, or up to maxBufferedBytes, before it
// forwards it.
func (x *exchange) forwardWhole(upstream *site.Upstream, response *conns.Response) bool {
	if response.Length() > maxResponseBytes {
		x.runs--
		return x.handleBroken(upstream, errTooLarge, x.arrived)
	}
	charge := x.chargeResponse(0)
	body, err := memory.ReadAll(io.LimitReader(response, maxBufferedBytes+1), -1, charge, time.Now, func() {})
	// Without memory for the whole response, what there is of it is forwarded before the rest
	// has arrived.
	whole := err == nil && len(body) <= maxBufferedBytes
	if err != nil && !errors.Is(err, memory.ErrFull) {
		x.runs--
		return x.handleBroken(upstream, err, x.arrived)
	}
	x.progress = hasEvents
	x.survived()
	x.copyHeader(response)
	if whole {
		x.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		x.w.WriteHeader(response.Status())
		if _, err := x.w.Write(body); err != nil {
			x.callerLeft()
		}
		x.end(outcomeOf(response.Status()), "answered", response.Status())
		return false
	}
	if response.Length() >= 0 {
		x.w.Header().Set("Content-Length", strconv.FormatInt(response.Length(), 10))
	}
	x.w.WriteHeader(response.Status())
	rest := io.MultiReader(bytes.NewReader(body), response)
	if written, err := io.Copy(x.w, io.LimitReader(rest, maxResponseBytes)); err != nil || written == maxResponseBytes && !atEnd(rest) {
		x.abort("cut_midway")
	}
	x.end(outcomeOf(response.Status()), "answered", response.Status())
	return false
}

// atEnd reports whether nothing is left to read.
func atEnd(rest io.Reader) bool {
	n, err := io.ReadFull(rest, make([]byte, 1))
	return n == 0 && errors.Is(err, io.EOF)
}

// copyHeader copies the headers of the upstream's response.
func (x *exchange) copyHeader(response *conns.Response) {
	header := x.w.Header()
	for name, values := range endToEnd(response.Header()) {
		header[name] = values
	}
	x.setHopHeader(header)
	if _, ok := header["Content-Type"]; !ok {
		// A nil value keeps net/http from detecting a content type.
		header["Content-Type"] = nil
	}
	x.headerSent = true
}

// abort breaks the caller's connection, so that the response does not look complete. It panics
// with http.ErrAbortHandler, which net/http expects.
func (x *exchange) abort(reason string) { x.abortAs("cut", reason) }

// callerLeft ends the request of a caller that has closed its connection, or its side of it. Like
// abort it panics: if the handler returned, net/http would complete the response.
func (x *exchange) callerLeft() { x.abortAs("gone", "caller_left") }

func (x *exchange) abortAs(outcome, reason string) {
	x.end(outcome, reason, 0)
	if !x.r.ProtoAtLeast(1, 1) {
		x.reset()
	}
	panic(http.ErrAbortHandler)
}

// reset resets the connection of a caller that speaks HTTP/1.0. Its response has no
// chunks and ends with the connection, so a regular close would complete it.
func (x *exchange) reset() {
	connection, _, err := http.NewResponseController(x.w).Hijack()
	if err != nil {
		x.log.Warn("not_reset", "request", x.info.ID, "reason", err)
		return
	}
	if tcp, ok := connection.(interface{ SetLinger(seconds int) error }); ok {
		_ = tcp.SetLinger(0)
	}
	_ = connection.Close()
}

// refuse answers that the request has not run and never will.
func (x *exchange) refuse(reason string, wait time.Duration) {
	if wait > 0 {
		x.server.Dialect.SetRetryAfter(x.w.Header(), wait)
	}
	x.writeError(http.StatusServiceUnavailable, "refused", reason)
}

// fail answers with an error that leaves open whether the request has run.
func (x *exchange) fail(status int, reason string) { x.writeError(status, "failed", reason) }

// writeError answers with a status and the reason, or aborts a response that has
// begun.
func (x *exchange) writeError(status int, outcome, reason string) {
	if x.headerSent {
		x.abort(reason)
	}
	x.headerSent = true
	if x.from.hopped {
		x.w.Header().Set(hopSendsHeader, strconv.Itoa(x.sends))
	}
	x.w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	body := []byte(reason + "\n")
	x.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	x.w.WriteHeader(status)
	_, _ = x.w.Write(body)
	x.end(outcome, reason, status)
}

// end counts and logs the outcome of the request.
func (x *exchange) end(outcome, reason string, status int) {
	kind := "none"
	name := ""
	if x.route != nil {
		kind, name = x.route.Kind.String(), x.route.Name
	}
	took := time.Since(x.arrived)
	x.server.Metrics.CountRequest(kind, outcome, reason)
	x.server.Metrics.CountResponse(kind, x.framing.String(), x.tailBytes > 0)
	x.server.Metrics.ObserveDuration("whole", took)
	late := lateness(x.route, x.firstEventAfter, x.delivery.longestGap, took)
	if late != "" && outcome == "served" {
		x.server.Metrics.CountLate(kind, late)
	}
	if !x.delivery.lastEvent.IsZero() {
		x.server.Metrics.ObserveDuration("longest_gap_"+string(x.service), x.delivery.longestGap)
	}
	if outcome == "served" && late == "" && x.tailBytes == 0 && xxhash.Sum64String(x.info.ID)%logOneIn != 0 {
		return
	}
	x.log.Info("request_ended", "request", x.info.ID, "outcome", outcome, "reason", reason, "status", status, "route", name,
		"model", x.info.Model, "adapter", x.info.Adapter, "upstream", x.lastUpstream, "waited_ms", x.waited.Milliseconds(), "held_ms", x.held.Milliseconds(), "scheduled_by", x.schedule.by, "schedule_reason", string(x.schedule.reason), "schedule_ms", x.schedule.waited.Milliseconds(), "isolated_ms", x.isolatedFor.Milliseconds(), "first_ms", x.firstEventAfter.Milliseconds(), "took_ms", took.Milliseconds(),
		"part", x.refusedPart, "framing", x.framing, "last_event", x.lastEventID, "resumes", x.info.Resumes, "software", x.software, "tail_bytes", x.tailBytes,
		"gap_ms", x.delivery.longestGap.Milliseconds(), "relay_ms", x.delivery.longestRelay.Milliseconds(), "late", late != "", "late_by", late,
		"hops", len(x.hops), "hopped", x.from.hopped, "sends", x.sends, "runs", x.runs, "rejected", x.rejected, "unsent", x.unsent)
}

func outcomeOf(status int) string {
	if status < http.StatusBadRequest {
		return "served"
	}
	return "failed"
}
