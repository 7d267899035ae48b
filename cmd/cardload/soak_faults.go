package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"cardamomcourse.example/cardamom/fakes/host"
)

// soakFault is a fault of a soak. It starts at once, is undone after span and may
// overlap with others.
type soakFault struct {
	name  string
	begin func(s *soak, random *rand.Rand, span time.Duration) (undo func())
}

// namedFaults are injected only if their names are given: with them, the seeds of
// earlier soaks would draw other faults.
var namedFaults = []soakFault{
	{"all_killed", func(s *soak, _ *rand.Rand, _ time.Duration) func() { return s.killAll() }},
	{"all_killed_store_restored", killAllAndRestore},
	{"rate_limit", nameLimit},
	{"all_failing", failEverywhere},
	{"crashing_part", crashOnPart},
	{"says_leaving", sayLeaving},
	{"asks_to_wait", askToWait},
	{"release", releaseEngine},
	{"partition", partition},
	{"late_refusals", refuseTwice},
	{"upstream_stands_still", standStill},
	{"upstream_limits_connections", limitConnections},
	{"upstream_resets_answers", resetAnswers},
	{"upstream_repeats_answers", repeatAnswers},
	{"upstream_repeats_broken_answers", repeatBrokenAnswers},
	{"revocation", revokeKeys},
	{"hot_organisation", exceedLimit},
	{"store_revocation", revokeUnseen},
	{"paused_revocation", revokePaused},
}

// soakFaults are the faults of a soak unless names are given.
var soakFaults = []soakFault{
	{"store_down", storeFault(host.Down)},
	{"store_reset", storeFault(host.Reset)},
	{"store_loses_replies", storeFault(host.LoseReplies)},
	{"store_forgets", func(s *soak, _ *rand.Rand, _ time.Duration) func() { s.site.Store.Compact(); return nil }},
	{"store_restored", restoreStore},
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

// chooseFaults returns the faults with the names, soakFaults if there are none.
func chooseFaults(names []string) ([]soakFault, error) {
	if len(names) == 0 {
		return soakFaults, nil
	}
	all := slices.Concat(soakFaults, namedFaults)
	var chosen []soakFault
	for _, name := range names {
		at := slices.IndexFunc(all, func(fault soakFault) bool { return fault.name == name })
		if at < 0 {
			return nil, eris.Errorf("no fault is named %q", name)
		}
		chosen = append(chosen, all[at])
	}
	return chosen, nil
}

// beginFault starts a random fault and schedules its end.
func (s *soak) beginFault() {
	random := rand.New(rand.NewPCG(s.random.Uint64(), 1))
	chosen := s.faults[s.random.IntN(len(s.faults))]
	span := 200*time.Millisecond + time.Duration(s.random.Int64N(int64(1800*time.Millisecond)))
	s.wire.Faults[chosen.name]++
	var ofStore *interval
	if strings.HasPrefix(chosen.name, "store_") || chosen.name == "all_killed_store_restored" {
		ofStore = s.disturbStore()
	}
	undo := chosen.begin(s, random, span)
	if undo == nil {
		s.releaseStore(ofStore)
		return
	}
	s.pendingUndos.Add(1)
	time.AfterFunc(span, func() {
		defer s.pendingUndos.Done()
		undo()
		s.releaseStore(ofStore)
	})
}

// disturbStore records that the store is disturbed from now on.
func (s *soak) disturbStore() *interval {
	s.mu.Lock()
	defer s.mu.Unlock()
	fault := &interval{from: time.Now()}
	s.storeFaults = append(s.storeFaults, fault)
	return fault
}

// releaseStore records the end of a disturbance of the store, if there is one.
func (s *soak) releaseStore(fault *interval) {
	if fault == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	fault.to = time.Now()
}

// isInTouch reports whether neither the instance of a request nor the store was disturbed
// from soakContact before it to its end: the platform counts only such requests.
func (s *soak) isInTouch(e *sentRequest) bool {
	from := e.began.Add(-soakContact)
	return !overlaps(s.disturbed[e.address], from, e.ended) && !overlaps(s.storeFaults, from, e.ended)
}

// overlaps reports whether one of the intervals, of which those without an end go on, has a
// moment between two times.
func overlaps(list []*interval, from, to time.Time) bool {
	return slices.ContainsFunc(list, func(i *interval) bool { return i.from.Before(to) && (i.to.IsZero() || i.to.After(from)) })
}

func storeFault(fault host.Fault) func(*soak, *rand.Rand, time.Duration) func() {
	return func(s *soak, _ *rand.Rand, _ time.Duration) func() {
		s.site.Store.SetFault(fault)
		return func() { s.site.Store.SetFault(host.NoFault) }
	}
}

// restoreStore copies the store at once; the returned function makes it return from the
// copy after a moment away. Later the operator and the upstreams write again what the
// copy lacks, in any order.
func restoreStore(s *soak, random *rand.Rand, _ time.Duration) func() {
	s.site.Store.Copy()
	return func() {
		s.site.Store.SetFault(host.Reset)
		time.Sleep(time.Duration(random.Int64N(int64(soakMaxAway))))
		s.site.Store.Restore()
		s.site.Store.SetFault(host.NoFault)
		s.mu.Lock()
		upstreams := slices.Clone(s.site.Upstreams)
		s.mu.Unlock()
		writes := []func(){func() { s.site.Store.Put("op", "config", s.config()) }}
		for _, upstream := range upstreams {
			writes = append(writes, upstream.Register)
		}
		random.Shuffle(len(writes), func(i, j int) { writes[i], writes[j] = writes[j], writes[i] })
		for _, write := range writes {
			time.Sleep(time.Duration(random.Int64N(int64(soakMaxRewrite))))
			write()
		}
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

// refuseTwice makes an upstream refuse some of the next requests twice: the second refusal comes
// late, where the next response on the connection is expected.
func refuseTwice(s *soak, random *rand.Rand, _ time.Duration) func() {
	upstream := s.randomUpstream(random)
	for range 12 {
		upstream.AppendBehaviours([]host.Behaviour{host.FullLate, host.UnnamedLate, host.Answer}[random.IntN(3)])
	}
	return nil
}

// replaceUpstream adds an upstream and makes an existing one leave.
func replaceUpstream(s *soak, random *rand.Rand, _ time.Duration) func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	var live []*host.Upstream
	for _, upstream := range s.site.Upstreams {
		if upstream.DrainingSince().IsZero() && upstream.Crashes() == 0 {
			live = append(live, upstream)
		}
	}
	old := live[random.IntN(len(live))]
	service, _, _ := strings.Cut(old.ID(), "-")
	next := host.NewUpstream(s.site.Store, s.upstreamSpec(service))
	next.CrashOn(s.parts...)
	s.site.Add(next)
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
	return func() { s.restart(instance) }
}

// restart starts a stopped instance again once it has ended.
func (s *soak) restart(instance *host.Instance) {
	<-instance.Done()
	instance.Upgrade(s.program)
	if err := instance.Start(); err != nil {
		s.addViolation(fmt.Sprintf("start %s: %v", instance.Name(), err))
	}
	s.release(instance)
}

// killAll kills all instances that no other fault affects; the returned function starts
// them again at the same time.
func (s *soak) killAll() func() {
	s.mu.Lock()
	var killed []*host.Instance
	for _, instance := range s.site.Instances {
		if !s.affected[instance] && instance.Signal(syscall.SIGKILL) == nil {
			s.disturb(instance)
			killed = append(killed, instance)
		}
	}
	s.mu.Unlock()
	return func() {
		var all sync.WaitGroup
		for _, instance := range killed {
			all.Go(func() { s.restart(instance) })
		}
		all.Wait()
	}
}

// killAllAndRestore kills all instances; while they start again, the store returns from
// a copy of the time at which they were killed or before.
func killAllAndRestore(s *soak, random *rand.Rand, span time.Duration) func() {
	restore := restoreStore(s, random, span)
	start := s.killAll()
	return func() {
		var started sync.WaitGroup
		started.Go(start)
		restore()
		started.Wait()
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
	s.disturb(instance)
	return instance
}

// disturb marks an instance as affected by a fault from now on. s.mu must be held.
func (s *soak) disturb(instance *host.Instance) {
	s.affected[instance] = true
	s.disturbed[instance.EntryAddress] = append(s.disturbed[instance.EntryAddress], &interval{from: time.Now()})
}

// release ends the fault that affects an instance.
func (s *soak) release(instance *host.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.affected, instance)
	faults := s.disturbed[instance.EntryAddress]
	faults[len(faults)-1].to = time.Now()
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
		s.release(instance)
	}
}

func reloadInstance(s *soak, random *rand.Rand, _ time.Duration) func() {
	if instance := s.reserveInstance(random); instance != nil {
		if err := instance.Signal(syscall.SIGHUP); err != nil {
			s.addViolation(err.Error())
		}
		s.release(instance)
	}
	return nil
}

// publishConfig publishes a new configuration with an added route.
func (s *soak) publishConfig() {
	s.mu.Lock()
	s.version += 3
	s.mu.Unlock()
	s.site.Store.Put("op", "config", s.config())
}

// config returns the configuration in force.
func (s *soak) config() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	added := map[string]any{
		"name": fmt.Sprintf("added%d", s.version), "host": "h.example", "pathPrefix": "/added/", "kind": "idempotent", "service": "plain", "timeoutMs": 5000, "maxAttempts": 1,
	}
	if s.organisations != nil {
		return host.ConfigFor(s.organisations.list, s.version, soakModels, added)
	}
	return host.Config(s.version, soakModels, added)
}

func (s *soak) addViolation(violation string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wire.Violations = append(s.wire.Violations, fmt.Sprintf("seed %d: %s", s.seed, violation))
}
