package host

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"
)

// AppendBehaviours appends behaviours for the next requests to this upstream.
// Requests after them follow the shared script if there is one, and are answered
// normally without one or after its end.
func (u *Upstream) AppendBehaviours(behaviours ...Behaviour) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.next = append(u.next, behaviours...)
}

// ClearBehaviours drops the appended behaviours that no request has met yet.
func (u *Upstream) ClearBehaviours() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.next = nil
}

// ShareScript makes the upstream consume a script that it shares with other
// upstreams.
func (u *Upstream) ShareScript(script *[]Behaviour) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.script = script
}

// nextBehaviour removes and returns the behaviour for the next request. u.mu must
// be held.
func (u *Upstream) nextBehaviour() Behaviour {
	if len(u.next) > 0 {
		behaviour := u.next[0]
		u.next = u.next[1:]
		return behaviour
	}
	scriptMu.Lock()
	defer scriptMu.Unlock()
	if u.script == nil || len(*u.script) == 0 {
		return Answer
	}
	behaviour := (*u.script)[0]
	*u.script = (*u.script)[1:]
	return behaviour
}

// Disconnects returns how many hanging or trickling requests ended because the client disconnected.
func (u *Upstream) Disconnects() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.disconnects
}

// serve handles a request with the next behaviour, or as misdirected if the model
// is not in memory or Expect-Instance names another upstream. The platform calls
// an upstream an instance in its headers.
func (u *Upstream) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	place := u.admit(r)
	switch place {
	case abandoned:
		panic(http.ErrAbortHandler)
	case admitted:
		defer u.leave()
	}
	u.mu.Lock()
	u.arrivals = append(u.arrivals, Arrival{ID: r.Header.Get("Request-Id"), At: time.Now(), Keys: r.Header.Values(keyHeader)})
	if len(u.rateLimit) > 0 {
		w.Header()[rateLimitHeader] = u.rateLimit
	}
	if !u.leavesFrom.IsZero() {
		w.Header().Set(leavingHeader, "1")
	}
	if values := u.retryAfter; len(values) > 0 {
		u.recordTurned(r.Header.Get("Request-Id"))
		u.mu.Unlock()
		writeLate(r)
		turnAway(w, values)
		return
	}
	behaviour := u.nextBehaviour()
	behaviour = u.repetition.apply(behaviour, place == turnedAway)
	model, _, _ := strings.Cut(r.Header.Get("Model"), "/")
	if _, ok := u.resident[model]; model != "" && !ok || r.Header.Get("Expect-Instance") != u.spec.ID {
		behaviour = Misdirected
	}
	part := sharedPartOf(r.Header.Get("Prompt-Prefix"), u.crashing)
	if part != "" && !silentBehaviours[behaviour] && !behaviour.refuses() {
		behaviour = Crash
	}
	if behaviour == Crash {
		u.crashes, u.crashedAt = append(u.crashes, part), time.Now()
	}
	if !behaviour.refuses() {
		u.runs = append(u.runs, Run{ID: r.Header.Get("Request-Id"), Target: r.RequestURI, Body: string(body), Header: r.Header.Clone(), At: time.Now()})
	}
	u.mu.Unlock()
	// Whoever reads the late response may close the connection, but the request has run by then.
	writeLate(r)
	u.apply(behaviour, w, r)
}

// apply responds to a request with the behaviour. Server-Seal shows that a response
// comes from an upstream and not from an instance on the way.
func (u *Upstream) apply(behaviour Behaviour, w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	switch behaviour {
	case CloseEarly:
		panic(http.ErrAbortHandler)
	case Crash:
		w.Header().Set("Request-Id", id)
		w.Header().Set("Server-Seal", "seal."+u.spec.ID)
		w.WriteHeader(http.StatusOK)
		w.(http.Flusher).Flush()
		u.End()
		panic(http.ErrAbortHandler)
	case Hang:
		select {
		case <-u.closed:
		case <-r.Context().Done():
			u.mu.Lock()
			u.disconnects++
			u.mu.Unlock()
		}
		panic(http.ErrAbortHandler)
	case Full, FullLate, UnnamedFull, UnnamedLate:
		if behaviour == Full || behaviour == FullLate {
			w.Header().Set("Request-Id", id)
		}
		if behaviour == FullLate || behaviour == UnnamedLate {
			u.repeatRefusal(r, w.Header().Get("Request-Id"))
		}
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case Misdirected:
		w.Header().Set("Request-Id", id)
		w.Header().Set("Instance", u.spec.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case UnmarkedRefusal:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case EndlessStatus, EndlessHeader, EndlessInformational, EndlessChunkLine, EndlessTrailer, EndlessBody, EndlessEvent, EndlessRefusal, StalledRefusal, EndlessTail:
		u.writeEndless(behaviour, w, r)
		return
	case Malformed, ExtraResponse, Unframed, UnframedReset, UnframedCut, UnnumberedCut, UnframedEmpty, UnframedShort, LengthCut, ChunkCut, WholeCut, Comment, AnswerReset, HeadCut, HeadOpen, ErrorPage, NoContent, UnframedError:
		u.writeRaw(behaviour, w, r)
		return
	case WrongID:
		id = "another"
	case AnswerLate:
		u.repeatAnswer(r, id)
	}
	w.Header().Set("Request-Id", id)
	w.Header().Set("Server-Seal", "seal."+u.spec.ID)
	if behaviour == InternalError {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if r.Header.Get("Model") != "" {
		u.stream(behaviour, w, r.Header.Get("Last-Event-Id"), r.Context().Done())
		return
	}
	if !u.work(r) {
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, "whole answer to "+id)
}

// versionMark precedes the version of its upstream's software in an event.
const versionMark = " of "

// VersionsIn returns the versions of the upstreams that sent the events in a body, each
// once.
func VersionsIn(body string) []string {
	var versions []string
	for _, line := range strings.Split(body, "\n") {
		if _, version, ok := strings.Cut(line, versionMark); ok && !slices.Contains(versions, version) {
			versions = append(versions, version)
		}
	}
	return versions
}

// piece returns the data of an event.
func (u *Upstream) piece(n int) string {
	if u.spec.Version == "" {
		return fmt.Sprintf("piece %d", n)
	}
	return fmt.Sprintf("piece %d%s%s", n, versionMark, u.spec.Version)
}

// streamEnd is what the cut behaviours leave out of a response.
func (u *Upstream) streamEnd() string { return u.piece(streamEvents) + "\n\n" }

// streamBody returns the whole body of a stream at once, for writeRaw: the events
// after the last one that the client received.
func (u *Upstream) streamBody(lastEventID string) string {
	after := 0
	if _, err := fmt.Sscan(lastEventID, &after); err != nil {
		after = 0
	}
	var all strings.Builder
	for n := after + 1; n <= streamEvents; n++ {
		fmt.Fprintf(&all, "id: %d\ndata: %s\n\n", n, u.piece(n))
	}
	return all.String()
}

// stream sends the events after the last one that the client received, one by one,
// and breaks off in the third of them for the behaviour Cut. gone is closed when the client
// is gone.
func (u *Upstream) stream(behaviour Behaviour, w http.ResponseWriter, lastEventID string, gone <-chan struct{}) {
	w.Header().Set("Content-Type", "text/event-stream")
	after := 0
	if _, err := fmt.Sscan(lastEventID, &after); err != nil {
		after = 0
	}
	for n := after + 1; n <= streamEvents; n++ {
		pause := u.spec.EventPause
		if behaviour == Slow {
			pause = slowPause
		}
		if pause > 0 && n > after+1 {
			select {
			case <-u.closed:
				panic(http.ErrAbortHandler)
			case <-time.After(pause):
			}
		}
		if behaviour == Cut && n == after+3 {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: par", n)
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, u.piece(n))
		w.(http.Flusher).Flush()
		if behaviour == Trickle {
			u.trickle(w, gone)
		}
	}
}

// trickle writes a byte now and then until the client is gone, and breaks off.
func (u *Upstream) trickle(w http.ResponseWriter, gone <-chan struct{}) {
	for {
		select {
		case <-u.closed:
			panic(http.ErrAbortHandler)
		case <-gone:
			u.mu.Lock()
			u.disconnects++
			u.mu.Unlock()
			panic(http.ErrAbortHandler)
		case <-time.After(tricklePause):
			_, _ = io.WriteString(w, ":")
			w.(http.Flusher).Flush()
		}
	}
}

// writeRaw writes a response that net/http would not send, byte by byte as given.
func (u *Upstream) writeRaw(behaviour Behaviour, w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	connection, buffered, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer connection.Close()
	body := "whole answer to " + id
	if r.Header.Get("Model") != "" {
		body = u.streamBody(r.Header.Get("Last-Event-Id"))
	}
	head := "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nServer-Seal: seal." + u.spec.ID + "\r\n"
	framed := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	cut := body[:max(len(body)-len(u.streamEnd()), 0)]
	switch behaviour {
	case UnframedCut:
		_, _ = buffered.WriteString(head + "\r\n" + cut)
	case UnnumberedCut:
		_, _ = buffered.WriteString(head + "\r\ndata: piece 1\n\ndata: pie")
	case UnframedReset:
		_, _ = buffered.WriteString(head + "\r\n" + body[:len(body)/2])
		_ = buffered.Flush()
		reset(connection)
		return
	case UnframedEmpty:
		_, _ = buffered.WriteString(head + "\r\n")
	case UnframedShort:
		_, _ = buffered.WriteString(head + "\r\n" + body[:max(len(body)-1, 0)])
	case LengthCut:
		_, _ = fmt.Fprintf(buffered, "%sContent-Length: %d\r\n\r\n%s", head, len(body), cut)
	case ChunkCut:
		_, _ = fmt.Fprintf(buffered, "%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", head, len(cut), cut)
	case HeadCut:
		_, _ = buffered.WriteString(head + "Content-Le")
	case HeadOpen:
		_, _ = fmt.Fprintf(buffered, "%sContent-Length: %d\r\n", head, len(body))
	case ErrorPage:
		const failure = `{"error": "the model failed"}` + "\n\n"
		_, _ = fmt.Fprintf(buffered, "%sContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", head, len(failure), failure)
	case NoContent:
		_, _ = fmt.Fprintf(buffered, "HTTP/1.1 204 No Content\r\nRequest-Id: %s\r\nServer-Seal: seal.%s\r\n\r\n", id, u.spec.ID)
	case UnframedError:
		first, _, _ := strings.Cut(body, "\n\n")
		_, _ = buffered.WriteString(head + "\r\n" + first + "\n\nHTTP/1.1 500 Internal Server Error\r\nContent-Length: 6\r\n\r\nfailed")
	case WholeCut:
		_, _ = fmt.Fprintf(buffered, "%sContent-Length: %d\r\n\r\n%s", head, len(cut), cut)
	case Comment:
		_, _ = buffered.WriteString(head + "\r\n" + body + ": end of the stream\n")
	case Malformed:
		_, _ = buffered.WriteString("no response at all\r\n\r\n")
	case ExtraResponse:
		_, _ = buffered.WriteString(framed + framed)
	case AnswerReset:
		_, _ = buffered.WriteString(framed)
		_ = buffered.Flush()
		reset(connection)
		return
	default:
		_, _ = buffered.WriteString(head + "\r\n" + body)
	}
	_ = buffered.Flush()
	if behaviour == ExtraResponse {
		// The connection stays open, so that the client reuses it and finds the
		// second response on it.
		_, _ = connection.Read(make([]byte, 1))
	}
}
