// Package relay passes callers' requests on to upstreams and their responses
// back, and decides for each request whether it is sent, waits, is sent again
// or is refused.
//
// # Usage
//
//	server := relay.New(relay.Options{...})
//	http.Serve(listener, server)
//
// A response is 503 only if the request has not run and never will; after a
// send that may have run the response is 502, or 504 at the deadline.
package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/await"
	"cardamomcourse.example/cardamom/conns"
	"cardamomcourse.example/cardamom/coord"
	"cardamomcourse.example/cardamom/demand"
	"cardamomcourse.example/cardamom/health"
	"cardamomcourse.example/cardamom/pace"
	"cardamomcourse.example/cardamom/poison"
	"cardamomcourse.example/cardamom/retry"
	"cardamomcourse.example/cardamom/site"
)

const (
	// longestRequest bounds requests whose caller and route state no time.
	longestRequest = 60 * time.Second
	// defaultBody bounds bodies in bytes before a catalog is known.
	defaultBody = 4 << 20
	// leaveWait is when callers return that reached an instance at its end;
	// they have another at once.
	leaveWait = 20 * time.Millisecond
	// soonWait is when callers return that were refused for a passing reason.
	soonWait = 400 * time.Millisecond
)

// Ask is what a request's headers say of it.
type Ask struct {
	ID      string
	Model   cardamom.ModelID
	Adapter string
	// Deadline is how long the caller waits; 0 if untold.
	Deadline     time.Duration
	PromptTokens int
	// Shared names the parts of the prompt that other requests may share.
	Shared string
	// Resume is the last event that the caller of a stream has.
	Resume string
}

// Send is what a request tells the upstream besides the caller's headers.
type Send struct {
	Upstream cardamom.UpstreamID
	Left     time.Duration
	Resume   string
	// Urgency is 0 for what an engine should start first, 9 for the last.
	Urgency int
}

// Reply is what a response's headers say of it.
type Reply struct {
	ID     string
	Signed bool
	// NotRun means that the upstream states it has not run the request.
	NotRun bool
	// Other means that the upstream does not have what the request needs.
	Other bool
}

// Dialect reads and writes the headers that callers and upstreams use.
type Dialect interface {
	Ask(header http.Header) Ask
	Forward(header http.Header, send Send) http.Header
	Reply(status int, header http.Header) Reply
	Later(header http.Header, wait time.Duration)
}

// Viewer gives the control side's newest view.
type Viewer interface {
	View() *coord.View
}

// Counts takes what becomes of requests.
type Counts interface {
	Ended(kind, outcome, reason string)
	Took(stage string, duration time.Duration)
}

// Options are what a server needs.
type Options struct {
	DataCentre cardamom.DataCentre
	Dialect    Dialect
	Views      Viewer
	Desk       *await.Desk
	Pool       *conns.Pool
	Demand     *demand.Counter
	Health     *health.Record
	Pace       *pace.Record
	Budget     *retry.Budget
	Ledger     *poison.Ledger
	Counts     Counts
	// Leaving tells whether connections are to be closed. Closing ends when no
	// further request is taken and none waits any longer.
	Leaving func() bool
	Closing context.Context
	Logger  hclog.Logger
}

// Server serves callers. It implements http.Handler.
type Server struct {
	Options
	places *places
}

// New returns a server.
func New(options Options) *Server { return &Server{Options: options, places: newPlaces()} }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	if s.Leaving() {
		w.Header().Set("Connection", "close")
	}
	x := &exchange{server: s, w: w, r: r, arrived: arrived, ask: s.Dialect.Ask(r.Header)}
	x.log = s.Logger
	if x.leaving() {
		return
	}
	view := s.Views.View()
	if view.Catalog() == nil {
		x.refuse("no_catalog", soonWait)
		return
	}
	if limit := view.Catalog().Limits().HeaderBytes; limit > 0 && headerBytes(r) > limit {
		x.fail(http.StatusRequestHeaderFieldsTooLarge, "header_too_large")
		return
	}
	route, ok := view.Catalog().Match(r.Host, rawPath(r))
	if !ok {
		x.fail(http.StatusNotFound, "no_route")
		return
	}
	if x.ask.ID == "" {
		x.fail(http.StatusBadRequest, "no_request_id")
		return
	}
	x.route, x.catalog = route, view.Catalog()
	x.service = route.Pick(xxhash.Sum64String(x.ask.ID))
	if !x.readBody() {
		return
	}
	x.run()
}

// headerBytes returns the size of a request's head about as it was sent.
func headerBytes(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	return size
}

// rawPath returns the path as it arrived.
func rawPath(r *http.Request) string {
	if !strings.HasPrefix(r.RequestURI, "/") {
		return r.URL.EscapedPath()
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	return path
}

// readBody reads the whole body, so that it can be sent again.
func (x *exchange) readBody() bool {
	if x.r.ContentLength == 0 {
		return true
	}
	limit := int64(defaultBody)
	if configured := x.catalog.Limits().BodyBytes; configured > 0 {
		limit = configured
	}
	reader := http.MaxBytesReader(x.w, x.r.Body, limit)
	if x.r.ContentLength > 0 && x.r.ContentLength <= limit {
		x.body = make([]byte, x.r.ContentLength)
		if _, err := io.ReadFull(reader, x.body); err != nil {
			x.fail(http.StatusBadRequest, "body_cut")
			return false
		}
		return true
	}
	body, err := io.ReadAll(reader)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		x.fail(http.StatusRequestEntityTooLarge, "body_too_large")
		return false
	case err != nil:
		x.fail(http.StatusBadRequest, "body_cut")
		return false
	}
	x.body = body
	return true
}

// deadline returns when the request's time is up: the caller's or the route's,
// whichever is first.
func (x *exchange) deadline() time.Time {
	limit := longestRequest
	if x.ask.Deadline > 0 {
		limit = min(limit, x.ask.Deadline)
	}
	if x.route.Timeout > 0 {
		limit = min(limit, x.route.Timeout)
	}
	return x.arrived.Add(limit)
}

// run serves a request whose route is known.
func (x *exchange) run() {
	s := x.server
	x.key = demand.Key{Service: x.service, Model: x.ask.Model}
	if x.ask.Model != "" {
		s.Demand.Arrived(x.key, x.ask.PromptTokens)
	}
	s.Budget.Earn(x.service, x.arrived)
	x.fingerprint = x.identity()
	if s.Ledger.Verdict(x.fingerprint, x.arrived) == poison.Refused {
		x.refuse("crashes_upstreams", 0)
		return
	}
	ctx, cancel := context.WithDeadline(x.r.Context(), x.deadline())
	defer cancel()
	x.ctx = ctx
	for x.attempt() {
	}
}

// identity returns what is the same each time a request is sent again.
func (x *exchange) identity() poison.Fingerprint {
	digest := xxhash.New()
	for _, part := range []string{x.r.Method, x.r.RequestURI, string(x.ask.Model), x.ask.Adapter, x.ask.Shared} {
		_, _ = digest.WriteString(part)
		_, _ = digest.WriteString("\n")
	}
	_, _ = digest.Write(x.body)
	return poison.Fingerprint(digest.Sum64())
}

// engine tells whether the request needs a model engine.
func (x *exchange) engine() (*site.Engine, bool) {
	service, ok := x.catalog.Service(x.service)
	if !ok || service.Engine == nil {
		return nil, false
	}
	return service.Engine, x.ask.Model != ""
}
