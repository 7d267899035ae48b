// Command cardd runs one instance of the serving system. The instances of a
// deployment share the work: each serves requests of callers to models and plain
// services, and plans which models are loaded on the engines of the cells (sets
// of engines) that it holds. Models need not be in memory all the time: a rarely
// used one is loaded when a request for it arrives.
//
// # Usage
//
//	cardd serve --settings cardd.jsonc
//	cardd check --settings cardd.jsonc
//	cardd dev
//
// serve runs the instance until SIGINT or SIGTERM, check validates a settings
// file without starting anything, and dev demonstrates cold starts and streaming
// with simulated engines in one process.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

func main() {
	if err := newCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func newCommand() *cobra.Command {
	root := &cobra.Command{
		Use: "cardd", Short: "Serve rarely used models", SilenceUsage: true, SilenceErrors: true,
	}
	root.AddCommand(serveCommand(), checkCommand(), devCommand())
	return root
}
