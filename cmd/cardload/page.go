package main

import (
	"fmt"
	"sort"
	"strings"
)

// Sizes and budgets of the target fleet.
const (
	nodes            = 410
	shards           = 64
	requestsPerSec   = 6000
	keyedPerSec      = 600
	tokensPerSec     = 2_200_000
	changesPerDay    = 3900
	secondsPerDay    = 86400
	hourlyLoadShare  = 0.57 // share of the models that are loaded in an hour
	secondsPerHour   = 3600
	claimKeepSeconds = 600
	cpuBudget        = 4.6  // percent of a core
	memoryBudget     = 64e6 // bytes
	bytesBudget      = 21e3 // bytes a second
	readsBudget      = 2000
	writesBudget     = 400
	// exchangeSeconds is the interval of peer exchanges at the target size.
	exchangeSeconds = 1
	// callBytes is the overhead of a Twirp call beside its messages.
	callBytes = 700
	// followersPerCell and cellsPerNode follow from 410 nodes in 6 data centres.
	followersPerCell = nodes / dataCentreCount
	cellsPerNode     = cellCount / dataCentreCount
	// changesPerReplica is how many changes followers receive while a replica is
	// loaded and unloaded.
	changesPerReplica = 4
	// maxWatchSeconds is the longest time that a watch call waits for changes.
	maxWatchSeconds = 10
	// activeReportSeconds is the interval between reports of an engine in use.
	activeReportSeconds = 2
	// decisionsPerSec is how often the holder of a cell decides on loads.
	decisionsPerSec = 10
	// holdChecksPerSec is how often an instance checks all holds.
	holdChecksPerSec = 5
)

// costLine is one row of the page: the cost of a role at the target size.
type costLine struct {
	role, what, formula string
	value, budget       float64
	unit                string
	mechanism           string
}

func (l costLine) share() float64 { return l.value / l.budget }

func (l costLine) row() string {
	mark := ""
	if l.share() > 1 {
		mark = " **over**"
	}
	return fmt.Sprintf("| %s | %s | %s | %s %s | %s | %.0f%%%s | %s |",
		l.role, l.what, l.formula, formatNumber(l.value), l.unit, formatNumber(l.budget), 100*l.share(), mark, l.mechanism)
}

// costLines computes the costs at the target size from the slopes.
func costLines(s map[string]*slope, relay *overheadWire) []costLine {
	const percent = 100.0
	micros := func(us, perSecond float64) float64 { return us * 1e-6 * perSecond * percent }
	resources := float64(cellCount + shards)
	heldCells := 1.0
	loadsPerSec := targetModels * hourlyLoadShare / secondsPerHour
	exchanges := 4.0 / exchangeSeconds
	reportBytes := (s["report_size"].at(loadedPerEngine) + callBytes/2) * targetUpstreams / activeReportSeconds
	exchangeBytes := (s["digest_size"].last() + callBytes) * exchanges
	spreadBytes := s["document_packed"].last() * changesPerDay / secondsPerDay
	claimBytes := float64(keyedPerSec) / nodes * 4 * callBytes
	followerBytes := float64(cellsPerNode)/maxWatchSeconds*callBytes + loadsPerSec*changesPerReplica/cellCount*cellsPerNode*callBytes
	ordinary := exchangeBytes + spreadBytes + claimBytes + followerBytes
	watchBytes := float64(followersPerCell) / maxWatchSeconds * callBytes
	return []costLine{
		{"peer exchange", "processor", "exchange_time(410) × 4/s", micros(s["exchange_time"].last(), exchanges), cpuBudget, "% core", "digests of bounded size, least told first"},
		{"peer exchange", "bytes", "(digest_size(410) + call) × 4/s", exchangeBytes, bytesBudget, "B/s", "fixed budget per digest"},
		{"peer exchange", "memory", "member_memory(410)", s["member_memory"].last(), memoryBudget, "B", "one entry a member and hold"},
		{"holds", "processor, others'", "look_time(410) × 124 resources × 5/s", micros(s["look_time"].last(), resources*holdChecksPerSec), cpuBudget, "% core", "members are ranked only where it matters"},
		{"holds", "processor, own", "rank_time(410) × 0.6 resources × 5/s", micros(s["rank_time"].last(), resources*2/nodes*holdChecksPerSec), cpuBudget, "% core", "plain function for each row"},
		{"holds", "table writes, a place of 68 nodes lost", "68 × 124 × 2 / 410 × 2 writes in 60 s", 68.0 * resources * 2 / nodes * 2 / 60, writesBudget, "writes/s", "only changes of holder or witness are written"},
		{"cell holder", "processor, deciding", "decide_by_models(6,900) × 10/s × 1 cell", micros(s["decide_by_models"].last(), decisionsPerSec*heldCells), cpuBudget, "% core", "plain function over one cell"},
		{"cell holder", "processor, reports", "report_by_upstreams(16) × 16/2 s", micros(s["report_by_upstreams"].at(targetUpstreams), targetUpstreams/activeReportSeconds), cpuBudget, "% core", "each engine in use asked each 125 ms × 16"},
		{"cell holder", "bytes, reports", "(report_size(8) + headers) × 16 / 2 s", reportBytes, bytesBudget, "B/s", "each engine in use asked each 125 ms × 16"},
		{"cell holder", "bytes, watches", "68 followers / 10 s × call", watchBytes, bytesBudget, "B/s", "long poll; the hold grows with the followers"},
		{"cell holder", "memory", "cell_memory(16)", s["cell_memory"].at(targetUpstreams), memoryBudget, "B", "only held cells are known in detail"},
		{"follower", "bytes, idle", "10 cells / 10 s × call", float64(cellsPerNode) / maxWatchSeconds * callBytes, bytesBudget, "B/s", "long poll"},
		{"follower", "bytes, changes", "1.09 wakes/s × 4 / 60 cells × 10 cells × call", loadsPerSec * changesPerReplica / cellCount * cellsPerNode * callBytes, bytesBudget, "B/s", "deltas with sequence numbers"},
		{"profile spread", "bytes", "document_packed(6,900) × 3,900/day", spreadBytes, bytesBudget, "B/s", "compressed documents, from the table or a peer"},
		{"profile spread", "processor", "parse_time(6,900) × 3,900/day", s["parse_time"].last() / 1000 * changesPerDay / secondsPerDay * percent, cpuBudget, "% core", "one parse for each revision"},
		{"profile spread", "memory", "2 × document_memory(6,900)", 2 * s["document_memory"].last(), memoryBudget, "B", "one document, two while it changes"},
		{"platform reads", "table reads", "2 reads / 4.1 s × 410", 2 / 4.1 * nodes, readsBudget, "reads/s", "the pause grows with the members"},
		{"claims", "processor", "ask_time(100,000) × 600/s / 410 × 2", micros(s["ask_time"].last(), float64(keyedPerSec)/nodes*2), cpuBudget, "% core", "owner and witness in memory"},
		{"claims", "memory", "claim_memory each × 600/s × 600 s / 410 × 2", s["claim_memory"].Gradient * keyedPerSec * claimKeepSeconds / nodes * 2, memoryBudget, "B", "bounded by the keep time"},
		{"claims", "bytes", "600/s / 410 × 4 calls × call", claimBytes, bytesBudget, "B/s", "calls that meet share a record"},
		{"ordinary node", "bytes, sum", "exchange + spread + claims + follower", ordinary, bytesBudget, "B/s", "the lines above"},
		{"node that holds a cell", "bytes, sum", "ordinary + reports + watches", ordinary + reportBytes + watchBytes, bytesBudget, "B/s", "60 of 410 nodes"},
		{"addresses", "processor", "address_time(410) × 6,000/s / 410 if none is kept", micros(s["address_time"].last(), float64(requestsPerSec)/nodes), cpuBudget, "% core", "callers keep answers 5 s"},
		{"weight store", "starts", "6,900 × 57% / 3,600 s", loadsPerSec, 3, "loads/s", "streams shared among cells, by urgency"},
		{"whole instance, idle", "processor, at 32 instances", "idle_cpu(32)", s["idle_cpu"].last(), cpuBudget, "% core", "measured on processes"},
		{"whole instance, idle", "memory, at 32 instances", "idle_memory(32)", s["idle_memory"].last() * 1e6, memoryBudget, "B", "measured on processes"},
		{"whole instance, idle", "bytes, at 32 instances", "idle_bytes(32)", s["idle_bytes"].last() * 1000, bytesBudget, "B/s", "measured on processes"},
		{"relay (not control)", "cores", "2.2M tokens/s / 410 / tokens per core", tokensPerSec / float64(nodes) / relay.TokensPerCPU, 1, "cores", "whole events passed on as read"},
	}
}

// measuredSection returns the section of the page with the measurements.
func measuredSection(slopes map[string]*slope, relay *overheadWire) string {
	all := costLines(slopes, relay)
	var text strings.Builder
	text.WriteString("### Each role at the target\n\n")
	text.WriteString("| role | what | formula | at the target | budget | share | mechanism |\n| --- | --- | --- | --- | --- | --- | --- |\n")
	for _, l := range all {
		text.WriteString(l.row() + "\n")
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].share() > all[j].share() })
	text.WriteString("\n### Nearest to their budgets\n\n")
	for _, l := range all[:5] {
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
