// Package admit queues requests at one instance: it refuses at once what can't
// finish within its deadline, orders the rest by priority and age, and gives
// each a place on an upstream.
//
// # Usage
//
//	desk := admit.New(admit.Deadline(), 64<<20, notify)
//	pass, refusal := desk.Enter(ctx, ticket, now)
//	if refusal == nil {
//		defer pass.Release(admit.Done, time.Now())
//		send(pass.Replica())
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
	// ageStep is how much later a request counts as arrived for each step of
	// priority, so that patient work is overtaken for at most nine steps.
	ageStep = 5 * time.Second
	// sweepMargin is how much time must remain, as a multiple of the service time.
	sweepMargin = 1.1
	// maxRetryAfter bounds when a refused caller is told to come back.
	maxRetryAfter = 30 * time.Second
)

// Demand is told of a cell whose follower has news for the holder.
type Demand func(cell cardamom.CellID)

// Desk holds the queues of one instance. It is safe for concurrent use.
type Desk struct {
	mu      sync.Mutex
	queues  map[cardamom.ModelID]*queue
	cells   map[cardamom.ModelID]cardamom.CellID
	windows map[cardamom.UpstreamID]*window
	seats   map[cells.Seat]int
	callers map[string]int
	demand  Demand
	policy  Policy
	// bytes is the memory of the requests that wait or run.
	bytes    int64
	maxBytes int64
}

// New returns a desk without queues that follows a policy, holds requests of at
// most maxBytes and tells demand of cells with news.
func New(policy Policy, maxBytes int64, demand Demand) *Desk {
	return &Desk{
		maxBytes: maxBytes,
		policy:   policy,
		queues:   make(map[cardamom.ModelID]*queue),
		cells:    make(map[cardamom.ModelID]cardamom.CellID),
		windows:  make(map[cardamom.UpstreamID]*window),
		seats:    make(map[cells.Seat]int),
		callers:  make(map[string]int),
		demand:   demand,
	}
}

// Enter waits for a place for the request. It returns a refusal at once if the
// request can't finish in time, and later if that becomes plain.
func (d *Desk) Enter(ctx context.Context, ticket Ticket, now time.Time) (*Pass, *cardamom.Refusal) {
	w, refusal := d.join(ticket, now)
	if refusal != nil {
		return nil, refusal
	}
	timer := time.NewTimer(ticket.Deadline.Sub(now))
	defer timer.Stop()
	select {
	case g := <-w.granted:
		return d.pass(w, g)
	case <-ctx.Done():
		refusal = ended(ctx)
	case <-timer.C:
		refusal = ended(ctx)
	}
	if !d.abandon(w) {
		return d.pass(w, <-w.granted)
	}
	return nil, refusal
}

// ended returns the refusal of a wait that was broken off.
func ended(ctx context.Context) *cardamom.Refusal {
	if errors.Is(ctx.Err(), context.Canceled) {
		return cardamom.Refuse(cardamom.ReasonCallerGone, "caller went away while waiting")
	}
	return cardamom.Refuse(cardamom.ReasonDeadline, "deadline passed while waiting")
}

func (d *Desk) pass(w *waiter, g grant) (*Pass, *cardamom.Refusal) {
	if g.refusal != nil {
		return nil, g.refusal
	}
	return &Pass{desk: d, ticket: w.ticket, replica: g.replica, started: time.Now()}, nil
}

// join admits the request to its queue or refuses it.
func (d *Desk) join(ticket Ticket, now time.Time) (*waiter, *cardamom.Refusal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	q := d.queue(ticket.Model)
	d.cells[ticket.Model] = ticket.Cell
	w := &waiter{
		ticket: ticket, index: -1, granted: make(chan grant, 1),
		key: d.policy.key(ticket),
	}
	if refusal := d.check(q, w, now); refusal != nil {
		return nil, refusal
	}
	if len(q.waiting) == 0 && len(q.replicas) == 0 && q.coldSince.IsZero() {
		q.coldSince = now
	}
	news := len(q.waiting) == 0
	d.callers[ticket.Caller]++
	d.bytes += ticket.Size
	q.push(w)
	d.dispatch(q)
	if news && len(q.waiting) > 0 {
		d.demand(ticket.Cell)
	}
	return w, nil
}

func (d *Desk) check(q *queue, w *waiter, now time.Time) *cardamom.Refusal {
	if w.ticket.CallerLimit > 0 && d.callers[w.ticket.Caller] >= w.ticket.CallerLimit {
		return cardamom.Refuse(cardamom.ReasonCallerLimit, "caller has too many requests here").After(q.service.value)
	}
	if d.bytes+w.ticket.Size > d.maxBytes {
		return cardamom.Refuse(cardamom.ReasonQueueFull, "waiting requests hold all the memory they may").After(d.comeBack(q, now))
	}
	if w.ticket.QueueLimit > 0 && len(q.waiting) >= w.ticket.QueueLimit {
		return cardamom.Refuse(cardamom.ReasonQueueFull, "queue of the model is full").After(d.comeBack(q, now))
	}
	if !d.policy.refuse {
		return nil
	}
	expected := Expect(d.load(q, w, now))
	if now.Add(expected).After(w.ticket.Deadline) {
		detail := "expected to take " + expected.Round(time.Millisecond).String()
		return cardamom.Refuse(cardamom.ReasonOverload, detail).After(d.comeBack(q, now))
	}
	return nil
}

func (d *Desk) load(q *queue, w *waiter, now time.Time) Load {
	return Load{
		Ahead: q.ahead(w.key), Running: q.running, Limit: d.limit(q),
		Service: q.service.value, ReadyIn: q.readyIn(now),
	}
}

// limit returns how many requests of the queue may be in service at once.
func (d *Desk) limit(q *queue) int {
	limit := 0
	for _, replica := range q.replicas {
		if replica.State == cells.ReplicaReady {
			limit += int(d.window(replica).limit)
		}
	}
	return limit
}

// comeBack returns when the queue is expected to be empty.
func (d *Desk) comeBack(q *queue, now time.Time) time.Duration {
	load := Load{Ahead: len(q.waiting), Running: q.running, Limit: d.limit(q), Service: q.service.value, ReadyIn: q.readyIn(now)}
	return min(Expect(load), maxRetryAfter)
}

func (d *Desk) queue(model cardamom.ModelID) *queue {
	q, ok := d.queues[model]
	if !ok {
		q = &queue{model: model}
		d.queues[model] = q
	}
	return q
}

func (d *Desk) window(replica cells.Replica) *window {
	w, ok := d.windows[replica.Upstream]
	if !ok {
		w = newWindow(replica)
		d.windows[replica.Upstream] = w
	}
	return w
}

func (d *Desk) release(p *Pass, result Result, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	q := d.queue(p.ticket.Model)
	q.running--
	d.leave(p.ticket)
	d.window(p.replica).release(p.ticket.Suspect)
	d.seats[p.replica.Seat]--
	if d.seats[p.replica.Seat] == 0 {
		delete(d.seats, p.replica.Seat)
	}
	if result == Done {
		q.service.add(now.Sub(p.started))
	}
	d.dispatchUpstream(p.replica.Upstream)
}

func (d *Desk) leave(ticket Ticket) {
	d.bytes -= ticket.Size
	d.callers[ticket.Caller]--
	if d.callers[ticket.Caller] <= 0 {
		delete(d.callers, ticket.Caller)
	}
}

// abandon takes a waiting request out and tells whether it still waited.
func (d *Desk) abandon(w *waiter) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	q := d.queue(w.ticket.Model)
	if !q.remove(w) {
		return false
	}
	d.leave(w.ticket)
	return true
}

// Update takes the replicas of a cell's models.
func (d *Desk) Update(cell cardamom.CellID, replicas map[cardamom.ModelID][]cells.Replica, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	seen := make(map[cardamom.UpstreamID]bool)
	for model, list := range replicas {
		q := d.queue(model)
		d.cells[model] = cell
		q.replicas = list
		for _, replica := range list {
			if !seen[replica.Upstream] {
				d.window(replica).adjust(replica)
				seen[replica.Upstream] = true
			}
		}
	}
	for model, q := range d.queues {
		if d.cells[model] != cell {
			continue
		}
		if _, present := replicas[model]; !present {
			q.replicas = nil
		}
		q.warm(now)
		d.dispatch(q)
	}
}

// warm ends the measurement of a cold wait when a replica is ready.
func (q *queue) warm(now time.Time) {
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

// Sweep refuses the waiting requests that can't be finished in time any more.
func (d *Desk) Sweep(now time.Time) {
	if !d.policy.refuse {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for model, q := range d.queues {
		least := time.Duration(sweepMargin * float64(q.service.value))
		for _, w := range append(waiters(nil), q.waiting...) {
			if now.Add(least).Before(w.ticket.Deadline) {
				continue
			}
			q.remove(w)
			d.leave(w.ticket)
			refusal := cardamom.Refuse(cardamom.ReasonDeadline, "not started early enough to finish in time")
			w.granted <- grant{refusal: refusal.After(d.comeBack(q, now))}
		}
		if q.idle() && len(q.replicas) == 0 && q.coldSince.IsZero() && q.service.value == 0 {
			delete(d.queues, model)
		}
	}
}

// Uses returns what this instance does with the models of a cell and where it
// has requests in progress. Starts are counted since the last call.
func (d *Desk) Uses(cell cardamom.CellID) ([]cells.Use, []cells.Seat) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var uses []cells.Use
	for model, q := range d.queues {
		if d.cells[model] != cell || q.idle() {
			continue
		}
		uses = append(uses, q.use())
		q.started = 0
	}
	var busy []cells.Seat
	for seat := range d.seats {
		if d.cells[seat.Model] == cell {
			busy = append(busy, seat)
		}
	}
	return uses, busy
}

func (q *queue) use() cells.Use {
	use := cells.Use{Model: q.model, Waiting: len(q.waiting), Running: q.running, Started: q.started, Service: q.service.value}
	if head := q.head(); head != nil {
		use.Since = head.ticket.Arrived
		use.Priority = head.ticket.Priority
	}
	return use
}

// Busy tells whether requests for the models of a cell wait or run here.
func (d *Desk) Busy(cell cardamom.CellID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for model, q := range d.queues {
		if d.cells[model] == cell && len(q.waiting)+q.running > 0 {
			return true
		}
	}
	return false
}

// Waiting returns how many requests wait and how many run.
func (d *Desk) Waiting() (waiting, running int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, q := range d.queues {
		waiting += len(q.waiting)
		running += q.running
	}
	return waiting, running
}
