package main

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/fakes/caller"
	"cardamomcourse.example/cardamom/fakes/fleet"
)

// overheadWire is what an instance adds to a warm request.
type overheadWire struct {
	Requests        int     `json:"requests"`
	Concurrency     int     `json:"concurrency"`
	DirectP50       float64 `json:"direct_first_p50_ms"`
	DirectP99       float64 `json:"direct_first_p99_ms"`
	ThroughP50      float64 `json:"through_first_p50_ms"`
	ThroughP99      float64 `json:"through_first_p99_ms"`
	AddedP50        float64 `json:"added_p50_ms"`
	AddedP99        float64 `json:"added_p99_ms"`
	RatioP50        float64 `json:"ratio_p50"`
	RatioP99        float64 `json:"ratio_p99"`
	Tokens          int     `json:"tokens_relayed"`
	CPUSeconds      float64 `json:"instance_cpu_s"`
	TokensPerCPU    float64 `json:"tokens_per_core_s"`
	TokensPerSecond float64 `json:"tokens_per_s"`
	GapP95Direct    float64 `json:"direct_gap_p95_ms"`
	GapP95Through   float64 `json:"through_gap_p95_ms"`
	GapP99Through   float64 `json:"through_gap_p99_ms"`
}

func overheadCommand() *cobra.Command {
	var path, programs string
	var requests, concurrency, tokens int
	command := &cobra.Command{
		Use: "overhead", Short: "Measure what an instance adds to a warm request", Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			ctx, cancel := context.WithTimeout(command.Context(), defaultLimit)
			defer cancel()
			wire, err := measureOverhead(ctx, path, programs, requests, concurrency, tokens)
			if err != nil {
				return err
			}
			body, err := json.MarshalIndent(wire, "", "  ")
			if err != nil {
				return eris.Wrap(err, "encode result")
			}
			fmt.Println(string(body))
			return nil
		},
	}
	flags := command.Flags()
	flags.StringVar(&path, "deployment", "examples/bench/deployment.jsonc", "deployment file")
	flags.StringVar(&programs, "programs", "bin", "folder with cardd and cardfake")
	flags.IntVar(&requests, "requests", 2000, "requests on each way")
	flags.IntVar(&concurrency, "concurrency", 64, "requests in progress on each way")
	flags.IntVar(&tokens, "tokens", 32, "tokens of each answer")
	return command
}

// way is one way to the upstream: straight or through an instance.
type way struct {
	mu      sync.Mutex
	address string
	first   *hdrhistogram.Histogram
	gaps    *hdrhistogram.Histogram
	tokens  int
	failed  int
}

func newWay(address string) *way {
	return &way{address: address, first: newHistogram(), gaps: newHistogram()}
}

func (y *way) add(result caller.Result) {
	y.mu.Lock()
	defer y.mu.Unlock()
	if !result.Whole {
		y.failed++
		return
	}
	_ = y.first.RecordValue(result.First.Microseconds())
	y.tokens += len(result.Gaps) + 1
	for _, gap := range result.Gaps {
		_ = y.gaps.RecordValue(gap.Microseconds())
	}
}

func measureOverhead(ctx context.Context, path, programs string, requests, concurrency, tokens int) (*overheadWire, error) {
	deployment, err := fleet.Load(path)
	if err != nil {
		return nil, err
	}
	f, stop, err := startFleet(ctx, fleet.Options{Deployment: deployment, Programs: programs, LogLevel: "warn"})
	if err != nil {
		return nil, err
	}
	defer stop()
	instance := deployment.Instances()[0].ID
	model := string(deployment.Document().Models()[0])
	c := caller.New([]string{f.Caller(instance)}, "")
	warm := caller.Request{Model: model, Prompt: "warm", Tokens: tokens, Stream: true, Deadline: defaultDeadline}
	if result, _ := c.At(ctx, f.Caller(instance), 0, warm, time.Now()); result.Outcome != cardamom.Served {
		return nil, eris.Errorf("model did not get warm: %s %s", result.Outcome, result.Reason)
	}
	upstream, err := warmUpstream(ctx, c, f, deployment, warm)
	if err != nil {
		return nil, err
	}
	direct, through := newWay(f.Caller(upstream)), newWay(f.Caller(instance))
	before, err := f.CPU(instance)
	if err != nil {
		return nil, err
	}
	begun := time.Now()
	drive(ctx, c, []*way{direct, through}, warm, requests, concurrency)
	seconds := time.Since(begun).Seconds()
	after, err := f.CPU(instance)
	if err != nil {
		return nil, err
	}
	if direct.failed+through.failed > 0 {
		return nil, eris.Errorf("%d direct and %d relayed answers were not whole", direct.failed, through.failed)
	}
	return compare(direct, through, requests, concurrency, (after - before).Seconds(), seconds), nil
}

// warmUpstream finds the runner that has the model.
func warmUpstream(ctx context.Context, c *caller.Caller, f *fleet.Fleet, deployment *fleet.Deployment, request caller.Request) (string, error) {
	for _, runner := range deployment.Runners("") {
		result, _ := c.At(ctx, f.Caller(runner.ID), 0, request, time.Now())
		if result.Whole {
			return runner.ID, nil
		}
	}
	return "", eris.New("no runner has the model")
}

// drive sends the same requests on all ways at once, in turn, so that drift of
// the machine meets all of them.
func drive(ctx context.Context, c *caller.Caller, ways []*way, request caller.Request, requests, concurrency int) {
	var all sync.WaitGroup
	work := make(chan int)
	for range concurrency * len(ways) {
		all.Go(func() {
			for n := range work {
				y := ways[n%len(ways)]
				mine := request
				mine.Prompt = fmt.Sprintf("request %d", n/len(ways))
				result, _ := c.At(ctx, y.address, 0, mine, time.Now())
				y.add(result)
			}
		})
	}
	for n := range requests * len(ways) {
		work <- n
	}
	close(work)
	all.Wait()
}

func compare(direct, through *way, requests, concurrency int, cpu, seconds float64) *overheadWire {
	wire := &overheadWire{
		Requests: requests, Concurrency: concurrency,
		DirectP50: quantile(direct.first, 50), DirectP99: quantile(direct.first, 99),
		ThroughP50: quantile(through.first, 50), ThroughP99: quantile(through.first, 99),
		Tokens: through.tokens, CPUSeconds: cpu, TokensPerCPU: float64(through.tokens) / cpu,
		TokensPerSecond: float64(through.tokens) / seconds,
		GapP95Direct:    quantile(direct.gaps, 95), GapP95Through: quantile(through.gaps, 95),
		GapP99Through: quantile(through.gaps, 99),
	}
	wire.AddedP50, wire.AddedP99 = wire.ThroughP50-wire.DirectP50, wire.ThroughP99-wire.DirectP99
	wire.RatioP50, wire.RatioP99 = wire.ThroughP50/wire.DirectP50, wire.ThroughP99/wire.DirectP99
	return wire
}
