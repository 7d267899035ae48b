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
	// DeadlineHeader gives the time the caller waits, in milliseconds.
	DeadlineHeader = "Cardamom-Deadline-Ms"
	// KeyHeader makes the request run at most once.
	KeyHeader = "Idempotency-Key"
	// IssueHeader repeats the issue number of the address answer.
	IssueHeader = "Cardamom-Issue"
	// CallerHeader names the caller; without it the remote address does.
	CallerHeader = "Cardamom-Caller"
	// PriorityHeader lowers the priority of the model's profile.
	PriorityHeader = "Cardamom-Priority"
	// ForwardedHeader marks a request that another instance has passed on.
	ForwardedHeader = "Cardamom-Forwarded"
	// RequestHeader identifies a try to the upstream.
	RequestHeader = "Cardamom-Request"
	// UpstreamKeyHeader carries the caller's key to the upstream. The header of
	// callers is not used, as HTTP clients repeat requests that carry it.
	UpstreamKeyHeader = "Cardamom-Key"
)

const (
	// maxDeadline is the longest time a caller may ask for.
	maxDeadline = 24 * time.Hour
	// maxKey is the greatest length of a key in bytes.
	maxKey = 256
	// maxPriority is the most patient priority.
	maxPriority = 9
)

// request is a caller's request as read and checked.
type request struct {
	caller      string
	key         string
	issue       uint64
	priority    int
	arrived     time.Time
	deadline    time.Time
	forwarded   bool
	body        []byte
	fingerprint poison.Fingerprint
}

// completionWire is the part of a completion request that is looked at.
type completionWire struct {
	Model  string `json:"model"`
	Stream bool   `json:"stream"`
}

// readRequest reads and checks what all requests have in common.
func (s *Server) readRequest(w http.ResponseWriter, r *http.Request, now time.Time) (*request, *cardamom.Refusal) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.options.MaxBody))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, cardamom.Refuse(cardamom.ReasonTooLarge, "body exceeds "+strconv.FormatInt(tooLarge.Limit, 10)+" bytes")
	}
	if err != nil {
		return nil, cardamom.Refuse(cardamom.ReasonBadRequest, "body could not be read")
	}
	req := &request{
		caller: callerOf(r), key: r.Header.Get(KeyHeader), arrived: now, body: body,
		forwarded: r.Header.Get(ForwardedHeader) != "", priority: -1,
	}
	if len(req.key) > maxKey {
		return nil, cardamom.Refuse(cardamom.ReasonBadRequest, KeyHeader+" is longer than "+strconv.Itoa(maxKey)+" bytes")
	}
	if refusal := req.readNumbers(r, now); refusal != nil {
		return nil, refusal
	}
	req.fingerprint = fingerprint(r.URL.Path, body)
	return req, nil
}

func (q *request) readNumbers(r *http.Request, now time.Time) *cardamom.Refusal {
	if text := r.Header.Get(DeadlineHeader); text != "" {
		millis, err := strconv.ParseInt(text, 10, 64)
		if err != nil || millis <= 0 || millis > maxDeadline.Milliseconds() {
			return cardamom.Refuse(cardamom.ReasonBadDeadline, DeadlineHeader+" must be a whole number of milliseconds from 1 to 86400000")
		}
		q.deadline = now.Add(time.Duration(millis) * time.Millisecond)
	}
	if text := r.Header.Get(IssueHeader); text != "" {
		issue, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return cardamom.Refuse(cardamom.ReasonBadRequest, IssueHeader+" must be a whole number")
		}
		q.issue = issue
	}
	if text := r.Header.Get(PriorityHeader); text != "" {
		priority, err := strconv.Atoi(text)
		if err != nil || priority < 0 || priority > maxPriority {
			return cardamom.Refuse(cardamom.ReasonBadRequest, PriorityHeader+" must be from 0 to 9")
		}
		q.priority = priority
	}
	return nil
}

// settle fills what the caller left open from the profile. A caller may lower
// its priority but not raise it above the profile's.
func (q *request) settle(priority int, deadline time.Duration) {
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
