package relay

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"cardamomcourse.example/cardamom/clock"
	"cardamomcourse.example/cardamom/conns"
	"cardamomcourse.example/cardamom/site"
)

// maxEventBytes bounds one event of a stream, which has to be whole before it is
// forwarded.
const maxEventBytes = 256 << 10

// eventStream is the media type of a stream of events.
const eventStream = "text/event-stream"

// Errors of a stream whose response ended without an error of the connection.
var (
	// errInsideEvent means that the stream ended inside an event.
	errInsideEvent = eris.New("stream ended inside an event")
	// errEventTooLong means that an event did not end within maxEventBytes.
	errEventTooLong = eris.New("event of the stream is too long")
	// errForeignHead means that the header of another response follows in the stream's body,
	// which ends with its connection.
	errForeignHead = eris.New("stream is followed by the header of another response")
	// errNoEvent means that the connection closed after the header.
	errNoEvent = eris.New("stream ended with its connection before its first event")
)

// streamRest is what is known of a stream when its response has ended.
type streamRest struct {
	framing conns.Framing
	// hasEvents means that the response had a whole event.
	hasEvents bool
	// tail is what followed the last whole event.
	tail []byte
}

// check returns why the stream is not whole, nil if it is. That its response ended in
// order does not suffice: one without a length and without chunks ends with its
// connection, also if the upstream fails. If it has no event at all, it doesn't count as
// the rest of a stream that was complete already.
func (s streamRest) check() error {
	switch {
	case isInsideEvent(s.tail):
		return errInsideEvent
	case s.framing == conns.UntilClose && !s.hasEvents:
		return errNoEvent
	default:
		return nil
	}
}

// forwardStream forwards whole events as they arrive. It reports whether the
// stream is to be resumed at another upstream.
func (x *exchange) forwardStream(upstream *site.Upstream, response *conns.Response) bool {
	flusher, _ := x.w.(http.Flusher)
	var partial []byte
	var lastEvent time.Time
	rest := streamRest{framing: response.Framing()}
	resumed := x.headerSent
	buffer := make([]byte, readBufferBytes)
	charge := x.chargeResponse(readBufferBytes)
	for {
		n, err := response.Read(buffer)
		read := time.Now()
		if n > 0 && !x.viaHop {
			x.firstEventWait.FirstEvent(read)
			x.reportFirstEvent(read)
			x.server.Reach.Answered(upstream.ID, clock.Now())
		}
		before := cap(partial)
		partial = append(partial, buffer[:n]...)
		if grown := cap(partial) - before; grown > 0 {
			charge.Add(int64(grown))
		}
		end, foreign := wholeEventsLength(partial), false
		if rest.framing == conns.UntilClose {
			end, foreign = cutAtHead(partial[:end])
		}
		if end > 0 {
			if !rest.hasEvents {
				x.recordOrigin(upstream)
			}
			if !x.writeEvents(response, partial[:end]) {
				x.callerLeft()
			}
			partial = append(partial[:0], partial[end:]...)
			if !rest.hasEvents {
				rest.hasEvents, x.progress = true, hasEvents
				x.survived()
				x.logResumption(upstream, resumed)
			}
			flusher.Flush()
			x.delivery.written(read, time.Now())
			if !lastEvent.IsZero() && x.route.TargetGap > 0 && !x.viaHop {
				x.server.Pace.Gap(x.service, upstream.ID, read.Sub(lastEvent), x.route.TargetGap, read)
			}
			lastEvent = read
		}
		switch {
		case foreign:
			return x.handleStreamBroken(upstream, errForeignHead)
		case len(partial) > maxEventBytes:
			return x.handleStreamBroken(upstream, errEventTooLong)
		case errors.Is(err, io.EOF):
			x.tailBytes, rest.tail = len(partial), partial
			if err := rest.check(); err != nil {
				return x.handleStreamBroken(upstream, err)
			}
			if !x.writeEvents(response, partial) {
				x.callerLeft()
			}
			x.end("served", "answered", response.Status())
			return false
		case err != nil:
			return x.handleStreamBroken(upstream, err)
		}
	}
}

// logResumption logs that a stream goes on: within its response, or in the response to a
// caller that came back.
func (x *exchange) logResumption(upstream *site.Upstream, within bool) {
	before := x.software
	x.software = upstream.Version
	by := "response"
	if !within {
		if by = "caller"; x.info.LastEventID == "" && x.info.Resumes == "" {
			return
		}
	}
	x.server.Metrics.CountResumption(by)
	x.log.Info("stream_resumed", "request", x.info.ID, "resumes", x.info.Resumes, "upstream", upstream.ID, "software", upstream.Version, "software_before", before, "origin", by)
}

// writeEvents writes whole events to the caller, and reports whether it succeeded.
func (x *exchange) writeEvents(response *conns.Response, events []byte) bool {
	if !x.headerSent {
		x.begunStatus, x.begunType = response.Status(), mediaType(response.Header())
		x.copyHeader(response)
		x.w.WriteHeader(response.Status())
		x.firstEventAfter = time.Since(x.arrived)
		x.server.Metrics.ObserveDuration("first_event", x.firstEventAfter)
	}
	if id := findLastEventID(events); id != "" {
		x.lastEventID = id
	}
	_, err := x.w.Write(events)
	return err == nil
}

// handleStreamBroken handles a stream that broke: it is resumed if the route
// allows it, else it ends for the caller too.
func (x *exchange) handleStreamBroken(upstream *site.Upstream, err error) bool {
	now := time.Now()
	if x.ctx.Err() != nil {
		if x.r.Context().Err() != nil {
			x.callerLeft()
		}
		if !x.headerSent {
			x.endUnanswered()
			return false
		}
		x.abort("deadline")
	}
	if !x.viaHop {
		x.server.Reach.Failed(upstream.ID, clock.Now())
	}
	x.recordFailure(upstream, now)
	x.log.Info("stream_broken", "request", x.info.ID, "upstream", upstream.ID, "last_event", x.lastEventID, "age_ms", x.ageMS(now), "runs", x.runs, "parts", x.loggedParts(), "progress", x.progress, "reason", err)
	if x.mayResume() {
		return true
	}
	if !x.headerSent {
		x.fail(http.StatusBadGateway, "upstream_broke")
		return false
	}
	x.abort("upstream_broke")
	return false
}

// continues reports whether a response may go on with the stream that the caller has the start
// of: it has the status of the response that began it, and is a stream of events as far as its
// media type tells.
func (x *exchange) continues(response *conns.Response) bool {
	kind := mediaType(response.Header())
	return response.Status() == x.begunStatus && (kind == "" || kind == eventStream || kind == x.begunType)
}

// mediaType returns the media type of a body in lower case, empty if the header has none.
func mediaType(header http.Header) string {
	name, _, _ := strings.Cut(header.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(name))
}

// mayResume reports whether another upstream may continue the stream after its last
// event, or begin it if the caller has none. Events without an id can't be continued:
// they would come twice.
func (x *exchange) mayResume() bool {
	return x.route.Resumable && x.runs < x.route.MaxAttempts && (!x.headerSent || x.lastEventID != "") && x.hasCleanParts()
}

// blankLines are the ends of an event: two line ends of any kind in a row.
var blankLines = [][]byte{[]byte("\n\n"), []byte("\n\r\n"), []byte("\r\r")}

// wholeEventsLength returns the length of the whole events at the start of data.
func wholeEventsLength(data []byte) int {
	length := 0
	for _, blank := range blankLines {
		if at := bytes.LastIndex(data, blank); at >= 0 {
			length = max(length, at+len(blank))
		}
	}
	return length
}

// headLine begins the status line of a response. No line of an event begins like it.
var headLine = []byte("HTTP/1.")

// cutAtHead returns the length of the whole events before the header of another response, the
// length of all if there is none, and whether there is one.
func cutAtHead(events []byte) (int, bool) {
	for at := 0; at < len(events); {
		if bytes.HasPrefix(events[at:], headLine) {
			return wholeEventsLength(events[:at]), true
		}
		next := bytes.IndexAny(events[at:], "\r\n")
		if next < 0 {
			break
		}
		at += next + 1
	}
	return len(events), false
}

// isInsideEvent reports whether what follows the last whole event of a stream is the
// start of another: anything but blank lines and whole comments.
func isInsideEvent(tail []byte) bool {
	for len(tail) > 0 {
		end := bytes.IndexAny(tail, "\r\n")
		if end < 0 || (end > 0 && tail[0] != ':') {
			return true
		}
		tail = tail[end+1:]
	}
	return false
}

// findLastEventID returns the id of the last event that has one.
func findLastEventID(events []byte) string {
	id := ""
	for _, line := range bytes.Split(events, []byte("\n")) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = string(bytes.TrimSpace(value))
		}
	}
	return id
}
