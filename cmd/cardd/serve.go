package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"cardamomcourse.example/cardamom/conf"
	"cardamomcourse.example/cardamom/logs"
	"cardamomcourse.example/cardamom/node"
)

func serveCommand() *cobra.Command {
	var path string
	command := &cobra.Command{
		Use: "serve", Short: "Run the instance until SIGINT or SIGTERM", Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			signals := notifySignals()
			settings, err := conf.Load(path)
			if err != nil {
				return err
			}
			logger := logs.New(os.Stderr, "cardd", settings.LogLevel())
			instance, err := node.Build(settings, logger)
			if err != nil {
				return err
			}
			ctx, stop := untilSignal(command.Context(), signals)
			defer stop()
			return instance.Run(ctx)
		},
	}
	command.Flags().StringVar(&path, "settings", "cardd.jsonc", "settings file")
	return command
}

// notifySignals returns a channel with the signals that the process gets from now on. It is
// called before the settings are read, as a signal that nobody asked for ends the process.
func notifySignals() <-chan os.Signal {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	return signals
}

// untilSignal returns a context that is cancelled at the first SIGINT or SIGTERM.
// A second signal exits the process at once.
func untilSignal(parent context.Context, signals <-chan os.Signal) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(parent)
	go func() {
		<-signals
		cancel()
		<-signals
		os.Exit(1)
	}()
	return ctx, cancel
}

func checkCommand() *cobra.Command {
	var path string
	command := &cobra.Command{
		Use: "check", Short: "Check a settings file without starting anything", Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if _, err := conf.Load(path); err != nil {
				return err
			}
			_, err := fmt.Fprintln(command.OutOrStdout(), path+": ok")
			return err
		},
	}
	command.Flags().StringVar(&path, "settings", "cardd.jsonc", "settings file")
	return command
}
