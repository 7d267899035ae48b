package coord

import (
	"context"
	"slices"
	"sync"
	"time"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/clock"
	"cardamomcourse.example/cardamom/sched"
	"cardamomcourse.example/cardamom/site"
	"cardamomcourse.example/cardamom/sleep"
	"cardamomcourse.example/cardamom/syncpb"
)

const (
	// reserveTimeout is how long a request waits for the answer of a scheduler.
	reserveTimeout = 30 * time.Millisecond
	// schedulerSilence is how long a scheduler that did not answer is not asked.
	schedulerSilence = 500 * time.Millisecond
	// maxHold bounds how long a call may wait at a scheduler.
	maxHold = 5 * time.Second
	// progressDelay is how long first events wait for others that go to the same scheduler.
	progressDelay = 20 * time.Millisecond
	// progressTimeout bounds telling of them.
	progressTimeout = 500 * time.Millisecond
	// progressTTL is how long ends of streams wait for a call. Schedulers then expect them.
	progressTTL = 3 * time.Second
	// maxProgress bounds what waits to be told to one scheduler.
	maxProgress = 256
)

// ScheduleNeed is a prompt that is to be sent to an upstream.
type ScheduleNeed struct {
	Upstream *site.Upstream
	// Request lacks the instance and the arrival, which are taken from the loop and Waited.
	Request sched.Request
	// Waited is the time since the request arrived.
	Waited time.Duration
	// Hold is how long the call may wait until the prompt may be sent.
	Hold time.Duration
}

// Reservation is an attempt that a scheduler knows.
type Reservation struct {
	scheduler Member
	run       sched.Run
	id        uint64
}

// ScheduleResult is the answer to such a need.
type ScheduleResult struct {
	// Answered reports whether the scheduler answered. Asked reports whether it was asked.
	Answered bool
	Asked    bool
	// Own means that this instance is the scheduler, By which one is.
	Own         bool
	By          cardamom.InstanceID
	Answer      sched.Answer
	Reservation Reservation
}

// schedulers keeps which schedulers don't answer, and what is to be told to them. It is safe
// for concurrent use.
type schedulers struct {
	// timeout is how long a request waits for an answer.
	timeout time.Duration
	mu      sync.Mutex
	silent  map[cardamom.InstanceID]time.Time
	// told is by sync address. A flush is pending for those in flushing.
	told     map[string][]toldProgress
	flushing map[string]bool
}

type toldProgress struct {
	run   sched.Run
	id    uint64
	ended bool
	at    time.Time
}

func newSchedulers() *schedulers {
	return &schedulers{timeout: reserveTimeout, silent: make(map[cardamom.InstanceID]time.Time), told: make(map[string][]toldProgress), flushing: make(map[string]bool)}
}

// mayAsk reports whether a scheduler may be asked.
func (s *schedulers) mayAsk(id cardamom.InstanceID, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	until, ok := s.silent[id]
	if ok && !now.Before(until) {
		delete(s.silent, id)
	}
	return !ok || !now.Before(until)
}

func (s *schedulers) markSilent(id cardamom.InstanceID, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent[id] = now.Add(schedulerSilence)
}

// take returns what is to be told to a scheduler, which counts as told.
func (s *schedulers) take(address string, now time.Time) []*syncpb.StreamProgress {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []*syncpb.StreamProgress
	for _, p := range s.told[address] {
		list = append(list, &syncpb.StreamProgress{Upstream: string(p.run.Upstream), Born: p.run.StartedMs, Id: p.id, Ended: p.ended, AgeMs: now.Sub(p.at).Milliseconds()})
	}
	delete(s.told, address)
	return list
}

// add keeps what is to be told to a scheduler, and reports whether a flush is to be started.
// What is not urgent waits for the next call.
func (s *schedulers) add(address string, p toldProgress, urgent bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.told[address] = slices.DeleteFunc(s.told[address], func(old toldProgress) bool { return p.at.Sub(old.at) > progressTTL })
	if len(s.told[address]) < maxProgress {
		s.told[address] = append(s.told[address], p)
	}
	if !urgent || s.flushing[address] {
		return false
	}
	s.flushing[address] = true
	return true
}

func (s *schedulers) flushed(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.flushing, address)
}

// scheduler returns the member that schedules an upstream; this instance if it knows none.
func (l *Loop) scheduler(upstream cardamom.UpstreamID) Member {
	members := l.View().Members()
	ids := make([]cardamom.InstanceID, 0, len(members))
	for _, m := range members {
		if !m.Leaving {
			ids = append(ids, m.ID)
		}
	}
	id, _ := sched.Scheduler(upstream, ids)
	for _, m := range members {
		if m.ID == id {
			return m
		}
	}
	return Member{ID: l.options.ID}
}

// Reserve asks the scheduler of an upstream when a prompt may be sent there.
func (l *Loop) Reserve(ctx context.Context, need ScheduleNeed) ScheduleResult {
	now := clock.Now()
	to := l.scheduler(need.Upstream.ID)
	need.Request.Instance, need.Request.Arrived = l.options.ID, now.Add(-need.Waited)
	run := sched.Run{Upstream: need.Upstream.ID, StartedMs: need.Upstream.StartedMs}
	result := ScheduleResult{Own: to.ID == l.options.ID, By: to.ID, Reservation: Reservation{to, run, need.Request.ID}}
	if result.Own {
		result.Asked = true
		result.Answer, result.Answered = l.holdReserve(ctx, run, need.Request, need.Hold)
		return result
	}
	if !l.schedulers.mayAsk(to.ID, now) {
		return result
	}
	result.Asked = true
	callCtx, cancel := context.WithTimeout(ctx, l.schedulers.timeout+need.Hold)
	defer cancel()
	request := encodeReserve(need, run)
	request.Progress = l.schedulers.take(to.SyncAddress, now)
	reply, err := l.peers.dial(to.SyncAddress).Reserve(callCtx, request)
	if err != nil {
		if ctx.Err() == nil {
			l.schedulers.markSilent(to.ID, clock.Now())
			l.logger.Debug("scheduler_silent", "instance", to.ID, "upstream", run.Upstream, "reason", err)
		}
		return result
	}
	result.Answered, result.Answer = true, decodeAnswer(reply)
	return result
}

// Report tells the scheduler that the first event of an attempt has arrived, or that it has
// ended. An end is urgent only if there was no event.
func (l *Loop) Report(r Reservation, ended, urgent bool) {
	now := clock.Now()
	if r.scheduler.ID == l.options.ID {
		l.applyProgress(toldProgress{r.run, r.id, ended, now})
		return
	}
	address := r.scheduler.SyncAddress
	if l.schedulers.add(address, toldProgress{r.run, r.id, ended, now}, urgent) {
		time.AfterFunc(progressDelay, func() { l.flushProgress(r.scheduler) })
	}
}

// flushProgress tells a scheduler what waits for it.
func (l *Loop) flushProgress(to Member) {
	l.schedulers.flushed(to.SyncAddress)
	now := clock.Now()
	list := l.schedulers.take(to.SyncAddress, now)
	if len(list) == 0 || !l.schedulers.mayAsk(to.ID, now) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), progressTimeout)
	defer cancel()
	if _, err := l.peers.dial(to.SyncAddress).Progress(ctx, &syncpb.ProgressRequest{Progress: list}); err != nil {
		l.logger.Debug("scheduler_silent", "instance", to.ID, "reason", err)
	}
}

// isAlive returns a function that reports whether an instance is a member. Without members all
// count as alive.
func (l *Loop) isAlive() func(cardamom.InstanceID) bool {
	var members map[cardamom.InstanceID]bool
	return func(id cardamom.InstanceID) bool {
		if members == nil {
			members = make(map[cardamom.InstanceID]bool)
			for _, m := range l.View().Members() {
				members[m.ID] = true
			}
		}
		return len(members) == 0 || members[id]
	}
}

func (l *Loop) applyProgress(p toldProgress) {
	if p.ended {
		l.options.Books.Ended(p.run, p.id, p.at)
		return
	}
	l.options.Books.FirstEvent(p.run, p.id, p.at)
}

func (l *Loop) mergeProgress(list []*syncpb.StreamProgress, now time.Time) {
	for _, wire := range list {
		run := sched.Run{Upstream: cardamom.UpstreamID(wire.GetUpstream()), StartedMs: wire.GetBorn()}
		l.applyProgress(toldProgress{run, wire.GetId(), wire.GetEnded(), now.Add(-milliseconds(wire.GetAgeMs()))})
	}
}

// Reserve implements syncpb.Sync. The control goroutine takes no part.
func (s *Server) Reserve(ctx context.Context, request *syncpb.ReserveRequest) (*syncpb.ReserveReply, error) {
	now := clock.Now()
	s.loop.mergeProgress(request.GetProgress(), now)
	run := sched.Run{Upstream: cardamom.UpstreamID(request.GetUpstream()), StartedMs: request.GetBorn()}
	answer, ok := s.loop.holdReserve(ctx, run, decodeReserve(request, now), min(milliseconds(request.GetHoldMs()), maxHold))
	if !ok {
		return nil, ctx.Err()
	}
	return encodeAnswer(answer), nil
}

// holdReserve answers a request from this instance's book, and waits until its prompt may be
// sent as long as the call may. It returns false if the caller left.
func (l *Loop) holdReserve(ctx context.Context, run sched.Run, r sched.Request, hold time.Duration) (sched.Answer, bool) {
	began := clock.Now()
	remaining := r.Remaining
	for now := began; ; now = clock.Now() {
		elapsed := now.Sub(began)
		r.Remaining, r.Held = remaining-elapsed, elapsed < hold
		answer := l.options.Books.Reserve(run, r, l.isAlive(), now)
		final := answer.Kind() != sched.Wait || !r.Held
		if final && ctx.Err() == nil {
			return answer, true
		}
		if final || !sleep.For(ctx, min(answer.Wait(), hold-elapsed)) {
			l.options.Books.Ended(run, r.ID, clock.Now())
			return sched.Answer{}, false
		}
	}
}

// Progress implements syncpb.Sync.
func (s *Server) Progress(_ context.Context, request *syncpb.ProgressRequest) (*syncpb.ProgressReply, error) {
	s.loop.mergeProgress(request.GetProgress(), clock.Now())
	return &syncpb.ProgressReply{}, nil
}

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

func encodeReserve(need ScheduleNeed, run sched.Run) *syncpb.ReserveRequest {
	r := need.Request
	return &syncpb.ReserveRequest{
		Upstream: string(run.Upstream), Born: run.StartedMs, Id: r.ID, Instance: string(r.Instance), Service: string(r.Service), Model: string(r.Model),
		Tokens: int32(r.Tokens), Urgency: int32(r.Urgency), WaitedMs: need.Waited.Milliseconds(), TargetMs: r.Target.Milliseconds(), GapMs: r.Gap.Milliseconds(),
		RemainingMs: r.Remaining.Milliseconds(), Probe: r.Probe, HoldMs: need.Hold.Milliseconds(),
	}
}

func decodeReserve(wire *syncpb.ReserveRequest, now time.Time) sched.Request {
	return sched.Request{
		ID: wire.GetId(), Instance: cardamom.InstanceID(wire.GetInstance()), Service: cardamom.ServiceID(wire.GetService()), Model: cardamom.ModelID(wire.GetModel()),
		Tokens: int(wire.GetTokens()), Urgency: int(wire.GetUrgency()), Arrived: now.Add(-milliseconds(wire.GetWaitedMs())),
		Target: milliseconds(wire.GetTargetMs()), Gap: milliseconds(wire.GetGapMs()), Remaining: milliseconds(wire.GetRemainingMs()), Probe: wire.GetProbe(),
	}
}

// answerKinds maps the kinds of answers to those of the protocol.
var answerKinds = map[sched.Kind]syncpb.ReserveReply_Answer{
	sched.Send: syncpb.ReserveReply_SEND, sched.Wait: syncpb.ReserveReply_WAIT, sched.Late: syncpb.ReserveReply_LATE,
}

func encodeAnswer(a sched.Answer) *syncpb.ReserveReply {
	return &syncpb.ReserveReply{Answer: answerKinds[a.Kind()], WaitMs: a.Wait().Milliseconds(), ExpectedMs: a.Expected().Milliseconds(), BacklogMs: a.Backlog().Milliseconds(), Reason: string(a.Reason())}
}

func decodeAnswer(wire *syncpb.ReserveReply) sched.Answer {
	kind := sched.Send
	switch wire.GetAnswer() {
	case syncpb.ReserveReply_WAIT:
		kind = sched.Wait
	case syncpb.ReserveReply_LATE:
		kind = sched.Late
	}
	return sched.NewAnswer(kind, milliseconds(wire.GetWaitMs()), milliseconds(wire.GetExpectedMs()), milliseconds(wire.GetBacklogMs()), sched.Reason(wire.GetReason()))
}
