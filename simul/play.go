package simul

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/demand"
	"cardamomcourse.example/cardamom/plan"
	"cardamomcourse.example/cardamom/site"
)

const (
	// connectPause is the pause of a caller that reaches no instance.
	connectPause = 100 * time.Millisecond
	// warmup is the time between the start of the instances and the first request,
	// cooldown the time after the last one in which requests may end.
	warmup   = 3 * time.Second
	cooldown = 30 * time.Second
	// drainTime is how long an engine that leaves goes on with what it runs.
	drainTime = 2 * time.Second
)

// The random numbers of a play come from separate streams, so that a mechanism that is
// switched off does not change the load.
const (
	loadStream = iota + 1
	choiceStream
	faultStream
	lendStream
)

// Option changes a play.
type Option func(p *play)

// mechanisms are those that can be switched off: prompts held back, early exchanges,
// urgent requests first at engines, permits for engines with a rate limit, regard for
// engines that say that they leave or ask for a wait, and credit for retries that other
// instances lend.
var mechanisms = []string{"hold", "early", "priority", "permits", "notices", "lend"}

// Mechanisms returns the names of the mechanisms that Without switches off.
func Mechanisms() string { return strings.Join(mechanisms, ", ") }

// Without switches a mechanism off.
func Without(mechanism string) (Option, error) {
	if !slices.Contains(mechanisms, mechanism) {
		return nil, eris.Errorf("mechanism %q is unknown; there are %s", mechanism, Mechanisms())
	}
	return func(p *play) { p.without[mechanism] = true }, nil
}

// WithProfile replaces the planner's default profile.
func WithProfile(profile plan.Profile) Option { return func(p *play) { p.profile = profile } }

// play is the state of one play.
type play struct {
	scenario    *Scenario
	events      *queue
	without     map[string]bool
	profile     plan.Profile
	engines     map[cardamom.UpstreamID]*engine
	order       []*engine
	instances   []*instance
	coordinator *coordinator
	kinds       []*kind
	result      *Result
	spec        *site.EngineSpec
	choices     *rand.Rand
	faults      *rand.Rand
	lending     *rand.Rand
}

// Play plays a scenario with a seed.
func Play(s *Scenario, seed uint64, options ...Option) *Result {
	p := &play{
		scenario: s, events: &queue{now: time.Unix(1_000_000, 0)}, without: make(map[string]bool), profile: plan.DefaultProfile,
		engines: make(map[cardamom.UpstreamID]*engine), result: &Result{},
		choices: rand.New(rand.NewPCG(seed, choiceStream)), faults: rand.New(rand.NewPCG(seed, faultStream)), lending: rand.New(rand.NewPCG(seed, lendStream)),
	}
	for _, option := range options {
		option(p)
	}
	start := p.events.now
	p.buildEngines(rand.New(rand.NewPCG(seed, loadStream)))
	p.coordinator = newCoordinator(p, p.spec)
	for _, e := range p.order {
		p.coordinator.listed(e, 0)
	}
	for n := range s.wire.Instances {
		i := &instance{play: p, number: n}
		p.instances = append(p.instances, i)
	}
	for _, i := range p.instances {
		i.start(start)
	}
	for _, wire := range s.wire.Kinds {
		p.kinds = append(p.kinds, newKind(wire))
	}
	p.scheduleLoad(rand.New(rand.NewPCG(seed, loadStream)), start.Add(warmup))
	p.scheduleFaults(start.Add(warmup))
	p.events.run(start.Add(warmup + ms(s.wire.LengthMS) + cooldown))
	for _, k := range p.kinds {
		p.result.Kinds = append(p.result.Kinds, k.result)
	}
	return p.result
}

// modelName returns the name of a model by its number.
func modelName(n int) cardamom.ModelID { return cardamom.ModelID(fmt.Sprintf("m%04d", n)) }

// buildEngines makes the engines and places the models: the first groups first, as far
// as there is room.
func (p *play) buildEngines(random *rand.Rand) {
	wire := p.scenario.wire.Engines
	p.spec = &site.EngineSpec{Slots: wire.Slots, MemoryMB: wire.MemoryMB, StoreLoadsPerSecond: wire.StorePerSecond, Models: make(map[cardamom.ModelID]site.Model)}
	for n := range wire.Count {
		e := &engine{play: p, spec: wire, Upstream: site.Upstream{
			Upstream: cardamom.Upstream{ID: cardamom.UpstreamID(fmt.Sprintf("e%03d", n)), Service: service, State: cardamom.Live},
			Slots:    wire.Slots, StartedMs: 1, RegistrationSeq: 1,
			Loaded: make(map[cardamom.ModelID][]string), OnDisk: make(map[cardamom.ModelID]bool),
		}, told: told{leaving: make(map[*instance]time.Time)}}
		p.order = append(p.order, e)
		p.engines[e.ID] = e
	}
	number := 0
	for _, group := range p.scenario.wire.Models {
		for range group.Count {
			name := modelName(number)
			p.spec.Models[name] = site.Model{Name: name, SizeMB: group.SizeMB, StoreLoadTime: ms(wire.StoreMS), DiskLoadTime: ms(wire.DiskMS), MemoryLoadTime: ms(wire.DiskMS)}
			for range max(group.Replicas, 1) {
				p.place(name, group.SizeMB)
			}
			number++
		}
	}
	for _, e := range p.order {
		for range wire.DiskModels {
			e.OnDisk[modelName(random.IntN(number))] = true
		}
		e.changed(p.events.now)
	}
}

// place loads a model on the engine that holds least of those with room for it.
func (p *play) place(name cardamom.ModelID, sizeMB float64) {
	used := func(e *engine) float64 {
		sum := 0.0
		for model := range e.Loaded {
			sum += p.spec.Models[model].SizeMB
		}
		return sum
	}
	var best *engine
	for _, e := range p.order {
		if _, ok := e.Loaded[name]; ok || used(e)+sizeMB > p.spec.MemoryMB {
			continue
		}
		if best == nil || used(e) < used(best) {
			best = e
		}
	}
	if best != nil {
		best.Loaded[name], best.OnDisk[name] = nil, true
	}
}

// scheduleLoad adds the arrivals of all kinds, as Poisson processes.
func (p *play) scheduleLoad(random *rand.Rand, start time.Time) {
	for _, k := range p.kinds {
		for at := 0.0; ; {
			rate := k.wire.PerSecond
			for _, burst := range k.wire.Bursts {
				if t := int64(at * 1000); t >= burst.FromMS && t < burst.ToMS {
					rate *= burst.Factor
				}
			}
			at += random.ExpFloat64() / rate
			if at*1000 >= float64(p.scenario.wire.LengthMS) {
				break
			}
			c := &caller{
				play: p, kind: k, prompt: logNormal(random, k.wire.Prompt, k.wire.PromptSpread), output: logNormal(random, k.wire.Output, k.wire.OutputSpread),
			}
			place := random.Float64()
			p.events.at(start.Add(time.Duration(at*float64(time.Second))), func(now time.Time) {
				c.began, c.model = now, k.model(place)
				k.result.Asked++
				c.window = p.result.window(now.Sub(start))
				c.window.Asked++
				c.attempt(now)
			})
		}
	}
	for _, shift := range p.scenario.wire.Shifts {
		p.events.at(start.Add(ms(shift.AtMS)), func(time.Time) {
			for _, k := range p.kinds {
				k.shift(shift.Places)
			}
		})
	}
}

// model returns the model at a place between 0 and 1 in the weights of the kind.
func (k *kind) model(place float64) cardamom.ModelID {
	total := 0.0
	for _, w := range k.weights {
		total += w
	}
	place *= total
	for n, w := range k.weights {
		if place -= w; place < 0 {
			return modelName(k.wire.Models[0] + n)
		}
	}
	return modelName(k.wire.Models[1])
}

// logNormal returns a size with the given mean and standard deviation of its logarithm.
func logNormal(random *rand.Rand, mean, spread float64) int {
	return max(int(mean*math.Exp(spread*random.NormFloat64()-spread*spread/2)), 1)
}

// pickInstance returns a random instance that is up, nil if none is.
func (p *play) pickInstance() *instance {
	up := slices.DeleteFunc(slices.Clone(p.instances), func(i *instance) bool { return i.down })
	if len(up) == 0 {
		return nil
	}
	return up[p.choices.IntN(len(up))]
}

// scheduleFaults adds the faults.
func (p *play) scheduleFaults(start time.Time) {
	for _, f := range p.scenario.wire.Faults {
		p.events.at(start.Add(ms(f.AtMS)), func(now time.Time) {
			switch f.Do {
			case "restart":
				p.restart(ms(f.ForMS))
			case "limit":
				p.nameLimit(f, now)
			case "wait":
				p.askToWait(f, now)
			default:
				for range max(f.Count, 1) {
					p.lose(f)
				}
			}
		})
	}
}

// restart ends all instances at once and starts them again.
func (p *play) restart(downtime time.Duration) {
	for _, i := range p.instances {
		i.stop()
	}
	p.events.after(downtime, func(now time.Time) {
		planner := plan.New(p.spec, p.profile, false, now)
		p.coordinator.planner, p.coordinator.waiting = planner, nil
		p.coordinator.startLimits()
		p.coordinator.sums, p.coordinator.reports = demand.NewSums(), make(map[int]demand.Report)
		for _, e := range p.order {
			p.coordinator.listed(e, 0)
		}
		for _, i := range p.instances {
			i.start(now)
		}
	})
}

// liveEngines returns the engines that run and don't leave.
func (p *play) liveEngines() []*engine {
	return slices.DeleteFunc(slices.Clone(p.order), func(e *engine) bool { return e.down || e.gone || e.State != cardamom.Live })
}

// lose makes a random live engine crash or leave.
func (p *play) lose(f faultWire) {
	live := p.liveEngines()
	if len(live) == 0 {
		return
	}
	slices.SortFunc(live, func(a, b *engine) int { return cmp.Compare(a.ID, b.ID) })
	e := live[p.faults.IntN(len(live))]
	if f.Do == "crash" {
		e.crash()
		p.events.after(ms(f.ForMS), func(now time.Time) {
			e.restart(now)
			p.coordinator.listed(e, listingDelay)
		})
		return
	}
	e.State = cardamom.Leaving
	p.coordinator.listed(e, cmp.Or(ms(f.ListedAfterMS), listingDelay))
	p.events.after(cmp.Or(ms(f.ForMS), drainTime), func(time.Time) {
		e.gone = true
		e.crash()
		p.coordinator.listed(e, listingDelay)
	})
}
