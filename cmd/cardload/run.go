package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/fakes/caller"
	"cardamomcourse.example/cardamom/fakes/fleet"
	"cardamomcourse.example/cardamom/sleep"
)

// resendPause is the pause before a caller sends a request with a key again.
const resendPause = 300 * time.Millisecond

func runCommand() *cobra.Command {
	var path, programs, folder, out string
	var seed uint64
	command := &cobra.Command{
		Use: "run", Short: "Run a scenario and check every outcome", Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			s, err := loadScenario(path)
			if err != nil {
				return err
			}
			if seed > 0 {
				s.wire.Seed = seed
			}
			report, err := s.run(command.Context(), programs, folder)
			if err != nil {
				return err
			}
			return report.write(out)
		},
	}
	flags := command.Flags()
	flags.StringVar(&path, "scenario", "", "scenario file")
	flags.StringVar(&programs, "programs", "bin", "folder with cardd and cardfake")
	flags.StringVar(&folder, "folder", "", "folder for settings and logs, a temporary one if empty")
	flags.StringVar(&out, "out", "", "file for the report as JSON, none if empty")
	flags.Uint64Var(&seed, "seed", 0, "seed that replaces the one in the scenario")
	_ = command.MarkFlagRequired("scenario")
	return command
}

// experiment is one run of a scenario.
type experiment struct {
	scenario *scenario
	fleet    *fleet.Fleet
	callers  []*caller.Caller
	report   *report
}

// run starts the deployment, sends the load, injects the faults and checks the outcomes.
// programs is the folder with the programs cardd and cardfake.
func (s *scenario) run(parent context.Context, programs, folder string) (*report, error) {
	ctx, cancel := context.WithTimeout(parent, s.limit())
	defer cancel()
	if folder == "" {
		temporary, err := os.MkdirTemp("", "cardload-*")
		if err != nil {
			return nil, eris.Wrap(err, "make folder")
		}
		defer os.RemoveAll(temporary)
		folder = temporary
	}
	f, err := fleet.Start(ctx, fleet.Options{
		Deployment: s.deployment, Programs: programs, Folder: folder, Proxied: s.wire.Proxied, Extra: s.wire.Settings,
	})
	if err != nil {
		return nil, err
	}
	defer f.Stop()
	e := &experiment{scenario: s, fleet: f, report: newReport(s.wire.Seed)}
	e.makeCallers()
	before, err := f.TableCounts()
	if err != nil {
		return nil, err
	}
	startedAt := time.Now()
	var faults sync.WaitGroup
	for _, fault := range s.wire.Faults {
		faults.Go(func() { e.runFault(ctx, fault) })
	}
	e.sendLoad(ctx)
	faults.Wait()
	e.report.Seconds = time.Since(startedAt).Seconds()
	after, err := f.TableCounts()
	if err != nil {
		return nil, err
	}
	e.report.TableReads, e.report.TableWrites = after.Reads-before.Reads, after.Writes-before.Writes
	truth, err := f.GroundTruth()
	if err != nil {
		return nil, err
	}
	e.report.check(truth)
	return e.report, nil
}

// makeCallers makes a caller in each data centre.
func (e *experiment) makeCallers() {
	var seeds []string
	for _, instance := range e.scenario.deployment.Instances() {
		seeds = append(seeds, e.fleet.Address(instance.ID))
	}
	for _, dataCentre := range e.scenario.deployment.DataCentres() {
		e.callers = append(e.callers, caller.New(seeds, dataCentre))
	}
}

// sendLoad sends all requests and waits for their results.
func (e *experiment) sendLoad(ctx context.Context) {
	var all sync.WaitGroup
	for n, wire := range e.scenario.wire.Load {
		random := rand.New(rand.NewPCG(e.scenario.wire.Seed, uint64(n)))
		for i := range wire.Count {
			request := e.request(wire, i, random)
			at := time.Duration(wire.StartMS) * time.Millisecond
			if wire.OverMS > 0 {
				at += time.Duration(random.Int64N(wire.OverMS)) * time.Millisecond
			}
			from := e.callers[random.IntN(len(e.callers))]
			all.Go(func() { e.send(ctx, wire, from, request, at) })
		}
	}
	all.Wait()
}

func (e *experiment) request(wire loadWire, i int, random *rand.Rand) caller.Request {
	request := caller.Request{
		Service: wire.Service, Path: wire.Path, Method: wire.Method, Tokens: max(wire.Tokens, 1),
		Prompt:   fmt.Sprintf("%s request %d of seed %d, %x", wire.Name, i, e.scenario.wire.Seed, random.Uint64()),
		Deadline: wire.deadline(), Priority: wire.Priority, Stream: random.Float64() < wire.StreamShare,
		Caller: fmt.Sprintf("caller-%d", i%50),
	}
	if wire.Tokens == 0 {
		request.Tokens = defaultTokens
	}
	if wire.Service == "" {
		request.Model = e.model(wire, random)
	}
	if wire.Keyed {
		request.Key = fmt.Sprintf("%s-%d-%d", wire.Name, e.scenario.wire.Seed, i)
	}
	return request
}

// model draws a model. With a skew above 1 the first models of the list are drawn more
// often.
func (e *experiment) model(wire loadWire, random *rand.Rand) string {
	names := wire.Models
	if len(names) == 0 {
		for _, id := range e.scenario.deployment.Document().Models() {
			names = append(names, string(id))
		}
	}
	n := random.IntN(len(names))
	if wire.Skew > 1 {
		n = int(float64(len(names)) * math.Pow(random.Float64(), wire.Skew))
	}
	return names[n]
}

// send sends one request at its time. While the result is unresolved, it sends the
// request again, up to wire.Resends times.
func (e *experiment) send(ctx context.Context, wire loadWire, from *caller.Caller, request caller.Request, at time.Duration) {
	if !sleep.For(ctx, at) {
		return
	}
	result := from.Send(ctx, request)
	e.report.add(wire.Name, request, result)
	for attempt := 0; attempt < wire.Resends && unresolved(result); attempt++ {
		if !sleep.For(ctx, resendPause) {
			return
		}
		result = from.Send(ctx, request)
		e.report.addResend(request, result)
	}
}

// unresolved reports whether the request did not run or its outcome is unknown, so
// that a caller would send it again.
func unresolved(result caller.Result) bool {
	return result.Outcome == cardamom.OutcomeUnknown || result.Outcome == cardamom.NotRun
}

func (r *report) write(out string) error {
	body, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return eris.Wrap(err, "encode report")
	}
	fmt.Println(string(body))
	if out != "" {
		if err := os.WriteFile(out, append(body, '\n'), 0o644); err != nil {
			return eris.Wrap(err, "write report")
		}
	}
	if len(r.Violations) > 0 {
		return eris.Errorf("%d violations", len(r.Violations))
	}
	return nil
}
