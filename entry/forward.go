package entry

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"go.opentelemetry.io/otel/attribute"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/policy"
)

// forward sends a request to an instance that follows the model's cell. A request
// is forwarded at most once.
func (s *Server) forward(ctx context.Context, w http.ResponseWriter, r *http.Request, req *request, model *policy.Model) {
	member, ok := s.options.Views.Load().ForwardTarget(model)
	if !ok {
		s.finish(w, cardamom.Refuse(cardamom.ReasonNoUpstream, "no other instance follows the model's cells").WithRetryAfter(time.Second))
		return
	}
	ctx, span := s.options.Tracer.Start(ctx, "forward", attribute.String("instance", string(member.Instance().ID)))
	defer span.End()
	header := s.forwardHeader(ctx, r, req)
	url := "http://" + member.Instance().CallerAddress + r.URL.Path
	result := s.sender.send(ctx, r, url, header, req.body, req.key != "")
	if refusal := refusalOf(ctx, result); refusal != nil {
		s.finish(w, refusal)
		return
	}
	defer result.response.Body.Close()
	s.relayForwarded(ctx, w, result.response)
}

func (s *Server) forwardHeader(ctx context.Context, r *http.Request, req *request) http.Header {
	header := make(http.Header, 8)
	for _, name := range []string{"Content-Type", "Accept", "Authorization", IdempotencyKeyHeader, IssueHeader, PriorityHeader} {
		if value := r.Header.Get(name); value != "" {
			header.Set(name, value)
		}
	}
	header.Set(ForwardedHeader, string(s.options.Self.ID))
	header.Set(CallerHeader, req.caller)
	remaining := max(time.Until(req.deadline).Milliseconds(), 1)
	header.Set(DeadlineHeader, strconv.FormatInt(remaining, 10))
	s.options.Tracer.Inject(ctx, header)
	return header
}

// relayForwarded relays the other instance's response. A stream that breaks off
// without an outcome event ends with the outcome may-have-run.
func (s *Server) relayForwarded(ctx context.Context, w http.ResponseWriter, response *http.Response) {
	if response.Header.Get("Content-Type") == "text/event-stream" {
		s.relayForwardedStream(ctx, w, response)
		return
	}
	body, err := readBody(response)
	if err != nil {
		s.finish(w, s.responseFailure(ctx, err))
		return
	}
	for _, name := range []string{"Content-Type", "Retry-After", "Idempotent-Replayed", cardamom.OutcomeHeader} {
		if value := response.Header.Get(name); value != "" {
			w.Header().Set(name, value)
		}
	}
	s.options.Metrics.Count(cardamom.ParseOutcome(response.Header.Get(cardamom.OutcomeHeader)), "")
	w.WriteHeader(response.StatusCode)
	_, _ = w.Write(body)
}

func (s *Server) relayForwardedStream(ctx context.Context, w http.ResponseWriter, response *http.Response) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-cache")
	w.WriteHeader(http.StatusOK)
	detector := &outcomeDetector{ResponseWriter: w}
	result := relay(detector, response.Body)
	switch {
	case result.complete:
		s.options.Metrics.Count(cardamom.Served, "")
		_, _ = io.WriteString(w, string(doneEvent)+"\n\n")
		_ = http.NewResponseController(w).Flush()
	case detector.seen:
		s.options.Metrics.Count(cardamom.MayHaveRun, cardamom.ReasonUpstreamLost)
	default:
		refusal := s.responseFailure(ctx, result.err)
		s.count(refusal)
		finishStream(w, refusal)
	}
}

// outcomeDetector records whether an outcome event was written.
type outcomeDetector struct {
	http.ResponseWriter
	seen bool
}

// Write implements io.Writer.
func (d *outcomeDetector) Write(data []byte) (int, error) {
	d.seen = d.seen || containsOutcome(data)
	return d.ResponseWriter.Write(data)
}

// Unwrap returns the wrapped writer, for http.ResponseController.
func (d *outcomeDetector) Unwrap() http.ResponseWriter { return d.ResponseWriter }
