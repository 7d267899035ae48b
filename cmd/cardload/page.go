package main

import (
	"fmt"
	"sort"
	"strings"
)

// The load of the target fleet, and the budgets that it has to keep: some for each
// instance, some for all instances together.
const (
	targetInstances           = 410
	claimShards               = 64
	targetRequestsPerSec      = 6000
	targetKeyedRequestsPerSec = 600
	targetTokensPerSec        = 2_200_000
	documentChangesPerDay     = 3900
	secondsPerDay             = 86400
	hourlyLoadShare           = 0.57 // share of the models that are loaded in an hour
	secondsPerHour            = 3600
	claimKeepSeconds          = 600
	cpuBudget                 = 4.6  // percent of a core, for each instance
	memoryBudget              = 64e6 // bytes, for each instance
	bandwidthBudget           = 21e3 // bytes per second, for each instance
	readsBudget               = 2000 // table reads per second, for all instances
	writesBudget              = 400  // table writes per second, for all instances
	// exchangeSeconds is the interval at which an instance exchanges digests, parts
	// of the known state, with others at the target size.
	exchangeSeconds = 1
	// callBytes is the size in bytes of a Twirp call (an RPC over HTTP) without its
	// messages.
	callBytes = 700
	// followersPerCell is how many instances follow a cell, that is, keep a copy of
	// what its holder decided: those of the cell's data centre.
	followersPerCell = targetInstances / dataCentreCount
	// cellsPerDataCentre is the number of cells in a data centre, which each of its
	// instances follows.
	cellsPerDataCentre = cellCount / dataCentreCount
	// changesPerReplica is how many changes followers receive while a replica is
	// loaded and unloaded.
	changesPerReplica = 4
	// maxWatchSeconds is the longest time that a follower's watch call to the holder
	// of a cell waits for changes.
	maxWatchSeconds = 10
	// activeReportSeconds is the interval between reports of an engine in use.
	activeReportSeconds = 2
	// decisionsPerSec is how often the holder of a cell decides on loads.
	decisionsPerSec = 10
	// holdChecksPerSec is how often an instance checks whether it has to change any
	// hold.
	holdChecksPerSec = 5
)

// costLine is one row of the page: a cost of one of the roles of an instance, at the
// size of the target fleet.
type costLine struct {
	role, what, formula string
	value, budget       float64
	unit                string
	mechanism           string
}

// share returns the cost as a fraction of its budget.
func (l costLine) share() float64 { return l.value / l.budget }

// row returns the line as a row of the table of costs.
func (l costLine) row() string {
	mark := ""
	if l.share() > 1 {
		mark = " **over**"
	}
	return fmt.Sprintf("| %s | %s | %s | %s %s | %s | %.0f%%%s | %s |",
		l.role, l.what, l.formula, formatNumber(l.value), l.unit, formatNumber(l.budget), 100*l.share(), mark, l.mechanism)
}

// costLines computes the costs at the size of the target fleet from the slopes and the
// measured overhead of the relay, which passes on requests.
func costLines(s map[string]*slope, relay *overheadWire) []costLine {
	const percent = 100.0
	// cpuPercent returns the percentage of a core for calls of the given microseconds.
	cpuPercent := func(micros, callsPerSec float64) float64 { return micros * 1e-6 * callsPerSec * percent }
	resources := float64(cellCount + claimShards)
	// heldCells is the number of cells that an instance holds, if it holds any.
	heldCells := 1.0
	loadsPerSec := targetModels * hourlyLoadShare / secondsPerHour
	exchanges := 4.0 / exchangeSeconds
	reportBytes := (s["report_size"].at(loadedPerEngine) + callBytes/2) * targetUpstreams / activeReportSeconds
	exchangeBytes := (s["digest_size"].last() + callBytes) * exchanges
	spreadBytes := s["document_packed"].last() * documentChangesPerDay / secondsPerDay
	claimBytes := float64(targetKeyedRequestsPerSec) / targetInstances * 4 * callBytes
	followerBytes := float64(cellsPerDataCentre)/maxWatchSeconds*callBytes + loadsPerSec*changesPerReplica/cellCount*cellsPerDataCentre*callBytes
	ordinaryBytes := exchangeBytes + spreadBytes + claimBytes + followerBytes
	watchBytes := float64(followersPerCell) / maxWatchSeconds * callBytes
	return []costLine{
		{"peer exchange", "processor", "exchange_time(410) × 4/s", cpuPercent(s["exchange_time"].last(), exchanges), cpuBudget, "% core", "digests of bounded size, least told first"},
		{"peer exchange", "bytes", "(digest_size(410) + call) × 4/s", exchangeBytes, bandwidthBudget, "B/s", "fixed budget per digest"},
		{"peer exchange", "memory", "member_memory(410)", s["member_memory"].last(), memoryBudget, "B", "one entry a member and hold"},
		{"holds", "processor, others'", "look_time(410) × 124 resources × 5/s", cpuPercent(s["look_time"].last(), resources*holdChecksPerSec), cpuBudget, "% core", "members are ranked only where it matters"},
		{"holds", "processor, own", "rank_time(410) × 0.6 resources × 5/s", cpuPercent(s["rank_time"].last(), resources*2/targetInstances*holdChecksPerSec), cpuBudget, "% core", "plain function for each row"},
		{"holds", "table writes, a place of 68 nodes lost", "68 × 124 × 2 / 410 × 2 writes in 60 s", 68.0 * resources * 2 / targetInstances * 2 / 60, writesBudget, "writes/s", "only changes of holder or witness are written"},
		{"cell holder", "processor, deciding", "decide_by_models(6,900) × 10/s × 1 cell", cpuPercent(s["decide_by_models"].last(), decisionsPerSec*heldCells), cpuBudget, "% core", "plain function over one cell"},
		{"cell holder", "processor, reports", "report_by_upstreams(16) × 16/2 s", cpuPercent(s["report_by_upstreams"].at(targetUpstreams), targetUpstreams/activeReportSeconds), cpuBudget, "% core", "each engine in use asked each 125 ms × 16"},
		{"cell holder", "bytes, reports", "(report_size(8) + headers) × 16 / 2 s", reportBytes, bandwidthBudget, "B/s", "each engine in use asked each 125 ms × 16"},
		{"cell holder", "bytes, watches", "68 followers / 10 s × call", watchBytes, bandwidthBudget, "B/s", "long poll; the hold grows with the followers"},
		{"cell holder", "memory", "cell_memory(16)", s["cell_memory"].at(targetUpstreams), memoryBudget, "B", "only held cells are known in detail"},
		{"follower", "bytes, idle", "10 cells / 10 s × call", float64(cellsPerDataCentre) / maxWatchSeconds * callBytes, bandwidthBudget, "B/s", "long poll"},
		{"follower", "bytes, changes", "1.09 wakes/s × 4 / 60 cells × 10 cells × call", loadsPerSec * changesPerReplica / cellCount * cellsPerDataCentre * callBytes, bandwidthBudget, "B/s", "deltas with sequence numbers"},
		{"profile spread", "bytes", "document_packed(6,900) × 3,900/day", spreadBytes, bandwidthBudget, "B/s", "compressed documents, from the table or a peer"},
		{"profile spread", "processor", "parse_time(6,900) × 3,900/day", s["parse_time"].last() / 1000 * documentChangesPerDay / secondsPerDay * percent, cpuBudget, "% core", "one parse for each revision"},
		{"profile spread", "memory", "2 × document_memory(6,900)", 2 * s["document_memory"].last(), memoryBudget, "B", "one document, two while it changes"},
		{"platform reads", "table reads", "2 reads / 4.1 s × 410", 2 / 4.1 * targetInstances, readsBudget, "reads/s", "the pause grows with the members"},
		{"claims", "processor", "ask_time(100,000) × 600/s / 410 × 2", cpuPercent(s["ask_time"].last(), float64(targetKeyedRequestsPerSec)/targetInstances*2), cpuBudget, "% core", "owner and witness in memory"},
		{"claims", "memory", "claim_memory each × 600/s × 600 s / 410 × 2", s["claim_memory"].Gradient * targetKeyedRequestsPerSec * claimKeepSeconds / targetInstances * 2, memoryBudget, "B", "bounded by the keep time"},
		{"claims", "bytes", "600/s / 410 × 4 calls × call", claimBytes, bandwidthBudget, "B/s", "calls that meet share a record"},
		{"ordinary node", "bytes, sum", "exchange + spread + claims + follower", ordinaryBytes, bandwidthBudget, "B/s", "the lines above"},
		{"node that holds a cell", "bytes, sum", "ordinary + reports + watches", ordinaryBytes + reportBytes + watchBytes, bandwidthBudget, "B/s", "60 of 410 nodes"},
		{"addresses", "processor", "address_time(410) × 6,000/s / 410 if none is kept", cpuPercent(s["address_time"].last(), float64(targetRequestsPerSec)/targetInstances), cpuBudget, "% core", "callers keep answers 5 s"},
		{"weight store", "starts", "6,900 × 57% / 3,600 s", loadsPerSec, 3, "loads/s", "streams shared among cells, by urgency"},
		{"whole instance, idle", "processor, at 32 instances", "idle_cpu(32)", s["idle_cpu"].last(), cpuBudget, "% core", "measured on processes"},
		{"whole instance, idle", "memory, at 32 instances", "idle_memory(32)", s["idle_memory"].last() * 1e6, memoryBudget, "B", "measured on processes"},
		{"whole instance, idle", "bytes, at 32 instances", "idle_bytes(32)", s["idle_bytes"].last() * 1000, bandwidthBudget, "B/s", "measured on processes"},
		{"relay (not control)", "cores", "2.2M tokens/s / 410 / tokens per core", targetTokensPerSec / float64(targetInstances) / relay.TokensPerCPU, 1, "cores", "whole events passed on as read"},
	}
}

// measuredSection returns the measured section of the page: the costs at the size of
// the target fleet, the slopes and the overhead of the relay.
func measuredSection(slopes map[string]*slope, relay *overheadWire) string {
	lines := costLines(slopes, relay)
	var text strings.Builder
	text.WriteString("### Each role at the target\n\n")
	text.WriteString("| role | what | formula | at the target | budget | share | mechanism |\n| --- | --- | --- | --- | --- | --- | --- |\n")
	for _, l := range lines {
		text.WriteString(l.row() + "\n")
	}
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].share() > lines[j].share() })
	text.WriteString("\n### Nearest to their budgets\n\n")
	for _, l := range lines[:5] {
		fmt.Fprintf(&text, "- %s, %s: %.0f%% of the budget\n", l.role, l.what, 100*l.share())
	}
	text.WriteString("\n### Slopes\n\n| slope | range | line | R² | |\n| --- | --- | --- | --- | --- |\n")
	names := make([]string, 0, len(slopes))
	for name := range slopes {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		text.WriteString(slopes[name].row() + "\n")
	}
	fmt.Fprintf(&text, "\n### Relay\n\n`cardload overhead`: %d requests on each way, %d in progress on each: first token p50 %.2f ms straight, %.2f ms through an instance (added %.2f ms, ratio %.2f); p99 %.2f ms and %.2f ms (ratio %.2f); %.0f tokens/s for each core; gaps p95 %.1f ms straight, %.1f ms through.\n",
		relay.Requests, relay.Concurrency, relay.DirectP50, relay.ThroughP50, relay.AddedP50, relay.RatioP50,
		relay.DirectP99, relay.ThroughP99, relay.RatioP99, relay.TokensPerCPU, relay.GapP95Direct, relay.GapP95Through)
	return text.String()
}
