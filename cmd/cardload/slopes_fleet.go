package main

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"cardamomcourse.example/cardamom/fakes/fleet"
	"cardamomcourse.example/cardamom/sleep"
)

// idleDuration is how long a fleet without callers is measured.
const idleDuration = 8 * time.Second

// idleCost is the cost of the control plane in a fleet without callers, per instance
// except for tableReads. The function sample uses the type for totals of the whole
// fleet, in the units that its comment names.
type idleCost struct {
	// cpu is in percent of a core.
	cpu float64
	// residentMemory is in MB.
	residentMemory float64
	// peerBytes is the traffic to and from other instances, in KB per second.
	peerBytes float64
	// engineBytes is the traffic to and from engines, in KB per second.
	engineBytes float64
	// tableReads is the reads of the table per second by all instances together.
	tableReads float64
}

// fleetCosts caches the measured cost of each fleet size, since several slopes (costs
// as linear functions of a size) are fitted to the same measurements.
type fleetCosts struct {
	ctx context.Context
	// programs is the folder with the programs cardd and cardfake.
	programs string
	// costs has the costs by the number of instances.
	costs map[int]idleCost
}

// cost returns the idle cost of a fleet with the given number of instances.
func (c *fleetCosts) cost(instances int) (idleCost, error) {
	if cost, ok := c.costs[instances]; ok {
		return cost, nil
	}
	cost, err := measureIdle(c.ctx, c.programs, instances)
	if err == nil {
		c.costs[instances] = cost
	}
	return cost, err
}

// measureFunc returns a function that measures one part of the idle cost, for a slope.
func (c *fleetCosts) measureFunc(part func(idleCost) float64) func(int) (float64, error) {
	return func(instances int) (float64, error) {
		cost, err := c.cost(instances)
		return part(cost), err
	}
}

// measureIdle starts a fleet without callers and measures its idle cost. programs is
// the folder with the programs cardd and cardfake.
func measureIdle(ctx context.Context, programs string, instances int) (idleCost, error) {
	deployment, err := fleet.Load("examples/small/deployment.jsonc")
	if err != nil {
		return idleCost{}, err
	}
	deployment.SetInstanceCounts(map[string]int{"north": instances / 2, "south": instances - instances/2})
	f, stop, err := startFleet(ctx, fleet.Options{Deployment: deployment, Programs: programs, LogLevel: "warn"})
	if err != nil {
		return idleCost{}, err
	}
	defer stop()
	if !sleep.For(ctx, 4*time.Second) {
		return idleCost{}, ctx.Err()
	}
	before, err := sample(f, deployment)
	if err != nil {
		return idleCost{}, err
	}
	if !sleep.For(ctx, idleDuration) {
		return idleCost{}, ctx.Err()
	}
	after, err := sample(f, deployment)
	if err != nil {
		return idleCost{}, err
	}
	seconds, count := idleDuration.Seconds(), float64(instances)
	return idleCost{
		cpu:            100 * (after.cpu - before.cpu) / seconds / count,
		residentMemory: after.residentMemory / count,
		// Only the instance that makes a call counts its bytes, but both ends
		// transfer them.
		peerBytes:   2 * (after.peerBytes - before.peerBytes) / 1000 / seconds / count,
		engineBytes: (after.engineBytes - before.engineBytes) / 1000 / seconds / count,
		tableReads:  (after.tableReads - before.tableReads) / seconds,
	}, nil
}

// varsWire is the counters that an instance publishes at /debug/vars.
type varsWire struct {
	Sent     int64 `json:"peer_bytes_sent"`
	Received int64 `json:"peer_bytes_received"`
	Engines  int64 `json:"engine_bytes"`
}

// sample returns the totals over all instances: resident memory in MB and, since the
// fleet's start, processor seconds, bytes to and from other instances, bytes to and
// from engines, and table reads.
func sample(f *fleet.Fleet, deployment *fleet.Deployment) (idleCost, error) {
	var sum idleCost
	for _, instance := range deployment.Instances() {
		cpu, err := f.CPUTime(instance.ID)
		if err != nil {
			return sum, err
		}
		resident, err := f.ResidentMemory(instance.ID)
		if err != nil {
			return sum, err
		}
		vars, err := readVars(f.Address(instance.ID))
		if err != nil {
			return sum, err
		}
		sum.cpu += cpu.Seconds()
		sum.residentMemory += float64(resident) / 1e6
		sum.peerBytes += float64(vars.Sent + vars.Received)
		sum.engineBytes += float64(vars.Engines)
	}
	counts, err := f.TableCounts()
	sum.tableReads = float64(counts.Reads)
	return sum, err
}

func readVars(address string) (varsWire, error) {
	var vars varsWire
	response, err := http.Get("http://" + address + "/debug/vars")
	if err != nil {
		return vars, eris.Wrap(err, "read vars")
	}
	defer response.Body.Close()
	return vars, eris.Wrap(json.NewDecoder(response.Body).Decode(&vars), "decode vars")
}
