// Command cardctl is the operators' command line: it checks settings and
// profile documents, publishes revisions and shows the status of instances.
//
// # Usage
//
//	cardctl settings check cardd.jsonc
//	cardctl profile check profiles.jsonc
//	cardctl profile publish profiles.jsonc --table 127.0.0.1:7301 --base 3
//	cardctl status --instance 127.0.0.1:7400
//
// The exit code is 0 for success, 1 for an error, 2 for a failed check, 3 for a
// conflict with another edit and 4 for an edit whose outcome is not known.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"cardamomcourse.example/cardamom/conf"
	"cardamomcourse.example/cardamom/revs"
)

// Exit codes.
const (
	exitError    = 1
	exitCheck    = 2
	exitConflict = 3
	exitUnknown  = 4
)

func main() {
	err := newCommand().Execute()
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, err)
	os.Exit(exitCode(err))
}

func exitCode(err error) int {
	var check *conf.CheckError
	switch {
	case errors.As(err, &check):
		return exitCheck
	case errors.Is(err, revs.ErrConflict):
		return exitConflict
	case errors.Is(err, revs.ErrOutcomeUnknown):
		return exitUnknown
	default:
		return exitError
	}
}

func newCommand() *cobra.Command {
	root := &cobra.Command{
		Use: "cardctl", Short: "Check and publish profiles, inspect instances", SilenceUsage: true, SilenceErrors: true,
	}
	root.PersistentFlags().Bool("json", false, "print JSON")
	root.AddCommand(settingsCommand(), profileCommand(), statusCommand(), explainCommand())
	return root
}
