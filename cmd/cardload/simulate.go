package main

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"cardamomcourse.example/cardamom/simul"
)

func simulateCommand() *cobra.Command {
	var path string
	var seeds int
	var without []string
	command := &cobra.Command{
		Use: "simulate", Short: "Play a load on the deciding packages in virtual time", Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			scenario, err := simul.Load(path)
			if err != nil {
				return err
			}
			return simulate(command.OutOrStdout(), scenario, seeds, without)
		},
	}
	command.Flags().StringVar(&path, "scenario", "scenarios/load/busy.jsonc", "scenario file")
	command.Flags().IntVar(&seeds, "seeds", 1, "number of seeds, from the scenario's on")
	command.Flags().StringSliceVar(&without, "without", nil, "mechanisms to switch off: "+simul.Mechanisms())
	return command
}

// simulate plays a scenario with some seeds and prints what callers got.
func simulate(out io.Writer, scenario *simul.Scenario, seeds int, without []string) error {
	var options []simul.Option
	for _, mechanism := range without {
		option, err := simul.Without(mechanism)
		if err != nil {
			return err
		}
		options = append(options, option)
	}
	for n := range seeds {
		seed := scenario.Seed() + uint64(n)
		if _, err := fmt.Fprintf(out, "seed %d\n", seed); err != nil {
			return err
		}
		if err := simul.Play(scenario, seed, options...).Print(out); err != nil {
			return err
		}
	}
	return nil
}
