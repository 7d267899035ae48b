package plan

import (
	"math"
	"time"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/site"
)

// replicas returns how many replicas of a model there are or will be: engines that
// have loaded it, are loading it or make room for it.
func (pl *Planner) replicas(model cardamom.ModelID) int {
	if pl.countedVersion != pl.version || pl.replicaCounts == nil {
		pl.countReplicas()
	}
	return pl.replicaCounts[model]
}

// countReplicas counts, for each model, the replicas that there are or will be, and
// the engines that have it in memory or on disk.
func (pl *Planner) countReplicas() {
	pl.replicaCounts = make(map[cardamom.ModelID]int, len(pl.spec.Models))
	pl.localCounts = make(map[cardamom.ModelID]int, len(pl.spec.Models))
	for _, e := range pl.engines {
		if !e.live() {
			continue
		}
		for model := range e.Loaded {
			if e.loadedAfterOrder(model) {
				pl.replicaCounts[model]++
			}
		}
		if p := e.pending; p != nil && p.order.Adapter == "" && p.order.Kind == site.Load {
			if _, ok := e.Loaded[p.order.Model]; !ok {
				pl.replicaCounts[p.order.Model]++
			}
		}
		if e.target != "" && !e.loadedAfterOrder(e.target) {
			pl.replicaCounts[e.target]++
		}
		for model := range e.OnDisk {
			pl.localCounts[model]++
		}
		for model := range e.InMemory {
			if !e.OnDisk[model] {
				pl.localCounts[model]++
			}
		}
	}
	pl.countedVersion = pl.version
}

// wantedReplicas returns how many replicas of a model its demand justifies. Until
// demand has been observed for minObservation, it is the number of existing replicas,
// which show best which models are busy, but at most initialReplicas.
func (pl *Planner) wantedReplicas(model cardamom.ModelID, now time.Time) int {
	observed := pl.observedTime(now).Seconds()
	if observed < minObservation.Seconds() {
		return min(max(pl.replicas(model), 1), initialReplicas)
	}
	d, ok := pl.demands[model]
	if !ok {
		return 1
	}
	window := pl.effectiveWindows(now).arrivals
	count := 1
	if d.decayedArrivals(now)/window >= pl.secondReplicaRate(now) {
		count = 2
	}
	count = max(count, int(math.Ceil(pl.tokenRate(model, now)/pl.profile.ReplicaTokens)))
	count = max(count, int(math.Ceil(float64(d.running+d.waiting)/pl.profile.ReplicaRunning)))
	return min(count+pl.limitedReplicas(model, now), pl.profile.MaxReplicas)
}

// secondReplicaRate returns the arrivals per second from which a model gets a
// second replica. The rate is higher while many engines are busy with swaps, an unload
// and a load each: a second replica takes memory from a rarely used model, whose
// requests then wait for a swap.
func (pl *Planner) secondReplicaRate(now time.Time) float64 {
	busy := pl.swaps.decayedArrivals(now) / pl.effectiveWindows(now).arrivals * swapSeconds / float64(max(len(pl.engines), 1))
	if busy > scarceSwapShare {
		return pl.profile.ScarceReplicaRate
	}
	return pl.profile.SecondReplicaRate
}

// localCount returns how many engines have the model in memory or on disk, so that
// they can load it without the store.
func (pl *Planner) localCount(model cardamom.ModelID) int {
	if pl.countedVersion != pl.version || pl.replicaCounts == nil {
		pl.countReplicas()
	}
	return pl.localCounts[model]
}

// utilization returns the prompt tokens per second that an engine would read if it
// also loaded the model, as a fraction of the profile's ReplicaTokens. All models of
// the engine count, since their requests wait for each other.
func (pl *Planner) utilization(e *engine, model cardamom.ModelID, now time.Time) float64 {
	total := pl.tokenRate(model, now) / float64(pl.replicas(model)+1)
	for loaded := range e.Loaded {
		total += pl.tokenRate(loaded, now) / float64(max(pl.replicas(loaded), 1))
	}
	return total / pl.profile.ReplicaTokens
}

// tokenRate returns the prompt tokens per second of the requests for a model.
func (pl *Planner) tokenRate(model cardamom.ModelID, now time.Time) float64 {
	d, ok := pl.demands[model]
	if !ok {
		return 0
	}
	return d.decayedTokens(now) / pl.effectiveWindows(now).tokens
}

// windows are the seconds by which counts that decay are divided to get rates, as of
// a time.
type windows struct {
	at       time.Time
	arrivals float64
	tokens   float64
}

// effectiveWindows returns the windows of arrivals and tokens. They grow from the
// start of observation towards the time constants.
func (pl *Planner) effectiveWindows(now time.Time) windows {
	if pl.windows.at != now {
		observed := max(pl.observedTime(now), minObservation).Seconds()
		effective := func(decay time.Duration) float64 { return decay.Seconds() * (1 - math.Exp(-observed/decay.Seconds())) }
		pl.windows = windows{now, effective(demandDecay), effective(tokenDecay)}
	}
	return pl.windows
}
