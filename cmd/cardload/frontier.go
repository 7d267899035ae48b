package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"cardamomcourse.example/cardamom/fakes/caller"
	"cardamomcourse.example/cardamom/fakes/fleet"
	"cardamomcourse.example/cardamom/pause"
)

// point is one keep-alive setting of the frontier.
type point struct {
	Name   string  `json:"name"`
	Keep   string  `json:"keep"`
	KeepMS int64   `json:"keep_ms"`
	Warm   int     `json:"min_warm"`
	Site   string  `json:"site"`
	Seed   uint64  `json:"seed"`
	Count  int     `json:"requests"`
	Served int     `json:"served"`
	P50    float64 `json:"first_p50_ms"`
	P95    float64 `json:"first_p95_ms"`
	P99    float64 `json:"first_p99_ms"`
	Loads  int     `json:"loads"`
	Cold   float64 `json:"cold_share"`
	Idle   float64 `json:"idle_accelerator_s"`
}

// The shape of a frontier's workload.
const (
	// dayLength is what a day is cut to.
	dayLength = 50 * time.Second
	// days is how many days are played.
	days = 4
	// burstSize is how many requests one burst has on average.
	burstSize = 8
	// burstSpan is how long a burst lasts.
	burstSpan = 3 * time.Second
)

func frontierCommand() *cobra.Command {
	var programs, site string
	var seed uint64
	var parallel int
	command := &cobra.Command{
		Use: "frontier", Short: "Measure tail cold-start time against idle accelerator time", Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return runFrontier(command.Context(), programs, site, seed, parallel)
		},
	}
	flags := command.Flags()
	flags.StringVar(&programs, "programs", "bin", "folder with cardd and cardfake")
	flags.StringVar(&site, "site", "kalliope", "kalliope or salal")
	flags.Uint64Var(&seed, "seed", 1, "seed of the workload")
	flags.IntVar(&parallel, "parallel", 2, "settings measured at once")
	return command
}

func settingsOf(site string, seed uint64) []*point {
	var points []*point
	add := func(name, keep string, ms int64, warm int) {
		points = append(points, &point{Name: name, Keep: keep, KeepMS: ms, Warm: warm, Site: site, Seed: seed})
	}
	add("always-warm", "always", 0, 1)
	add("naive", "fixed", 0, 0)
	for _, ms := range []int64{2000, 5000, 10000, 20000, 40000} {
		add(fmt.Sprintf("fixed-%ds", ms/1000), "fixed", ms, 0)
	}
	for _, ms := range []int64{5000, 10000, 20000, 40000} {
		add(fmt.Sprintf("gaps-%ds", ms/1000), "gaps", ms, 0)
	}
	return points
}

func runFrontier(ctx context.Context, programs, site string, seed uint64, parallel int) error {
	points := settingsOf(site, seed)
	work := make(chan *point)
	errs := make(chan error, len(points))
	var all sync.WaitGroup
	var mu sync.Mutex
	for range parallel {
		all.Go(func() {
			for p := range work {
				if err := p.measure(ctx, programs); err != nil {
					errs <- err
					continue
				}
				line, _ := json.Marshal(p)
				mu.Lock()
				fmt.Println(string(line))
				mu.Unlock()
			}
		})
	}
	for _, p := range points {
		work <- p
	}
	close(work)
	all.Wait()
	close(errs)
	return <-errs
}

// measure plays the workload against a deployment with the point's setting.
func (p *point) measure(ctx context.Context, programs string) error {
	folder, err := os.MkdirTemp("", "cardload-*")
	if err != nil {
		return eris.Wrap(err, "make folder")
	}
	defer os.RemoveAll(folder)
	deployment, err := p.deployment(folder)
	if err != nil {
		return err
	}
	f, err := fleet.Start(ctx, fleet.Options{Deployment: deployment, Programs: programs, Folder: folder, LogLevel: "error"})
	if err != nil {
		return err
	}
	defer f.Stop()
	s := &scenario{deployment: deployment, wire: scenarioWire{Seed: p.Seed}}
	e := &experiment{scenario: s, fleet: f, report: newReport(p.Seed)}
	e.makeCallers()
	e.play(ctx, p.workload(deployment))
	truth, err := f.Truth()
	if err != nil {
		return err
	}
	e.report.judge(truth)
	series := e.report.Series["all"]
	p.Count, p.Served, p.Loads = series.Count, series.Outcomes["served"], e.report.Loads
	p.P50, p.P95, p.P99 = series.FirstP50, series.FirstP95, series.FirstP99
	p.Cold = float64(series.Cold) / float64(series.Count)
	p.Idle = truth.LoadedSeconds - truth.BusySeconds
	if len(e.report.Violations) > 0 {
		return eris.Errorf("%s: %s", p.Name, e.report.Violations[0])
	}
	return nil
}

// frontierSite is the size of a site's workload and upstreams.
type frontierSite struct {
	runners, models int
	// daily is the share of models that come back at the same time each day.
	daily float64
}

func sizeOf(site string) frontierSite {
	if site == "salal" {
		return frontierSite{runners: 9, models: 20, daily: 0.5}
	}
	return frontierSite{runners: 18, models: 60, daily: 0.5}
}

// deployment writes and loads a deployment with the point's profile. A load
// takes about 0.4 s where 16 s would be life: the factor is 40.
func (p *point) deployment(folder string) (*fleet.Deployment, error) {
	size := sizeOf(p.Site)
	models := make(map[string]any, size.models)
	for n := range size.models {
		models[fmt.Sprintf("model-%02d", n)] = map[string]any{"service": "llm", "profile": "p", "memory_mb": 18000, "checkpoint_mb": 16000}
	}
	profiles := map[string]any{
		"profiles": map[string]any{"p": map[string]any{"replicas": 1, "keep": p.Keep, "keep_ms": p.KeepMS, "min_warm": p.Warm, "deadline_ms": 20000}},
		"services": map[string]any{"llm": map[string]any{"kind": "models", "places": []string{"one"}, "fencing": true, "runner_memory_mb": 80000, "load_streams": 4}},
		"models":   models,
	}
	deployment := map[string]any{
		"profiles": "p.json", "places": map[string]int{"one": 2},
		"platform": map[string]any{"loads_per_s": 100, "load_streams": 4, "load_mb_per_s": 60000, "list_lag_ms": 200},
		"upstreams": []any{map[string]any{
			"service": "llm", "kind": "runner", "places": map[string]int{"one": size.runners}, "memory_mb": 80000, "slots": 16,
			"fencing": true, "cache_mb": 16000, "disk_mb_per_s": 120000, "prefill_ms": 5, "interval_ms": 2, "report_lag_ms": 50,
		}},
	}
	for name, value := range map[string]any{"p.json": profiles, "d.json": deployment} {
		body, err := json.Marshal(value)
		if err != nil {
			return nil, eris.Wrap(err, "encode")
		}
		if err := os.WriteFile(filepath.Join(folder, name), body, 0o644); err != nil {
			return nil, eris.Wrap(err, "write")
		}
	}
	return fleet.Load(filepath.Join(folder, "d.json"))
}

// arrival is one request of the workload.
type arrival struct {
	at    time.Duration
	model string
}

// workload draws bursts for each model: some at their hour of each day, the
// others at random, popular models more often.
func (p *point) workload(deployment *fleet.Deployment) []arrival {
	random := rand.New(rand.NewPCG(p.Seed, 7))
	size := sizeOf(p.Site)
	var arrivals []arrival
	for rank, id := range deployment.Document().Models() {
		daily := random.Float64() < size.daily
		hour := time.Duration(random.Int64N(int64(dayLength - burstSpan)))
		for day := range days {
			bursts := 1 + random.IntN(1+8/(rank+1))
			for range bursts {
				begin := time.Duration(random.Int64N(int64(dayLength - burstSpan)))
				if daily {
					begin = hour + time.Duration(random.Int64N(int64(time.Second)))
				}
				begin += time.Duration(day) * dayLength
				for range 1 + random.IntN(2*burstSize) {
					arrivals = append(arrivals, arrival{at: begin + time.Duration(random.Int64N(int64(burstSpan))), model: string(id)})
				}
				if daily {
					break
				}
			}
		}
	}
	return arrivals
}

// play sends the workload at its times.
func (e *experiment) play(ctx context.Context, arrivals []arrival) {
	var all sync.WaitGroup
	for n, a := range arrivals {
		request := caller.Request{Model: a.model, Prompt: fmt.Sprintf("arrival %d", n), Tokens: 8, Stream: true, Deadline: 20 * time.Second}
		from := e.callers[n%len(e.callers)]
		all.Go(func() {
			if pause.For(ctx, a.at) {
				e.report.add("all", request, from.Do(ctx, request))
			}
		})
	}
	all.Wait()
}
