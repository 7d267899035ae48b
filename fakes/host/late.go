package host

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
)

// lateKey is the context key of a connection's late response.
type lateKey struct{}

// late is an extra response that an upstream writes on a connection where the next response
// is expected. A connection has one request at a time, so no lock is needed.
type late struct {
	connection net.Conn
	response   string
}

// Repetition is how often an upstream turns requests away, and writes an answer once more
// where the next one on the connection is expected. All are shares from 0 to 1.
type Repetition struct {
	Refused  float64
	Repeated float64
	// Unnamed is the share of refusals, also repeated ones, without the request's id.
	Unnamed float64
	// Cut is the share of repeated answers that break off somewhere.
	Cut float64
	// Random draws them. It is used by this upstream alone.
	Random *rand.Rand
}

// Repeat makes the upstream repeat answers from now on. The zero value ends it.
func (u *Upstream) Repeat(repetition Repetition) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.repetition = repetition
}

// withLate keeps the late response of a connection in the context of its requests.
func withLate(ctx context.Context, connection net.Conn) context.Context {
	return context.WithValue(ctx, lateKey{}, &late{connection: connection})
}

// apply returns the behaviour for a request: the scripted one, unless there is no place for the
// request, or it is drawn to be refused or to have its answer repeated.
func (r Repetition) apply(scripted Behaviour, full bool) Behaviour {
	switch {
	case full:
		return r.drawRefusal()
	case scripted != Answer:
		return scripted
	case r.draw(r.Refused):
		return r.drawRefusal()
	case r.draw(r.Repeated):
		return AnswerLate
	default:
		return Answer
	}
}

// drawRefusal returns the behaviour for a request that is refused: whether the refusal names
// the request, and whether it comes once more.
func (r Repetition) drawRefusal() Behaviour {
	unnamed := r.draw(r.Unnamed)
	switch repeated := r.draw(r.Repeated); {
	case repeated && unnamed:
		return UnnamedLate
	case repeated:
		return FullLate
	case unnamed:
		return UnnamedFull
	default:
		return Full
	}
}

// draw returns true for a share of the calls.
func (r Repetition) draw(share float64) bool { return share > 0 && r.Random.Float64() < share }

// repeatRefusal makes the refusal of a request come once more, before the next response on its
// connection. id is the request's id in it, empty for none.
func (u *Upstream) repeatRefusal(r *http.Request, id string) {
	name := ""
	if id != "" {
		name = "Request-Id: " + id + "\r\n"
	}
	u.repeatLate(r, "HTTP/1.1 503 Service Unavailable\r\n"+name+"Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
}

// repeatAnswer makes the whole answer to a request come once more, before the next response on
// its connection.
func (u *Upstream) repeatAnswer(r *http.Request, id string) {
	body := "whole answer to " + id
	if r.Header.Get("Model") != "" {
		body = u.streamBody(r.Header.Get("Last-Event-Id"))
	}
	u.repeatLate(r, fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Seal: seal.%s\r\nContent-Length: %d\r\n\r\n%s", id, u.spec.ID, len(body), body))
}

// repeatLate makes a response, or its beginning, come before the next one on the connection.
func (u *Upstream) repeatLate(r *http.Request, response string) {
	u.mu.Lock()
	if u.repetition.draw(u.repetition.Cut) {
		response = response[:1+u.repetition.Random.IntN(len(response)-1)]
	}
	u.mu.Unlock()
	if l, ok := r.Context().Value(lateKey{}).(*late); ok {
		l.response = response
	}
}

// writeLate writes the late response of the request's connection, if there is one.
func writeLate(r *http.Request) {
	if l, ok := r.Context().Value(lateKey{}).(*late); ok && l.response != "" {
		_, _ = io.WriteString(l.connection, l.response)
		l.response = ""
	}
}
