package entry

import (
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/poison"
)

// Headers of requests.
const (
	// DeadlineHeader is the time the caller waits for the response, in milliseconds.
	DeadlineHeader = "Cardamom-Deadline-Ms"
	// IdempotencyKeyHeader is a key; requests with the same key run at most once.
	IdempotencyKeyHeader = "Idempotency-Key"
	// IssueHeader repeats the issue number of the address response that the caller
	// uses. After a loss of claims, it shows which keys can't have been used before
	// the loss.
	IssueHeader = "Cardamom-Issue"
	// CallerHeader identifies the caller; the default is the host of the remote address.
	CallerHeader = "Cardamom-Caller"
	// PriorityHeader lowers the request's priority below that of the model's profile.
	PriorityHeader = "Cardamom-Priority"
	// ForwardedHeader is the ID of the instance that forwarded the request.
	ForwardedHeader = "Cardamom-Forwarded"
	// RequestIDHeader identifies an attempt to the upstream.
	RequestIDHeader = "Cardamom-Request"
	// UpstreamKeyHeader carries the caller's key to the upstream. Idempotency-Key is
	// not used, because net/http may send requests with that header twice.
	UpstreamKeyHeader = "Cardamom-Key"
)

const (
	// maxDeadline is the longest time that DeadlineHeader may give.
	maxDeadline = 24 * time.Hour
	// maxKeyBytes limits the length of a key.
	maxKeyBytes = 256
	// maxPriority is the lowest priority; 0 is the most urgent.
	maxPriority = 9
)

// request is a caller's request after validation.
type request struct {
	caller string
	// key is the idempotency key, empty if there is none.
	key string
	// issue is the value of IssueHeader, 0 if there is none.
	issue uint64
	// priority is -1 until applyProfile if the request gives none.
	priority int
	arrived  time.Time
	deadline time.Time
	// forwarded means that another instance forwarded the request to this one.
	forwarded bool
	body      []byte
	// fingerprint is a hash of the path and the body, by which requests that crash
	// upstreams and reused keys are recognised.
	fingerprint poison.Fingerprint
}

// completionWire holds the fields of a completion request that this package reads.
type completionWire struct {
	Model  string `json:"model"`
	Stream bool   `json:"stream"`
}

// readRequest reads and validates the body and the headers common to all requests.
func (s *Server) readRequest(w http.ResponseWriter, r *http.Request, now time.Time) (*request, *cardamom.Refusal) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.options.MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, cardamom.Refuse(cardamom.ReasonTooLarge, "body exceeds "+strconv.FormatInt(tooLarge.Limit, 10)+" bytes")
	}
	if err != nil {
		return nil, cardamom.Refuse(cardamom.ReasonBadRequest, "body could not be read")
	}
	req := &request{
		caller: callerOf(r), key: r.Header.Get(IdempotencyKeyHeader), arrived: now, body: body,
		forwarded: r.Header.Get(ForwardedHeader) != "", priority: -1,
	}
	if len(req.key) > maxKeyBytes {
		return nil, cardamom.Refuse(cardamom.ReasonBadRequest, IdempotencyKeyHeader+" is longer than "+strconv.Itoa(maxKeyBytes)+" bytes")
	}
	if refusal := req.readHeaders(r, now); refusal != nil {
		return nil, refusal
	}
	req.fingerprint = fingerprint(r.URL.Path, body)
	return req, nil
}

// readHeaders reads the headers with the deadline, the issue number and the priority.
func (q *request) readHeaders(httpRequest *http.Request, now time.Time) *cardamom.Refusal {
	if text := httpRequest.Header.Get(DeadlineHeader); text != "" {
		millis, err := strconv.ParseInt(text, 10, 64)
		if err != nil || millis <= 0 || millis > maxDeadline.Milliseconds() {
			return cardamom.Refuse(cardamom.ReasonBadDeadline, DeadlineHeader+" must be a whole number of milliseconds from 1 to 86400000")
		}
		q.deadline = now.Add(time.Duration(millis) * time.Millisecond)
	}
	if text := httpRequest.Header.Get(IssueHeader); text != "" {
		issue, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return cardamom.Refuse(cardamom.ReasonBadRequest, IssueHeader+" must be a whole number")
		}
		q.issue = issue
	}
	if text := httpRequest.Header.Get(PriorityHeader); text != "" {
		priority, err := strconv.Atoi(text)
		if err != nil || priority < 0 || priority > maxPriority {
			return cardamom.Refuse(cardamom.ReasonBadRequest, PriorityHeader+" must be from 0 to 9")
		}
		q.priority = priority
	}
	return nil
}

// applyProfile sets defaults from the profile. A caller may lower the priority of
// its request but not raise it above the profile's.
func (q *request) applyProfile(priority int, deadline time.Duration) {
	q.priority = max(q.priority, priority)
	if q.deadline.IsZero() {
		q.deadline = q.arrived.Add(deadline)
	}
}

func callerOf(r *http.Request) string {
	if caller := r.Header.Get(CallerHeader); caller != "" {
		return caller
	}
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

func fingerprint(path string, body []byte) poison.Fingerprint {
	digest := xxhash.New()
	_, _ = digest.WriteString(path)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.Write(body)
	return poison.Fingerprint(digest.Sum64())
}

func parseCompletion(body []byte) (completionWire, *cardamom.Refusal) {
	var wire completionWire
	if err := json.Unmarshal(body, &wire); err != nil {
		return wire, cardamom.Refuse(cardamom.ReasonBadRequest, "body is not a JSON completion request: "+err.Error())
	}
	if wire.Model == "" {
		return wire, cardamom.Refuse(cardamom.ReasonBadRequest, "body names no model")
	}
	return wire, nil
}
