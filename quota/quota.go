// Package quota holds the rate limits that upstreams in need name in their answers,
// and divides each among the instances.
//
// A limit is in force from the first answer that names it until shortly after one that
// doesn't, or until the upstream starts again. All instances share it: the coordinator permits
// each request (Gate); while none answers, each instance sends a small share of its
// own (Share).
//
// # Usage
//
//	book := quota.NewBook()
//	change := book.State(upstream, response.RateLimit, now)
//	if limit, ok := book.Limit(upstream, now); ok { /* ask for a permit */ }
package quota

import (
	"time"

	cardamom "cardamomcourse.example/cardamom"
)

// Limit is the rate limit of one run of an upstream.
type Limit struct {
	Upstream cardamom.UpstreamID
	// StartedMs is the start time of the run in Unix milliseconds.
	StartedMs int64
	// Ended means that the upstream names no limit any more. PerSecond is the last one.
	Ended     bool
	PerSecond float64
	// Stated is when the newest answer came that names the limit, or the first one that
	// doesn't.
	Stated time.Time
}

// ChangeKind is how a limit has changed.
type ChangeKind uint8

// The kinds of a change.
const (
	// Unchanged means that nothing new was stated.
	Unchanged ChangeKind = iota
	// Began means that an upstream without a limit names one.
	Began
	// Adjusted means that it names another limit than before.
	Adjusted
	// Ended means that it names no limit any more.
	Ended
	// Ignored means that it names, for the first time, something that is no limit.
	Ignored
)

// String returns the kind's name in logs and metrics.
func (k ChangeKind) String() string {
	switch k {
	case Began:
		return "began"
	case Adjusted:
		return "adjusted"
	case Ended:
		return "ended"
	case Ignored:
		return "ignored"
	default:
		return "unchanged"
	}
}

// Change is a change of the limit of an upstream.
type Change struct {
	Kind  ChangeKind
	Limit Limit
	// Before is the limit until now, 0 if there was none.
	Before float64
}
