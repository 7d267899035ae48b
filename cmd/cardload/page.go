package main

import (
	"fmt"
	"sort"
	"strings"
)

// The target's sizes and budgets.
const (
	nodes          = 410
	shards         = 64
	requestsPerSec = 6000
	keyedPerSec    = 600
	tokensPerSec   = 2_200_000
	changesPerDay  = 3900
	secondsPerDay  = 86400
	wakeShare      = 0.57
	secondsPerHour = 3600
	keepSeconds    = 600
	cpuBudget      = 4.6  // percent of a core
	memoryBudget   = 64e6 // bytes
	bytesBudget    = 21e3 // bytes a second
	readsBudget    = 2000
	writesBudget   = 400
	// exchangeSeconds is the exchange time of the settings at the target size.
	exchangeSeconds = 1
	// callBytes is what a Twirp call costs beside its messages.
	callBytes = 700
	// followersPerCell and cellsPerNode follow from 410 nodes in 6 data centres.
	followersPerCell = nodes / centresCount
	cellsPerNode     = cellsCount / centresCount
	// changesPerReplica is how often followers hear of one wake and fall.
	changesPerReplica = 4
	// maxWatchSeconds is the longest hold of a watch.
	maxWatchSeconds = 10
	// inUseSeconds is the pause between reports of an engine in use.
	inUseSeconds = 2
	// decidesPerSec is how often a held cell is looked at.
	decidesPerSec = 10
	// looksPerSec is how often all holds are looked at.
	looksPerSec = 5
)

// line is one line of the page: a role's cost at the target.
type line struct {
	role, what, formula string
	value, budget       float64
	unit                string
	mechanism           string
}

func (l line) share() float64 { return l.value / l.budget }

func (l line) row() string {
	mark := ""
	if l.share() > 1 {
		mark = " **over**"
	}
	return fmt.Sprintf("| %s | %s | %s | %s %s | %s | %.0f%%%s | %s |",
		l.role, l.what, l.formula, short(l.value), l.unit, short(l.budget), 100*l.share(), mark, l.mechanism)
}

// lines works the slopes out at the target.
func lines(s map[string]*slope, relay *overheadWire) []line {
	const perCent = 100.0
	micros := func(us, perSecond float64) float64 { return us * 1e-6 * perSecond * perCent }
	resources := float64(cellsCount + shards)
	heldCells := 1.0
	wakes := targetModels * wakeShare / secondsPerHour
	exchanges := 4.0 / exchangeSeconds
	reportBytes := (s["report_size"].at(loadedPerRunner) + callBytes/2) * targetUpstreams / inUseSeconds
	exchangeBytes := (s["digest_size"].last() + callBytes) * exchanges
	spreadBytes := s["document_packed"].last() * changesPerDay / secondsPerDay
	claimBytes := float64(keyedPerSec) / nodes * 4 * callBytes
	followBytes := float64(cellsPerNode)/maxWatchSeconds*callBytes + wakes*changesPerReplica/cellsCount*cellsPerNode*callBytes
	ordinary := exchangeBytes + spreadBytes + claimBytes + followBytes
	watchBytes := float64(followersPerCell) / maxWatchSeconds * callBytes
	return []line{
		{"peer exchange", "processor", "exchange_time(410) × 4/s", micros(s["exchange_time"].last(), exchanges), cpuBudget, "% core", "digests of bounded size, least told first"},
		{"peer exchange", "bytes", "(digest_size(410) + call) × 4/s", exchangeBytes, bytesBudget, "B/s", "fixed budget per digest"},
		{"peer exchange", "memory", "member_memory(410)", s["member_memory"].last(), memoryBudget, "B", "one entry a member and hold"},
		{"holds", "processor, others'", "look_time(410) × 124 resources × 5/s", micros(s["look_time"].last(), resources*looksPerSec), cpuBudget, "% core", "members are ranked only where it matters"},
		{"holds", "processor, own", "rank_time(410) × 0.6 resources × 5/s", micros(s["rank_time"].last(), resources*2/nodes*looksPerSec), cpuBudget, "% core", "plain function for each row"},
		{"holds", "table writes, a place of 68 nodes lost", "68 × 124 × 2 / 410 × 2 writes in 60 s", 68.0 * resources * 2 / nodes * 2 / 60, writesBudget, "writes/s", "only changes of holder or witness are written"},
		{"cell holder", "processor, deciding", "decide_by_models(6,900) × 10/s × 1 cell", micros(s["decide_by_models"].last(), decidesPerSec*heldCells), cpuBudget, "% core", "plain function over one cell"},
		{"cell holder", "processor, reports", "report_by_upstreams(16) × 16/2 s", micros(s["report_by_upstreams"].at(targetUpstreams), targetUpstreams/inUseSeconds), cpuBudget, "% core", "each engine in use asked each 125 ms × 16"},
		{"cell holder", "bytes, reports", "(report_size(8) + headers) × 16 / 2 s", reportBytes, bytesBudget, "B/s", "each engine in use asked each 125 ms × 16"},
		{"cell holder", "bytes, watches", "68 followers / 10 s × call", watchBytes, bytesBudget, "B/s", "long poll; the hold grows with the followers"},
		{"cell holder", "memory", "cell_memory(16)", s["cell_memory"].at(targetUpstreams), memoryBudget, "B", "only held cells are known in detail"},
		{"follower", "bytes, idle", "10 cells / 10 s × call", float64(cellsPerNode) / maxWatchSeconds * callBytes, bytesBudget, "B/s", "long poll"},
		{"follower", "bytes, changes", "1.09 wakes/s × 4 / 60 cells × 10 cells × call", wakes * changesPerReplica / cellsCount * cellsPerNode * callBytes, bytesBudget, "B/s", "deltas with sequence numbers"},
		{"profile spread", "bytes", "document_packed(6,900) × 3,900/day", spreadBytes, bytesBudget, "B/s", "compressed documents, from the table or a peer"},
		{"profile spread", "processor", "parse_time(6,900) × 3,900/day", s["parse_time"].last() / 1000 * changesPerDay / secondsPerDay * perCent, cpuBudget, "% core", "one parse for each revision"},
		{"profile spread", "memory", "2 × document_memory(6,900)", 2 * s["document_memory"].last(), memoryBudget, "B", "one document, two while it changes"},
		{"platform reads", "table reads", "2 reads / 4.1 s × 410", 2 / 4.1 * nodes, readsBudget, "reads/s", "the pause grows with the members"},
		{"claims", "processor", "ask_time(100,000) × 600/s / 410 × 2", micros(s["ask_time"].last(), float64(keyedPerSec)/nodes*2), cpuBudget, "% core", "owner and witness in memory"},
		{"claims", "memory", "claim_memory each × 600/s × 600 s / 410 × 2", s["claim_memory"].Each * keyedPerSec * keepSeconds / nodes * 2, memoryBudget, "B", "bounded by the keep time"},
		{"claims", "bytes", "600/s / 410 × 4 calls × call", claimBytes, bytesBudget, "B/s", "calls that meet share a record"},
		{"ordinary node", "bytes, sum", "exchange + spread + claims + follower", ordinary, bytesBudget, "B/s", "the lines above"},
		{"node that holds a cell", "bytes, sum", "ordinary + reports + watches", ordinary + reportBytes + watchBytes, bytesBudget, "B/s", "60 of 410 nodes"},
		{"addresses", "processor", "address_time(410) × 6,000/s / 410 if none is kept", micros(s["address_time"].last(), float64(requestsPerSec)/nodes), cpuBudget, "% core", "callers keep answers 5 s"},
		{"weight store", "starts", "6,900 × 57% / 3,600 s", wakes, 3, "loads/s", "streams shared among cells, by urgency"},
		{"whole instance, idle", "processor, at 32 instances", "idle_cpu(32)", s["idle_cpu"].last(), cpuBudget, "% core", "measured on processes"},
		{"whole instance, idle", "memory, at 32 instances", "idle_memory(32)", s["idle_memory"].last() * 1e6, memoryBudget, "B", "measured on processes"},
		{"whole instance, idle", "bytes, at 32 instances", "idle_bytes(32)", s["idle_bytes"].last() * 1000, bytesBudget, "B/s", "measured on processes"},
		{"relay (not control)", "cores", "2.2M tokens/s / 410 / tokens per core", tokensPerSec / float64(nodes) / relay.TokensPerCPU, 1, "cores", "whole events passed on as read"},
	}
}

// measuredPage returns the part of the page that the measurements make.
func measuredPage(slopes map[string]*slope, relay *overheadWire) string {
	all := lines(slopes, relay)
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
