// Package await keeps requests waiting until the model that they need is ready,
// and refuses them as soon as it is known to become ready too late.
//
// It is made for bursts of requests for a few rarely used models: all requests
// for one model share its load and one pending call to the coordinator.
//
// # Usage
//
//	waiters := await.New(loop)
//	verdict := waiters.Wait(ctx, await.Key{Service: s, Model: m}, timeout)
//	if !verdict.Ready { /* refuse, with verdict.RetryAfter as the retry delay */ }
package await

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/coord"
	"cardamomcourse.example/cardamom/sleep"
)

const (
	// maxCallTimeout bounds one call to the coordinator.
	maxCallTimeout = time.Second
	// noCoordinatorWait is the expected wait while no coordinator answers: the
	// time for a lease to expire and for a load from disk.
	noCoordinatorWait = 4500 * time.Millisecond
	// noCoordinatorGrace is how long no request is refused for lack of an answer
	// from a coordinator.
	noCoordinatorGrace = 250 * time.Millisecond
	// callRetryPause is the pause after a call that got no answer.
	callRetryPause = 120 * time.Millisecond
	// retryAfterMargin is added to the retry delay of refused requests.
	retryAfterMargin = 150 * time.Millisecond
)

// Coordinator answers whether a need is met, or when it will be.
type Coordinator interface {
	Await(ctx context.Context, need coord.Need) coord.AwaitResult
}

// Key is a model that requests wait for, with one of its adapters unless Adapter is
// empty.
type Key struct {
	Service cardamom.ServiceID
	Model   cardamom.ModelID
	Adapter string
	// Version is the software version that the upstream has to have, empty for any.
	Version string
}

// Verdict is the result of a wait.
type Verdict struct {
	Ready bool
	// RetryAfter is the retry delay of a refusal.
	RetryAfter time.Duration
	// FromCoordinator reports whether RetryAfter is based on a coordinator's answer.
	FromCoordinator bool
}

// Waiters are the requests that wait, in a group for each key. It is safe for
// concurrent use.
type Waiters struct {
	mu          sync.Mutex
	coordinator Coordinator
	groups      map[Key]*group
}

// group is the requests that wait for one key.
type group struct {
	waiting        int
	latestDeadline time.Time
	changed        chan struct{}
	ready          bool
	hasEstimate    bool
	began          time.Time
	readyAt        time.Time
	// unreachable are the upstreams that requests of the group could not reach,
	// until the next call to the coordinator reports them.
	unreachable map[cardamom.UpstreamID]bool
}

// New returns a Waiters without requests.
func New(coordinator Coordinator) *Waiters {
	return &Waiters{coordinator: coordinator, groups: make(map[Key]*group)}
}

// Wait returns when the key is ready, when it is known not to be ready within
// the timeout, or when ctx ends. The unreachable upstreams are those that have
// loaded the model but could not be reached.
func (w *Waiters) Wait(ctx context.Context, key Key, timeout time.Duration, unreachable ...cardamom.UpstreamID) Verdict {
	now := time.Now()
	deadline := now.Add(timeout)
	g := w.join(key, deadline, now, unreachable)
	defer w.leave(g)
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		w.mu.Lock()
		result, done := g.result(deadline, time.Now())
		changed := g.changed
		w.mu.Unlock()
		if done {
			return result
		}
		grace := time.NewTimer(noCoordinatorGrace)
		select {
		case <-changed:
		case <-grace.C:
		case <-timer.C:
			grace.Stop()
			w.mu.Lock()
			defer w.mu.Unlock()
			return Verdict{RetryAfter: retryAfterMargin, FromCoordinator: g.hasEstimate}
		case <-ctx.Done():
			grace.Stop()
			return Verdict{RetryAfter: retryAfterMargin}
		}
		grace.Stop()
	}
}

// result returns the verdict on a request with this deadline, and whether its
// wait is over.
func (g *group) result(deadline, now time.Time) (Verdict, bool) {
	switch {
	case g.ready:
		return Verdict{Ready: true, FromCoordinator: true}, true
	case g.hasEstimate && g.readyAt.After(deadline):
		return Verdict{RetryAfter: g.readyAt.Sub(now) + retryAfterMargin, FromCoordinator: true}, true
	case !g.hasEstimate && now.Sub(g.began) >= noCoordinatorGrace && now.Add(noCoordinatorWait).After(deadline):
		return Verdict{RetryAfter: noCoordinatorWait}, true
	default:
		return Verdict{}, false
	}
}

// join adds a request to the group of its key, which it starts if there is none.
func (w *Waiters) join(key Key, deadline, now time.Time, unreachable []cardamom.UpstreamID) *group {
	w.mu.Lock()
	defer w.mu.Unlock()
	g, ok := w.groups[key]
	if !ok {
		g = &group{changed: make(chan struct{}), began: now, unreachable: make(map[cardamom.UpstreamID]bool)}
		w.groups[key] = g
		go w.poll(key, g)
	}
	for _, id := range unreachable {
		g.unreachable[id] = true
	}
	g.waiting++
	if deadline.After(g.latestDeadline) {
		g.latestDeadline = deadline
	}
	return g
}

func (w *Waiters) leave(g *group) {
	w.mu.Lock()
	defer w.mu.Unlock()
	g.waiting--
}

// poll calls the coordinator again and again while requests wait for the key.
func (w *Waiters) poll(key Key, g *group) {
	callTimeout := time.Duration(0)
	for {
		w.mu.Lock()
		if g.waiting == 0 || g.ready {
			if w.groups[key] == g {
				delete(w.groups, key)
			}
			w.mu.Unlock()
			return
		}
		waiting, remaining := g.waiting, time.Until(g.latestDeadline)
		unreachable := slices.Sorted(maps.Keys(g.unreachable))
		clear(g.unreachable)
		w.mu.Unlock()
		answer := w.coordinator.Await(context.Background(), coord.Need{
			Service: key.Service, Model: key.Model, Adapter: key.Adapter, Version: key.Version, Waiting: waiting, CallTimeout: callTimeout, RemainingTime: remaining, Unreachable: unreachable,
		})
		w.apply(g, answer, time.Now())
		callTimeout = maxCallTimeout
		if !answer.Answered {
			callTimeout = 0
			if w.removeIfEmpty(key, g) || !sleep.For(context.Background(), callRetryPause) {
				return
			}
		}
	}
}

// removeIfEmpty removes a group in which no request waits.
func (w *Waiters) removeIfEmpty(key Key, g *group) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if g.waiting > 0 {
		return false
	}
	if w.groups[key] == g {
		delete(w.groups, key)
	}
	return true
}

// apply records the coordinator's answer and wakes the waiting requests.
func (w *Waiters) apply(g *group, answer coord.AwaitResult, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	g.ready = answer.Ready
	g.hasEstimate = answer.Answered && answer.Expected >= 0
	if g.hasEstimate {
		g.readyAt = now.Add(answer.Expected)
	}
	close(g.changed)
	g.changed = make(chan struct{})
}
