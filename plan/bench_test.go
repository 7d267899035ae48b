package plan_test

import (
	"fmt"
	"testing"
	"time"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/plan"
	"cardamomcourse.example/cardamom/site"
)

// BenchmarkDecide measures one look at the plan of a service with 60 engines that
// hold 3 of 200 models each, 30 of which requests wait for while most engines are
// busy with an order.
func BenchmarkDecide(b *testing.B) {
	const engines, models, waits = 60, 200, 30
	now := time.Unix(1000, 0)
	spec := &site.EngineSpec{Slots: 24, MemoryMB: 220, AdapterSlots: 8, StoreLoadsPerSecond: 15, Models: make(map[cardamom.ModelID]site.Model)}
	name := func(i int) cardamom.ModelID { return cardamom.ModelID(fmt.Sprintf("m%03d", i%models)) }
	for i := range models {
		spec.Models[name(i)] = site.Model{Name: name(i), SizeMB: 70, StoreLoadTime: 13 * time.Second, DiskLoadTime: time.Second, MemoryLoadTime: 400 * time.Millisecond}
	}
	pl := plan.New(spec, plan.DefaultProfile, true, now)
	for i := range engines {
		id := cardamom.UpstreamID(fmt.Sprintf("x%02d", i))
		pl.Update(&site.Upstream{Upstream: cardamom.Upstream{ID: id, Service: "s", State: cardamom.Live}, StartedMs: 1, RegistrationSeq: 1}, now)
		loaded, disk := make(map[cardamom.ModelID][]string), make(map[cardamom.ModelID]bool)
		for j := range 3 {
			loaded[name(3*i+j)] = nil
		}
		for j := range 12 {
			disk[name(3*i+j*17)] = true
		}
		pl.Report(id, site.Report{AcceptedOrders: 1, Loaded: loaded, OnDisk: disk}, now)
	}
	for i := range models {
		pl.Arrived(name(i), 1+i%5, 500, now)
		pl.SetRequestCounts(name(i), 0, i%3)
	}
	for i := range waits {
		pl.RecordWait(name(i*7), "", now.Add(time.Hour))
	}
	pl.Decide(now)
	for b.Loop() {
		now = now.Add(15 * time.Millisecond)
		pl.Decide(now)
	}
}
