// Command cardctl is the operators' command line: it checks settings and
// profile documents, publishes revisions and shows the status of instances.
//
// # Usage
//
//	cardctl settings check cardd.jsonc
//	cardctl profile check profiles.jsonc
//	cardctl profile diff profiles.jsonc --table 127.0.0.1:7301
//	cardctl profile publish profiles.jsonc --table 127.0.0.1:7301 --base 3
//	cardctl profile history --table 127.0.0.1:7301
//	cardctl profile rollback --to 2 --table 127.0.0.1:7301
//	cardctl status --instance 127.0.0.1:7400
//	cardctl explain REQUEST cardd.log
//	cardctl configuration check config.json --in-force now.json
//
// A profile document lists the models and services and how many replicas each
// model gets. Each published document is a revision in the platform's table.
// explain shows from logs what happened to a request.
//
// The exit code is 0 for success, 1 for an error, 2 for a failed check, 3 for a
// conflict with another edit and 4 for an edit whose outcome is not known. Of
// configuration check it is 1 for warnings and 2 for errors.
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
	// exitError is the code for an error that has no code of its own.
	exitError = 1
	// exitWarnings is the code for a configuration that was checked and has warnings, but
	// no errors.
	exitWarnings = 1
	// exitCheck is the code for settings or a document that failed the check.
	exitCheck = 2
	// exitConflict is the code for an edit that lost against another edit.
	exitConflict = 3
	// exitUnknown is the code for an edit that may or may not have been published.
	exitUnknown = 4
)

func main() {
	err := newCommand().Execute()
	if err == nil {
		return
	}
	if err.Error() != "" {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(exitCode(err))
}

func exitCode(err error) int {
	var check *conf.CheckError
	var audited *auditError
	switch {
	case errors.As(err, &audited):
		return audited.code
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
	root.AddCommand(settingsCommand(), profileCommand(), statusCommand(), explainCommand(), configurationCommand())
	return root
}
