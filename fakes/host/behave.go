package host

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// Behaviour is how an upstream treats one request.
type Behaviour string

// Next sets how the next requests are treated; later ones are answered.
func (e *Engine) Next(behaviours ...Behaviour) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.next = append(e.next, behaviours...)
}

// Share makes the upstream take behaviours from a script that others share.
func (e *Engine) Share(script *[]Behaviour) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.shared = script
}

// take returns how the next request is treated.
func (e *Engine) take() Behaviour {
	if len(e.next) > 0 {
		behaviour := e.next[0]
		e.next = e.next[1:]
		return behaviour
	}
	sharing.Lock()
	defer sharing.Unlock()
	if e.shared == nil || len(*e.shared) == 0 {
		return Answer
	}
	behaviour := (*e.shared)[0]
	*e.shared = (*e.shared)[1:]
	return behaviour
}

// Left returns how many callers closed the connection of a hanging request.
func (e *Engine) Left() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.left
}

// serve treats a request as the next behaviour says.
func (e *Engine) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	e.mu.Lock()
	behaviour := e.take()
	model, _, _ := strings.Cut(r.Header.Get("Model"), "/")
	if _, ok := e.held[model]; model != "" && !ok || r.Header.Get("Expect-Instance") != e.spec.ID {
		behaviour = Misdirected
	}
	if behaviour != Full && behaviour != Misdirected && behaviour != Unfounded {
		e.runs = append(e.runs, Run{ID: r.Header.Get("Request-Id"), Target: r.RequestURI, Body: string(body), Header: r.Header.Clone(), At: time.Now()})
	}
	e.mu.Unlock()
	e.treat(behaviour, w, r)
}

func (e *Engine) treat(behaviour Behaviour, w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	switch behaviour {
	case Break:
		panic(http.ErrAbortHandler)
	case Hang:
		select {
		case <-e.hung:
		case <-r.Context().Done():
			e.mu.Lock()
			e.left++
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
	case Unfounded:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case Noise, Extra, Unframed:
		e.raw(behaviour, w, r)
		return
	case Stray:
		id = "another"
	}
	w.Header().Set("Request-Id", id)
	w.Header().Set("Server-Seal", "seal."+e.spec.ID)
	if behaviour == Err {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if r.Header.Get("Model") != "" {
		e.stream(behaviour, w, r.Header.Get("Last-Event-Id"))
		return
	}
	_, _ = io.WriteString(w, "whole answer to "+id)
}

// events returns the events after the one that the caller has.
func events(resume string) string {
	after := 0
	if _, err := fmt.Sscan(resume, &after); err != nil {
		after = 0
	}
	var all strings.Builder
	for n := after + 1; n <= streamEvents; n++ {
		fmt.Fprintf(&all, "id: %d\ndata: piece %d\n\n", n, n)
	}
	return all.String()
}

// stream sends the events after the one that the caller has.
func (e *Engine) stream(behaviour Behaviour, w http.ResponseWriter, resume string) {
	w.Header().Set("Content-Type", "text/event-stream")
	after := 0
	if _, err := fmt.Sscan(resume, &after); err != nil {
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

// raw writes bytes that net/http would not.
func (e *Engine) raw(behaviour Behaviour, w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	connection, buffered, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer connection.Close()
	body := "whole answer to " + id
	if r.Header.Get("Model") != "" {
		body = events(r.Header.Get("Last-Event-Id"))
	}
	head := "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nServer-Seal: seal." + e.spec.ID + "\r\n"
	framed := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	switch behaviour {
	case Noise:
		_, _ = buffered.WriteString("no response at all\r\n\r\n")
	case Extra:
		_, _ = buffered.WriteString(framed + framed)
	default:
		_, _ = buffered.WriteString(head + "\r\n" + body)
	}
	_ = buffered.Flush()
	if behaviour == Extra {
		// The connection stays open, so that the second response is met later.
		_, _ = connection.Read(make([]byte, 1))
	}
}
