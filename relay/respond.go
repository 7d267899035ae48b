package relay

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"cardamomcourse.example/cardamom/conns"
	"cardamomcourse.example/cardamom/health"
	"cardamomcourse.example/cardamom/site"
)

const (
	// wholeLimit is the size in bytes up to which a response is read whole
	// before any of it is passed on.
	wholeLimit = 256 << 10
	// readSize is the size in bytes of one read of a body.
	readSize = 8 << 10
	// drainLimit bounds what is read of a body that nobody gets.
	drainLimit = 64 << 10
	// logShare is the share of successful requests that get a log line; the
	// same ids at every instance.
	logShare = 16
)

// promises are the statuses that tell callers that a request has not run.
var promises = map[int]bool{
	http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true,
	http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true,
}

// answer passes an upstream's response on.
func (x *exchange) answer(upstream *site.Upstream, response *conns.Response) bool {
	now := time.Now()
	status := response.Status()
	if status >= http.StatusInternalServerError {
		x.runs++
		x.server.Health.Failed(upstream.ID, health.Erred, now)
		if x.route.Kind == site.Idempotent && x.again() {
			_, _ = drain(response)
			x.exclude(upstream.ID)
			x.log.Info("erred", "request", x.ask.ID, "upstream", upstream.ID, "status", status, "age_ms", x.age(now))
			return true
		}
	} else {
		x.runs++
		x.server.Health.Succeeded(upstream.ID, now)
	}
	if promises[status] {
		// Without the upstream's word the request may have run, and to callers
		// these statuses say that it has not.
		_, _ = drain(response)
		x.fail(http.StatusBadGateway, "unfounded_refusal")
		return false
	}
	if x.started && status >= http.StatusMultipleChoices {
		// The caller has a part of the stream; the rest will not come.
		_, _ = drain(response)
		x.abort("not_resumed")
	}
	if x.route.Kind == site.Streaming && status < http.StatusMultipleChoices {
		return x.stream(upstream, response)
	}
	return x.whole(upstream, response)
}

// whole passes a response on once it has arrived whole.
func (x *exchange) whole(upstream *site.Upstream, response *conns.Response) bool {
	body, err := io.ReadAll(io.LimitReader(response, wholeLimit+1))
	if err != nil {
		x.runs--
		return x.broke(upstream, err, x.arrived)
	}
	x.head(response)
	if len(body) <= wholeLimit {
		x.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		x.w.WriteHeader(response.Status())
		if _, err := x.w.Write(body); err != nil {
			x.end("gone", "caller_left", response.Status())
			return false
		}
		x.end(outcomeOf(response.Status()), "answered", response.Status())
		return false
	}
	if response.Length() >= 0 {
		x.w.Header().Set("Content-Length", strconv.FormatInt(response.Length(), 10))
	}
	x.w.WriteHeader(response.Status())
	if _, err := io.Copy(x.w, io.MultiReader(bytes.NewReader(body), response)); err != nil {
		x.abort("cut_midway")
	}
	x.end(outcomeOf(response.Status()), "answered", response.Status())
	return false
}

// head copies the response's headers.
func (x *exchange) head(response *conns.Response) {
	header := x.w.Header()
	for name, values := range endToEnd(response.Header()) {
		header[name] = values
	}
	if _, ok := header["Content-Type"]; !ok {
		// Keeps net/http from guessing one.
		header["Content-Type"] = nil
	}
	x.started = true
}

// stream passes events on as they arrive, each one whole. It tells whether the
// stream is to be resumed at another upstream.
func (x *exchange) stream(upstream *site.Upstream, response *conns.Response) bool {
	flusher, _ := x.w.(http.Flusher)
	var partial []byte
	buffer := make([]byte, readSize)
	for {
		n, err := response.Read(buffer)
		if n > 0 {
			x.wait.Started(time.Now())
		}
		partial = append(partial, buffer[:n]...)
		if end := lastEvent(partial); end > 0 {
			if !x.pass(response, partial[:end]) {
				x.end("gone", "caller_left", response.Status())
				return false
			}
			partial = append(partial[:0], partial[end:]...)
			flusher.Flush()
		}
		switch {
		case errors.Is(err, io.EOF):
			if !x.pass(response, partial) {
				x.end("gone", "caller_left", response.Status())
				return false
			}
			x.end("served", "answered", response.Status())
			return false
		case err != nil:
			return x.streamBroke(upstream, err)
		}
	}
}

// pass writes whole events to the caller.
func (x *exchange) pass(response *conns.Response, events []byte) bool {
	if !x.started {
		x.head(response)
		x.w.WriteHeader(response.Status())
		x.first = time.Since(x.arrived)
		x.server.Counts.Took("first_event", x.first)
	}
	if id := lastID(events); id != "" {
		x.event = id
	}
	_, err := x.w.Write(events)
	return err == nil
}

// streamBroke resumes a stream that broke off, or breaks it off for the caller.
func (x *exchange) streamBroke(upstream *site.Upstream, err error) bool {
	now := time.Now()
	if x.ctx.Err() != nil {
		if x.r.Context().Err() != nil {
			x.end("gone", "caller_left", 0)
			return false
		}
		if !x.started {
			x.timeOut()
			return false
		}
		x.abort("deadline")
	}
	x.server.Health.Failed(upstream.ID, health.Broken, now)
	x.server.Demand.Failed(upstream.ID)
	x.exclude(upstream.ID)
	x.blame(upstream)
	x.log.Info("stream_broken", "request", x.ask.ID, "upstream", upstream.ID, "last_event", x.event, "age_ms", x.age(now), "runs", x.runs, "reason", err)
	if x.route.Resumable && x.runs < x.route.Attempts {
		return true
	}
	if !x.started {
		x.fail(http.StatusBadGateway, "upstream_broke")
		return false
	}
	x.abort("upstream_broke")
	return false
}

// abort breaks off a response so that it does not look complete.
func (x *exchange) abort(reason string) {
	x.end("cut", reason, 0)
	panic(http.ErrAbortHandler)
}

// refuse answers that the request has not run and never will.
func (x *exchange) refuse(reason string, wait time.Duration) {
	if wait > 0 {
		x.server.Dialect.Later(x.w.Header(), wait)
	}
	x.reject(http.StatusServiceUnavailable, "refused", reason)
}

// fail answers with an error that promises nothing.
func (x *exchange) fail(status int, reason string) { x.reject(status, "failed", reason) }

func (x *exchange) reject(status int, outcome, reason string) {
	if x.started {
		x.abort(reason)
	}
	x.started = true
	x.w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	body := []byte(reason + "\n")
	x.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	x.w.WriteHeader(status)
	_, _ = x.w.Write(body)
	x.end(outcome, reason, status)
}

// end counts and logs what became of the request.
func (x *exchange) end(outcome, reason string, status int) {
	kind := "none"
	name := ""
	if x.route != nil {
		kind, name = x.route.Kind.String(), x.route.Name
	}
	took := time.Since(x.arrived)
	x.server.Counts.Ended(kind, outcome, reason)
	x.server.Counts.Took("whole", took)
	late := x.late(took)
	if outcome == "served" && !late && xxhash.Sum64String(x.ask.ID)%logShare != 0 {
		return
	}
	x.log.Info("request_ended", "request", x.ask.ID, "outcome", outcome, "reason", reason, "status", status, "route", name,
		"model", x.ask.Model, "adapter", x.ask.Adapter, "upstream", x.last, "waited_ms", x.waited.Milliseconds(), "first_ms", x.first.Milliseconds(), "took_ms", took.Milliseconds(), "late", late,
		"sends", x.sends, "runs", x.runs, "rejected", x.rejected, "unsent", x.unsent)
}

// late tells whether a response came after its route's target.
func (x *exchange) late(took time.Duration) bool {
	if x.route == nil || x.route.Target == 0 {
		return false
	}
	if x.route.Kind == site.Streaming {
		return x.first > x.route.Target
	}
	return took > x.route.Target
}

func outcomeOf(status int) string {
	if status < http.StatusBadRequest {
		return "served"
	}
	return "failed"
}

// drain reads the rest of a body, so that its connection can be kept.
func drain(response *conns.Response) (int64, error) {
	return io.Copy(io.Discard, io.LimitReader(response, drainLimit))
}

// lastEvent returns the length of the whole events at the start of data.
func lastEvent(data []byte) int {
	end := bytes.LastIndex(data, []byte("\n\n"))
	crlf := bytes.LastIndex(data, []byte("\r\n\r\n"))
	switch {
	case end < 0 && crlf < 0:
		return 0
	case crlf > end:
		return crlf + 4
	default:
		return end + 2
	}
}

// lastID returns the id of the last event that has one.
func lastID(events []byte) string {
	id := ""
	for _, line := range bytes.Split(events, []byte("\n")) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = string(bytes.TrimSpace(value))
		}
	}
	return id
}
