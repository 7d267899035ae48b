package main

import "github.com/spf13/cobra"

func overheadCommand() *cobra.Command {
	return &cobra.Command{Use: "overhead"}
}
