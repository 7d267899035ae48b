package main

import (
	"encoding/json"
	"fmt"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"
)

// show writes the value as JSON if the flag --json is set, otherwise the text.
func show(command *cobra.Command, value any, text string) error {
	asJSON, err := command.Flags().GetBool("json")
	if err != nil {
		return eris.Wrap(err, "read flag")
	}
	if !asJSON {
		_, err := fmt.Fprintln(command.OutOrStdout(), text)
		return err
	}
	body, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return eris.Wrap(err, "encode output")
	}
	_, err = fmt.Fprintln(command.OutOrStdout(), string(body))
	return err
}
