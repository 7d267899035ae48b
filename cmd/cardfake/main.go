// Command cardfake runs the stand-ins for what surrounds the system: the
// platform, model engines, plain services and a proxy that injects faults.
//
// # Usage
//
//	cardfake platform --deployment examples/kalliope/deployment.jsonc
//	cardfake runner --options '{"ID": "runner-1", ...}'
//	cardfake proxy --front runner-1=127.0.0.1:7001=127.0.0.1:7002
//
// Each command prints one line of JSON with its addresses and runs until it is
// told to end.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

func main() {
	if err := newCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "cardfake:", err)
		os.Exit(1)
	}
}

func newCommand() *cobra.Command {
	root := &cobra.Command{
		Use: "cardfake", Short: "Run stand-ins for what surrounds the system",
		SilenceUsage: true, SilenceErrors: true,
	}
	root.AddCommand(platformCommand(), runnerCommand(), plainCommand(), proxyCommand())
	return root
}
