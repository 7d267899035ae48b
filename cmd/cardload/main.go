// Command cardload runs load and fault experiments: it starts a deployment as
// processes, sends load, injects faults and checks every outcome against what
// the fake upstreams recorded.
//
// # Usage
//
//	cardload run --scenario scenarios/mixed.jsonc --programs bin
//	cardload overhead --programs bin
//
// Every run has a time limit.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

func main() {
	if err := newCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "cardload:", err)
		os.Exit(1)
	}
}

func newCommand() *cobra.Command {
	root := &cobra.Command{
		Use: "cardload", Short: "Run load and fault experiments", SilenceUsage: true, SilenceErrors: true,
	}
	root.AddCommand(runCommand(), overheadCommand(), stormCommand(), overloadCommand(), frontierCommand(), spreadCommand(), capacityCommand(), soakCommand())
	return root
}
