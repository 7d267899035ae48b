package cardamom

import "time"

// Reason is the machine-readable cause of a refusal or failure.
type Reason string

// The reasons that are sent to callers.
const (
	ReasonBadRequest        Reason = "bad-request"
	ReasonUnknownModel      Reason = "unknown-model"
	ReasonUnknownPath       Reason = "unknown-path"
	ReasonBadMethod         Reason = "bad-method"
	ReasonTooLarge          Reason = "too-large"
	ReasonBadDeadline       Reason = "bad-deadline"
	ReasonOverload          Reason = "overload"
	ReasonDeadline          Reason = "deadline"
	ReasonNoUpstream        Reason = "no-upstream"
	ReasonNotReady          Reason = "not-ready"
	ReasonPoison            Reason = "poison"
	ReasonUpstreamLost      Reason = "upstream-lost"
	ReasonAlreadyRan        Reason = "already-ran"
	ReasonInProgress        Reason = "in-progress"
	ReasonKeyReuse          Reason = "key-reuse"
	ReasonClaimsUnavailable Reason = "claims-unavailable"
	ReasonClaimsLost        Reason = "claims-lost"
	ReasonLeaving           Reason = "leaving"
	ReasonCallerGone        Reason = "caller-gone"
	ReasonQueueFull         Reason = "queue-full"
	ReasonCallerLimit       Reason = "caller-limit"
	ReasonUpstreamError     Reason = "upstream-error"
)

// Refusal is the error of a request that was not served completely: it was
// refused (NotRun) or failed (MayHaveRun).
type Refusal struct {
	outcome    Outcome
	reason     Reason
	detail     string
	retryAfter time.Duration
}

// Refuse returns a refusal of a request that was not run.
func Refuse(reason Reason, detail string) *Refusal {
	return &Refusal{outcome: NotRun, reason: reason, detail: detail}
}

// Fail returns the failure of a request that ran or may have run.
func Fail(reason Reason, detail string) *Refusal {
	return &Refusal{outcome: MayHaveRun, reason: reason, detail: detail}
}

// WithRetryAfter returns a copy of r with a retry delay.
func (r *Refusal) WithRetryAfter(wait time.Duration) *Refusal {
	next := *r
	next.retryAfter = wait
	return &next
}

// Error returns the reason and the detail.
func (r *Refusal) Error() string { return string(r.reason) + ": " + r.detail }

// Outcome returns NotRun or MayHaveRun.
func (r *Refusal) Outcome() Outcome { return r.outcome }

// Reason returns the machine-readable cause.
func (r *Refusal) Reason() Reason { return r.reason }

// Detail returns the explanation for human readers.
func (r *Refusal) Detail() string { return r.detail }

// RetryAfter returns the retry delay, 0 if it is not known.
func (r *Refusal) RetryAfter() time.Duration { return r.retryAfter }
