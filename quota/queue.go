package quota

import (
	"cmp"
	"maps"
	"slices"
	"time"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/site"
)

const (
	// minRetryAfter and maxRetryAfter bound the Retry-After of requests that a limit
	// refuses.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 10 * time.Second
)

// RetryAfter returns when a request that would wait so long for a permit may come back.
func RetryAfter(wait time.Duration) time.Duration {
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// Run is one run of an upstream.
type Run struct {
	Upstream  cardamom.UpstreamID
	StartedMs int64
}

// Permit is the answer to a call for a permit.
type Permit struct {
	Granted bool
	// Wait is the expected time until a permit if none is granted.
	Wait time.Duration
}

// Call is a pending call for a permit.
type Call struct {
	Waiting
	// Until is when the call is answered in any case.
	Until time.Time
	// Answer is called once.
	Answer func(Permit)
}

// Queue has the calls for permits that wait at the coordinator. It is not safe for
// concurrent use.
type Queue struct {
	limits *Book
	gate   *Gate
	calls  map[Run][]*Call
}

// NewQueue returns a queue without calls or permits, under the limits of a book.
func NewQueue(limits *Book) *Queue {
	return &Queue{limits: limits, gate: NewGate(), calls: make(map[Run][]*Call)}
}

// Ask answers a call at once if there is a permit, none is needed or the request would
// wait longer than it can, and keeps it waiting else.
func (q *Queue) Ask(run Run, c *Call, remaining time.Duration, now time.Time) {
	limit, ok := q.limit(run, now)
	if !ok {
		c.Answer(Permit{Granted: true})
		return
	}
	if wait := q.gate.Wait(limit, Ahead(q.waiting(run), c.Waiting), now); wait > remaining {
		c.Answer(Permit{Wait: wait})
		return
	}
	q.calls[run] = append(q.calls[run], c)
	q.grant(run, now)
}

// Step grants the permits that there are and answers the calls whose time is up. It
// reports whether any are still waiting.
func (q *Queue) Step(now time.Time) bool {
	for _, run := range slices.SortedFunc(maps.Keys(q.calls), Run.compare) {
		q.grant(run, now)
		limit, _ := q.limit(run, now)
		var left []*Call
		for _, c := range q.calls[run] {
			if now.Before(c.Until) {
				left = append(left, c)
				continue
			}
			c.Answer(Permit{Wait: q.gate.Wait(limit, len(left), now)})
		}
		q.calls[run] = left
		if len(left) == 0 {
			delete(q.calls, run)
		}
	}
	return len(q.calls) > 0
}

// Withdraw removes a call without an answer.
func (q *Queue) Withdraw(run Run, c *Call) {
	q.calls[run] = slices.DeleteFunc(q.calls[run], func(other *Call) bool { return other == c })
}

// Calls returns all calls that wait.
func (q *Queue) Calls() []*Call {
	var all []*Call
	for _, calls := range q.calls {
		all = append(all, calls...)
	}
	return all
}

// Keep drops the permits for all upstreams but those with a limit.
func (q *Queue) Keep(limited func(id cardamom.UpstreamID) bool) { q.gate.Keep(limited) }

// limit returns the limit in force for a run, also of an upstream that only the instance
// that asks has listed.
func (q *Queue) limit(run Run, now time.Time) (Limit, bool) {
	return q.limits.Limit(&site.Upstream{Upstream: cardamom.Upstream{ID: run.Upstream}, StartedMs: run.StartedMs}, now)
}

func (q *Queue) waiting(run Run) []Waiting {
	waiting := make([]Waiting, 0, len(q.calls[run]))
	for _, c := range q.calls[run] {
		waiting = append(waiting, c.Waiting)
	}
	return waiting
}

// grant grants the permits for a run that there are; all calls, if it has no limit any
// more.
func (q *Queue) grant(run Run, now time.Time) {
	for len(q.calls[run]) > 0 {
		limit, ok := q.limit(run, now)
		next := 0
		if ok {
			granted, oldest := q.gate.Grant(limit, now)
			if !granted {
				return
			}
			next = Next(q.waiting(run), oldest)
		}
		q.calls[run][next].Answer(Permit{Granted: true})
		q.calls[run] = slices.Delete(q.calls[run], next, next+1)
	}
}

func (r Run) compare(other Run) int {
	return cmp.Or(cmp.Compare(r.Upstream, other.Upstream), cmp.Compare(r.StartedMs, other.StartedMs))
}
