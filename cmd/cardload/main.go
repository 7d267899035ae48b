// Command cardload drives experiments: it starts a deployment as processes,
// sends load, brings about faults and checks every outcome against the truth
// that the stand-ins keep.
//
// # Usage
//
//	cardload run --scenario scenarios/mixed.jsonc --programs bin
//	cardload overhead --programs bin
//
// Every run is bounded and ends by itself.
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
		Use: "cardload", Short: "Drive load, faults and experiments", SilenceUsage: true, SilenceErrors: true,
	}
	root.AddCommand(runCommand(), overheadCommand(), stormCommand(), overloadCommand(), frontierCommand(), spreadCommand(), capacityCommand(), soakCommand())
	return root
}
