package main

import (
	"github.com/spf13/cobra"
)

func devCommand() *cobra.Command {
	return &cobra.Command{Use: "dev", Short: "Show a cold model served, all in one process", Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error { return nil }}
}
