package entry

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/emicklei/go-restful/v3"
	"go.opentelemetry.io/otel/attribute"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/admit"
	"cardamomcourse.example/cardamom/cells"
	"cardamomcourse.example/cardamom/poison"
	"cardamomcourse.example/cardamom/policy"
)

// maxTries bounds the tries of one request.
const maxTries = 4

// completion serves a chat or text completion, whole or streamed.
func (s *Server) completion(rr *restful.Request, rw *restful.Response) {
	r, w := rr.Request, rw.ResponseWriter
	req, refusal := s.readRequest(w, r, time.Now())
	if refusal != nil {
		s.finish(w, refusal)
		return
	}
	wire, refusal := parseCompletion(req.body)
	if refusal != nil {
		s.finish(w, refusal)
		return
	}
	ctx, span := s.options.Tracer.Start(s.options.Tracer.Extract(r.Context(), r.Header), "entry completion",
		attribute.String("model", wire.Model), attribute.Bool("stream", wire.Stream))
	defer span.End()
	view := s.options.Views.Load()
	model, ok := view.Model(cardamom.ModelID(wire.Model))
	if !ok {
		s.finish(w, unknownModel(view.Published, wire.Model))
		return
	}
	req.settle(model.Profile().Priority(), model.Profile().Deadline())
	ctx, cancel := context.WithDeadline(ctx, req.deadline)
	defer cancel()
	defer limitWrites(w, req.deadline)()
	cell, followed := view.Serving(model)
	if !followed && !req.forwarded {
		s.forward(ctx, w, r, req, model)
		return
	}
	if !followed {
		s.finish(w, cardamom.Refuse(cardamom.ReasonNoUpstream, "no instance here follows the model's cells").After(time.Second))
		return
	}
	s.serve(ctx, w, r, &job{request: req, model: model, cell: cell, stream: wire.Stream})
}

func unknownModel(published *policy.Published, name string) *cardamom.Refusal {
	if published == nil {
		return cardamom.Refuse(cardamom.ReasonNotReady, "no profile document yet").After(time.Second)
	}
	return cardamom.Refuse(cardamom.ReasonUnknownModel, "no model "+name)
}

// job is a completion to be served here.
type job struct {
	*request
	model  *policy.Model
	cell   cardamom.CellID
	stream bool
	avoid  cardamom.UpstreamID
	begun  bool
	deaths []string
}

// repeatable tells whether the job may be tried again after it may have run.
func (j *job) repeatable() bool {
	return j.key == "" && j.model.Profile().Idempotent() && !j.begun
}

func (s *Server) serve(ctx context.Context, w http.ResponseWriter, r *http.Request, j *job) {
	if s.options.Ledger.Verdict(j.fingerprint, j.arrived) == poison.Refused {
		s.finish(w, cardamom.Refuse(cardamom.ReasonPoison, "this request has crashed its upstreams"))
		return
	}
	grant, refusal := s.claim(ctx, w, j.request)
	if refusal != nil || grant.replayed {
		s.finish(w, refusal)
		return
	}
	whole, refusal := s.tryCompletion(ctx, w, r, j)
	s.settle(ctx, j.request, grant, refusal, whole)
	switch {
	case j.begun:
		s.count(refusal)
		finishStream(w, refusal)
	case refusal == nil:
		whole.write(w)
		s.finish(w, nil)
	default:
		s.finish(w, refusal)
	}
}

func (s *Server) count(refusal *cardamom.Refusal) {
	if refusal == nil {
		s.options.Metrics.Count(cardamom.Served, "")
		return
	}
	s.options.Metrics.Count(refusal.Outcome(), refusal.Reason())
}

// tryCompletion tries upstreams within the retry budget and the deadline.
func (s *Server) tryCompletion(ctx context.Context, w http.ResponseWriter, r *http.Request, j *job) (*answer, *cardamom.Refusal) {
	s.budget.earn()
	for try := 1; ; try++ {
		whole, refusal := s.tryOnce(ctx, w, r, j)
		if refusal == nil || try == maxTries || ctx.Err() != nil || !j.again(refusal) || !s.budget.spend() {
			return whole, refusal
		}
	}
}

// again tells whether a refused try may be followed by another.
func (j *job) again(refusal *cardamom.Refusal) bool {
	switch refusal.Reason() {
	case cardamom.ReasonNoUpstream:
		return refusal.Outcome() == cardamom.NotRun
	case cardamom.ReasonUpstreamLost:
		return j.repeatable()
	default:
		return false
	}
}

func (s *Server) tryOnce(ctx context.Context, w http.ResponseWriter, r *http.Request, j *job) (*answer, *cardamom.Refusal) {
	now := time.Now()
	verdict := s.options.Ledger.Verdict(j.fingerprint, now)
	if verdict == poison.Refused {
		return nil, cardamom.Fail(cardamom.ReasonPoison, "this request has crashed its upstreams")
	}
	queueCtx, span := s.options.Tracer.Start(ctx, "queue")
	pass, refusal := s.options.Desk.Enter(queueCtx, j.ticket(verdict == poison.Suspected), now)
	span.End()
	if refusal != nil {
		return nil, refusal
	}
	whole, refusal := s.tryUpstream(ctx, w, r, j, pass.Replica())
	result := admit.Done
	if refusal != nil {
		result = admit.Broken
		j.avoid = pass.Replica().Upstream
	}
	pass.Release(result, time.Now())
	return whole, refusal
}

func (j *job) ticket(suspect bool) admit.Ticket {
	profile := j.model.Profile()
	return admit.Ticket{
		Model: j.model.ID(), Cell: j.cell, Caller: j.caller, Priority: j.priority, Arrived: j.arrived, Deadline: j.deadline,
		Suspect: suspect, QueueLimit: profile.Queue(), CallerLimit: profile.CallerLimit(),
		Size: int64(len(j.body)), Avoid: j.avoid,
	}
}

// tryUpstream sends the request to one replica and relays the answer.
func (s *Server) tryUpstream(ctx context.Context, w http.ResponseWriter, r *http.Request, j *job, replica cells.Replica) (*answer, *cardamom.Refusal) {
	ctx, span := s.options.Tracer.Start(ctx, "try", attribute.String("upstream", string(replica.Upstream)))
	defer span.End()
	header := upstreamHeader(r, j.request, s.nextRequestID())
	s.options.Tracer.Inject(ctx, header)
	s.options.Metrics.tries.Add(1)
	result := s.sender.send(ctx, r, "http://"+replica.Address+r.URL.Path, header, j.body, !j.repeatable())
	if refusal := refused(ctx, result); refusal != nil {
		if refusal.Reason() == cardamom.ReasonUpstreamLost {
			s.blame(ctx, j, replica)
		}
		return nil, refusal
	}
	if j.stream && result.response.StatusCode == http.StatusOK {
		again := func(offset int) tried {
			resumed := header.Clone()
			resumed.Set(ResumeFromHeader, strconv.Itoa(offset))
			return s.sender.send(ctx, r, "http://"+replica.Address+r.URL.Path, resumed, j.body, true)
		}
		return nil, s.relayStream(ctx, w, j, replica, result.response, again)
	}
	body, err := readWhole(result.response)
	if err != nil {
		s.blame(ctx, j, replica)
		return nil, s.broken(ctx, err)
	}
	return &answer{status: result.response.StatusCode, header: result.response.Header, body: body}, nil
}

func (s *Server) broken(ctx context.Context, err error) *cardamom.Refusal {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return cardamom.Fail(cardamom.ReasonCallerGone, "caller went away")
	case ctx.Err() != nil:
		return cardamom.Fail(cardamom.ReasonDeadline, "deadline passed while the upstream worked")
	default:
		return lost(err)
	}
}

func (s *Server) relayStream(ctx context.Context, w http.ResponseWriter, j *job, replica cells.Replica, response *http.Response, again resumer) *cardamom.Refusal {
	first := &firstWrite{ResponseWriter: w, job: j}
	result := relayResumed(ctx, first, response, again)
	s.options.Metrics.events.Add(int64(result.events))
	switch {
	case result.whole:
		first.begin()
		return nil
	case errors.Is(result.err, errCallerGone):
		return cardamom.Fail(cardamom.ReasonCallerGone, "caller went away")
	default:
		s.blame(ctx, j, replica)
		return s.broken(ctx, result.err)
	}
}

// firstWrite sends the header of a stream with its first byte, so that a try
// that fails before it can still be followed by another.
type firstWrite struct {
	http.ResponseWriter
	job *job
}

func (f *firstWrite) begin() {
	if f.job.begun {
		return
	}
	f.job.begun = true
	f.Header().Set("Content-Type", "text/event-stream")
	f.Header().Set("Cache-Control", "no-cache")
	f.WriteHeader(http.StatusOK)
}

// Write implements io.Writer.
func (f *firstWrite) Write(data []byte) (int, error) {
	if len(data) == 0 {
		return 0, nil
	}
	f.begin()
	return f.ResponseWriter.Write(data)
}

// Unwrap lets a response controller reach the writer below.
func (f *firstWrite) Unwrap() http.ResponseWriter { return f.ResponseWriter }
