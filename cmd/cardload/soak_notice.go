package main

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"cardamomcourse.example/cardamom/fakes/host"
)

const (
	// soakLeaveNotice is how long after an instance has passed on an answer that its upstream
	// leaves requests may still reach the upstream from it.
	soakLeaveNotice = 2 * time.Second
	// soakWaitNotice is how long after an upstream has named a wait requests may still reach
	// it from the instance that was told, and soakWaitLeft how many may after that.
	soakWaitNotice = 500 * time.Millisecond
	soakWaitLeft   = 2
)

// sayLeaving makes an upstream say in its answers that it leaves, and adds another one. The
// store doesn't learn of it.
func sayLeaving(s *soak, random *rand.Rand, _ time.Duration) func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	var live []*host.Upstream
	for _, upstream := range s.site.Upstreams {
		if upstream.DrainingSince().IsZero() && upstream.LeavesFrom().IsZero() && upstream.Crashes() == 0 {
			live = append(live, upstream)
		}
	}
	leaving := live[random.IntN(len(live))]
	next := host.NewUpstream(s.site.Store, s.upstreamSpec(leaving.Service()))
	next.CrashOn(s.parts...)
	s.site.Add(next)
	leaving.SayLeaving()
	return nil
}

// askToWait makes an upstream turn requests away and name a wait until the fault ends.
func askToWait(s *soak, random *rand.Rand, span time.Duration) func() {
	upstream := s.randomUpstream(random)
	wait := span.Seconds() * (0.5 + random.Float64())
	upstream.AskToWait(strconv.FormatFloat(wait, 'f', 3, 64))
	return upstream.StopAsking
}

// checkNotices checks that requests stay away from upstreams that said that they leave, or
// asked for a wait.
func (s *soak) checkNotices() {
	for _, upstream := range s.site.Upstreams {
		s.checkLeave(upstream)
		s.checkWaits(upstream)
	}
}

// checkLeave checks an upstream against the answers that instances passed on.
func (s *soak) checkLeave(upstream *host.Upstream) {
	told := make(map[string]time.Time)
	for _, e := range s.sent {
		if e.answered && e.response.Leaving && e.response.Upstream == upstream.ID() && (told[e.address].IsZero() || e.ended.Before(told[e.address])) {
			told[e.address] = e.ended
		}
	}
	for _, arrival := range upstream.Arrivals() {
		e, ok := s.sent[arrival.ID]
		if !ok || told[e.address].IsZero() || e.began.Sub(told[e.address]) < soakLeaveNotice || s.isDisturbedSince(e.address, told[e.address], arrival.At) {
			continue
		}
		s.addViolation(fmt.Sprintf("%s reached %s, sent %v after its instance had passed on that the upstream leaves", arrival.ID, upstream.ID(), e.began.Sub(told[e.address])))
	}
}

// checkWaits checks the waits that an upstream named.
func (s *soak) checkWaits(upstream *host.Upstream) {
	for _, turned := range upstream.TurnedAway() {
		e, ok := s.sent[turned.ID]
		if !ok {
			continue
		}
		late := 0
		for _, arrival := range upstream.Arrivals() {
			other, ok := s.sent[arrival.ID]
			if ok && other.address == e.address && arrival.At.Sub(turned.At) > soakWaitNotice && arrival.At.Sub(turned.At) < turned.Wait &&
				!upstream.Link().ResumedWithin(soakHeldBackTime, arrival.At) && !s.isDisturbedSince(e.address, turned.At, arrival.At) {
				late++
			}
		}
		if late > soakWaitLeft {
			s.addViolation(fmt.Sprintf("%d requests reached %s from the instance that it had told to wait %v", late, upstream.ID(), turned.Wait))
			return
		}
	}
}

// isDisturbedSince reports whether a fault affected an instance between two times.
func (s *soak) isDisturbedSince(address string, from, to time.Time) bool {
	return overlaps(s.disturbed[address], from, to)
}
