package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"cardamomcourse.example/cardamom/fakes/host"
	"cardamomcourse.example/cardamom/sleep"
)

// Parameters of a soak: a run of instances on a fake platform with random faults.
const (
	// soakFaultInterval is the mean time between the starts of two faults.
	soakFaultInterval = 350 * time.Millisecond
	// soakSettleTime is how long a soak continues after the last fault has ended.
	soakSettleTime = 4 * time.Second
	// soakServedTime is the time at the end in which callers are served as before.
	soakServedTime = time.Second
	// soakCallers is the number of concurrent callers.
	soakCallers = 12
	// soakCallerPause is the mean pause between two requests of a caller.
	soakCallerPause = 25 * time.Millisecond
	// soakAddressTTL is how long callers use an address before the next lookup.
	soakAddressTTL = 1500 * time.Millisecond
	// soakMaxAway is the longest time for which a store that is restored is away.
	soakMaxAway = 400 * time.Millisecond
	// soakMaxRewrite is the longest time between two writes of what the copy lacks.
	soakMaxRewrite = 150 * time.Millisecond
	// soakInstances is the default number of instances.
	soakInstances = 4
	// soakEngineCapacity is how many models an engine can have loaded.
	soakEngineCapacity = 2
)

// soakModels are more models than the engines can have loaded together.
var soakModels = []string{"m1", "m2", "m3", "m4", "m5", "m6", "m7", "m8"}

// soakWire is the result of a series of soaks.
type soakWire struct {
	Seeds    int            `json:"seeds"`
	Requests int            `json:"requests"`
	Outcomes map[string]int `json:"outcomes"`
	Faults   map[string]int `json:"faults"`
	// Crashes is how many engines each part of prompts crashed.
	Crashes []int `json:"crashes,omitempty"`
	// Returns is how often callers took a stream up at an undisturbed instance while two
	// engines with its version served.
	Returns    int      `json:"returns,omitempty"`
	Violations []string `json:"violations"`
	NotStarted []string `json:"not_started"`
}

func soakCommand() *cobra.Command {
	var program, before, folder, regressions, loadName string
	var seed uint64
	var seeds, instances int
	var span time.Duration
	var names []string
	var unfenced bool
	command := &cobra.Command{
		Use: "soak", Short: "Inject seeded faults into instances that run on a fake platform", Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if _, err := os.Stat(program); err != nil {
				return eris.Errorf("program %s not found; build it with: go build -o %s ./cmd/cardfront", program, program)
			}
			wire := &soakWire{Outcomes: make(map[string]int), Faults: make(map[string]int)}
			list, err := regressionSeeds(regressions)
			if err != nil {
				return err
			}
			for n := range seeds {
				list = append(list, seed+uint64(n))
			}
			faults, err := chooseFaults(names)
			if err != nil {
				return err
			}
			load, err := chooseLoad(loadName)
			if err != nil {
				return err
			}
			if load != nil && !command.Flags().Changed("instances") {
				instances = load.instances
			}
			for _, next := range list {
				runSoak(command.Context(), wire, soakRun{load: load, program: program, before: before, folder: folder, seed: next, instances: instances, span: span, faults: faults, unfenced: unfenced})
			}
			body, err := json.MarshalIndent(wire, "", "  ")
			if err != nil {
				return eris.Wrap(err, "encode result")
			}
			if _, err := fmt.Fprintln(command.OutOrStdout(), string(body)); err != nil {
				return err
			}
			if len(wire.Violations) > 0 || len(wire.NotStarted) > 0 {
				return eris.Errorf("%d violations, %d soaks not started", len(wire.Violations), len(wire.NotStarted))
			}
			return nil
		},
	}
	command.Flags().StringVar(&program, "program", "bin/cardfront", "program under test")
	command.Flags().StringVar(&before, "before", "", "an earlier build, which instances run until they are first stopped or killed; the program under test if empty")
	command.Flags().StringVar(&folder, "folder", "", "folder in which logs are kept; a temporary one if empty")
	command.Flags().StringVar(&regressions, "regressions", "", "file of seeds that once failed, run first")
	command.Flags().Uint64Var(&seed, "seed", 1, "seed of the first soak")
	command.Flags().IntVar(&seeds, "seeds", 1, "number of soaks, run one after the other")
	command.Flags().IntVar(&instances, "instances", soakInstances, "number of instances")
	command.Flags().StringSliceVar(&names, "faults", nil, "faults to inject, by name; if empty, all but those that depend on being named: all_killed, all_killed_store_restored, rate_limit, all_failing, revocation, store_revocation, paused_revocation, hot_organisation")
	command.Flags().StringVar(&loadName, "load", "", "load that doesn't wait for answers, by name: "+strings.Join(slices.Sorted(maps.Keys(soakLoads)), ", ")+"; empty for callers that send one request at a time")
	command.Flags().BoolVar(&unfenced, "unfenced", false, "engines accept orders with an older fencing token")
	command.Flags().DurationVar(&span, "span", 8*time.Second, "time during which faults start")
	return command
}

// regressionSeeds reads a file with a seed at the start of each line.
func regressionSeeds(path string) ([]uint64, error) {
	if path == "" {
		return nil, nil
	}
	body, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "read seeds")
	}
	var seeds []uint64
	for n, line := range strings.Split(string(body), "\n") {
		text, _, _ := strings.Cut(line, "#")
		text = strings.TrimSpace(text)
		if text == "" {
			continue
		}
		seed, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return nil, eris.Errorf("%s:%d: %q is not a seed", path, n+1, text)
		}
		seeds = append(seeds, seed)
	}
	return seeds, nil
}

// soak is one run with a seeded series of faults.
type soak struct {
	site *host.Site
	// program is the build that instances run from their first restart on.
	program   string
	storeLink *host.Link
	// load is nil for callers that send one request at a time.
	load     *soakLoad
	random   *rand.Rand
	wire     *soakWire
	seed     uint64
	faults   []soakFault
	unfenced bool

	mu            sync.Mutex
	sent          map[string]*sentRequest
	upstreamCount int
	version       int
	pendingUndos  sync.WaitGroup
	// ended is when callers were told to stop.
	ended    time.Time
	affected map[*host.Instance]bool
	// disturbed are the faults of instances by their entry address.
	disturbed map[string][]*interval
	limits    []*namedLimit
	// storeFaults are the times in which the store was disturbed.
	storeFaults []*interval
	// partitions are the times in which instances reached no upstream.
	partitions []*partitioned
	// parts are the parts of prompts that crash engines. partCallers are the callers that send
	// them until partCtx ends.
	parts       []string
	partCallers sync.WaitGroup
	partCtx     context.Context
	// prompts means that sound requests list the parts of their prompts.
	prompts bool
	// software is the version of new engines' software, 0 if engines have no versions.
	software int
	// organisations is nil for a soak without them.
	organisations *organisations
}

// soakRun describes one soak.
type soakRun struct {
	program string
	// before is the build that instances run until their first restart, program if empty.
	before    string
	folder    string
	seed      uint64
	instances int
	// span is the time during which faults start.
	span   time.Duration
	faults []soakFault
	// load is nil for callers that send one request at a time.
	load *soakLoad
	// unfenced means that engines don't check fencing tokens.
	unfenced bool
}

func runSoak(ctx context.Context, wire *soakWire, run soakRun) {
	wire.Seeds++
	folder, seed := run.folder, run.seed
	if folder == "" {
		made, err := os.MkdirTemp("", "soak")
		if err != nil {
			wire.NotStarted = append(wire.NotStarted, err.Error())
			return
		}
		defer os.RemoveAll(made)
		folder = made
	}
	logs := filepath.Join(folder, fmt.Sprintf("seed-%d", seed))
	if err := os.MkdirAll(logs, 0o750); err != nil {
		wire.NotStarted = append(wire.NotStarted, err.Error())
		return
	}
	s := &soak{
		program: run.program, random: rand.New(rand.NewPCG(seed, seed)), wire: wire, seed: seed, sent: make(map[string]*sentRequest), version: 1,
		affected: make(map[*host.Instance]bool), disturbed: make(map[string][]*interval), faults: run.faults, unfenced: run.unfenced, load: run.load,
	}
	if slices.ContainsFunc(run.faults, func(fault soakFault) bool { return fault.name == "release" }) {
		s.software = 1
	}
	if needsOrganisations(run.faults) {
		s.organisations = newOrganisations()
	}
	if err := s.start(ctx, cmp.Or(run.before, run.program), logs, run.instances); err != nil {
		wire.NotStarted = append(wire.NotStarted, fmt.Sprintf("seed %d: %v", seed, err))
		return
	}
	defer s.site.Close()
	defer s.storeLink.Close()
	callers, stop := context.WithCancel(ctx)
	defer stop()
	s.partCtx = callers
	s.prompts = slices.ContainsFunc(run.faults, func(fault soakFault) bool { return fault.name == "crashing_part" })
	var group sync.WaitGroup
	if s.load != nil {
		group.Go(func() { s.sendLoad(callers) })
	}
	for n := range s.callerCount() {
		group.Add(1)
		random := rand.New(rand.NewPCG(seed, uint64(n)+1000))
		go func() {
			defer group.Done()
			s.runCaller(callers, n, random)
		}()
	}
	for end := time.Now().Add(run.span); time.Now().Before(end); {
		s.beginFault()
		sleep.For(ctx, time.Duration(s.random.Int64N(int64(2*soakFaultInterval))))
	}
	s.pendingUndos.Wait()
	if len(s.limits) > 0 {
		sleep.For(ctx, soakLimitWindow)
	}
	s.endLimits()
	sleep.For(ctx, soakSettleTime)
	s.awaitSoundAgain(ctx)
	s.awaitRevoked(ctx)
	s.checkConfiguration()
	s.ended = time.Now()
	stop()
	group.Wait()
	s.partCallers.Wait()
	s.check()
}

// start starts the fake platform and upstreams, the links to them and the
// instances, and waits until all instances are ready.
func (s *soak) start(ctx context.Context, program, folder string, instances int) error {
	options := host.SiteOptions{
		Program: program, Folder: folder, Instances: instances, Config: host.Config(s.version, soakModels),
		LinkStore: true, Era: "1", Unfenced: s.unfenced, Upstreams: []host.UpstreamSpec{
			s.upstreamSpec("models", "m1", "m2"), s.upstreamSpec("models", "m3", "m4"), s.upstreamSpec("models", "m5", "m6"), s.upstreamSpec("plain"), s.upstreamSpec("plain"), s.upstreamSpec("plain"),
		},
	}
	if s.organisations != nil {
		options.Config, options.KeyMaxAge = host.ConfigFor(s.organisations.list, s.version, soakModels), soakKeyMaxAge
	}
	if s.load != nil {
		options.Upstreams = s.upstreamSpecs()
	} else if s.software > 0 {
		// Each version keeps some engines beside those of others.
		for n := range 5 {
			options.Upstreams = append(options.Upstreams, s.upstreamSpec("models", soakModels[n], soakModels[n+3]))
		}
	}
	site, err := host.NewSite(options)
	if err != nil {
		return err
	}
	s.site, s.storeLink = site, site.StoreLink
	for end := time.Now().Add(20 * time.Second); ; {
		ready := 0
		for _, instance := range site.Instances {
			if addresses, err := site.Lookup(instance); err == nil && len(addresses) == instances && site.IsReady(instance) {
				ready++
			}
		}
		if ready == instances {
			return nil
		}
		if time.Now().After(end) || !sleep.For(ctx, 50*time.Millisecond) {
			site.Close()
			s.storeLink.Close()
			return eris.Errorf("%d of %d instances ready", ready, instances)
		}
	}
}

func (s *soak) upstreamSpec(service string, models ...string) host.UpstreamSpec {
	s.upstreamCount++
	version, pause := "", time.Duration(0)
	if s.software > 0 && service == "models" {
		version, pause = fmt.Sprintf("v%d", s.software), soakEventPause
	}
	var capacity host.Capacity
	if s.load != nil {
		capacity, pause = s.load.plainCapacity, 0
		if service == "models" {
			capacity, pause = s.load.engineCapacity, s.load.eventPause
		}
	}
	return host.UpstreamSpec{
		Capacity: capacity,
		ID:       fmt.Sprintf("%s-%d", service, s.upstreamCount), Service: service, DataCentre: "x", Models: models, Disk: soakModels, Slots: 16,
		LoadTime: 120 * time.Millisecond, MaxModels: soakEngineCapacity, WithLink: true, Unfenced: s.unfenced, Version: version, EventPause: pause,
	}
}

// runCaller sends requests until ctx ends. It keeps its connections as long as it
// uses the same address.
func (s *soak) runCaller(ctx context.Context, caller int, random *rand.Rand) {
	kinds := []string{"/safe/", "/once/", "/stream/", "/resume/"}
	if s.software > 0 {
		kinds = append(kinds, "/resume/", "/resume/", "/resume/", "/resume/")
	}
	session := s.site.NewSession()
	defer session.Close()
	address, until := "", time.Time{}
	for n := 0; sleep.For(ctx, time.Duration(random.Int64N(int64(2*soakCallerPause)))); n++ {
		if address == "" || time.Now().After(until) {
			addresses, err := s.site.Lookup(s.site.Instances[random.IntN(len(s.site.Instances))])
			if err != nil || len(addresses) == 0 {
				continue
			}
			address, until = addresses[random.IntN(len(addresses))], time.Now().Add(soakAddressTTL)
		}
		kind := kinds[random.IntN(len(kinds))]
		request := host.Request{ID: fmt.Sprintf("s%d-c%d-%d", s.seed, caller, n), Path: kind + "x", Address: address}
		request.Body = "body of " + request.ID
		if kind == "/stream/" || kind == "/resume/" {
			request.Model = soakModels[random.IntN(len(soakModels))]
			if s.prompts {
				request.Prefix = soundPrefix(caller, n)
			}
		}
		e := &sentRequest{kind: kind, address: address, body: request.Body, began: time.Now()}
		s.identify(&request, e, random)
		s.recordSent(request.ID, e)
		response, err := session.Send(context.WithoutCancel(ctx), request)
		s.recordAnswer(e, response, err)
		if err != nil {
			address = ""
		}
		if s.software > 0 && isCutStream(kind, response, err) {
			s.takeUp(ctx, request, response, random)
		}
	}
}
