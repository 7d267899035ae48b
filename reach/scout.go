package reach

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/clock"
	"cardamomcourse.example/cardamom/sleep"
)

const (
	// scoutInterval is the time between two looks at the tracker.
	scoutInterval = 50 * time.Millisecond
	// probeTimeout bounds one probe, which usually takes a few milliseconds.
	probeTimeout = 400 * time.Millisecond
)

// Prober probes upstreams.
type Prober interface {
	// ProbeTargets returns some upstreams to probe.
	ProbeTargets() []cardamom.Upstream
	// Probe reports whether an upstream answers.
	Probe(ctx context.Context, upstream cardamom.Upstream) bool
}

// Scout probes upstreams when a tracker asks for it.
type Scout struct {
	tracker *Tracker
	prober  Prober
	// onChange is called when the instance is partitioned from now on, or no longer.
	onChange func(partitioned bool)
}

// NewScout returns a scout that calls onChange on each change.
func NewScout(tracker *Tracker, prober Prober, onChange func(partitioned bool)) *Scout {
	return &Scout{tracker: tracker, prober: prober, onChange: onChange}
}

// Serve probes until ctx ends. It implements suture.Service.
func (s *Scout) Serve(ctx context.Context) error {
	for sleep.For(ctx, scoutInterval) {
		if s.tracker.Next(clock.Now()) != Probe {
			continue
		}
		probed, answered := s.probe(ctx)
		if s.tracker.Probed(probed, answered, clock.Now()) {
			s.onChange(s.tracker.Partitioned())
		}
	}
	return ctx.Err()
}

// probe probes some upstreams at once and reports whether there were any and whether one
// answered.
func (s *Scout) probe(ctx context.Context) (probed, answered bool) {
	targets := s.prober.ProbeTargets()
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var all sync.WaitGroup
	var any atomic.Bool
	for _, target := range targets {
		all.Go(func() {
			if s.prober.Probe(ctx, target) {
				any.Store(true)
				cancel()
			}
		})
	}
	all.Wait()
	return len(targets) > 0, any.Load()
}
