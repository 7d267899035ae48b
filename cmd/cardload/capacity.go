package main

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"
)

// capacityTimeout bounds the time of all measurements together.
const capacityTimeout = 15 * time.Minute

// The markers around the measured section of the page.
const (
	pageBegin = "<!-- measured: begin -->"
	pageEnd   = "<!-- measured: end -->"
)

// slopeSpec describes a slope to measure: a cost as a linear function of a size.
type slopeSpec struct {
	// unit is the unit of the cost. per is what the size counts, such as members.
	name, unit, per string
	sizes           []float64
	// measure returns the cost at a size.
	measure func(size int) (float64, error)
}

func capacityCommand() *cobra.Command {
	var programs, page string
	command := &cobra.Command{
		Use: "capacity", Short: "Measure how costs grow with size and update docs/CAPACITY.md", Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			ctx, cancel := context.WithTimeout(command.Context(), capacityTimeout)
			defer cancel()
			slopes, err := measureSlopes(ctx, programs, filepath.Join(filepath.Dir(page), "capacity"))
			if err != nil {
				return err
			}
			relay, err := measureOverhead(ctx, "examples/bench/deployment.jsonc", programs, 2000, 64, 32)
			if err != nil {
				return err
			}
			return updatePage(page, measuredSection(slopes, relay))
		},
	}
	command.Flags().StringVar(&programs, "programs", "bin", "folder with cardd and cardfake")
	command.Flags().StringVar(&page, "page", "docs/CAPACITY.md", "page to update; data and plots are written to the folder capacity beside it")
	return command
}

// slopeSpecs returns the slopes to measure. programs is the folder with the programs
// cardd and cardfake.
func slopeSpecs(ctx context.Context, programs string) []slopeSpec {
	fleets := &fleetCosts{ctx: ctx, programs: programs, costs: make(map[int]idleCost)}
	fleetSizes := []float64{4, 8, 16, 32}
	return []slopeSpec{
		{"exchange_time", "µs", "members", memberSizes, exchangeTime},
		{"digest_size", "bytes", "members", memberSizes, digestBytes},
		{"member_memory", "bytes", "members", memberSizes, memberMemory},
		{"look_time", "µs", "members", memberSizes, otherHoldTime},
		{"rank_time", "µs", "members", memberSizes, ownHoldTime},
		{"address_time", "µs", "members", memberSizes, addressTime},
		{"parse_time", "ms", "models", modelSizes, parseTime},
		{"document_packed", "bytes", "models", modelSizes, compressedBytes},
		{"document_memory", "bytes", "models", modelSizes, documentMemory},
		{"decide_by_models", "µs", "models", modelSizes, decideByModels},
		{"decide_by_upstreams", "µs", "upstreams", upstreamSizes, decideByUpstreams},
		{"report_by_upstreams", "µs", "upstreams", upstreamSizes, reportByUpstreams},
		{"report_size", "bytes", "models", []float64{2, 4, 8, 16}, reportSize},
		{"cell_memory", "bytes", "upstreams", upstreamSizes, cellMemory},
		{"ask_time", "µs", "claims", claimSizes, askTime},
		{"claim_memory", "bytes", "claims", claimSizes, claimMemory},
		{"idle_cpu", "% of a core", "instances", fleetSizes, fleets.measureFunc(func(c idleCost) float64 { return c.cpu })},
		{"idle_memory", "MB", "instances", fleetSizes, fleets.measureFunc(func(c idleCost) float64 { return c.residentMemory })},
		{"idle_bytes", "KB/s", "instances", fleetSizes, fleets.measureFunc(func(c idleCost) float64 { return c.peerBytes })},
		{"idle_engine_bytes", "KB/s", "instances", fleetSizes, fleets.measureFunc(func(c idleCost) float64 { return c.engineBytes })},
		{"table_reads", "reads/s", "instances", fleetSizes, fleets.measureFunc(func(c idleCost) float64 { return c.tableReads })},
	}
}

// measureSlopes measures all slopes and writes their data and plots to the folder.
func measureSlopes(ctx context.Context, programs, folder string) (map[string]*slope, error) {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return nil, eris.Wrap(err, "make folder")
	}
	slopes := make(map[string]*slope)
	for _, spec := range slopeSpecs(ctx, programs) {
		s, err := newSlope(spec.name, spec.unit, spec.per, spec.sizes, spec.measure)
		if err != nil {
			return nil, err
		}
		if err := s.save(folder); err != nil {
			return nil, err
		}
		slopes[spec.name] = s
	}
	return slopes, nil
}

// updatePage replaces the text between the markers of the page.
func updatePage(path, measured string) error {
	body, err := os.ReadFile(path)
	if err != nil {
		return eris.Wrap(err, "read page")
	}
	head, rest, found := strings.Cut(string(body), pageBegin)
	_, tail, closed := strings.Cut(rest, pageEnd)
	if !found || !closed {
		return eris.Errorf("%s lacks the markers %s and %s", path, pageBegin, pageEnd)
	}
	text := head + pageBegin + "\n\n" + measured + "\n" + pageEnd + tail
	return eris.Wrap(os.WriteFile(path, []byte(text), 0o644), "write page")
}
