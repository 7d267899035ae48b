package main

import (
	"github.com/spf13/cobra"

	"cardamomcourse.example/cardamom/conf"
)

func settingsCommand() *cobra.Command {
	command := &cobra.Command{Use: "settings", Short: "Check an instance's settings"}
	command.AddCommand(&cobra.Command{
		Use: "check FILE", Short: "Check a settings file without starting anything", Args: cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			settings, err := conf.Load(args[0])
			if err != nil {
				return err
			}
			return show(command, checkedWire{File: args[0], OK: true, Instance: string(settings.Instance().ID)}, args[0]+": ok")
		},
	})
	return command
}

// checkedWire is the JSON form of a successful check.
type checkedWire struct {
	File     string `json:"file"`
	OK       bool   `json:"ok"`
	Instance string `json:"instance,omitempty"`
	Models   int    `json:"models,omitempty"`
	Profiles int    `json:"profiles,omitempty"`
}
