package coord

import (
	"sort"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/demand"
	"cardamomcourse.example/cardamom/site"
	"cardamomcourse.example/cardamom/syncpb"
)

func encodeUpstream(upstream *site.Upstream) *syncpb.Upstream {
	wire := &syncpb.Upstream{
		Id: string(upstream.ID), Service: string(upstream.Service), Address: upstream.Address, DataCentre: string(upstream.DataCentre),
		Leaving: upstream.State == cardamom.Leaving, Slots: int32(upstream.Slots), Version: upstream.Version, Born: upstream.StartedMs,
	}
	for model, adapters := range upstream.Loaded {
		wire.Held = append(wire.Held, &syncpb.Held{Model: string(model), Adapters: adapters})
	}
	return wire
}

func decodeUpstream(wire *syncpb.Upstream) *site.Upstream {
	state := cardamom.Live
	if wire.GetLeaving() {
		state = cardamom.Leaving
	}
	upstream := &site.Upstream{
		Upstream: cardamom.Upstream{
			ID: cardamom.UpstreamID(wire.GetId()), Service: cardamom.ServiceID(wire.GetService()),
			DataCentre: cardamom.DataCentre(wire.GetDataCentre()), Address: wire.GetAddress(), State: state,
		},
		StartedMs: wire.GetBorn(), Slots: int(wire.GetSlots()), Version: wire.GetVersion(), Loaded: make(map[cardamom.ModelID][]string, len(wire.GetHeld())),
	}
	for _, held := range wire.GetHeld() {
		upstream.Loaded[cardamom.ModelID(held.GetModel())] = held.GetAdapters()
	}
	return upstream
}

func encodeMembers(members []Member) []*syncpb.Member {
	list := make([]*syncpb.Member, 0, len(members))
	for _, m := range members {
		list = append(list, &syncpb.Member{Instance: string(m.ID), EntryAddress: m.EntryAddress, SyncAddress: m.SyncAddress, Leaving: m.Leaving, Weak: m.Weak, Partitioned: m.Partitioned})
	}
	return list
}

func decodeMember(wire *syncpb.Member) Member {
	return Member{ID: cardamom.InstanceID(wire.GetInstance()), EntryAddress: wire.GetEntryAddress(), SyncAddress: wire.GetSyncAddress(), Leaving: wire.GetLeaving(), Weak: wire.GetWeak(), Partitioned: wire.GetPartitioned()}
}

// decodeReport returns the counts of requests that a member reports.
func decodeReport(request *syncpb.ExchangeRequest) demand.Report {
	report := demand.Report{
		Models:    make(map[demand.Key]demand.Model, len(request.GetDemands())),
		Upstreams: make(map[cardamom.UpstreamID]demand.Upstream, len(request.GetLoads())),
	}
	for _, d := range request.GetDemands() {
		key := demand.Key{Service: cardamom.ServiceID(d.GetService()), Model: cardamom.ModelID(d.GetModel())}
		report.Models[key] = demand.Model{Arrivals: int(d.GetArrivals()), Tokens: int(d.GetTokens()), Waiting: int(d.GetWaiting()), Running: int(d.GetRunning())}
	}
	for _, load := range request.GetLoads() {
		upstream := demand.Upstream{Running: int(load.GetRunning()), Failures: int(load.GetFailures()), Adapters: make(map[string]bool, len(load.GetAdapters()))}
		for _, name := range load.GetAdapters() {
			upstream.Adapters[name] = true
		}
		report.Upstreams[cardamom.UpstreamID(load.GetUpstream())] = upstream
	}
	return report
}

func sortMembers(members []Member) {
	sort.Slice(members, func(i, j int) bool { return members[i].ID < members[j].ID })
}
