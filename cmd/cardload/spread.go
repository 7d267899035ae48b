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
	"cardamomcourse.example/cardamom/fakes"
	"cardamomcourse.example/cardamom/fakes/fleet"
	"cardamomcourse.example/cardamom/revs"
)

const (
	// spreadTimeout bounds the wait until a published revision of the profile document
	// is in force at an instance.
	spreadTimeout = 20 * time.Second
)

// spreadWire is how long published revisions took to be in force at an instance.
type spreadWire struct {
	Instances int `json:"instances"`
	// DelayMS is the delay of the table's replies.
	DelayMS   int64   `json:"table_delay_ms"`
	Published int     `json:"published"`
	P50       float64 `json:"in_force_p50_ms"`
	P99       float64 `json:"in_force_p99_ms"`
	// StepsBack is how often an instance had an older revision in force than before.
	StepsBack int `json:"steps_back"`
	// Samples is how often the revision in force at an instance was read.
	Samples int `json:"samples"`
}

func spreadCommand() *cobra.Command {
	var programs string
	var sizes []int
	var count int
	var delay int64
	command := &cobra.Command{
		Use: "spread", Short: "Measure how long a published revision takes to be in force at each instance", Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			for _, size := range sizes {
				wire, err := measureSpread(command.Context(), programs, size, count, delay)
				if err != nil {
					return err
				}
				line, err := json.Marshal(wire)
				if err != nil {
					return eris.Wrap(err, "encode result")
				}
				fmt.Println(string(line))
			}
			return nil
		},
	}
	flags := command.Flags()
	flags.StringVar(&programs, "programs", "bin", "folder with cardd and cardfake")
	flags.IntSliceVar(&sizes, "instances", []int{8, 32}, "numbers of instances")
	flags.IntVar(&count, "count", 20, "publications")
	flags.Int64Var(&delay, "delay", 0, "delay of the table's replies in milliseconds")
	return command
}

func measureSpread(ctx context.Context, programs string, instances, count int, delay int64) (*spreadWire, error) {
	deployment, err := fleet.Load("examples/small/deployment.jsonc")
	if err != nil {
		return nil, err
	}
	deployment.SetInstanceCounts(map[string]int{"north": instances / 2, "south": instances - instances/2})
	f, stop, err := startFleet(ctx, fleet.Options{Deployment: deployment, Programs: programs, LogLevel: "warn"})
	if err != nil {
		return nil, err
	}
	defer stop()
	if err := f.SetTableFaults(fakes.TableFaults{DelayMS: delay}); err != nil {
		return nil, err
	}
	wire := &spreadWire{Instances: instances, DelayMS: delay, Published: count}
	times := newHistogram()
	for n := range count {
		if err := wire.publish(ctx, f, deployment, n, times); err != nil {
			return nil, err
		}
	}
	wire.P50, wire.P99 = quantile(times, 50), quantile(times, 99)
	return wire, nil
}

// publish publishes a revision of the profile document and records, for each instance,
// the time from the accepted commit until the revision is in force there.
func (w *spreadWire) publish(ctx context.Context, f *fleet.Fleet, deployment *fleet.Deployment, n int, times *hdrhistogram.Histogram) error {
	base := uint64(n + 1)
	edit := revs.Edit{ID: fmt.Sprintf("spread-%d", n), Base: cardamom.Revision(base), Editor: "cardload", Document: deployment.Profiles()}
	if _, err := revs.Publish(ctx, f.Store(), edit, time.Now()); err != nil {
		return err
	}
	accepted := time.Now()
	var all sync.WaitGroup
	var mu sync.Mutex
	for _, instance := range deployment.Instances() {
		all.Go(func() {
			last := uint64(0)
			_ = f.Await(ctx, spreadTimeout, instance.ID, func() bool {
				var status struct {
					Revision uint64 `json:"revision"`
				}
				if f.Status(instance.ID, &status) != nil {
					return false
				}
				mu.Lock()
				defer mu.Unlock()
				w.Samples++
				if status.Revision < last {
					w.StepsBack++
				}
				last = status.Revision
				return status.Revision > base
			})
			mu.Lock()
			defer mu.Unlock()
			_ = times.RecordValue(time.Since(accepted).Microseconds())
		})
	}
	all.Wait()
	return nil
}
