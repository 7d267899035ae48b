package main

import (
	"encoding/json"
	"fmt"
	"runtime"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/cells"
	"cardamomcourse.example/cardamom/claim"
	"cardamomcourse.example/cardamom/engine"
	"cardamomcourse.example/cardamom/fakes"
	"cardamomcourse.example/cardamom/hold"
	"cardamomcourse.example/cardamom/peers"
	"cardamomcourse.example/cardamom/policy"
	"cardamomcourse.example/cardamom/revs"
	"cardamomcourse.example/cardamom/route"
	"cardamomcourse.example/cardamom/route/rank"
)

// The sizes at which slopes are measured, the last being the target's own.
var (
	memberSizes   = []float64{50, 100, 200, 410}
	modelSizes    = []float64{500, 1500, 3500, 6900}
	upstreamSizes = []float64{4, 8, 16, 32}
	claimSizes    = []float64{10000, 25000, 50000, 100000}
)

const (
	digestBudget = 2048
	centresCount = 6
	cellsCount   = 60
	// loadedPerRunner is how many models each engine of the measurement has.
	loadedPerRunner = 8
)

// start is the time at which in-process measurements begin.
func start() time.Time { return time.Unix(1_000_000, 0) }

func memberInstance(n int) cardamom.Instance {
	return cardamom.Instance{
		ID: cardamom.InstanceID(fmt.Sprintf("entry-place-%d-%d", n%centresCount, n)), State: cardamom.Live,
		DataCentre:    cardamom.DataCentre(fmt.Sprintf("place-%d", n%centresCount)),
		CallerAddress: fmt.Sprintf("10.1.%d.%d:7400", n/250, n%250), PeerAddress: fmt.Sprintf("10.1.%d.%d:7401", n/250, n%250),
	}
}

func memberState(members int) *peers.State {
	s := peers.New(peers.NewMember(memberInstance(0), 1, 1, 0), time.Second, 1, start())
	for n := 1; n < members; n++ {
		s.Learn(peers.NewMember(memberInstance(n), cardamom.Incarnation(n), 1, 7), start())
	}
	for n := range cellsCount {
		resource := hold.Resource(fmt.Sprintf("cell/llm/place-%d/%d", n%centresCount, n/centresCount))
		s.LearnHold(hold.NewRow(resource, memberParty(n%members), memberParty((n+1)%members), uint64(n+1), 0))
	}
	return s
}

// memberParty returns the run of a member that memberState knows.
func memberParty(n int) hold.Party {
	return hold.NewParty(memberInstance(n).ID, cardamom.Incarnation(max(n, 1)))
}

// exchangeTime is the time to compose a digest and to merge one.
func exchangeTime(members int) (float64, error) {
	s, other := memberState(members), memberState(members)
	now := start()
	return microseconds(func() {
		now = now.Add(time.Millisecond)
		s.Merge(other.Compose(digestBudget), now)
	}), nil
}

func digestBytes(members int) (float64, error) {
	return float64(proto.Size(memberState(members).Compose(digestBudget))), nil
}

// heap returns how many bytes the value made by build keeps.
func heap(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	value := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(value)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

func memberMemory(members int) (float64, error) {
	return heap(func() any { return memberState(members) }), nil
}

// lookTime is the time to decide on one resource that others hold.
func lookTime(members int) (float64, error) {
	return decideTime(members, "cell/llm/place-3/4")
}

// rankTime is the time to decide on one resource that this instance holds.
func rankTime(members int) (float64, error) {
	return decideTime(members, "cell/llm/place-0/0")
}

func decideTime(members int, resource hold.Resource) (float64, error) {
	s := memberState(members)
	now := start()
	row := s.Hold(resource)
	ranked := func() []cardamom.InstanceID {
		active := s.Active(now)
		ids := make([]cardamom.InstanceID, 0, len(active))
		for _, member := range active {
			ids = append(ids, member.Instance().ID)
		}
		return rank.Order(string(resource), ids)
	}
	return microseconds(func() {
		hold.Decide(hold.Effective(row, s.At(now)), hold.NewSelf(s.Party(), false), ranked, s.At(now))
	}), nil
}

// bigDocument returns the source of a document with so many models, of which
// five in seven are adapters.
func bigDocument(models int) []byte {
	var text strings.Builder
	text.WriteString(`{"profiles": {"p": {"replicas": 2, "places": 2, "keep": "gaps", "keep_ms": 120000}}, "services": {"llm": {"kind": "models", "places": [`)
	for n := range centresCount {
		fmt.Fprintf(&text, `%s"place-%d"`, comma(n), n)
	}
	fmt.Fprintf(&text, `], "cells_per_place": %d, "fencing": true, "runner_memory_mb": 640000, "load_streams": 60}}, "models": {`, cellsCount/centresCount)
	bases := max(models*2/7, 1)
	for n := range models {
		if n < bases {
			fmt.Fprintf(&text, `%s"model-%05d": {"service": "llm", "profile": "p", "memory_mb": 16000, "checkpoint_mb": 14000}`, comma(n), n)
			continue
		}
		fmt.Fprintf(&text, `%s"adapter-%05d": {"service": "llm", "profile": "p", "base": "model-%05d", "memory_mb": 200, "checkpoint_mb": 150}`, comma(n), n, n%bases)
	}
	text.WriteString("}}")
	return []byte(text.String())
}

func comma(n int) string {
	if n == 0 {
		return ""
	}
	return ", "
}

func parseTime(models int) (float64, error) {
	body := bigDocument(models)
	var failed error
	time := microseconds(func() {
		if _, err := policy.Parse("measured", body); err != nil {
			failed = err
		}
	})
	return time / 1000, failed
}

func packedBytes(models int) (float64, error) {
	packed, err := revs.Compress(bigDocument(models))
	return float64(len(packed)), err
}

func documentMemory(models int) (float64, error) {
	body := bigDocument(models)
	var failed error
	bytes := heap(func() any {
		document, err := policy.Parse("measured", body)
		failed = err
		return document
	})
	return bytes, failed
}

// measuredCell returns a cell with reported engines that all have models loaded.
func measuredCell(models, upstreams int) (*cells.Cell, []*engine.Report, error) {
	document, err := policy.Parse("measured", bigDocument(models))
	if err != nil {
		return nil, nil, err
	}
	id := cardamom.CellID("llm/place-3/4")
	cell := cells.New(id, "holder", document)
	cell.Hold(1, false, false)
	var listed []cardamom.Upstream
	var reports []*engine.Report
	var mine []cardamom.ModelID
	for _, name := range document.Models() {
		if model, _ := document.Model(name); model.Quota(id) > 0 {
			mine = append(mine, name)
		}
	}
	for n := range upstreams {
		listed = append(listed, cardamom.Upstream{ID: runnerID(n), Service: "llm", DataCentre: "place-3", Address: "a", State: cardamom.Live})
		report := &engine.Report{Incarnation: 1, Memory: 640000, Slots: 32, Cached: map[cardamom.ModelID]cardamom.Tier{}}
		for i := range min(loadedPerRunner, len(mine)) {
			report.Loaded = append(report.Loaded, engine.Loaded{
				Model: mine[(n*loadedPerRunner+i)%len(mine)], State: engine.Ready, OrderID: fmt.Sprintf("o-%d-%d", n, i), Memory: 16000,
			})
		}
		reports = append(reports, report)
	}
	cell.List(listed, start())
	for n, report := range reports {
		cell.Reported(runnerID(n), report, start())
	}
	return cell, reports, nil
}

func runnerID(n int) cardamom.UpstreamID { return cardamom.UpstreamID(fmt.Sprintf("runner-%d", n)) }

// targetModels and targetUpstreams are the target's sizes of a document and a cell.
const (
	targetModels    = 6900
	targetUpstreams = 16
)

func decideByModels(models int) (float64, error) {
	cell, _, err := measuredCell(models, targetUpstreams)
	if err != nil {
		return 0, err
	}
	return microseconds(func() { cell.Decide(start()) }), nil
}

func decideByUpstreams(upstreams int) (float64, error) {
	cell, _, err := measuredCell(targetModels, upstreams)
	if err != nil {
		return 0, err
	}
	return microseconds(func() { cell.Decide(start()) }), nil
}

func reportByUpstreams(upstreams int) (float64, error) {
	cell, reports, err := measuredCell(targetModels, upstreams)
	if err != nil {
		return 0, err
	}
	return microseconds(func() { cell.Reported(runnerID(0), reports[0], start()) }), nil
}

func cellMemory(upstreams int) (float64, error) {
	var failed error
	document := heap(func() any {
		d, err := policy.Parse("measured", bigDocument(targetModels))
		failed = err
		return d
	})
	whole := heap(func() any {
		cell, reports, err := measuredCell(targetModels, upstreams)
		failed = err
		return []any{cell, reports}
	})
	return max(whole-document, 0), failed
}

// reportSize is the size in bytes of an engine's report with so many models
// loaded, as the stand-ins send it.
func reportSize(loaded int) (float64, error) {
	wire := engine.ReportWire{Incarnation: 1 << 60, Fence: 1 << 50, Fencing: true, MemoryMB: 640000, Slots: 32, Cached: make(map[string]int)}
	for n := range loaded {
		order := fmt.Sprintf("entry-place-1-17-1796330000000000000-%d-%d", 1000+n, n)
		wire.Loaded = append(wire.Loaded, engine.LoadedWire{Model: fmt.Sprintf("adapter-%05d", n), Ready: true, OrderID: order, MemoryMB: 16000, Running: 4})
		wire.Cached[fmt.Sprintf("adapter-%05d", n)] = 2
	}
	for n := range fakes.OrdersKept {
		wire.Orders = append(wire.Orders, fmt.Sprintf("entry-place-1-17-1796330000000000000-%d-%d", 1000+n, n))
	}
	body, err := json.Marshal(wire)
	return float64(len(body)), err
}

func filledShard(claims int) *claim.Shard {
	shard := claim.NewShard(time.Hour)
	for n := range claims {
		key := fmt.Sprintf("caller-%d/event-%d", n%97, n)
		shard.Ask(claim.Ask{Key: key, Grant: "entry-place-1-1-x-" + key}, start())
		shard.Settle(claim.Settle{Key: key, Grant: "entry-place-1-1-x-" + key, Outcome: cardamom.Served, Result: claim.Result{Status: 200, Body: make([]byte, 200)}}, start())
	}
	shard.Changes()
	return shard
}

func askTime(claims int) (float64, error) {
	shard := filledShard(claims)
	n := 0
	return microseconds(func() {
		n++
		key := fmt.Sprintf("new-%d", n)
		shard.Ask(claim.Ask{Key: key, Grant: key}, start())
		shard.Settle(claim.Settle{Key: key, Grant: key, Outcome: cardamom.Served}, start())
		shard.Changes()
	}), nil
}

func claimMemory(claims int) (float64, error) {
	return heap(func() any { return filledShard(claims) }), nil
}

func addressTime(members int) (float64, error) {
	document, err := policy.Parse("measured", bigDocument(targetModels))
	if err != nil {
		return 0, err
	}
	view := &route.View{
		Self: memberInstance(0), Active: memberState(members).Active(start()), Published: policy.NewPublished(1, document, nil, "", ""),
	}
	return microseconds(func() { view.Addresses("model-00007", "place-1") }), nil
}
