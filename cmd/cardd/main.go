// Command cardd runs one instance of the serving system.
//
// # Usage
//
//	cardd serve --settings cardd.jsonc
//	cardd check --settings cardd.jsonc
//	cardd dev
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
