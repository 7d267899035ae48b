package host

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// Behaviour is how an upstream handles one request.
type Behaviour string

// AppendBehaviours appends behaviours for the next requests; those after them are answered
// normally.
func (e *Upstream) AppendBehaviours(behaviours ...Behaviour) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.next = append(e.next, behaviours...)
}

// ShareScript makes the upstream take behaviours from a script shared with others.
func (e *Upstream) ShareScript(script *[]Behaviour) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.script = script
}

// nextBehaviour removes and returns the behaviour for the next request.
func (e *Upstream) nextBehaviour() Behaviour {
	if len(e.next) > 0 {
		behaviour := e.next[0]
		e.next = e.next[1:]
		return behaviour
	}
	scriptMu.Lock()
	defer scriptMu.Unlock()
	if e.script == nil || len(*e.script) == 0 {
		return Answer
	}
	behaviour := (*e.script)[0]
	*e.script = (*e.script)[1:]
	return behaviour
}

// Disconnects returns how many hanging requests ended because the client disconnected.
func (e *Upstream) Disconnects() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.disconnects
}

// serve handles a request with the next behaviour.
func (e *Upstream) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	e.mu.Lock()
	behaviour := e.nextBehaviour()
	model, _, _ := strings.Cut(r.Header.Get("Model"), "/")
	if _, ok := e.resident[model]; model != "" && !ok || r.Header.Get("Expect-Instance") != e.spec.ID {
		behaviour = Misdirected
	}
	if behaviour != Full && behaviour != Misdirected && behaviour != UnmarkedRefusal {
		e.runs = append(e.runs, Run{ID: r.Header.Get("Request-Id"), Target: r.RequestURI, Body: string(body), Header: r.Header.Clone(), At: time.Now()})
	}
	e.mu.Unlock()
	e.apply(behaviour, w, r)
}

func (e *Upstream) apply(behaviour Behaviour, w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	switch behaviour {
	case CloseEarly:
		panic(http.ErrAbortHandler)
	case Hang:
		select {
		case <-e.closed:
		case <-r.Context().Done():
			e.mu.Lock()
			e.disconnects++
			e.mu.Unlock()
		}
		panic(http.ErrAbortHandler)
	case Full:
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case Misdirected:
		w.Header().Set("Instance", e.spec.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case UnmarkedRefusal:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case Malformed, ExtraResponse, Unframed:
		e.writeRaw(behaviour, w, r)
		return
	case WrongID:
		id = "another"
	}
	w.Header().Set("Request-Id", id)
	w.Header().Set("Server-Seal", "seal."+e.spec.ID)
	if behaviour == InternalError {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if r.Header.Get("Model") != "" {
		e.stream(behaviour, w, r.Header.Get("Last-Event-Id"))
		return
	}
	_, _ = io.WriteString(w, "whole answer to "+id)
}

// streamBody returns the events after the last one that the client received.
func streamBody(lastEventID string) string {
	after := 0
	if _, err := fmt.Sscan(lastEventID, &after); err != nil {
		after = 0
	}
	var all strings.Builder
	for n := after + 1; n <= streamEvents; n++ {
		fmt.Fprintf(&all, "id: %d\ndata: piece %d\n\n", n, n)
	}
	return all.String()
}

// stream sends the events after the last one that the client received.
func (e *Upstream) stream(behaviour Behaviour, w http.ResponseWriter, lastEventID string) {
	w.Header().Set("Content-Type", "text/event-stream")
	after := 0
	if _, err := fmt.Sscan(lastEventID, &after); err != nil {
		after = 0
	}
	for n := after + 1; n <= streamEvents; n++ {
		if behaviour == Cut && n == after+3 {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: par", n)
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", n, n)
		w.(http.Flusher).Flush()
	}
}

// writeRaw writes a response that net/http would not produce.
func (e *Upstream) writeRaw(behaviour Behaviour, w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	connection, buffered, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer connection.Close()
	body := "whole answer to " + id
	if r.Header.Get("Model") != "" {
		body = streamBody(r.Header.Get("Last-Event-Id"))
	}
	head := "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nServer-Seal: seal." + e.spec.ID + "\r\n"
	framed := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	switch behaviour {
	case Malformed:
		_, _ = buffered.WriteString("no response at all\r\n\r\n")
	case ExtraResponse:
		_, _ = buffered.WriteString(framed + framed)
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
