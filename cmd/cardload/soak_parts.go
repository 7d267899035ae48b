package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"cardamomcourse.example/cardamom/fakes/host"
	"cardamomcourse.example/cardamom/sleep"
)

const (
	// soakPartNotice is how long after the fifth crash on a part instances send it no more.
	soakPartNotice = 3 * time.Second
	// soakPartCrashes is the number of crashes from which the notice counts, and
	// soakPartLeft how many requests with the part may still be sent after it.
	soakPartCrashes = 5
	soakPartLeft    = 3
	// soakPartPause is the mean pause between two requests with a part that crashes upstreams.
	soakPartPause = 60 * time.Millisecond
	// soakRestartTime is how long an upstream that crashed is away.
	soakRestartTime = 700 * time.Millisecond
)

// crashOnPart makes all engines crash on a new part of prompts, and callers send prompts
// with it, until all other faults have ended as well.
func crashOnPart(s *soak, random *rand.Rand, _ time.Duration) func() {
	s.mu.Lock()
	part := fmt.Sprintf("bad%d", len(s.parts))
	s.parts = append(s.parts, part)
	for _, upstream := range s.site.Upstreams {
		upstream.CrashOn(s.parts...)
	}
	first := len(s.parts) == 1
	s.mu.Unlock()
	if first {
		s.partCallers.Go(s.replaceCrashed)
	}
	prefix := []string{"first:100," + part + ":40,", part + ":40,first:100,"}[random.IntN(2)]
	s.partCallers.Go(func() {
		for n := 0; sleep.For(s.partCtx, time.Duration(random.Int64N(int64(2*soakPartPause)))); n++ {
			s.sendPart(part, prefix, n, random)
		}
	})
	return nil
}

// sendPart sends one request with the part to any instance.
func (s *soak) sendPart(part, prefix string, n int, random *rand.Rand) {
	kind := []string{"/stream/", "/resume/"}[random.IntN(2)]
	address := s.site.Instances[random.IntN(len(s.site.Instances))].EntryAddress
	request := host.Request{ID: fmt.Sprintf("s%d-%s-%d", s.seed, part, n), Path: kind + "x", Address: address, Model: soakModels[random.IntN(len(soakModels))]}
	request.Body, request.Prefix = "body of "+request.ID, fmt.Sprintf("%sown%s:5", prefix, request.ID)
	e := &sentRequest{kind: kind, address: address, body: request.Body, part: part, began: time.Now()}
	s.identifyValid(&request, e)
	s.recordSent(request.ID, e)
	s.partCallers.Go(func() {
		response, err := s.site.Send(context.Background(), request)
		s.recordAnswer(e, response, err)
	})
}

// replaceCrashed starts an upstream for each that has crashed, until the soak ends.
func (s *soak) replaceCrashed() {
	replaced := make(map[string]bool)
	for sleep.For(s.partCtx, soakRestartTime/4) {
		s.mu.Lock()
		for _, upstream := range slices.Clone(s.site.Upstreams) {
			at, crashed := upstream.Crashed()
			if !crashed || replaced[upstream.ID()] || time.Since(at) < soakRestartTime {
				continue
			}
			replaced[upstream.ID()] = true
			s.site.Store.Remove("servers", upstream.ID())
			next := host.NewUpstream(s.site.Store, s.upstreamSpec(upstream.Service()))
			next.CrashOn(s.parts...)
			s.site.Add(next)
		}
		s.mu.Unlock()
	}
}

// soundPrefix returns the parts of a caller's prompt: the first one is also that of prompts
// that crash upstreams.
func soundPrefix(caller, n int) string {
	return fmt.Sprintf("first:100,good%d:40,own%d-%d:5", n%7, caller, n)
}

// crashesOn returns when upstreams crashed on a part, in order.
func (s *soak) crashesOn(part string) []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	var crashes []time.Time
	for _, upstream := range s.site.Upstreams {
		if at, ok := upstream.CrashedOn(part); ok {
			crashes = append(crashes, at)
		}
	}
	slices.SortFunc(crashes, time.Time.Compare)
	return crashes
}

// awaitSoundAgain waits until sound requests have to be served beside the parts that crash
// upstreams: twice the notice after the fifth crash on each part, or the last if there are
// fewer.
func (s *soak) awaitSoundAgain(ctx context.Context) {
	for {
		var from time.Time
		for _, part := range s.parts {
			if crashes := s.crashesOn(part); len(crashes) > 0 {
				if at := crashes[min(len(crashes), soakPartCrashes)-1].Add(2 * soakPartNotice); at.After(from) {
					from = at
				}
			}
		}
		wait := time.Until(from.Add(soakServedTime))
		if from.IsZero() || wait <= 0 || !sleep.For(ctx, wait) {
			return
		}
	}
}

// checkParts checks that no more than a few requests with a part that crashes upstreams
// reach them later than the notice after the fifth crash, from instances that were not
// disturbed since.
func (s *soak) checkParts() {
	for _, part := range s.parts {
		crashes := s.crashesOn(part)
		s.wire.Crashes = append(s.wire.Crashes, len(crashes))
		if len(crashes) < soakPartCrashes {
			continue
		}
		noticed := crashes[soakPartCrashes-1].Add(soakPartNotice)
		late := 0
		for _, upstream := range s.site.Upstreams {
			for _, arrival := range upstream.Arrivals() {
				if e, ok := s.sent[arrival.ID]; ok && e.part == part && arrival.At.After(noticed) && !s.isDisturbed(e.address, arrival.At) {
					late++
				}
			}
		}
		if late > soakPartLeft {
			s.addViolation(fmt.Sprintf("%d requests with the part %s reached upstreams later than %v after the fifth crash; %d crashes", late, part, soakPartNotice, len(crashes)))
		}
	}
}

// isDisturbed reports whether a fault affected an instance at a time, or shortly before.
func (s *soak) isDisturbed(address string, at time.Time) bool {
	return slices.ContainsFunc(s.disturbed[address], func(fault *interval) bool {
		return !fault.from.After(at) && (fault.to.IsZero() || at.Sub(fault.to) < soakDisturbTime)
	})
}
