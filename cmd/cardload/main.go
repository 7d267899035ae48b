// Command cardload runs load and fault experiments: it starts a deployment as
// processes, sends load, injects faults and checks every outcome against what
// the fake upstreams recorded.
//
// An upstream is a back end. An engine is an upstream that loads models. A cell
// is a group of engines of a service in one data centre, whose loads are planned
// together. A claim is the record that a request with a key may run; the claims
// are spread over shards. A hold is a lease on a cell or on a shard of the claims.
// Its holder is the instance that has the lease; its witness is the instance that
// keeps a second copy of the holder's state.
//
// # Usage
//
//	cardload run --scenario scenarios/mixed.jsonc --programs bin
//	cardload overhead --programs bin
//	cardload simulate --scenario scenarios/load/busy.jsonc --without hold
//
// Every scenario has a time limit.
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
	root.AddCommand(runCommand(), overheadCommand(), stormCommand(), overloadCommand(), frontierCommand(), spreadCommand(), capacityCommand(), soakCommand(), simulateCommand())
	return root
}
