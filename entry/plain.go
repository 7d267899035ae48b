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

// plainDesk counts this instance's calls in progress at plain upstreams.
type plainDesk struct {
	mu       sync.Mutex
	inflight map[cardamom.UpstreamID]int
}

func newPlainDesk() *plainDesk {
	return &plainDesk{inflight: make(map[cardamom.UpstreamID]int)}
}

// take picks the less busy of two upstreams drawn at random, one that has not
// failed this call before any that has.
func (d *plainDesk) take(upstreams []cardamom.Upstream, failed map[cardamom.UpstreamID]bool) (cardamom.Upstream, bool) {
	var fresh []cardamom.Upstream
	for _, upstream := range upstreams {
		if !failed[upstream.ID] {
			fresh = append(fresh, upstream)
		}
	}
	if len(fresh) == 0 {
		return cardamom.Upstream{}, false
	}
	first := fresh[rand.IntN(len(fresh))]
	second := fresh[rand.IntN(len(fresh))]
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.inflight[second.ID] < d.inflight[first.ID] {
		first = second
	}
	d.inflight[first.ID]++
	return first, true
}

func (d *plainDesk) release(id cardamom.UpstreamID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inflight[id]--
	if d.inflight[id] <= 0 {
		delete(d.inflight, id)
	}
}

// plainCall routes a call to a plain service. A call that is not safe runs at
// most once: with a key it is claimed, without one it gets a single try.
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
	req.settle(service.Profile().Priority(), service.Profile().Deadline())
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
	answer, refusal := s.tryPlain(ctx, r, req, view.Plain[service.ID()], path, safe)
	s.settle(ctx, req, grant, refusal, answer)
	if refusal == nil {
		answer.write(w)
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

// answer is a whole answer of an upstream.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// write sends the answer to the caller with the outcome served.
func (a *answer) write(w http.ResponseWriter) {
	for _, name := range []string{"Content-Type", "Location", "Etag", "Cache-Control"} {
		if value := a.header.Get(name); value != "" {
			w.Header().Set(name, value)
		}
	}
	w.Header().Set(cardamom.OutcomeHeader, cardamom.Served.String())
	w.WriteHeader(a.status)
	_, _ = w.Write(a.body)
}

// tryPlain tries upstreams until one answers. After a try that may have run
// only a safe call is tried again.
func (s *Server) tryPlain(ctx context.Context, r *http.Request, req *request, upstreams []cardamom.Upstream, path string, safe bool) (*answer, *cardamom.Refusal) {
	failed := make(map[cardamom.UpstreamID]bool)
	s.budget.earn()
	refusal := cardamom.Refuse(cardamom.ReasonNoUpstream, "no live upstream of the service").After(time.Second)
	for {
		upstream, ok := s.plain.take(upstreams, failed)
		if !ok {
			return nil, refusal
		}
		if len(failed) > 0 && !s.budget.spend() {
			s.plain.release(upstream.ID)
			return nil, refusal
		}
		result, tryRefusal := s.plainTry(ctx, r, req, upstream, path, !safe)
		s.plain.release(upstream.ID)
		if tryRefusal == nil {
			return result, nil
		}
		refusal = tryRefusal
		if refusal.Outcome() != cardamom.NotRun && !safe || ctx.Err() != nil {
			return nil, refusal
		}
		failed[upstream.ID] = true
	}
}

func (s *Server) plainTry(ctx context.Context, r *http.Request, req *request, upstream cardamom.Upstream, path string, unique bool) (*answer, *cardamom.Refusal) {
	ctx, span := s.options.Tracer.Start(ctx, "try "+string(upstream.ID))
	defer span.End()
	header := upstreamHeader(r, req, s.nextRequestID())
	s.options.Tracer.Inject(ctx, header)
	s.options.Metrics.tries.Add(1)
	url := "http://" + upstream.Address + path
	if r.URL.RawQuery != "" {
		url += "?" + r.URL.RawQuery
	}
	result := s.sender.send(ctx, r, url, header, req.body, unique)
	if refusal := refused(ctx, result); refusal != nil {
		return nil, refusal
	}
	body, err := readWhole(result.response)
	if err != nil {
		return nil, lost(err)
	}
	return &answer{status: result.response.StatusCode, header: result.response.Header, body: body}, nil
}

// refused turns a try that gave no answer into a refusal.
func refused(ctx context.Context, result tried) *cardamom.Refusal {
	switch {
	case result.err == nil && !result.notRun():
		return nil
	case result.err == nil:
		drop(result.response)
		return cardamom.Refuse(cardamom.ReasonNoUpstream, "upstream did not take the request").After(time.Second)
	case !result.sent:
		return cardamom.Refuse(cardamom.ReasonNoUpstream, "upstream can't be reached").After(time.Second)
	case errors.Is(ctx.Err(), context.Canceled):
		return cardamom.Fail(cardamom.ReasonCallerGone, "caller went away")
	case ctx.Err() != nil:
		return cardamom.Fail(cardamom.ReasonDeadline, "deadline passed while the upstream worked")
	default:
		return lost(result.err)
	}
}
