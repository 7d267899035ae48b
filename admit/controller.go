// Package admit is the admission control of one instance: it refuses at once
// requests that can't finish within their deadline, queues the rest by priority
// and age, and assigns each to a replica with a free slot. A replica is a model
// that an engine, a model server, has loaded. A cell is a set of engines whose loads
// one instance, the cell's holder, plans.
//
// # Usage
//
//	controller := admit.New(admit.Deadline(), 64<<20, notify)
//	permit, refusal := controller.Acquire(ctx, request, now)
//	if refusal == nil {
//		send(permit.Replica())
//		permit.Release(admit.Done, time.Now())
//	}
package admit

import (
	"context"
	"errors"
	"sync"
	"time"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/cells"
)

const (
	// priorityDelay is added to a request's arrival time for each level of priority
	// below the highest. A request of the lowest priority, 9, is overtaken only
	// by those that arrive within nine times this delay.
	priorityDelay = 5 * time.Second
	// sweepMargin is the least remaining time of a waiting request, as a multiple
	// of the model's average service time.
	sweepMargin = 1.1
	// maxRetryAfter bounds the retry delay of a refusal.
	maxRetryAfter = 30 * time.Second
)

// DemandFunc is called with a model's cell when the model's queue is no longer
// empty, so that the cell's holder learns of the demand before the next report.
type DemandFunc func(cell cardamom.CellID)

// Controller is the admission controller of one instance. It is safe for concurrent use.
type Controller struct {
	mu           sync.Mutex
	queues       map[cardamom.ModelID]*queue
	cells        map[cardamom.ModelID]cardamom.CellID
	windows      map[cardamom.UpstreamID]*window
	inFlight     map[cells.ReplicaKey]int
	callers      map[string]int
	notifyDemand DemandFunc
	policy       Policy
	// bytes is the total size of the requests that wait or run.
	bytes    int64
	maxBytes int64
}

// New returns an admission controller with empty queues whose waiting and
// running requests have at most maxBytes.
func New(policy Policy, maxBytes int64, notifyDemand DemandFunc) *Controller {
	return &Controller{
		maxBytes:     maxBytes,
		policy:       policy,
		queues:       make(map[cardamom.ModelID]*queue),
		cells:        make(map[cardamom.ModelID]cardamom.CellID),
		windows:      make(map[cardamom.UpstreamID]*window),
		inFlight:     make(map[cells.ReplicaKey]int),
		callers:      make(map[string]int),
		notifyDemand: notifyDemand,
	}
}

// Acquire waits until the request may be sent to a replica. It refuses the request
// at once if it can't finish in time, and while it waits once it no longer can.
func (c *Controller) Acquire(ctx context.Context, request Request, now time.Time) (*Permit, *cardamom.Refusal) {
	w, refusal := c.enqueue(request, now)
	if refusal != nil {
		return nil, refusal
	}
	timer := time.NewTimer(request.Deadline.Sub(now))
	defer timer.Stop()
	select {
	case result := <-w.result:
		return c.permit(w, result)
	case <-ctx.Done():
		refusal = waitRefusal(ctx)
	case <-timer.C:
		refusal = waitRefusal(ctx)
	}
	if !c.abandon(w) {
		return c.permit(w, <-w.result)
	}
	return nil, refusal
}

// waitRefusal returns the refusal for a wait that ctx or the deadline ended.
func waitRefusal(ctx context.Context) *cardamom.Refusal {
	if errors.Is(ctx.Err(), context.Canceled) {
		return cardamom.Refuse(cardamom.ReasonCallerGone, "caller disconnected while the request was queued")
	}
	return cardamom.Refuse(cardamom.ReasonDeadline, "deadline passed while the request was queued")
}

func (c *Controller) permit(w *waiter, result waitResult) (*Permit, *cardamom.Refusal) {
	if result.refusal != nil {
		return nil, result.refusal
	}
	return &Permit{controller: c, request: w.request, replica: result.replica, started: time.Now()}, nil
}

// enqueue adds the request to its model's queue or refuses it.
func (c *Controller) enqueue(request Request, now time.Time) (*waiter, *cardamom.Refusal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	q := c.queue(request.Model)
	c.cells[request.Model] = request.Cell
	w := &waiter{
		request: request, index: -1, result: make(chan waitResult, 1),
		sortKey: c.policy.sortKey(request),
	}
	if refusal := c.check(q, w, now); refusal != nil {
		return nil, refusal
	}
	if len(q.waiting) == 0 && len(q.replicas) == 0 && q.coldSince.IsZero() {
		q.coldSince = now
	}
	wasEmpty := len(q.waiting) == 0
	c.callers[request.Caller]++
	c.bytes += request.Size
	q.push(w)
	c.dispatch(q)
	if wasEmpty && len(q.waiting) > 0 {
		c.notifyDemand(request.Cell)
	}
	return w, nil
}

func (c *Controller) check(q *queue, w *waiter, now time.Time) *cardamom.Refusal {
	if w.request.CallerLimit > 0 && c.callers[w.request.Caller] >= w.request.CallerLimit {
		return cardamom.Refuse(cardamom.ReasonCallerLimit, "caller has too many requests at this instance").WithRetryAfter(q.service.value)
	}
	if c.bytes+w.request.Size > c.maxBytes {
		return cardamom.Refuse(cardamom.ReasonQueueFull, "memory limit for queued requests reached").WithRetryAfter(c.retryAfter(q, now))
	}
	if w.request.QueueLimit > 0 && len(q.waiting) >= w.request.QueueLimit {
		return cardamom.Refuse(cardamom.ReasonQueueFull, "queue of the model is full").WithRetryAfter(c.retryAfter(q, now))
	}
	if !c.policy.refuseLate {
		return nil
	}
	expected := ExpectedLatency(c.queueState(q, w, now))
	if now.Add(expected).After(w.request.Deadline) {
		detail := "expected to take " + expected.Round(time.Millisecond).String()
		return cardamom.Refuse(cardamom.ReasonOverload, detail).WithRetryAfter(c.retryAfter(q, now))
	}
	return nil
}

func (c *Controller) queueState(q *queue, w *waiter, now time.Time) QueueState {
	return QueueState{
		Ahead: q.ahead(w.sortKey), Running: q.running, Limit: c.limit(q),
		ServiceTime: q.service.value, ReadyIn: q.timeUntilReady(now),
	}
}

// limit returns how many requests of the queue may be in service at once.
func (c *Controller) limit(q *queue) int {
	limit := 0
	for _, replica := range q.replicas {
		if replica.State == cells.ReplicaReady {
			limit += int(c.window(replica).limit)
		}
	}
	return limit
}

// retryAfter returns the expected time until the queue is empty, at most maxRetryAfter.
func (c *Controller) retryAfter(q *queue, now time.Time) time.Duration {
	state := QueueState{Ahead: len(q.waiting), Running: q.running, Limit: c.limit(q), ServiceTime: q.service.value, ReadyIn: q.timeUntilReady(now)}
	return min(ExpectedLatency(state), maxRetryAfter)
}

func (c *Controller) queue(model cardamom.ModelID) *queue {
	q, ok := c.queues[model]
	if !ok {
		q = &queue{model: model}
		c.queues[model] = q
	}
	return q
}

func (c *Controller) window(replica cells.Replica) *window {
	w, ok := c.windows[replica.Upstream]
	if !ok {
		w = newWindow(replica)
		c.windows[replica.Upstream] = w
	}
	return w
}

func (c *Controller) release(p *Permit, result Result, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	q := c.queue(p.request.Model)
	q.running--
	c.releaseQuota(p.request)
	c.window(p.replica).release(p.request.Suspected)
	c.inFlight[p.replica.ReplicaKey]--
	if c.inFlight[p.replica.ReplicaKey] == 0 {
		delete(c.inFlight, p.replica.ReplicaKey)
	}
	if result == Done {
		q.service.add(now.Sub(p.started))
	}
	c.dispatchUpstream(p.replica.Upstream)
}

func (c *Controller) releaseQuota(request Request) {
	c.bytes -= request.Size
	c.callers[request.Caller]--
	if c.callers[request.Caller] <= 0 {
		delete(c.callers, request.Caller)
	}
}

// abandon removes a request from its queue and reports whether it was still waiting.
func (c *Controller) abandon(w *waiter) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	q := c.queue(w.request.Model)
	if !q.remove(w) {
		return false
	}
	c.releaseQuota(w.request)
	return true
}

// Update sets the replicas of a cell's models and dispatches requests to them.
func (c *Controller) Update(cell cardamom.CellID, replicas map[cardamom.ModelID][]cells.Replica, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	seen := make(map[cardamom.UpstreamID]bool)
	for model, list := range replicas {
		q := c.queue(model)
		c.cells[model] = cell
		q.replicas = list
		for _, replica := range list {
			if !seen[replica.Upstream] {
				c.window(replica).adjust(replica)
				seen[replica.Upstream] = true
			}
		}
	}
	for model, q := range c.queues {
		if c.cells[model] != cell {
			continue
		}
		if _, present := replicas[model]; !present {
			q.replicas = nil
		}
		q.recordColdWait(now)
		c.dispatch(q)
	}
}

// recordColdWait adds the time of a cold start to its average once a replica is ready.
func (q *queue) recordColdWait(now time.Time) {
	if q.coldSince.IsZero() {
		return
	}
	for _, replica := range q.replicas {
		if replica.State == cells.ReplicaReady {
			q.coldWait.add(now.Sub(q.coldSince))
			q.coldSince = time.Time{}
			return
		}
	}
}

// Sweep refuses the waiting requests that can no longer finish in time.
func (c *Controller) Sweep(now time.Time) {
	if !c.policy.refuseLate {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for model, q := range c.queues {
		minRemaining := time.Duration(sweepMargin * float64(q.service.value))
		for _, w := range append(waiters(nil), q.waiting...) {
			if now.Add(minRemaining).Before(w.request.Deadline) {
				continue
			}
			q.remove(w)
			c.releaseQuota(w.request)
			refusal := cardamom.Refuse(cardamom.ReasonDeadline, "too late to finish before the deadline")
			w.result <- waitResult{refusal: refusal.WithRetryAfter(c.retryAfter(q, now))}
		}
		if q.idle() && len(q.replicas) == 0 && q.coldSince.IsZero() && q.service.value == 0 {
			delete(c.queues, model)
		}
	}
}

// Uses returns the queue statistics of a cell's models and the replicas with
// requests in flight. Use.Started counts the requests started since the last call.
func (c *Controller) Uses(cell cardamom.CellID) ([]cells.Use, []cells.ReplicaKey) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var uses []cells.Use
	for model, q := range c.queues {
		if c.cells[model] != cell || q.idle() {
			continue
		}
		uses = append(uses, q.use())
		q.started = 0
	}
	var busy []cells.ReplicaKey
	for key := range c.inFlight {
		if c.cells[key.Model] == cell {
			busy = append(busy, key)
		}
	}
	return uses, busy
}

func (q *queue) use() cells.Use {
	use := cells.Use{Model: q.model, Waiting: len(q.waiting), Running: q.running, Started: q.started, ServiceTime: q.service.value}
	if head := q.head(); head != nil {
		use.NextArrival = head.request.Arrived
		use.Priority = head.request.Priority
	}
	return use
}

// Busy reports whether requests for the models of a cell wait or run here.
func (c *Controller) Busy(cell cardamom.CellID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for model, q := range c.queues {
		if c.cells[model] == cell && len(q.waiting)+q.running > 0 {
			return true
		}
	}
	return false
}

// Counts returns the number of waiting and of running requests.
func (c *Controller) Counts() (waiting, running int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, q := range c.queues {
		waiting += len(q.waiting)
		running += q.running
	}
	return waiting, running
}
