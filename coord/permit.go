package coord

import (
	"context"
	"slices"
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

// permitCall is a pending call for a permit.
type permitCall struct {
	quota.Waiting
	until time.Time
	reply chan *syncpb.PermitReply
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
	c := &permitCall{reply: make(chan *syncpb.PermitReply, 1)}
	id := cardamom.UpstreamID(request.GetLimit().GetUpstream())
	l.post(func(now time.Time) {
		if l.term == nil {
			c.reply <- &syncpb.PermitReply{}
			return
		}
		l.logLimits(l.options.Limits.Merge([]quota.Limit{decodeLimit(request.GetLimit(), now)}), "member")
		c.Urgency, c.Since = int(request.GetUrgency()), now.Add(-time.Duration(request.GetWaitedMs())*time.Millisecond)
		c.until = now.Add(time.Duration(request.GetHoldMs()) * time.Millisecond)
		l.term.permit(id, c, time.Duration(request.GetNeedMs())*time.Millisecond, now)
	})
	ctx, cancel := context.WithTimeout(ctx, time.Duration(request.GetHoldMs())*time.Millisecond+answerTimeout)
	defer cancel()
	select {
	case reply := <-c.reply:
		return reply, nil
	case <-ctx.Done():
		l.post(func(time.Time) {
			if l.term != nil {
				l.term.permitCalls[id] = slices.DeleteFunc(l.term.permitCalls[id], func(other *permitCall) bool { return other == c })
			}
		})
		return nil, ctx.Err()
	}
}

// permit answers a call at once if it can be granted or would wait too long, and keeps
// it waiting else.
func (t *term) permit(id cardamom.UpstreamID, c *permitCall, need time.Duration, now time.Time) {
	limit, ok := t.limit(id, now)
	if !ok {
		// The upstream names no limit any more.
		c.reply <- &syncpb.PermitReply{Coordinates: true, Granted: true}
		return
	}
	waiting := t.waitingFor(id)
	wait := t.gate.Wait(limit, quota.Ahead(waiting, c.Waiting), now)
	if wait > need {
		c.reply <- &syncpb.PermitReply{Coordinates: true, WaitMs: wait.Milliseconds()}
		return
	}
	t.permitCalls[id] = append(t.permitCalls[id], c)
	t.grantPermits(id, now)
}

// limit returns the limit in force for a listed upstream.
func (t *term) limit(id cardamom.UpstreamID, now time.Time) (quota.Limit, bool) {
	upstream, ok := t.loop.state.upstreams[id]
	if !ok {
		return quota.Limit{}, false
	}
	return t.loop.options.Limits.Limit(upstream, now)
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

// waitingFor returns the requests that wait for a permit for an upstream.
func (t *term) waitingFor(id cardamom.UpstreamID) []quota.Waiting {
	waiting := make([]quota.Waiting, 0, len(t.permitCalls[id]))
	for _, c := range t.permitCalls[id] {
		waiting = append(waiting, c.Waiting)
	}
	return waiting
}

// answerPermitCalls grants the permits that there are and answers the calls whose time
// is up. It reports whether any are still waiting.
func (t *term) answerPermitCalls(now time.Time) bool {
	for id := range t.permitCalls {
		t.grantPermits(id, now)
		limit, _ := t.limit(id, now)
		left := t.permitCalls[id][:0]
		for _, c := range t.permitCalls[id] {
			if now.Before(c.until) {
				left = append(left, c)
				continue
			}
			c.reply <- &syncpb.PermitReply{Coordinates: true, WaitMs: t.gate.Wait(limit, len(left), now).Milliseconds()}
		}
		t.permitCalls[id] = left
		if len(left) == 0 {
			delete(t.permitCalls, id)
		}
	}
	return len(t.permitCalls) > 0
}

// grantPermits grants the permits for an upstream that there are.
func (t *term) grantPermits(id cardamom.UpstreamID, now time.Time) {
	for len(t.permitCalls[id]) > 0 {
		limit, ok := t.limit(id, now)
		next := 0
		if ok {
			granted, oldest := t.gate.Grant(limit, now)
			if !granted {
				return
			}
			next = quota.Next(t.waitingFor(id), oldest)
		}
		t.permitCalls[id][next].reply <- &syncpb.PermitReply{Coordinates: true, Granted: true}
		t.permitCalls[id] = slices.Delete(t.permitCalls[id], next, next+1)
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
	if t := l.term; t != nil {
		t.gate.Keep(func(id cardamom.UpstreamID) bool { _, ok := t.limit(id, now); return ok })
		limits := make(map[cardamom.UpstreamID]float64)
		for _, limit := range l.options.Limits.Limits() {
			if !limit.Ended {
				limits[limit.Upstream] = limit.PerSecond
			}
		}
		for _, p := range t.plans {
			p.SetRateLimits(limits)
		}
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
