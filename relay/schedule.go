package relay

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/coord"
	"cardamomcourse.example/cardamom/pick"
	"cardamomcourse.example/cardamom/sched"
	"cardamomcourse.example/cardamom/site"
)

const (
	// maxProbes is how many schedulers are asked before a request waits for one upstream.
	maxProbes = 2
	// maxLate is how many upstreams have to be late for a request to be refused.
	maxLate = 3
	// scheduleHold is how long a call waits at a scheduler before other upstreams are
	// considered again, but at least the part scheduleHoldTargets of the target.
	scheduleHold        = 200 * time.Millisecond
	scheduleHoldTargets = 4
	// decidedLocally is the log word for requests that no scheduler decided on.
	decidedLocally = "local"
)

// Schedulers decide when prompts are sent to upstreams.
type Schedulers interface {
	Reserve(ctx context.Context, need coord.ScheduleNeed) coord.ScheduleResult
	Report(reservation coord.Reservation, ended, urgent bool)
}

// schedule is what the schedulers of upstreams answered to a request.
type schedule struct {
	// by is the instance that decided last, or decidedLocally.
	by string
	// reason is why the request waited last.
	reason sched.Reason
	// waited is the time for which it did.
	waited time.Duration
	// again is when upstreams that the request waits for are to be asked again.
	again map[cardamom.UpstreamID]time.Time
	// probed are the upstreams that could not be used at once, late those that would send the
	// first event too late.
	probed map[cardamom.UpstreamID]bool
	late   map[cardamom.UpstreamID]bool
	// lateWait is after which time a new request would be in time.
	lateWait time.Duration
	// local means that a scheduler did not answer.
	local bool
	// reservation is that of the attempt at hand, if reserved is set.
	reserved    bool
	reservation coord.Reservation
	hasEvent    bool
	sentAt      time.Time
}

// usesSchedule reports whether schedulers decide on the request.
func (x *exchange) usesSchedule(needsModel bool) bool {
	return x.server.Schedulers != nil && needsModel && x.route.Kind == site.Streaming && x.info.PromptTokens > 0 && !x.headerSent && !x.schedule.local && x.hasShortGaps()
}

// hasShortGaps reports whether the streams of the route bear so little time between two
// tokens that prompts which the engine reads make them late. With more time a schedule costs
// long prompts more than it gains the streams.
func (x *exchange) hasShortGaps() bool {
	limit := x.server.ScheduleGapPerToken
	engine, ok := x.modelEngine()
	if limit <= 0 || !ok {
		return true
	}
	return x.route.TargetGap > 0 && x.route.TargetGap/time.Duration(max(engine.EventTokens, 1)) < limit
}

// narrowToSchedule returns the candidates that may read the prompt soonest as far as schedulers
// have told, and how many there are that aren't late.
func (x *exchange) narrowToSchedule(usable []pick.Candidate, now time.Time) ([]pick.Candidate, int) {
	var inTime []pick.Candidate
	for _, c := range usable {
		if x.schedule.late[c.ID] {
			continue
		}
		if backlog, ok := x.server.expectations.Backlog(c.ID, x.urgency(), now); ok {
			c.Expected = backlog
		}
		if until, ok := x.schedule.again[c.ID]; ok {
			c.Expected = max(c.Expected, until.Sub(now))
		}
		// What the caller waits for is for the scheduler to judge.
		c.Expected = min(c.Expected, max(x.remaining(now), 0))
		inTime = append(inTime, c)
	}
	return pick.Soonest(x.unprobed(inTime)), len(inTime)
}

// mayProbe reports whether the request asks several schedulers before it waits for one.
func (x *exchange) mayProbe() bool {
	return len(x.schedule.again) == 0 && len(x.schedule.probed) < maxProbes
}

// unprobed returns the candidates that have not been asked, all if each has been or the request
// asks no more.
func (x *exchange) unprobed(candidates []pick.Candidate) []pick.Candidate {
	if !x.mayProbe() {
		return candidates
	}
	rest := slices.DeleteFunc(slices.Clone(candidates), func(c pick.Candidate) bool { return x.schedule.probed[c.ID] })
	if len(rest) == 0 {
		return candidates
	}
	return rest
}

// reserve reports whether the prompt may be sent to an upstream now. Otherwise the request has
// waited, or upstreams are to be considered again. candidates is the number of upstreams that
// could run the request.
func (x *exchange) reserve(upstream *site.Upstream, candidates int, now time.Time) bool {
	s, state := x.server, &x.schedule
	probe := x.mayProbe() && !state.probed[upstream.ID] && candidates > 1
	var hold time.Duration
	if _, answered := state.again[upstream.ID]; answered || state.probed[upstream.ID] {
		// The scheduler lives: it has answered the request.
		hold = min(max(scheduleHold, x.route.TargetLatency/scheduleHoldTargets), max(x.remaining(now), 0))
	}
	result := x.askScheduler(coord.ScheduleNeed{Upstream: upstream, Waited: now.Sub(x.arrived), Request: sched.Request{
		ID: x.attemptID(), Service: x.service, Model: x.info.Model, Tokens: x.info.PromptTokens, Urgency: x.urgency(),
		Target: x.route.TargetLatency, Gap: x.route.TargetGap, Remaining: x.remaining(now), Probe: probe,
	}, Hold: hold})
	if x.ctx.Err() != nil || s.Closing.Err() != nil {
		// A request that may have run goes on without a schedule, others end.
		state.reserved, state.reservation, state.hasEvent, state.local = result.Answered, result.Reservation, false, true
		return false
	}
	if !result.Answered {
		s.Metrics.CountReservation("none", false)
		state.by, state.local = decidedLocally, true
		return false
	}
	answer := result.Answer
	s.Metrics.CountReservation(answer.Kind().String(), result.Own)
	s.expectations.Learn(upstream.ID, x.urgency(), expectedBacklog(answer), time.Now())
	state.by = string(result.By)
	switch {
	case answer.Kind() == sched.Send || answer.Kind() == sched.Late && x.runs > 0:
		state.reserved, state.reservation, state.hasEvent = answer.Kind() == sched.Send, result.Reservation, false
		if answer.Wait() > 0 && answer.Kind() == sched.Send {
			state.reason = sched.Gap
			x.holdForSchedule(answer.Wait())
		}
		s.Metrics.ObserveDuration("schedule_wait", state.waited)
		s.Metrics.ObserveDuration("first_event_expected", answer.Expected())
		state.sentAt = time.Now()
		return x.isStillLive(upstream) && x.ctx.Err() == nil
	case answer.Kind() == sched.Late:
		state.reason = answer.Reason()
		state.lateWait = max(state.lateWait, answer.Wait())
		mark(&state.late, upstream.ID)
	case probe:
		state.reason = answer.Reason()
		mark(&state.probed, upstream.ID)
	default:
		state.reason = answer.Reason()
		if state.again == nil {
			state.again = make(map[cardamom.UpstreamID]time.Time)
		}
		state.again[upstream.ID] = time.Now().Add(answer.Wait())
	}
	return false
}

// expectedBacklog returns how long a further prompt is expected to wait.
func expectedBacklog(answer sched.Answer) time.Duration {
	if answer.Kind() == sched.Send {
		return answer.Backlog()
	}
	return max(answer.Backlog(), answer.Wait())
}

func mark(set *map[cardamom.UpstreamID]bool, id cardamom.UpstreamID) {
	if *set == nil {
		*set = make(map[cardamom.UpstreamID]bool)
	}
	(*set)[id] = true
}

// isLate reports whether the request is to be refused, since too few upstreams remain that may
// send the first event in time.
func (x *exchange) isLate(inTime int) bool {
	return len(x.schedule.late) > 0 && (inTime == 0 || len(x.schedule.late) >= maxLate)
}

// refuseLate refuses a request whose first event would come too late everywhere.
func (x *exchange) refuseLate() {
	x.markEnded()
	x.giveUpFor("schedule_late", max(x.schedule.lateWait, defaultRetryDelay))
}

// holdForSchedule waits until a prompt may be sent or its scheduler is to be asked again. The
// request counts as waiting for its model meanwhile.
func (x *exchange) holdForSchedule(wait time.Duration) {
	s := x.server
	began := time.Now()
	s.Demand.Waiting(x.key, 1)
	defer s.Demand.Waiting(x.key, -1)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-x.ctx.Done():
	}
	took := time.Since(began)
	x.held += took
	x.schedule.waited += took
}

// askScheduler asks the scheduler of an upstream. The request counts as waiting while the call
// waits there.
func (x *exchange) askScheduler(need coord.ScheduleNeed) coord.ScheduleResult {
	s := x.server
	ctx, cancel := context.WithCancel(x.ctx)
	defer cancel()
	stop := context.AfterFunc(s.Closing, cancel)
	defer stop()
	if need.Hold > 0 {
		s.Demand.Waiting(x.key, 1)
		defer s.Demand.Waiting(x.key, -1)
	}
	began := time.Now()
	result := s.Schedulers.Reserve(ctx, need)
	if took := time.Since(began); need.Hold > 0 {
		x.held += took
		x.schedule.waited += took
	} else {
		s.Metrics.ObserveDuration("schedule_call", took)
	}
	return result
}

// attemptID identifies the attempt at hand, also at other instances.
func (x *exchange) attemptID() uint64 {
	return xxhash.Sum64String(string(x.server.Instance) + "|" + x.info.ID + "|" + strconv.Itoa(x.sends+x.rejected))
}

// reportFirstEvent tells the scheduler that the first event of the attempt has arrived.
func (x *exchange) reportFirstEvent(now time.Time) {
	state := &x.schedule
	if !state.reserved || state.hasEvent {
		return
	}
	state.hasEvent = true
	x.server.Metrics.ObserveDuration("first_event_observed", now.Sub(state.sentAt))
	x.server.Schedulers.Report(state.reservation, false, true)
}

// endReservation tells the scheduler that the attempt has ended.
func (x *exchange) endReservation() {
	state := &x.schedule
	if !state.reserved {
		return
	}
	state.reserved = false
	x.server.Schedulers.Report(state.reservation, true, !state.hasEvent)
	state.again, state.probed = nil, nil
}
