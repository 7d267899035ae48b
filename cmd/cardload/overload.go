package main

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"cardamomcourse.example/cardamom/fakes/fleet"
)

const (
	// overloadCapacity is how many requests per second the deployment in
	// examples/overload can serve.
	overloadCapacity = 80
	// overloadTokens is the number of tokens of each answer.
	overloadTokens = 16
	// overloadWarmupMS is when the measured load begins, after a few requests that
	// make engines load models.
	overloadWarmupMS = 3000
	// overloadDeadlineMS is the deadline of the measured requests.
	overloadDeadlineMS = 2000
)

// overloadWire is the result of one admission policy under one load. The admission
// policy decides which requests an instance accepts when there are too many.
type overloadWire struct {
	Policy           string  `json:"policy"`
	LoadOverCapacity float64 `json:"load_over_capacity"`
	Sent             int     `json:"sent"`
	// Served is how many requests were served within their deadline.
	Served int `json:"served_in_time"`
	// Goodput is the rate of the requests counted in Served, as a fraction of the
	// capacity.
	Goodput   float64        `json:"goodput_over_capacity"`
	Outcomes  map[string]int `json:"outcomes"`
	FirstP99  float64        `json:"first_p99_ms"`
	Late      int            `json:"late"`
	NoOutcome int            `json:"no_outcome"`
}

func overloadCommand() *cobra.Command {
	var programs string
	var factors []float64
	var policies []string
	var seconds int
	var seed uint64
	command := &cobra.Command{
		Use: "overload", Short: "Compare admission policies below and above capacity", Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			for _, factor := range factors {
				for _, policy := range policies {
					wire, err := overload(command.Context(), programs, policy, factor, seconds, seed)
					if err != nil {
						return err
					}
					line, err := json.Marshal(wire)
					if err != nil {
						return eris.Wrap(err, "encode result")
					}
					fmt.Println(string(line))
				}
			}
			return nil
		},
	}
	flags := command.Flags()
	flags.StringVar(&programs, "programs", "bin", "folder with cardd and cardfake")
	flags.Float64SliceVar(&factors, "factor", []float64{0.5, 2, 10}, "load as a multiple of capacity")
	flags.StringSliceVar(&policies, "policy", []string{"deadline", "fifo", "edf"}, "admission policies")
	flags.IntVar(&seconds, "seconds", 20, "seconds of load")
	flags.Uint64Var(&seed, "seed", 1, "seed")
	return command
}

// overload runs one admission policy under a load of factor times the capacity.
// programs is the folder with the programs cardd and cardfake.
func overload(ctx context.Context, programs, policy string, factor float64, seconds int, seed uint64) (*overloadWire, error) {
	deployment, err := fleet.Load("examples/overload/deployment.jsonc")
	if err != nil {
		return nil, err
	}
	count := int(factor * overloadCapacity * float64(seconds))
	s := &scenario{deployment: deployment, wire: scenarioWire{
		Seed: seed, LimitS: int64(seconds) + 60,
		Settings: map[string]any{"requests": map[string]any{"admission": policy}, "log_level": "warn"},
		Load: []loadWire{
			{Name: "warm", Count: 8, Tokens: overloadTokens, DeadlineMS: overloadWarmupMS},
			{Name: "load", Count: count, StartMS: overloadWarmupMS, OverMS: int64(seconds) * time.Second.Milliseconds(), Tokens: overloadTokens, StreamShare: 1, DeadlineMS: overloadDeadlineMS},
		},
	}}
	r, err := s.run(ctx, programs, "")
	if err != nil {
		return nil, err
	}
	load := r.Series["load"]
	served := load.Outcomes["served"] - load.Late
	return &overloadWire{
		Policy: policy, LoadOverCapacity: factor, Sent: count, Served: served,
		Goodput: float64(served) / (overloadCapacity * float64(seconds)), Outcomes: load.Outcomes,
		FirstP99: load.FirstP99, Late: load.Late, NoOutcome: load.NoOutcome,
	}, nil
}
