package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"cardamomcourse.example/cardamom/fakes/host"
)

const (
	// soakLimitNotice is how long after an upstream first named a rate limit the
	// instances keep to it.
	soakLimitNotice = 3 * time.Second
	// soakLimitWindow is the time over which requests are counted against a limit.
	soakLimitWindow = 4 * time.Second
	// soakTellTime is how long after it has passed on an answer with a limit an instance
	// counts as told.
	soakTellTime = 500 * time.Millisecond
	// soakDisturbTime is for how long after a fault an instance is excused.
	soakDisturbTime = 3 * time.Second
	// soakHeldBackTime is for how long after a link has resumed requests that it held
	// back may arrive together.
	soakHeldBackTime = time.Second
	// soakMaxLimit is the greatest limit that is named, in requests a second.
	soakMaxLimit = 8.0
	// soakRetryRatio, soakRetrySlack and soakRetryWindow are the retry budget of the
	// instances' settings.
	soakRetryRatio  = 0.2
	soakRetrySlack  = 50
	soakRetryWindow = 10 * time.Second
)

// namedLimit is a rate limit that an upstream named for a while.
type namedLimit struct {
	upstream  *host.Upstream
	perSecond float64
	from, to  time.Time
}

// interval is the time of a fault; to is zero while it lasts.
type interval struct{ from, to time.Time }

// nameLimit makes an upstream name a rate limit. The returned function ends it when all
// other faults have ended as well, so that limits last longer than the notice.
func nameLimit(s *soak, random *rand.Rand, _ time.Duration) func() {
	upstream, perSecond := s.randomUpstream(random), float64(random.IntN(int(soakMaxLimit*4)))/4
	s.mu.Lock()
	defer s.mu.Unlock()
	if slices.ContainsFunc(s.limits, func(l *namedLimit) bool { return l.upstream == upstream }) {
		return nil
	}
	s.limits = append(s.limits, &namedLimit{upstream: upstream, perSecond: perSecond, from: time.Now()})
	upstream.NameRateLimit(strconv.FormatFloat(perSecond, 'f', -1, 64))
	return nil
}

// endLimits makes all upstreams name no limit any more.
func (s *soak) endLimits() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.limits {
		l.to = time.Now()
		l.upstream.NameRateLimit()
	}
}

// failEverywhere makes all upstreams reject, fail or lose their next requests until the
// returned function is called.
func failEverywhere(s *soak, random *rand.Rand, _ time.Duration) func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	failing := slices.Clone(s.site.Upstreams)
	for _, upstream := range failing {
		for range 200 {
			upstream.AppendBehaviours([]host.Behaviour{host.Full, host.Full, host.CloseEarly, host.InternalError}[random.IntN(4)])
		}
	}
	return func() {
		for _, upstream := range failing {
			upstream.ClearBehaviours()
		}
	}
}

// checkLimits checks that upstreams got no more than the limits that they had named,
// from instances that had passed on an answer with it and were not disturbed since.
func (s *soak) checkLimits() {
	for _, l := range s.limits {
		var counted []time.Time
		for _, arrival := range l.upstream.Arrivals() {
			if arrival.At.Before(l.from.Add(soakLimitNotice)) || !arrival.At.Before(l.to) || l.upstream.Link().ResumedWithin(soakHeldBackTime, arrival.At) {
				continue
			}
			if sent, ok := s.sent[arrival.ID]; ok && s.isTold(sent.address, l, arrival.At) {
				counted = append(counted, arrival.At)
			}
		}
		allowed := int(1.5*l.perSecond*soakLimitWindow.Seconds()) + 5
		if most := host.MostWithin(counted, soakLimitWindow); most > allowed {
			s.addViolation(fmt.Sprintf("%s named a limit of %g a second and got %d requests in %v from instances that it had told; %d allowed", l.upstream.ID(), l.perSecond, most, soakLimitWindow, allowed))
		}
	}
}

// isTold reports whether an instance had passed on an answer with the limit early
// enough, and was not disturbed since.
func (s *soak) isTold(address string, l *namedLimit, at time.Time) bool {
	told := time.Time{}
	for _, e := range s.sent {
		if e.address == address && e.answered && e.response.RateLimited && e.response.Upstream == l.upstream.ID() && e.ended.After(l.from) && (told.IsZero() || e.ended.Before(told)) {
			told = e.ended
		}
	}
	if told.IsZero() || at.Sub(told) < soakTellTime {
		return false
	}
	return !s.isDisturbed(address, at)
}

// checkBudget checks that no service got more repeated sends than the retry budget
// allows all instances together.
func (s *soak) checkBudget() {
	repeats, requests := make(map[string][]time.Time), make(map[string][]time.Time)
	first := make(map[string]bool)
	for _, upstream := range s.site.Upstreams {
		for _, arrival := range upstream.Arrivals() {
			if first[arrival.ID] {
				repeats[upstream.Service()] = append(repeats[upstream.Service()], arrival.At)
			}
			first[arrival.ID] = true
		}
	}
	for _, e := range s.sent {
		requests[e.service()] = append(requests[e.service()], e.began)
	}
	for service, times := range repeats {
		slices.SortFunc(times, time.Time.Compare)
		for _, start := range times {
			most := 0
			for _, shift := range []time.Duration{0, soakRetryWindow / 2, soakRetryWindow} {
				most = max(most, countWithin(requests[service], start.Add(-shift), soakRetryWindow))
			}
			sent, allowed := countWithin(times, start, soakRetryWindow), soakRetryRatio*float64(most)+soakRetrySlack
			if float64(sent) > allowed {
				s.addViolation(fmt.Sprintf("%s got %d repeated sends in %v for %d requests; %.0f allowed", service, sent, soakRetryWindow, most, allowed))
				break
			}
		}
	}
}

// countWithin counts the times in the window that begins at start.
func countWithin(times []time.Time, start time.Time, window time.Duration) int {
	count := 0
	for _, at := range times {
		if !at.Before(start) && at.Sub(start) < window {
			count++
		}
	}
	return count
}

// service returns the service that the request was for.
func (e *sentRequest) service() string {
	if e.kind == "/stream/" || e.kind == "/resume/" {
		return "models"
	}
	return "plain"
}
