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
	"cardamomcourse.example/cardamom/sleep"
)

// point is one setting for how long idle models stay loaded, with the measured time
// to the first token of requests and the idle accelerator time: the time that models
// were loaded without requests.
type point struct {
	Name             string  `json:"name"`
	Keep             string  `json:"keep"`
	KeepMS           int64   `json:"keep_ms"`
	MinWarm          int     `json:"min_warm"`
	Site             string  `json:"site"`
	Seed             uint64  `json:"seed"`
	Requests         int     `json:"requests"`
	Served           int     `json:"served"`
	P50              float64 `json:"first_p50_ms"`
	P95              float64 `json:"first_p95_ms"`
	P99              float64 `json:"first_p99_ms"`
	Loads            int     `json:"loads"`
	ColdShare        float64 `json:"cold_share"`
	IdleAcceleratorS float64 `json:"idle_accelerator_s"`
}

// Parameters of the workload under which a frontier is measured. A frontier is the
// points of all settings.
const (
	// dayLength is the duration of one simulated day.
	dayLength = 50 * time.Second
	// days is the number of simulated days.
	days = 4
	// burstSize is the mean number of requests of a burst.
	burstSize = 8
	// burstDuration is the time over which the requests of a burst are spread.
	burstDuration = 3 * time.Second
)

func frontierCommand() *cobra.Command {
	var programs, site string
	var seed uint64
	var parallel int
	command := &cobra.Command{
		Use: "frontier", Short: "Measure tail cold-start latency against idle accelerator time", Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return runFrontier(command.Context(), programs, site, seed, parallel)
		},
	}
	flags := command.Flags()
	flags.StringVar(&programs, "programs", "bin", "folder with cardd and cardfake")
	flags.StringVar(&site, "site", "kalliope", "kalliope or salal")
	flags.Uint64Var(&seed, "seed", 1, "seed of the workload")
	flags.IntVar(&parallel, "parallel", 2, "settings measured in parallel")
	return command
}

func frontierPoints(site string, seed uint64) []*point {
	var points []*point
	add := func(name, keep string, ms int64, warm int) {
		points = append(points, &point{Name: name, Keep: keep, KeepMS: ms, MinWarm: warm, Site: site, Seed: seed})
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
	points := frontierPoints(site, seed)
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

// measure runs the workload against a deployment with the point's setting.
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
	e.sendArrivals(ctx, p.workload(deployment))
	truth, err := f.GroundTruth()
	if err != nil {
		return err
	}
	e.report.check(truth)
	series := e.report.Series["all"]
	p.Requests, p.Served, p.Loads = series.Count, series.Outcomes["served"], e.report.Loads
	p.P50, p.P95, p.P99 = series.FirstP50, series.FirstP95, series.FirstP99
	p.ColdShare = float64(series.Cold) / float64(series.Count)
	p.IdleAcceleratorS = truth.LoadedSeconds - truth.BusySeconds
	if len(e.report.Violations) > 0 {
		return eris.Errorf("%s: %s", p.Name, e.report.Violations[0])
	}
	return nil
}

// siteSize is the number of engines and models of a site.
type siteSize struct {
	engines, models int
	// daily is the share of models that are requested at the same time each day.
	daily float64
}

func siteSizeOf(site string) siteSize {
	if site == "salal" {
		return siteSize{engines: 9, models: 20, daily: 0.5}
	}
	return siteSize{engines: 18, models: 60, daily: 0.5}
}

// deployment writes and loads a deployment with the point's profile. A load
// takes about 0.4 s instead of 16 s in production: time is compressed 40 times.
func (p *point) deployment(folder string) (*fleet.Deployment, error) {
	size := siteSizeOf(p.Site)
	models := make(map[string]any, size.models)
	for n := range size.models {
		models[fmt.Sprintf("model-%02d", n)] = map[string]any{"service": "llm", "profile": "p", "memory_mb": 18000, "checkpoint_mb": 16000}
	}
	profiles := map[string]any{
		"profiles": map[string]any{"p": map[string]any{"replicas": 1, "keep": p.Keep, "keep_ms": p.KeepMS, "min_warm": p.MinWarm, "deadline_ms": 20000}},
		"services": map[string]any{"llm": map[string]any{"kind": "models", "places": []string{"one"}, "fencing": true, "runner_memory_mb": 80000, "load_streams": 4}},
		"models":   models,
	}
	deployment := map[string]any{
		"profiles": "p.json", "places": map[string]int{"one": 2},
		"platform": map[string]any{"loads_per_s": 100, "load_streams": 4, "load_mb_per_s": 60000, "list_lag_ms": 200},
		"upstreams": []any{map[string]any{
			"service": "llm", "kind": "runner", "places": map[string]int{"one": size.engines}, "memory_mb": 80000, "slots": 16,
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

// workload draws bursts for each model: for some models at the same time each
// day, for the others at random times, and more for the first models of the
// document.
func (p *point) workload(deployment *fleet.Deployment) []arrival {
	random := rand.New(rand.NewPCG(p.Seed, 7))
	size := siteSizeOf(p.Site)
	var arrivals []arrival
	for rank, id := range deployment.Document().Models() {
		daily := random.Float64() < size.daily
		dailyTime := time.Duration(random.Int64N(int64(dayLength - burstDuration)))
		for day := range days {
			bursts := 1 + random.IntN(1+8/(rank+1))
			for range bursts {
				begin := time.Duration(random.Int64N(int64(dayLength - burstDuration)))
				if daily {
					begin = dailyTime + time.Duration(random.Int64N(int64(time.Second)))
				}
				begin += time.Duration(day) * dayLength
				for range 1 + random.IntN(2*burstSize) {
					arrivals = append(arrivals, arrival{at: begin + time.Duration(random.Int64N(int64(burstDuration))), model: string(id)})
				}
				if daily {
					break
				}
			}
		}
	}
	return arrivals
}

// sendArrivals sends each request of the workload at its time.
func (e *experiment) sendArrivals(ctx context.Context, arrivals []arrival) {
	var all sync.WaitGroup
	for n, a := range arrivals {
		request := caller.Request{Model: a.model, Prompt: fmt.Sprintf("arrival %d", n), Tokens: 8, Stream: true, Deadline: 20 * time.Second}
		from := e.callers[n%len(e.callers)]
		all.Go(func() {
			if sleep.For(ctx, a.at) {
				e.report.add("all", request, from.Send(ctx, request))
			}
		})
	}
	all.Wait()
}
