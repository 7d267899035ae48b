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

// The sizes at which costs are measured: numbers of members, models in a document,
// upstreams of a cell and claims in a shard. The last number of members and of models
// is that of the target fleet.
var (
	memberSizes   = []float64{50, 100, 200, 410}
	modelSizes    = []float64{500, 1500, 3500, 6900}
	upstreamSizes = []float64{4, 8, 16, 32}
	claimSizes    = []float64{10000, 25000, 50000, 100000}
)

const (
	// digestBudget is the maximum size in bytes of a digest, the part of the state
	// that members exchange at a time.
	digestBudget    = 2048
	dataCentreCount = 6
	cellCount       = 60
	// loadedPerEngine is how many models each measured engine has loaded.
	loadedPerEngine = 8
)

// startTime is the time at which in-process measurements begin.
func startTime() time.Time { return time.Unix(1_000_000, 0) }

// memberInstance returns the instance with the given number, in one of the data centres.
func memberInstance(n int) cardamom.Instance {
	return cardamom.Instance{
		ID: cardamom.InstanceID(fmt.Sprintf("entry-place-%d-%d", n%dataCentreCount, n)), State: cardamom.Live,
		DataCentre:    cardamom.DataCentre(fmt.Sprintf("place-%d", n%dataCentreCount)),
		CallerAddress: fmt.Sprintf("10.1.%d.%d:7400", n/250, n%250), PeerAddress: fmt.Sprintf("10.1.%d.%d:7401", n/250, n%250),
	}
}

// memberState returns the state of a member in a fleet with the given number of members,
// which hold and witness all cells.
func memberState(members int) *peers.State {
	s := peers.New(peers.NewMember(memberInstance(0), 1, 1, 0), time.Second, 1, startTime())
	for n := 1; n < members; n++ {
		s.MergeMember(peers.NewMember(memberInstance(n), cardamom.Incarnation(n), 1, 7), startTime())
	}
	for n := range cellCount {
		resource := hold.Resource(fmt.Sprintf("cell/llm/place-%d/%d", n%dataCentreCount, n/dataCentreCount))
		s.MergeHold(hold.NewRow(resource, memberParty(n%members), memberParty((n+1)%members), uint64(n+1), 0))
	}
	return s
}

// memberParty returns a member of memberState, with its incarnation, as holder or
// witness.
func memberParty(n int) hold.Party {
	return hold.NewParty(memberInstance(n).ID, cardamom.Incarnation(max(n, 1)))
}

// exchangeTime returns the time in microseconds to compose a digest and to merge one.
func exchangeTime(members int) (float64, error) {
	s, other := memberState(members), memberState(members)
	now := startTime()
	return microseconds(func() {
		now = now.Add(time.Millisecond)
		s.Merge(other.Compose(digestBudget), now)
	}), nil
}

// digestBytes returns the size in bytes of a digest.
func digestBytes(members int) (float64, error) {
	return float64(proto.Size(memberState(members).Compose(digestBudget))), nil
}

// heapBytes returns how many bytes on the heap the result of build takes.
func heapBytes(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	value := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(value)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// memberMemory returns the bytes that the state of a member takes.
func memberMemory(members int) (float64, error) {
	return heapBytes(func() any { return memberState(members) }), nil
}

// otherHoldTime returns the time in microseconds to check a hold of which this instance
// is neither the holder nor the witness.
func otherHoldTime(members int) (float64, error) {
	return decideTime(members, "cell/llm/place-3/4")
}

// ownHoldTime returns the time in microseconds to check a hold of which this instance is
// the holder.
func ownHoldTime(members int) (float64, error) {
	return decideTime(members, "cell/llm/place-0/0")
}

// decideTime returns the time in microseconds to check the hold on a resource.
func decideTime(members int, resource hold.Resource) (float64, error) {
	s := memberState(members)
	now := startTime()
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

// syntheticDocument returns the source of a profile document with the given number
// of models, of which five in seven are adapters.
func syntheticDocument(models int) []byte {
	var text strings.Builder
	text.WriteString(`{"profiles": {"p": {"replicas": 2, "places": 2, "keep": "gaps", "keep_ms": 120000}}, "services": {"llm": {"kind": "models", "places": [`)
	for n := range dataCentreCount {
		fmt.Fprintf(&text, `%s"place-%d"`, comma(n), n)
	}
	fmt.Fprintf(&text, `], "cells_per_place": %d, "fencing": true, "runner_memory_mb": 640000, "load_streams": 60}}, "models": {`, cellCount/dataCentreCount)
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

// comma returns the separator before the nth element of a list.
func comma(n int) string {
	if n == 0 {
		return ""
	}
	return ", "
}

// parseTime returns the time in milliseconds to parse a document.
func parseTime(models int) (float64, error) {
	body := syntheticDocument(models)
	var failed error
	micros := microseconds(func() {
		if _, err := policy.Parse("measured", body); err != nil {
			failed = err
		}
	})
	return micros / 1000, failed
}

// compressedBytes returns the size in bytes of a compressed document.
func compressedBytes(models int) (float64, error) {
	compressed, err := revs.Compress(syntheticDocument(models))
	return float64(len(compressed)), err
}

// documentMemory returns the bytes that a parsed document takes.
func documentMemory(models int) (float64, error) {
	body := syntheticDocument(models)
	var failed error
	bytes := heapBytes(func() any {
		document, err := policy.Parse("measured", body)
		failed = err
		return document
	})
	return bytes, failed
}

// syntheticCell returns a cell with the given number of engines, which have all
// reported loaded models, and their reports.
func syntheticCell(models, upstreams int) (*cells.Cell, []*engine.Report, error) {
	document, err := policy.Parse("measured", syntheticDocument(models))
	if err != nil {
		return nil, nil, err
	}
	id := cardamom.CellID("llm/place-3/4")
	cell := cells.New(id, "holder", document)
	cell.SetHold(1, false, false)
	var listed []cardamom.Upstream
	var reports []*engine.Report
	var cellModels []cardamom.ModelID
	for _, name := range document.Models() {
		if model, _ := document.Model(name); model.Quota(id) > 0 {
			cellModels = append(cellModels, name)
		}
	}
	for n := range upstreams {
		listed = append(listed, cardamom.Upstream{ID: engineID(n), Service: "llm", DataCentre: "place-3", Address: "a", State: cardamom.Live})
		report := &engine.Report{Incarnation: 1, Memory: 640000, Slots: 32, Cached: map[cardamom.ModelID]cardamom.Tier{}}
		for i := range min(loadedPerEngine, len(cellModels)) {
			report.Loaded = append(report.Loaded, engine.Loaded{
				Model: cellModels[(n*loadedPerEngine+i)%len(cellModels)], State: engine.Ready, OrderID: fmt.Sprintf("o-%d-%d", n, i), Memory: 16000,
			})
		}
		reports = append(reports, report)
	}
	cell.SetUpstreams(listed, startTime())
	for n, report := range reports {
		cell.ApplyReport(engineID(n), report, startTime())
	}
	return cell, reports, nil
}

func engineID(n int) cardamom.UpstreamID { return cardamom.UpstreamID(fmt.Sprintf("runner-%d", n)) }

const (
	// targetModels is the number of models in the document of the target fleet.
	targetModels = 6900
	// targetUpstreams is the number of engines of a cell in the target fleet.
	targetUpstreams = 16
)

// decideByModels returns the time in microseconds to decide on the loads of a cell, by
// the number of models in the document.
func decideByModels(models int) (float64, error) {
	cell, _, err := syntheticCell(models, targetUpstreams)
	if err != nil {
		return 0, err
	}
	return microseconds(func() { cell.Decide(startTime()) }), nil
}

// decideByUpstreams returns the time in microseconds to decide on the loads of a cell, by
// the number of engines of the cell.
func decideByUpstreams(upstreams int) (float64, error) {
	cell, _, err := syntheticCell(targetModels, upstreams)
	if err != nil {
		return 0, err
	}
	return microseconds(func() { cell.Decide(startTime()) }), nil
}

// reportByUpstreams returns the time in microseconds to apply the report of one engine,
// by the number of engines of the cell.
func reportByUpstreams(upstreams int) (float64, error) {
	cell, reports, err := syntheticCell(targetModels, upstreams)
	if err != nil {
		return 0, err
	}
	return microseconds(func() { cell.ApplyReport(engineID(0), reports[0], startTime()) }), nil
}

// cellMemory returns the bytes that a cell and the reports of its engines take, without
// the document.
func cellMemory(upstreams int) (float64, error) {
	var failed error
	document := heapBytes(func() any {
		d, err := policy.Parse("measured", syntheticDocument(targetModels))
		failed = err
		return d
	})
	whole := heapBytes(func() any {
		cell, reports, err := syntheticCell(targetModels, upstreams)
		failed = err
		return []any{cell, reports}
	})
	return max(whole-document, 0), failed
}

// reportSize returns the size in bytes of the report of a fake engine that has the
// given number of models loaded.
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

// filledShard returns a shard with the given number of settled claims.
func filledShard(claims int) *claim.Shard {
	shard := claim.NewShard(time.Hour)
	for n := range claims {
		key := fmt.Sprintf("caller-%d/event-%d", n%97, n)
		shard.Ask(claim.GrantRequest{Key: key, Grant: "entry-place-1-1-x-" + key}, startTime())
		shard.Settle(claim.Settlement{Key: key, Grant: "entry-place-1-1-x-" + key, Outcome: cardamom.Served, Result: claim.Result{Status: 200, Body: make([]byte, 200)}}, startTime())
	}
	shard.Changes()
	return shard
}

// askTime returns the time in microseconds to ask for a new claim and settle it in a
// shard with the given number of claims.
func askTime(claims int) (float64, error) {
	shard := filledShard(claims)
	n := 0
	return microseconds(func() {
		n++
		key := fmt.Sprintf("new-%d", n)
		shard.Ask(claim.GrantRequest{Key: key, Grant: key}, startTime())
		shard.Settle(claim.Settlement{Key: key, Grant: key, Outcome: cardamom.Served}, startTime())
		shard.Changes()
	}), nil
}

// claimMemory returns the bytes that a shard with the given number of claims takes.
func claimMemory(claims int) (float64, error) {
	return heapBytes(func() any { return filledShard(claims) }), nil
}

// addressTime returns the time in microseconds to choose the addresses for a model.
func addressTime(members int) (float64, error) {
	document, err := policy.Parse("measured", syntheticDocument(targetModels))
	if err != nil {
		return 0, err
	}
	view := &route.View{
		Self: memberInstance(0), Active: memberState(members).Active(startTime()), Published: policy.NewPublished(1, document, nil, "", ""),
	}
	return microseconds(func() { view.Addresses("model-00007", "place-1") }), nil
}
