package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"cardamomcourse.example/cardamom/fakes"
	"cardamomcourse.example/cardamom/fakes/fleet"
)

// Parameters of a storm: a run of a scenario with random faults.
const (
	// stormSpan is the time over which requests are sent and faults start.
	stormSpan = 6 * time.Second
	// stormFaultsEnd is the time by which every fault has been undone.
	stormFaultsEnd = 8 * time.Second
	// stormTimeout bounds one storm.
	stormTimeout = 90 * time.Second
	// stormFaultCount is how many faults a storm draws.
	stormFaultCount = 4
	// stormServiceRequests is the number of requests to a service without models.
	stormServiceRequests = 110
	// stormModelRequests is the number of requests in each of the two series of
	// requests for models.
	stormModelRequests = 60
)

// stormWire is the result of a series of storms.
type stormWire struct {
	Runs          int            `json:"runs"`
	FailedToStart int            `json:"failed_to_start"`
	Requests      int            `json:"requests"`
	Resends       int            `json:"resends"`
	Keys          int            `json:"keys"`
	Outcomes      map[string]int `json:"outcomes"`
	Loads         int            `json:"loads"`
	Deaths        int            `json:"upstream_deaths"`
	Violations    []string       `json:"violations"`
	Faults        map[string]int `json:"faults"`
	// Plan lists the faults of the storm if only one storm ran.
	Plan []faultWire `json:"plan,omitempty"`
}

func stormCommand() *cobra.Command {
	var programs, folder string
	var paths []string
	var runs, parallel int
	var seed uint64
	command := &cobra.Command{
		Use: "storm", Short: "Run load with seeded random faults", Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			wire := runStorms(command.Context(), paths, programs, folder, seed, runs, parallel)
			body, err := json.MarshalIndent(wire, "", "  ")
			if err != nil {
				return eris.Wrap(err, "encode result")
			}
			fmt.Println(string(body))
			if len(wire.Violations) > 0 {
				return eris.Errorf("%d violations", len(wire.Violations))
			}
			return nil
		},
	}
	flags := command.Flags()
	flags.StringSliceVar(&paths, "deployment", []string{"examples/small/deployment.jsonc", "examples/small/deployment-unfenced.jsonc"}, "deployment files, used alternately")
	flags.StringVar(&programs, "programs", "bin", "folder with cardd and cardfake")
	flags.StringVar(&folder, "folder", "", "folder that keeps the settings and logs of a single storm")
	flags.IntVar(&runs, "runs", 10, "number of storms")
	flags.IntVar(&parallel, "parallel", 2, "number of storms that run in parallel")
	flags.Uint64Var(&seed, "seed", 1, "seed of the first storm")
	return command
}

func runStorms(ctx context.Context, paths []string, programs, folder string, seed uint64, runs, parallel int) *stormWire {
	wire := &stormWire{Outcomes: make(map[string]int), Faults: make(map[string]int)}
	var mu sync.Mutex
	var all sync.WaitGroup
	seeds := make(chan uint64)
	for range parallel {
		all.Go(func() {
			for next := range seeds {
				path := paths[next%uint64(len(paths))]
				s, r, err := runStorm(ctx, path, programs, folder, next)
				mu.Lock()
				wire.add(next, s, r, err)
				mu.Unlock()
			}
		})
	}
	for n := range runs {
		seeds <- seed + uint64(n)
	}
	close(seeds)
	all.Wait()
	return wire
}

func (w *stormWire) add(seed uint64, s *scenario, r *report, err error) {
	if err != nil {
		w.FailedToStart++
		w.Violations = append(w.Violations, fmt.Sprintf("seed %d did not run: %v", seed, err))
		return
	}
	w.Runs++
	w.Plan = nil
	if w.Runs == 1 {
		w.Plan = s.wire.Faults
	}
	for _, fault := range s.wire.Faults {
		w.Faults[fault.Do]++
	}
	for _, series := range r.Series {
		w.Requests += series.Count
		for outcome, count := range series.Outcomes {
			w.Outcomes[outcome] += count
		}
	}
	w.Resends += r.Resends
	w.Keys += r.Keys
	w.Loads += r.Loads
	w.Deaths += r.Deaths
	for _, violation := range r.Violations {
		w.Violations = append(w.Violations, fmt.Sprintf("seed %d: %s", seed, violation))
	}
}

// runStorm runs one storm whose faults and requests all come from the seed.
func runStorm(ctx context.Context, path, programs, folder string, seed uint64) (*scenario, *report, error) {
	deployment, err := fleet.Load(path)
	if err != nil {
		return nil, nil, err
	}
	s := &scenario{deployment: deployment, wire: scenarioWire{
		Proxied: true, Seed: seed, LimitS: int64(stormTimeout.Seconds()),
		Settings: map[string]any{
			"peers":   map[string]any{"exchange_ms": 100, "suspect_ms": 1000},
			"engines": map[string]any{"report_ms": 50, "timeout_ms": 500},
		},
		Load: []loadWire{
			{Name: "labels", Count: stormServiceRequests, OverMS: stormSpan.Milliseconds(), Service: "app", Path: "/labels", Method: "POST", Keyed: true, Resends: 8, DeadlineMS: 3000},
			{Name: "orders", Count: stormModelRequests, OverMS: stormSpan.Milliseconds(), Keyed: true, Resends: 8, Tokens: 8, StreamShare: 0.5, DeadlineMS: 8000},
			{Name: "reads", Count: stormModelRequests, OverMS: stormSpan.Milliseconds(), Tokens: 8, StreamShare: 1, DeadlineMS: 8000},
		},
	}}
	random := rand.New(rand.NewPCG(seed, 0))
	for range stormFaultCount {
		s.wire.Faults = append(s.wire.Faults, randomFault(random, deployment)...)
	}
	r, err := s.run(ctx, programs, folder)
	return s, r, err
}

// randomFault draws a fault together with the step that undoes it.
func randomFault(random *rand.Rand, deployment *fleet.Deployment) []faultWire {
	at := random.Int64N(stormSpan.Milliseconds())
	revertAt := at + 500 + random.Int64N(stormFaultsEnd.Milliseconds()-at)
	instances, engines, services := deployment.Instances(), deployment.Engines(""), deployment.PlainServices("")
	instance := instances[random.IntN(len(instances))].ID
	engine := engines[random.IntN(len(engines))].ID
	service := services[random.IntN(len(services))].ID
	kinds := []string{"drop-reply", "hold", "duplicate", "delay", "refuse", "black-hole"}
	kind := kinds[random.IntN(len(kinds))]
	switch random.IntN(10) {
	case 0, 1:
		return []faultWire{{AtMS: at, Do: "kill", Target: instance}, {AtMS: revertAt, Do: "restart", Target: instance}}
	case 2, 3:
		return []faultWire{{AtMS: at, Do: "pause", Target: instance}, {AtMS: revertAt, Do: "resume", Target: instance}}
	case 4:
		return []faultWire{{AtMS: at, Do: "kill", Target: engine}, {AtMS: revertAt, Do: "restart", Target: engine}}
	case 5:
		return []faultWire{{AtMS: at, Do: "proxy", Target: engine, Proxy: []fakes.Fault{{Path: "/engine/orders", Kind: kind, Count: 3, MS: 1500}}}}
	case 6:
		return []faultWire{{AtMS: at, Do: "proxy", Target: service, Proxy: []fakes.Fault{{Path: "/", Kind: withoutRepeats(kind), Count: 4, MS: 1500}}}}
	case 7:
		return []faultWire{{AtMS: at, Do: "table", Table: fakes.TableFaults{Down: true}}, {AtMS: revertAt, Do: "table"}}
	case 8:
		return []faultWire{{AtMS: at, Do: "table", Table: fakes.TableFaults{DelayMS: 1000, LoseReplies: 3}}, {AtMS: revertAt, Do: "table"}}
	default:
		return []faultWire{{AtMS: at, Do: "weights", Factor: 0.1}, {AtMS: revertAt, Do: "weights", Factor: 1}}
	}
}

// withoutRepeats replaces faults in which the network itself repeats a request:
// a plain service that does not know idempotency keys would run it twice.
func withoutRepeats(kind string) string {
	if kind == "hold" || kind == "duplicate" {
		return "drop-reply"
	}
	return kind
}
