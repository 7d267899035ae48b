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

// overheadWire is the latency and processor time that an instance adds to
// requests for a loaded model.
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
		Use: "overhead", Short: "Measure the latency that an instance adds to a request for a loaded model", Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			ctx, cancel := context.WithTimeout(command.Context(), defaultTimeout)
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
	flags.IntVar(&requests, "requests", 2000, "requests on each path")
	flags.IntVar(&concurrency, "concurrency", 64, "requests in flight on each path")
	flags.IntVar(&tokens, "tokens", 32, "tokens of each answer")
	return command
}

// requestPath has the results of requests on one path to the upstream: direct or
// through an instance.
type requestPath struct {
	mu      sync.Mutex
	address string
	first   *hdrhistogram.Histogram
	gaps    *hdrhistogram.Histogram
	tokens  int
	failed  int
}

func newRequestPath(address string) *requestPath {
	return &requestPath{address: address, first: newHistogram(), gaps: newHistogram()}
}

func (p *requestPath) add(result caller.Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !result.Complete {
		p.failed++
		return
	}
	_ = p.first.RecordValue(result.FirstToken.Microseconds())
	p.tokens += len(result.Gaps) + 1
	for _, gap := range result.Gaps {
		_ = p.gaps.RecordValue(gap.Microseconds())
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
	c := caller.New([]string{f.Address(instance)}, "")
	warm := caller.Request{Model: model, Prompt: "warm", Tokens: tokens, Stream: true, Deadline: defaultDeadline}
	if result, _ := c.SendTo(ctx, f.Address(instance), 0, warm, time.Now()); result.Outcome != cardamom.Served {
		return nil, eris.Errorf("model was not loaded: %s %s", result.Outcome, result.Reason)
	}
	upstream, err := warmUpstream(ctx, c, f, deployment, warm)
	if err != nil {
		return nil, err
	}
	direct, through := newRequestPath(f.Address(upstream)), newRequestPath(f.Address(instance))
	before, err := f.CPUTime(instance)
	if err != nil {
		return nil, err
	}
	startedAt := time.Now()
	sendAlternating(ctx, c, []*requestPath{direct, through}, warm, requests, concurrency)
	seconds := time.Since(startedAt).Seconds()
	after, err := f.CPUTime(instance)
	if err != nil {
		return nil, err
	}
	if direct.failed+through.failed > 0 {
		return nil, eris.Errorf("%d direct and %d relayed answers were incomplete", direct.failed, through.failed)
	}
	return compare(direct, through, requests, concurrency, (after - before).Seconds(), seconds), nil
}

// warmUpstream returns the engine that has the model loaded.
func warmUpstream(ctx context.Context, c *caller.Caller, f *fleet.Fleet, deployment *fleet.Deployment, request caller.Request) (string, error) {
	for _, engine := range deployment.Engines("") {
		result, _ := c.SendTo(ctx, f.Address(engine.ID), 0, request, time.Now())
		if result.Complete {
			return engine.ID, nil
		}
	}
	return "", eris.New("no engine has the model loaded")
}

// sendAlternating sends the same requests on all paths, alternating between them
// so that changes in machine load affect all paths alike.
func sendAlternating(ctx context.Context, c *caller.Caller, paths []*requestPath, request caller.Request, requests, concurrency int) {
	var all sync.WaitGroup
	work := make(chan int)
	for range concurrency * len(paths) {
		all.Go(func() {
			for n := range work {
				p := paths[n%len(paths)]
				copied := request
				copied.Prompt = fmt.Sprintf("request %d", n/len(paths))
				result, _ := c.SendTo(ctx, p.address, 0, copied, time.Now())
				p.add(result)
			}
		})
	}
	for n := range requests * len(paths) {
		work <- n
	}
	close(work)
	all.Wait()
}

func compare(direct, through *requestPath, requests, concurrency int, cpu, seconds float64) *overheadWire {
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
