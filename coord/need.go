package coord

import (
	"context"
	"time"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/clock"
	"cardamomcourse.example/cardamom/syncpb"
)

// coordinatorClient is how calls reach the coordinator: it is this instance, or another
// one that the client calls. Neither is set if no coordinator is known.
type coordinatorClient struct {
	own    bool
	client syncpb.Sync
}

// findCoordinator returns how to call the coordinator.
func (l *Loop) findCoordinator(ctx context.Context) coordinatorClient {
	found := make(chan coordinatorClient, 1)
	l.post(func(now time.Time) {
		if l.term != nil {
			found <- coordinatorClient{own: true}
			return
		}
		// A coordinator whose platform data is stale still plans until another
		// instance takes over.
		if address := l.reachableCoordinator(now); address != "" {
			found <- coordinatorClient{client: l.peers.dial(address)}
			return
		}
		found <- coordinatorClient{}
	})
	select {
	case to := <-found:
		return to
	case <-ctx.Done():
		return coordinatorClient{}
	}
}

// reachableCoordinator returns the address of another instance that coordinates and answered
// lately, empty if there is none.
func (l *Loop) reachableCoordinator(now time.Time) string {
	if now.Sub(l.lastAnswered) >= l.timing().coordinatorTimeout() {
		return ""
	}
	return l.position.coordinator
}

// Need is a model that requests wait for, with one of its adapters unless Adapter
// is empty.
type Need struct {
	Service cardamom.ServiceID
	Model   cardamom.ModelID
	Adapter string
	// Version is the software version that the upstream has to have, empty for any.
	Version string
	Waiting int
	// Unreachable are the upstreams that have the model loaded but could not be
	// reached.
	Unreachable []cardamom.UpstreamID
	// CallTimeout is how long the call may wait.
	CallTimeout time.Duration
	// RemainingTime is how long the requests can wait.
	RemainingTime time.Duration
}

// AwaitResult is the answer to a need.
type AwaitResult struct {
	// Answered reports whether a coordinator answered.
	Answered bool
	// Ready reports whether an upstream is ready for the requests.
	Ready bool
	// Expected is the time until requests can be sent, negative if unknown.
	Expected time.Duration
}

// Await sends a need to the coordinator and returns when an upstream is ready for
// it or the call's time is up. If one is ready, the view lists it by then.
func (l *Loop) Await(ctx context.Context, need Need) AwaitResult {
	request := &syncpb.AwaitRequest{
		Service: string(need.Service), Model: string(need.Model), Adapter: need.Adapter, Version: need.Version, Waiting: int32(need.Waiting),
		HoldMs: need.CallTimeout.Milliseconds(), NeedMs: need.RemainingTime.Milliseconds(), Instance: string(l.options.ID),
	}
	request.Waits = encodeWaits(l.options.Notices.Waits(clock.Now()), clock.Now())
	for _, id := range need.Unreachable {
		request.Doubts = append(request.Doubts, string(id))
	}
	to := l.findCoordinator(ctx)
	var reply *syncpb.AwaitReply
	var err error
	switch {
	case to.own:
		reply, err = l.await(ctx, request)
	case to.client != nil:
		callCtx, cancel := context.WithTimeout(ctx, need.CallTimeout+exchangeTimeout)
		defer cancel()
		reply, err = to.client.Await(callCtx, request)
	default:
		return AwaitResult{Expected: -1}
	}
	if err != nil || !reply.GetCoordinates() {
		return AwaitResult{Expected: -1}
	}
	result := AwaitResult{Answered: true, Ready: reply.GetReady(), Expected: time.Duration(reply.GetExpectedMs()) * time.Millisecond}
	if reply.GetExpectedMs() < 0 {
		result.Expected = -1
	}
	if len(reply.GetUpstreams()) > 0 && !to.own {
		l.publishAwaitReply(ctx, reply)
	}
	return result
}

// publishAwaitReply applies an answer's upstreams and waits until the view has them.
func (l *Loop) publishAwaitReply(ctx context.Context, reply *syncpb.AwaitReply) {
	done := make(chan struct{})
	l.post(func(now time.Time) {
		l.applyAwaitReply(reply, now)
		l.views.current.Store(l.state.view())
		close(done)
	})
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// applyAwaitReply applies an answer's upstreams unless an exchange has returned newer
// data: the upstreams may have been removed since, and a removal is sent only once.
func (l *Loop) applyAwaitReply(reply *syncpb.AwaitReply, now time.Time) {
	if reply.GetTenure() < l.position.term || reply.GetTenure() == l.position.term && reply.GetChange() < l.position.change {
		l.logger.Debug("answer_outdated", "fence", reply.GetTenure(), "expected", l.position.change, "version", reply.GetChange())
		return
	}
	upstreamsConfirmed := now.Add(-time.Duration(reply.GetUpstreamsAgeMs()) * time.Millisecond)
	for _, wire := range reply.GetUpstreams() {
		upstream := decodeUpstream(wire)
		if believed, _ := l.state.restored.believe(upstream, now); believed && !l.state.removed(upstream, upstreamsConfirmed) {
			l.setUpstream(upstream, "coordinator")
		}
	}
}
