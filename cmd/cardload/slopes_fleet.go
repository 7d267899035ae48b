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

// idleCost is the cost of the control plane per instance without callers.
type idleCost struct {
	cpu      float64 // percent of a core
	resident float64 // MB
	bytes    float64 // KB a second, to and from peers
	engines  float64 // KB a second, to and from engines
	reads    float64 // reads of the table a second, of all instances
}

// fleetCosts caches the measurement of each fleet size for several slopes.
type fleetCosts struct {
	ctx      context.Context
	programs string
	costs    map[int]idleCost
}

func (c *fleetCosts) measure(instances int) (idleCost, error) {
	if cost, ok := c.costs[instances]; ok {
		return cost, nil
	}
	cost, err := measureIdle(c.ctx, c.programs, instances)
	if err == nil {
		c.costs[instances] = cost
	}
	return cost, err
}

func (c *fleetCosts) measurement(part func(idleCost) float64) func(int) (float64, error) {
	return func(instances int) (float64, error) {
		cost, err := c.measure(instances)
		return part(cost), err
	}
}

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
		cpu:      100 * (after.cpu - before.cpu) / seconds / count,
		resident: after.resident / count,
		// Only the caller counts the bytes of a call, but both ends transfer them.
		bytes:   2 * (after.bytes - before.bytes) / 1000 / seconds / count,
		engines: (after.engines - before.engines) / 1000 / seconds / count,
		reads:   (after.reads - before.reads) / seconds,
	}, nil
}

type varsWire struct {
	Sent     int64 `json:"peer_bytes_sent"`
	Received int64 `json:"peer_bytes_received"`
	Engines  int64 `json:"engine_bytes"`
}

// sample sums processor seconds, resident MB, bytes to and from peers and
// engines, and table reads over all instances.
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
		sum.resident += float64(resident) / 1e6
		sum.bytes += float64(vars.Sent + vars.Received)
		sum.engines += float64(vars.Engines)
	}
	counts, err := f.TableCounts()
	sum.reads = float64(counts.Reads)
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
