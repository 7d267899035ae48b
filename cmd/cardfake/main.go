// Command cardfake runs fakes of the systems around cardamom for tests: the
// platform, model engines, plain services and a proxy that injects faults.
//
// # Usage
//
//	cardfake platform --deployment examples/kalliope/deployment.jsonc
//	cardfake runner --options '{"ID": "runner-1", ...}'
//	cardfake proxy --front runner-1=127.0.0.1:7001=127.0.0.1:7002
//
// Each command prints one line of JSON with its addresses and runs until SIGINT
// or SIGTERM.
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
		Use: "cardfake", Short: "Run fakes of the platform and of upstreams",
		SilenceUsage: true, SilenceErrors: true,
	}
	root.AddCommand(platformCommand(), engineCommand(), plainCommand(), proxyCommand())
	return root
}
