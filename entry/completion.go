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

// maxAttempts limits the attempts of one request.
const maxAttempts = 4

// completion serves a chat or text completion, streamed or not.
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
	req.applyProfile(model.Profile().Priority(), model.Profile().Deadline())
	ctx, cancel := context.WithDeadline(ctx, req.deadline)
	defer cancel()
	defer limitWrites(w, req.deadline)()
	cell, followed := view.ServingCell(model)
	if !followed && !req.forwarded {
		s.forward(ctx, w, r, req, model)
		return
	}
	if !followed {
		s.finish(w, cardamom.Refuse(cardamom.ReasonNoUpstream, "this instance follows none of the model's cells").WithRetryAfter(time.Second))
		return
	}
	s.serve(ctx, w, r, &job{request: req, model: model, cell: cell, stream: wire.Stream})
}

func unknownModel(published *policy.Published, name string) *cardamom.Refusal {
	if published == nil {
		return cardamom.Refuse(cardamom.ReasonNotReady, "no profile document yet").WithRetryAfter(time.Second)
	}
	return cardamom.Refuse(cardamom.ReasonUnknownModel, "no model "+name)
}

// job is a completion request that this instance serves.
type job struct {
	*request
	model  *policy.Model
	cell   cardamom.CellID
	stream bool
	// avoid is the upstream on which the last attempt failed.
	avoid cardamom.UpstreamID
	// headerSent means that the response header was sent, so that the request can't
	// be retried.
	headerSent bool
	// deaths has the deathID of each upstream process that died while it ran the job.
	deaths []string
	// onTrial means that the job may be sent although its like is refused, by the trial that is
	// named trial.
	onTrial bool
	trial   string
}

// repeatable reports whether the job may be sent again after it may have run.
func (j *job) repeatable() bool {
	return j.key == "" && j.model.Profile().Idempotent() && !j.headerSent
}

func (s *Server) serve(ctx context.Context, w http.ResponseWriter, r *http.Request, j *job) {
	if !s.admitSuspect(j) {
		s.finish(w, cardamom.Refuse(cardamom.ReasonPoison, "this request has crashed its upstreams"))
		return
	}
	grant, refusal := s.claim(ctx, w, j.request)
	if refusal != nil || grant.replayed {
		s.finish(w, refusal)
		return
	}
	response, refusal := s.attemptCompletion(ctx, w, r, j)
	if refusal != nil && refusal.Outcome() == cardamom.NotRun {
		s.options.Ledger.Return(j.fingerprint, j.trial)
	}
	s.settle(ctx, j.request, grant, refusal, response)
	switch {
	case j.headerSent:
		s.count(refusal)
		finishStream(w, refusal)
	case refusal == nil:
		response.write(w)
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

// attemptCompletion makes attempts within the retry budget and the deadline.
func (s *Server) attemptCompletion(ctx context.Context, w http.ResponseWriter, r *http.Request, j *job) (*bufferedResponse, *cardamom.Refusal) {
	s.budget.deposit()
	for attempt := 1; ; attempt++ {
		response, refusal := s.attemptOnce(ctx, w, r, j)
		if refusal == nil || attempt == maxAttempts || ctx.Err() != nil || !j.mayRetry(refusal) || !s.budget.withdraw() {
			return response, refusal
		}
	}
}

// mayRetry reports whether another attempt may follow one that ended in the refusal.
func (j *job) mayRetry(refusal *cardamom.Refusal) bool {
	switch refusal.Reason() {
	case cardamom.ReasonNoUpstream:
		return refusal.Outcome() == cardamom.NotRun
	case cardamom.ReasonUpstreamLost:
		return j.repeatable()
	default:
		return false
	}
}

func (s *Server) attemptOnce(ctx context.Context, w http.ResponseWriter, r *http.Request, j *job) (*bufferedResponse, *cardamom.Refusal) {
	now := time.Now()
	verdict := s.options.Ledger.Verdict(j.fingerprint, now)
	if verdict == poison.Refused && !j.onTrial {
		return nil, cardamom.Fail(cardamom.ReasonPoison, "this request has crashed its upstreams")
	}
	queueCtx, span := s.options.Tracer.Start(ctx, "queue")
	permit, refusal := s.options.Admission.Acquire(queueCtx, j.admissionRequest(verdict != poison.Clean), now)
	span.End()
	if refusal != nil {
		return nil, refusal
	}
	response, refusal := s.sendToReplica(ctx, w, r, j, permit.Replica())
	j.onTrial = false
	result := admit.Done
	if refusal != nil {
		result = admit.Failed
		j.avoid = permit.Replica().Upstream
	}
	permit.Release(result, time.Now())
	return response, refusal
}

func (j *job) admissionRequest(suspected bool) admit.Request {
	profile := j.model.Profile()
	return admit.Request{
		Model: j.model.ID(), Cell: j.cell, Caller: j.caller, Priority: j.priority, Arrived: j.arrived, Deadline: j.deadline,
		Suspected: suspected, QueueLimit: profile.QueueLimit(), CallerLimit: profile.CallerLimit(),
		Size: int64(len(j.body)), Avoid: j.avoid,
	}
}

// sendToReplica sends the request to one replica. It relays a stream and returns
// any other response.
func (s *Server) sendToReplica(ctx context.Context, w http.ResponseWriter, r *http.Request, j *job, replica cells.Replica) (*bufferedResponse, *cardamom.Refusal) {
	ctx, span := s.options.Tracer.Start(ctx, "try", attribute.String("upstream", string(replica.Upstream)))
	defer span.End()
	header := upstreamHeader(r, j.request, s.nextRequestID())
	s.options.Tracer.Inject(ctx, header)
	s.options.Metrics.attempts.Add(1)
	result := s.sender.send(ctx, r, "http://"+replica.Address+r.URL.Path, header, j.body, !j.repeatable())
	if refusal := refusalOf(ctx, result); refusal != nil {
		if refusal.Reason() == cardamom.ReasonUpstreamLost {
			s.recordDeath(ctx, j, replica)
		}
		return nil, refusal
	}
	if j.stream && result.response.StatusCode == http.StatusOK {
		resume := func(offset int) attemptResult {
			resumed := header.Clone()
			resumed.Set(ResumeFromHeader, strconv.Itoa(offset))
			return s.sender.send(ctx, r, "http://"+replica.Address+r.URL.Path, resumed, j.body, true)
		}
		return nil, s.relayStream(ctx, w, j, replica, result.response, resume)
	}
	body, err := readCompletion(result.response)
	if err != nil {
		s.recordDeath(ctx, j, replica)
		return nil, s.responseFailure(ctx, err)
	}
	s.recordSurvival(j)
	return &bufferedResponse{status: result.response.StatusCode, header: result.response.Header, body: body}, nil
}

// responseFailure returns the refusal for a response that broke off.
func (s *Server) responseFailure(ctx context.Context, err error) *cardamom.Refusal {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return cardamom.Fail(cardamom.ReasonCallerGone, "caller disconnected")
	case ctx.Err() != nil:
		return cardamom.Fail(cardamom.ReasonDeadline, "deadline passed while the upstream was processing the request")
	default:
		return upstreamLost(err)
	}
}

func (s *Server) relayStream(ctx context.Context, w http.ResponseWriter, j *job, replica cells.Replica, response *http.Response, resume resumer) *cardamom.Refusal {
	lazy := &lazyHeaderWriter{ResponseWriter: w, job: j, began: func() { s.recordSurvival(j) }}
	result := relayResumed(ctx, lazy, response, resume)
	s.options.Metrics.events.Add(int64(result.events))
	switch {
	case result.complete:
		lazy.sendHeader()
		return nil
	case errors.Is(result.err, errCallerGone):
		return cardamom.Fail(cardamom.ReasonCallerGone, "caller disconnected")
	default:
		if result.events == 0 {
			// A request that got events has survived what would crash the upstream.
			s.recordDeath(ctx, j, replica)
		}
		return s.responseFailure(ctx, result.err)
	}
}

// lazyHeaderWriter sends the response header together with the first byte of a
// stream, so that a retry is possible if an attempt fails before that byte.
type lazyHeaderWriter struct {
	http.ResponseWriter
	job *job
	// began is called before the header is sent.
	began func()
}

func (l *lazyHeaderWriter) sendHeader() {
	if l.job.headerSent {
		return
	}
	l.began()
	l.job.headerSent = true
	l.Header().Set("Content-Type", "text/event-stream")
	l.Header().Set("Cache-Control", "no-cache")
	l.WriteHeader(http.StatusOK)
}

// Write implements io.Writer.
func (l *lazyHeaderWriter) Write(data []byte) (int, error) {
	if len(data) == 0 {
		return 0, nil
	}
	l.sendHeader()
	return l.ResponseWriter.Write(data)
}

// Unwrap returns the wrapped writer, for http.ResponseController.
func (l *lazyHeaderWriter) Unwrap() http.ResponseWriter { return l.ResponseWriter }
