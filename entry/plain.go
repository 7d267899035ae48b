package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/emicklei/go-restful/v3"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/policy"
)

// plainBalancer spreads calls over plain upstreams by the number of this instance's
// calls in flight at each.
type plainBalancer struct {
	mu       sync.Mutex
	inFlight map[cardamom.UpstreamID]int
}

func newPlainBalancer() *plainBalancer {
	return &plainBalancer{inFlight: make(map[cardamom.UpstreamID]int)}
}

// acquire picks two upstreams at random among those on which the call has not
// failed yet, and returns the one with fewer calls in flight.
func (b *plainBalancer) acquire(upstreams []cardamom.Upstream, failed map[cardamom.UpstreamID]bool) (cardamom.Upstream, bool) {
	var untried []cardamom.Upstream
	for _, upstream := range upstreams {
		if !failed[upstream.ID] {
			untried = append(untried, upstream)
		}
	}
	if len(untried) == 0 {
		return cardamom.Upstream{}, false
	}
	first := untried[rand.IntN(len(untried))]
	second := untried[rand.IntN(len(untried))]
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.inFlight[second.ID] < b.inFlight[first.ID] {
		first = second
	}
	b.inFlight[first.ID]++
	return first, true
}

func (b *plainBalancer) release(id cardamom.UpstreamID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inFlight[id]--
	if b.inFlight[id] <= 0 {
		delete(b.inFlight, id)
	}
}

// plainCall routes a call to a plain service. A call that is not safe runs at
// most once: if it has a key, the key is claimed, and after an attempt that may
// have run it is not sent again.
func (s *Server) plainCall(rr *restful.Request, rw *restful.Response) {
	r, w := rr.Request, rw.ResponseWriter
	now := time.Now()
	req, refusal := s.readRequest(w, r, now)
	if refusal != nil {
		s.finish(w, refusal)
		return
	}
	ctx, span := s.options.Tracer.Start(s.options.Tracer.Extract(r.Context(), r.Header), "entry plain")
	defer span.End()
	view := s.options.Views.Load()
	service, refusal := plainService(view.Published, cardamom.ServiceID(rr.PathParameter("service")))
	if refusal != nil {
		s.finish(w, refusal)
		return
	}
	req.applyProfile(service.Profile().Priority(), service.Profile().Deadline())
	ctx, cancel := context.WithDeadline(ctx, req.deadline)
	defer cancel()
	defer limitWrites(w, req.deadline)()
	safe := r.Method == http.MethodGet || r.Method == http.MethodHead
	grant, refusal := s.claim(ctx, w, req)
	if refusal != nil || grant.replayed {
		s.finish(w, refusal)
		return
	}
	path := "/" + rr.PathParameter("path")
	response, refusal := s.attemptPlain(ctx, r, req, view.Plain[service.ID()], path, safe)
	s.settle(ctx, req, grant, refusal, response)
	if refusal == nil {
		response.write(w)
	}
	s.finish(w, refusal)
}

func plainService(published *policy.Published, id cardamom.ServiceID) (*policy.Service, *cardamom.Refusal) {
	if published == nil {
		return nil, cardamom.Refuse(cardamom.ReasonNotReady, "no profile document yet")
	}
	service, ok := published.Document().Service(id)
	if !ok || service.Kind() != policy.KindPlain {
		return nil, cardamom.Refuse(cardamom.ReasonUnknownPath, "no plain service "+string(id))
	}
	return service, nil
}

// bufferedResponse is an upstream's response that was read whole.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// write sends the response to the caller with the outcome served.
func (r *bufferedResponse) write(w http.ResponseWriter) {
	for _, name := range []string{"Content-Type", "Location", "Etag", "Cache-Control"} {
		if value := r.header.Get(name); value != "" {
			w.Header().Set(name, value)
		}
	}
	w.Header().Set(cardamom.OutcomeHeader, cardamom.Served.String())
	w.WriteHeader(r.status)
	_, _ = w.Write(r.body)
}

// attemptPlain sends the call to one upstream after another until one responds.
// After an attempt that may have run, only a safe call is sent again.
func (s *Server) attemptPlain(ctx context.Context, r *http.Request, req *request, upstreams []cardamom.Upstream, path string, safe bool) (*bufferedResponse, *cardamom.Refusal) {
	failed := make(map[cardamom.UpstreamID]bool)
	s.budget.deposit()
	refusal := cardamom.Refuse(cardamom.ReasonNoUpstream, "no live upstream of the service").WithRetryAfter(time.Second)
	for {
		upstream, ok := s.balancer.acquire(upstreams, failed)
		if !ok {
			return nil, refusal
		}
		if len(failed) > 0 && !s.budget.withdraw() {
			s.balancer.release(upstream.ID)
			return nil, refusal
		}
		result, attemptRefusal := s.sendToPlain(ctx, r, req, upstream, path, !safe)
		s.balancer.release(upstream.ID)
		if attemptRefusal == nil {
			return result, nil
		}
		refusal = attemptRefusal
		if refusal.Outcome() != cardamom.NotRun && !safe || ctx.Err() != nil {
			return nil, refusal
		}
		failed[upstream.ID] = true
	}
}

func (s *Server) sendToPlain(ctx context.Context, r *http.Request, req *request, upstream cardamom.Upstream, path string, nonRepeatable bool) (*bufferedResponse, *cardamom.Refusal) {
	ctx, span := s.options.Tracer.Start(ctx, "try "+string(upstream.ID))
	defer span.End()
	header := upstreamHeader(r, req, s.nextRequestID())
	s.options.Tracer.Inject(ctx, header)
	s.options.Metrics.attempts.Add(1)
	url := "http://" + upstream.Address + path
	if r.URL.RawQuery != "" {
		url += "?" + r.URL.RawQuery
	}
	result := s.sender.send(ctx, r, url, header, req.body, nonRepeatable)
	if refusal := refusalOf(ctx, result); refusal != nil {
		return nil, refusal
	}
	body, err := readBody(result.response)
	if err != nil {
		return nil, upstreamLost(err)
	}
	return &bufferedResponse{status: result.response.StatusCode, header: result.response.Header, body: body}, nil
}

// refusalOf returns the refusal for an attempt that failed or that the upstream
// did not run, nil for an attempt with a response.
func refusalOf(ctx context.Context, result attemptResult) *cardamom.Refusal {
	switch {
	case result.err == nil && !result.notRun():
		return nil
	case result.err == nil:
		closeBody(result.response)
		return cardamom.Refuse(cardamom.ReasonNoUpstream, "upstream did not start the request").WithRetryAfter(time.Second)
	case !result.sent:
		return cardamom.Refuse(cardamom.ReasonNoUpstream, "upstream can't be reached").WithRetryAfter(time.Second)
	case errors.Is(ctx.Err(), context.Canceled):
		return cardamom.Fail(cardamom.ReasonCallerGone, "caller disconnected")
	case ctx.Err() != nil:
		return cardamom.Fail(cardamom.ReasonDeadline, "deadline passed while the upstream was processing the request")
	default:
		return upstreamLost(result.err)
	}
}
