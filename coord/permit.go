package coord

import (
	"context"
	"time"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/clock"
	"cardamomcourse.example/cardamom/quota"
	"cardamomcourse.example/cardamom/site"
	"cardamomcourse.example/cardamom/syncpb"
)

// PermitNeed is a request that needs a permit, since its upstream has a rate limit.
type PermitNeed struct {
	Limit quota.Limit
	// Urgency is the request's priority, 0 first.
	Urgency int
	// Waited is the time since the request arrived.
	Waited time.Duration
	// CallTimeout is how long the call may wait.
	CallTimeout time.Duration
	// RemainingTime is how long the request can wait.
	RemainingTime time.Duration
}

// PermitResult is the answer to such a need.
type PermitResult struct {
	// Answered reports whether a coordinator answered.
	Answered bool
	Granted  bool
	// Wait is the expected time until a permit if none is granted.
	Wait time.Duration
}

// Permit asks the coordinator for a permit and returns when it is granted, when the
// request would wait too long for it, or when the call's time is up.
func (l *Loop) Permit(ctx context.Context, need PermitNeed) PermitResult {
	request := &syncpb.PermitRequest{
		Limit: encodeLimit(need.Limit, clock.Now()), Urgency: int32(need.Urgency), WaitedMs: need.Waited.Milliseconds(),
		HoldMs: need.CallTimeout.Milliseconds(), NeedMs: need.RemainingTime.Milliseconds(),
	}
	var reply *syncpb.PermitReply
	var err error
	switch to := l.findCoordinator(ctx); {
	case to.own:
		reply, err = l.permit(ctx, request)
	case to.client != nil:
		callCtx, cancel := context.WithTimeout(ctx, need.CallTimeout+exchangeTimeout)
		defer cancel()
		reply, err = to.client.Permit(callCtx, request)
	default:
		return PermitResult{}
	}
	if err != nil || !reply.GetCoordinates() {
		return PermitResult{}
	}
	return PermitResult{Answered: true, Granted: reply.GetGranted(), Wait: time.Duration(reply.GetWaitMs()) * time.Millisecond}
}

// Permit implements syncpb.Sync.
func (s *Server) Permit(ctx context.Context, request *syncpb.PermitRequest) (*syncpb.PermitReply, error) {
	return s.loop.permit(ctx, request)
}

// permit grants a permit, or waits for one as long as the call may.
func (l *Loop) permit(ctx context.Context, request *syncpb.PermitRequest) (*syncpb.PermitReply, error) {
	replies := make(chan *syncpb.PermitReply, 1)
	run := quota.Run{Upstream: cardamom.UpstreamID(request.GetLimit().GetUpstream()), StartedMs: request.GetLimit().GetBorn()}
	call := &quota.Call{Answer: func(p quota.Permit) {
		replies <- &syncpb.PermitReply{Coordinates: true, Granted: p.Granted, WaitMs: p.Wait.Milliseconds()}
	}}
	l.post(func(now time.Time) {
		if l.term == nil {
			replies <- &syncpb.PermitReply{}
			return
		}
		l.logLimits(l.options.Limits.Merge([]quota.Limit{decodeLimit(request.GetLimit(), now)}), "member")
		call.Waiting = quota.Waiting{Urgency: int(request.GetUrgency()), Since: now.Add(-time.Duration(request.GetWaitedMs()) * time.Millisecond)}
		call.Until = now.Add(time.Duration(request.GetHoldMs()) * time.Millisecond)
		l.term.permits.Ask(run, call, time.Duration(request.GetNeedMs())*time.Millisecond, now)
	})
	ctx, cancel := context.WithTimeout(ctx, time.Duration(request.GetHoldMs())*time.Millisecond+answerTimeout)
	defer cancel()
	select {
	case reply := <-replies:
		return reply, nil
	case <-ctx.Done():
		l.post(func(time.Time) {
			if l.term != nil {
				l.term.permits.Withdraw(run, call)
			}
		})
		return nil, ctx.Err()
	}
}

// recordLimit records the limit that the answer with an engine's report names. Without
// one it states nothing: reports don't take part in the limit.
func (t *term) recordLimit(id cardamom.UpstreamID, statement site.RateLimit, now time.Time) {
	upstream, ok := t.loop.state.upstreams[id]
	if !ok || !statement.Named && statement.Invalid == "" {
		return
	}
	if change := t.loop.options.Limits.State(upstream, statement, now); change.Kind != quota.Unchanged {
		t.loop.logLimits([]quota.Change{change}, "report")
	}
}

// logLimits logs changes of rate limits that this instance did not see itself.
func (l *Loop) logLimits(changes []quota.Change, origin string) {
	for _, change := range changes {
		l.logger.Info("rate_limit", "upstream", change.Limit.Upstream, "change", change.Kind, "limit", change.Limit.PerSecond, "limit_before", change.Before, "origin", origin)
	}
}

// pruneLimits drops the limits of upstreams that are gone and what depends on them.
func (l *Loop) pruneLimits(now time.Time) {
	l.options.Limits.Prune(func(id cardamom.UpstreamID) (int64, bool) {
		upstream, ok := l.state.upstreams[id]
		if !ok {
			return 0, false
		}
		return upstream.StartedMs, true
	}, now)
	if l.term == nil {
		return
	}
	limits := make(map[cardamom.UpstreamID]float64)
	for _, limit := range l.options.Limits.Limits() {
		if !limit.Ended {
			limits[limit.Upstream] = limit.PerSecond
		}
	}
	l.term.permits.Keep(func(id cardamom.UpstreamID) bool { _, ok := limits[id]; return ok })
	for _, p := range l.term.plans {
		p.SetRateLimits(limits)
	}
}

func encodeLimits(limits []quota.Limit, now time.Time) []*syncpb.UpstreamLimit {
	list := make([]*syncpb.UpstreamLimit, 0, len(limits))
	for _, limit := range limits {
		list = append(list, encodeLimit(limit, now))
	}
	return list
}

func encodeLimit(limit quota.Limit, now time.Time) *syncpb.UpstreamLimit {
	return &syncpb.UpstreamLimit{Upstream: string(limit.Upstream), Born: limit.StartedMs, Ended: limit.Ended, PerSecond: limit.PerSecond, AgeMs: now.Sub(limit.Stated).Milliseconds()}
}

func decodeLimits(list []*syncpb.UpstreamLimit, now time.Time) []quota.Limit {
	limits := make([]quota.Limit, 0, len(list))
	for _, wire := range list {
		limits = append(limits, decodeLimit(wire, now))
	}
	return limits
}

func decodeLimit(wire *syncpb.UpstreamLimit, now time.Time) quota.Limit {
	return quota.Limit{
		Upstream: cardamom.UpstreamID(wire.GetUpstream()), StartedMs: wire.GetBorn(), Ended: wire.GetEnded(), PerSecond: wire.GetPerSecond(),
		Stated: now.Add(-time.Duration(wire.GetAgeMs()) * time.Millisecond),
	}
}
