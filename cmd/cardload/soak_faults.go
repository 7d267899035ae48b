package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"syscall"
	"time"

	"cardamomcourse.example/cardamom/fakes/host"
)

// soakFaults are the faults of a soak by name. Each begins at once, is taken
// back after the time and may overlap with others.
var soakFaults = []struct {
	name  string
	begin func(s *soak, random *rand.Rand, span time.Duration) (undo func())
}{
	{"store_down", storeFault(host.Down)},
	{"store_reset", storeFault(host.Reset)},
	{"store_loses_replies", storeFault(host.LoseReplies)},
	{"store_forgets", func(s *soak, _ *rand.Rand, _ time.Duration) func() { s.site.Store.Compact(); return nil }},
	{"store_link_silent", storeLink(host.Silent)},
	{"store_link_one_way", storeLink(host.OneWay)},
	{"store_link_delayed", storeLink(host.Delayed)},
	{"upstream_link_reset", upstreamLink(host.Refusing)},
	{"upstream_link_silent", upstreamLink(host.Silent)},
	{"upstream_link_one_way", upstreamLink(host.OneWay)},
	{"upstream_link_delayed", upstreamLink(host.Delayed)},
	{"upstream_misbehaves", misbehave},
	{"upstream_replaced", replace},
	{"instance_killed", func(s *soak, r *rand.Rand, _ time.Duration) func() { return s.signal(r, syscall.SIGKILL) }},
	{"instance_stopped", func(s *soak, r *rand.Rand, _ time.Duration) func() { return s.signal(r, syscall.SIGTERM) }},
	{"instance_paused", pauseInstance},
	{"instance_reloads", reload},
	{"configuration", func(s *soak, _ *rand.Rand, _ time.Duration) func() { s.configure(); return nil }},
}

// fault begins one fault of the plan.
func (s *soak) fault() {
	random := rand.New(rand.NewPCG(s.plan.Uint64(), 1))
	chosen := soakFaults[s.plan.IntN(len(soakFaults))]
	span := 200*time.Millisecond + time.Duration(s.plan.Int64N(int64(1800*time.Millisecond)))
	s.wire.Faults[chosen.name]++
	undo := chosen.begin(s, random, span)
	if undo == nil {
		return
	}
	s.undo.Add(1)
	time.AfterFunc(span, func() {
		defer s.undo.Done()
		undo()
	})
}

func storeFault(fault host.Fault) func(*soak, *rand.Rand, time.Duration) func() {
	return func(s *soak, _ *rand.Rand, _ time.Duration) func() {
		s.site.Store.SetFault(fault)
		return func() { s.site.Store.SetFault(host.Sound) }
	}
}

func storeLink(fault host.LinkFault) func(*soak, *rand.Rand, time.Duration) func() {
	return func(s *soak, _ *rand.Rand, _ time.Duration) func() {
		s.store.SetFault(fault)
		return func() { s.store.SetFault(host.Passing) }
	}
}

func upstreamLink(fault host.LinkFault) func(*soak, *rand.Rand, time.Duration) func() {
	return func(s *soak, random *rand.Rand, _ time.Duration) func() {
		engine := s.engine(random)
		engine.Link().SetFault(fault)
		return func() { engine.Link().SetFault(host.Passing) }
	}
}

func (s *soak) engine(random *rand.Rand) *host.Engine {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.site.Engines[random.IntN(len(s.site.Engines))]
}

func misbehave(s *soak, random *rand.Rand, _ time.Duration) func() {
	all := []host.Behaviour{
		host.Break, host.Cut, host.Full, host.Unfounded, host.Err, host.Stray, host.Noise, host.Extra, host.Unframed, host.Misdirected,
	}
	engine := s.engine(random)
	for range 5 {
		engine.Next(all[random.IntN(len(all))])
	}
	return nil
}

// replace makes an upstream leave and a new one come.
func replace(s *soak, random *rand.Rand, _ time.Duration) func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	var live []*host.Engine
	for _, engine := range s.site.Engines {
		if engine.LeftAt().IsZero() {
			live = append(live, engine)
		}
	}
	old := live[random.IntN(len(live))]
	service, _, _ := strings.Cut(old.ID(), "-")
	s.site.Engines = append(s.site.Engines, host.NewEngine(s.site.Store, s.spec(service)))
	old.Leave()
	return nil
}

// signal ends an instance and starts it again once it has ended.
func (s *soak) signal(random *rand.Rand, signal syscall.Signal) func() {
	instance := s.instance(random)
	if instance == nil || instance.Signal(signal) != nil {
		return nil
	}
	return func() {
		<-instance.Done()
		if err := instance.Start(); err != nil {
			s.note(fmt.Sprintf("start %s: %v", instance.Name(), err))
		}
		s.mu.Lock()
		delete(s.stopping, instance)
		s.mu.Unlock()
	}
}

// instance returns an instance that no other fault has ended, nil if there is
// none; it counts as ended from now on.
func (s *soak) instance(random *rand.Rand) *host.Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	instance := s.site.Instances[random.IntN(len(s.site.Instances))]
	if s.stopping[instance] {
		return nil
	}
	s.stopping[instance] = true
	return instance
}

func pauseInstance(s *soak, random *rand.Rand, _ time.Duration) func() {
	instance := s.instance(random)
	if instance == nil || instance.Signal(syscall.SIGSTOP) != nil {
		return nil
	}
	return func() {
		if err := instance.Signal(syscall.SIGCONT); err != nil {
			s.note(err.Error())
		}
		s.mu.Lock()
		delete(s.stopping, instance)
		s.mu.Unlock()
	}
}

func reload(s *soak, random *rand.Rand, _ time.Duration) func() {
	if instance := s.instance(random); instance != nil {
		if err := instance.Signal(syscall.SIGHUP); err != nil {
			s.note(err.Error())
		}
		s.mu.Lock()
		delete(s.stopping, instance)
		s.mu.Unlock()
	}
	return nil
}

// configure publishes a new configuration with one more route.
func (s *soak) configure() {
	s.version += 3
	s.site.Store.Put("op", "config", host.Config(s.version, soakModels, map[string]any{
		"name": fmt.Sprintf("added%d", s.version), "host": "h.example", "pathPrefix": "/added/", "kind": "idempotent", "service": "plain", "timeoutMs": 5000, "maxAttempts": 1,
	}))
}

func (s *soak) note(violation string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wire.Violations = append(s.wire.Violations, fmt.Sprintf("seed %d: %s", s.seed, violation))
}
