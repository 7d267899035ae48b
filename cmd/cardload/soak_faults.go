package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"syscall"
	"time"

	"cardamomcourse.example/cardamom/fakes/host"
)

// soakFaults are the faults of a soak by name. Each starts at once, is undone
// after span and may overlap with others.
var soakFaults = []struct {
	name  string
	begin func(s *soak, random *rand.Rand, span time.Duration) (undo func())
}{
	{"store_down", storeFault(host.Down)},
	{"store_reset", storeFault(host.Reset)},
	{"store_loses_replies", storeFault(host.LoseReplies)},
	{"store_forgets", func(s *soak, _ *rand.Rand, _ time.Duration) func() { s.site.Store.Compact(); return nil }},
	{"store_link_silent", storeLinkFault(host.Silent)},
	{"store_link_one_way", storeLinkFault(host.OneWay)},
	{"store_link_delayed", storeLinkFault(host.Delayed)},
	{"upstream_link_reset", upstreamLinkFault(host.Resetting)},
	{"upstream_link_silent", upstreamLinkFault(host.Silent)},
	{"upstream_link_one_way", upstreamLinkFault(host.OneWay)},
	{"upstream_link_delayed", upstreamLinkFault(host.Delayed)},
	{"upstream_misbehaves", misbehave},
	{"upstream_replaced", replaceUpstream},
	{"instance_killed", func(s *soak, r *rand.Rand, _ time.Duration) func() { return s.stopInstance(r, syscall.SIGKILL) }},
	{"instance_stopped", func(s *soak, r *rand.Rand, _ time.Duration) func() { return s.stopInstance(r, syscall.SIGTERM) }},
	{"instance_paused", pauseInstance},
	{"instance_reloads", reloadInstance},
	{"configuration", func(s *soak, _ *rand.Rand, _ time.Duration) func() { s.publishConfig(); return nil }},
}

// beginFault starts a random fault and schedules its end.
func (s *soak) beginFault() {
	random := rand.New(rand.NewPCG(s.random.Uint64(), 1))
	chosen := soakFaults[s.random.IntN(len(soakFaults))]
	span := 200*time.Millisecond + time.Duration(s.random.Int64N(int64(1800*time.Millisecond)))
	s.wire.Faults[chosen.name]++
	undo := chosen.begin(s, random, span)
	if undo == nil {
		return
	}
	s.pendingUndos.Add(1)
	time.AfterFunc(span, func() {
		defer s.pendingUndos.Done()
		undo()
	})
}

func storeFault(fault host.Fault) func(*soak, *rand.Rand, time.Duration) func() {
	return func(s *soak, _ *rand.Rand, _ time.Duration) func() {
		s.site.Store.SetFault(fault)
		return func() { s.site.Store.SetFault(host.NoFault) }
	}
}

func storeLinkFault(fault host.LinkFault) func(*soak, *rand.Rand, time.Duration) func() {
	return func(s *soak, _ *rand.Rand, _ time.Duration) func() {
		s.storeLink.SetFault(fault)
		return func() { s.storeLink.SetFault(host.NoLinkFault) }
	}
}

func upstreamLinkFault(fault host.LinkFault) func(*soak, *rand.Rand, time.Duration) func() {
	return func(s *soak, random *rand.Rand, _ time.Duration) func() {
		upstream := s.randomUpstream(random)
		upstream.Link().SetFault(fault)
		return func() { upstream.Link().SetFault(host.NoLinkFault) }
	}
}

func (s *soak) randomUpstream(random *rand.Rand) *host.Upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.site.Upstreams[random.IntN(len(s.site.Upstreams))]
}

func misbehave(s *soak, random *rand.Rand, _ time.Duration) func() {
	all := []host.Behaviour{
		host.CloseEarly, host.Cut, host.Full, host.UnmarkedRefusal, host.InternalError, host.WrongID, host.Malformed, host.ExtraResponse, host.Unframed, host.Misdirected,
	}
	upstream := s.randomUpstream(random)
	if strings.HasPrefix(upstream.ID(), "models-") {
		// A plain response that is cut in these ways can't be told from a whole one.
		all = append(all, host.UnframedCut, host.UnframedShort, host.UnframedEmpty, host.LengthCut, host.ChunkCut, host.WholeCut)
	}
	for range 5 {
		upstream.AppendBehaviours(all[random.IntN(len(all))])
	}
	return nil
}

// replaceUpstream adds an upstream and makes an existing one leave.
func replaceUpstream(s *soak, random *rand.Rand, _ time.Duration) func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	var live []*host.Upstream
	for _, upstream := range s.site.Upstreams {
		if upstream.DrainingSince().IsZero() {
			live = append(live, upstream)
		}
	}
	old := live[random.IntN(len(live))]
	service, _, _ := strings.Cut(old.ID(), "-")
	s.site.Upstreams = append(s.site.Upstreams, host.NewUpstream(s.site.Store, s.upstreamSpec(service)))
	old.Drain()
	return nil
}

// stopInstance sends the signal to an instance; the returned function starts it
// again once it has ended.
func (s *soak) stopInstance(random *rand.Rand, signal syscall.Signal) func() {
	instance := s.reserveInstance(random)
	if instance == nil || instance.Signal(signal) != nil {
		return nil
	}
	return func() {
		<-instance.Done()
		if err := instance.Start(); err != nil {
			s.addViolation(fmt.Sprintf("start %s: %v", instance.Name(), err))
		}
		s.mu.Lock()
		delete(s.affected, instance)
		s.mu.Unlock()
	}
}

// reserveInstance draws an instance and marks it as affected by a fault. It
// returns nil if another fault already affects the instance.
func (s *soak) reserveInstance(random *rand.Rand) *host.Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	instance := s.site.Instances[random.IntN(len(s.site.Instances))]
	if s.affected[instance] {
		return nil
	}
	s.affected[instance] = true
	return instance
}

func pauseInstance(s *soak, random *rand.Rand, _ time.Duration) func() {
	instance := s.reserveInstance(random)
	if instance == nil || instance.Signal(syscall.SIGSTOP) != nil {
		return nil
	}
	return func() {
		if err := instance.Signal(syscall.SIGCONT); err != nil {
			s.addViolation(err.Error())
		}
		s.mu.Lock()
		delete(s.affected, instance)
		s.mu.Unlock()
	}
}

func reloadInstance(s *soak, random *rand.Rand, _ time.Duration) func() {
	if instance := s.reserveInstance(random); instance != nil {
		if err := instance.Signal(syscall.SIGHUP); err != nil {
			s.addViolation(err.Error())
		}
		s.mu.Lock()
		delete(s.affected, instance)
		s.mu.Unlock()
	}
	return nil
}

// publishConfig publishes a new configuration with an added route.
func (s *soak) publishConfig() {
	s.version += 3
	s.site.Store.Put("op", "config", host.Config(s.version, soakModels, map[string]any{
		"name": fmt.Sprintf("added%d", s.version), "host": "h.example", "pathPrefix": "/added/", "kind": "idempotent", "service": "plain", "timeoutMs": 5000, "maxAttempts": 1,
	}))
}

func (s *soak) addViolation(violation string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wire.Violations = append(s.wire.Violations, fmt.Sprintf("seed %d: %s", s.seed, violation))
}
