// Command cardfront runs one instance of the reverse proxy for the upstreams (back
// ends) of the users' platform.
//
// # Usage
//
//	cardfront serve --settings cardfront.jsonc
//	cardfront check --settings cardfront.jsonc
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/spf13/cobra"

	"cardamomcourse.example/cardamom/front"
	"cardamomcourse.example/cardamom/logs"
)

const (
	// gcPercent lets the heap grow by this many percent before it is collected. An
	// instance uses little of its memory, so it can afford to collect less often.
	gcPercent = 400
	// gcMemoryLimitPercent is the share of the instance's memory limit, in percent,
	// near which the heap is collected more often.
	gcMemoryLimitPercent = 70
	// logFlushTimeout bounds the writing of the last log lines at exit.
	logFlushTimeout = 200 * time.Millisecond
)

func main() {
	if err := newCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func newCommand() *cobra.Command {
	root := &cobra.Command{
		Use: "cardfront", Short: "Serve rarely used models on the platform", SilenceUsage: true, SilenceErrors: true,
	}
	root.AddCommand(serveCommand(), checkCommand())
	return root
}

func serveCommand() *cobra.Command {
	var path string
	command := &cobra.Command{
		Use: "serve", Short: "Run the instance until SIGINT or SIGTERM", Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			signals := notifySignals()
			settings, err := front.Load(path)
			if err != nil {
				return err
			}
			debug.SetGCPercent(gcPercent)
			debug.SetMemoryLimit(settings.Memory() * gcMemoryLimitPercent / 100)
			out := logs.NewBoundedWriter(os.Stdout)
			defer out.Flush(logFlushTimeout)
			logger := logs.New(out, "cardfront", settings.LogLevel())
			instance := front.Build(settings, logger)
			ctx, stop := untilSignal(command.Context(), signals, path, instance, logger)
			defer stop()
			return instance.Run(ctx)
		},
	}
	command.Flags().StringVar(&path, "settings", "cardfront.jsonc", "settings file")
	return command
}

// notifySignals returns a channel with the signals that the process gets from now on. It is
// called before the settings are read, as a signal that nobody asked for ends the process.
func notifySignals() <-chan os.Signal {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	return signals
}

// untilSignal returns a context that is cancelled at SIGINT or SIGTERM. SIGHUP
// reloads the settings; settings that fail the check are logged and ignored.
func untilSignal(parent context.Context, signals <-chan os.Signal, path string, instance *front.Instance, logger hclog.Logger) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(parent)
	go func() {
		for received := range signals {
			if received != syscall.SIGHUP {
				cancel()
				continue
			}
			settings, err := front.Load(path)
			if err != nil {
				logger.Error("settings_rejected", "path", path, "reason", err)
				continue
			}
			instance.Reload(settings)
			logger.Info("settings_reloaded", "path", path, "profiles", len(settings.Profiles().Named))
		}
	}()
	return ctx, cancel
}

func checkCommand() *cobra.Command {
	var path string
	command := &cobra.Command{
		Use: "check", Short: "Check a settings file without starting anything", Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if _, err := front.Load(path); err != nil {
				return err
			}
			_, err := fmt.Fprintln(command.OutOrStdout(), path+": ok")
			return err
		},
	}
	command.Flags().StringVar(&path, "settings", "cardfront.jsonc", "settings file")
	return command
}
