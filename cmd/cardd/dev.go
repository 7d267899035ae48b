package main

import (
	"context"
	_ "embed"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/conf"
	"cardamomcourse.example/cardamom/fakes"
	"cardamomcourse.example/cardamom/fakes/caller"
	"cardamomcourse.example/cardamom/fakes/ports"
	"cardamomcourse.example/cardamom/logs"
	"cardamomcourse.example/cardamom/node"
	"cardamomcourse.example/cardamom/policy"
	"cardamomcourse.example/cardamom/revs"
	"cardamomcourse.example/cardamom/roster"
	"cardamomcourse.example/cardamom/sleep"
	"cardamomcourse.example/cardamom/table"
)

//go:embed dev.profiles.jsonc
var devProfiles []byte

const (
	// devTimeout bounds the whole demonstration.
	devTimeout = 60 * time.Second
	// devDataCentre is the data centre of all instances and engines.
	devDataCentre = "dev"
	// devTokens is the length of each answer in tokens.
	devTokens = 12
	// devRetryPause is the pause between two attempts while the instances start.
	devRetryPause = 50 * time.Millisecond
	// barWidth is the width in characters of the longest bar.
	barWidth = 50
)

func devCommand() *cobra.Command {
	var verbose bool
	command := &cobra.Command{
		Use: "dev", Short: "Demonstrate cold starts and streaming with everything in one process", Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			ctx, cancel := context.WithTimeout(command.Context(), devTimeout)
			defer cancel()
			level := "error"
			if verbose {
				level = "info"
			}
			return runDemo(ctx, command.OutOrStdout(), logs.New(command.ErrOrStderr(), "dev", level))
		},
	}
	command.Flags().BoolVar(&verbose, "verbose", false, "print the instances' logs")
	return command
}

// runDemo runs two instances against a simulated platform and engines and shows
// how requests are served.
func runDemo(ctx context.Context, out io.Writer, logger hclog.Logger) error {
	document, err := policy.Parse("dev.profiles.jsonc", devProfiles)
	if err != nil {
		return err
	}
	platform, err := fakes.StartPlatform(fakes.PlatformOptions{
		TableAddress: "127.0.0.1:0", ListAddress: "127.0.0.1:0", WeightsAddress: "127.0.0.1:0",
		ReadsPerSec: 2000, WritesPerSec: 400, ListLag: 100 * time.Millisecond,
		LoadsPerSec: 3, LoadStreams: 4, LoadMBPerSec: 10000, Document: document,
	})
	if err != nil {
		return err
	}
	defer platform.Close()
	stop, err := startDevEngines(platform)
	defer stop()
	if err != nil {
		return err
	}
	store := table.NewHTTP(platform.TableAddress(), 2*time.Second)
	if _, err := revs.Publish(ctx, store, revs.Edit{ID: "dev", Editor: "dev", Document: devProfiles}, time.Now()); err != nil {
		return err
	}
	addresses, wait, err := startDevInstances(ctx, platform, logger)
	if err != nil {
		return err
	}
	defer wait()
	fmt.Fprintln(out, "two instances, two engines, one platform, all in this process")
	return showRequests(ctx, out, caller.New(addresses, devDataCentre), platform)
}

func startDevEngines(platform *fakes.Platform) (func(), error) {
	var engines []*fakes.Engine
	stop := func() {
		for _, engine := range engines {
			engine.Close()
		}
	}
	for n := range 2 {
		engine, err := fakes.StartEngine(fakes.EngineOptions{
			ID: fmt.Sprintf("runner-%d", n+1), Service: "dev-models", DataCentre: devDataCentre, Address: "127.0.0.1:0",
			Weights: platform.WeightsAddress(), MemoryMB: 40000, Slots: 8, Fencing: true, CacheMB: 100000,
			DiskMBPerSec: 50000, MemoryMBPerSec: 200000, Prefill: 40 * time.Millisecond, Interval: 15 * time.Millisecond,
		})
		if err != nil {
			return stop, err
		}
		engines = append(engines, engine)
	}
	return stop, nil
}

// startDevInstances starts two instances and returns their addresses and a
// function that stops them.
func startDevInstances(ctx context.Context, platform *fakes.Platform, logger hclog.Logger) ([]string, func(), error) {
	runCtx, cancel := context.WithCancel(ctx)
	var addresses []string
	var dones []chan error
	stop := func() {
		cancel()
		for _, end := range dones {
			if err := <-end; err != nil {
				logger.Error("instance_failed", "error", err)
			}
		}
	}
	for n := range 2 {
		settings, err := devSettings(n, platform)
		if err != nil {
			stop()
			return nil, nil, err
		}
		instance, err := node.Build(settings, logger)
		if err != nil {
			stop()
			return nil, nil, err
		}
		done := make(chan error, 1)
		go func() { done <- instance.Run(runCtx) }()
		dones = append(dones, done)
		addresses = append(addresses, settings.Instance().CallerAddress)
		platform.List.Add(roster.MachineWire{
			ID: string(settings.Instance().ID), DataCentre: devDataCentre,
			Address: settings.Instance().CallerAddress, Peer: settings.Instance().PeerAddress,
		}, true, time.Now())
	}
	return addresses, stop, nil
}

func devSettings(n int, platform *fakes.Platform) (*conf.Settings, error) {
	callerAddress, err := ports.Free()
	if err != nil {
		return nil, err
	}
	peerAddress, err := ports.Free()
	if err != nil {
		return nil, err
	}
	text := fmt.Sprintf(`{
		"instance": "entry-%d", "place": %q, "caller_address": %q, "peer_address": %q,
		"platform": {"table": %q, "list": %q, "poll_ms": 200},
		"requests": {"drain_ms": 1000}, "tls": {"off": true}, "peers": {"exchange_ms": 300, "suspect_ms": 900}
	}`, n+1, devDataCentre, callerAddress, peerAddress, platform.TableAddress(), platform.ListAddress())
	return conf.Parse("dev", []byte(text))
}

// demoRequest is one request of the demonstration.
type demoRequest struct {
	title  string
	model  string
	result caller.Result
}

func showRequests(ctx context.Context, out io.Writer, c *caller.Caller, platform *fakes.Platform) error {
	requests := []demoRequest{
		{title: "a cold model", model: "writer"},
		{title: "the same, now warm", model: "writer"},
		{title: "an adapter on the warm base", model: "writer-poems"},
		{title: "a second cold model", model: "reader"},
		{title: "an unknown model", model: "nobody"},
	}
	for i := range requests {
		requests[i].result = ask(ctx, c, requests[i].model)
	}
	longest := time.Millisecond
	for _, r := range requests {
		longest = max(longest, r.result.Total)
	}
	fmt.Fprintf(out, "\n%-30s %-10s %8s %8s  %s\n", "request", "outcome", "first", "total", "░ waiting  █ streaming")
	for _, r := range requests {
		fmt.Fprintf(out, "%-30s %-10s %8s %8s  %s\n", r.title, r.result.Outcome,
			r.result.FirstToken.Round(time.Millisecond), r.result.Total.Round(time.Millisecond), bar(r.result, longest))
	}
	truth := platform.GroundTruth.Snapshot(time.Now())
	fmt.Fprintln(out, "\nloads, as the engines saw them:")
	for model, count := range truth.Loads {
		fmt.Fprintf(out, "  %-14s %d\n", model, count)
	}
	for _, r := range requests[:4] {
		if r.result.Outcome != cardamom.Served || !r.result.Complete {
			return eris.Errorf("%s was not served whole: %s %s", r.title, r.result.Outcome, r.result.Reason)
		}
	}
	return nil
}

// ask sends one request and retries it while the instances are still starting.
func ask(ctx context.Context, c *caller.Caller, model string) caller.Result {
	for {
		result := c.Send(ctx, caller.Request{
			Model: model, Prompt: "Tell me about " + model, Tokens: devTokens, Stream: true, Deadline: 20 * time.Second,
		})
		if result.Reason != "no-address" || ctx.Err() != nil || model == "nobody" {
			return result
		}
		sleep.For(ctx, devRetryPause)
	}
}

func bar(result caller.Result, longest time.Duration) string {
	waiting := int(int64(barWidth) * int64(result.FirstToken) / int64(longest))
	streaming := int(int64(barWidth) * int64(result.Total-result.FirstToken) / int64(longest))
	return strings.Repeat("░", waiting) + strings.Repeat("█", streaming)
}
