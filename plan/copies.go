package plan

import (
	"math"
	"time"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/site"
)

// replicas returns how many engines have loaded a model, load it or make room
// for it.
func (w *World) replicas(model cardamom.ModelID) int {
	if w.countedVersion != w.version || w.replicaCounts == nil {
		w.countReplicas()
	}
	return w.replicaCounts[model]
}

// countReplicas counts, for each model, its replicas and the engines that have
// it in memory or on disk.
func (w *World) countReplicas() {
	w.replicaCounts = make(map[cardamom.ModelID]int, len(w.spec.Models))
	w.localCounts = make(map[cardamom.ModelID]int, len(w.spec.Models))
	for _, e := range w.engines {
		if !e.live() {
			continue
		}
		for model := range e.Held {
			if e.loadedAfterOrder(model) {
				w.replicaCounts[model]++
			}
		}
		if p := e.pending; p != nil && p.order.Adapter == "" && p.order.Kind == site.Load {
			if _, ok := e.Held[p.order.Model]; !ok {
				w.replicaCounts[p.order.Model]++
			}
		}
		if e.target != "" && !e.loadedAfterOrder(e.target) {
			w.replicaCounts[e.target]++
		}
		for model := range e.OnDisk {
			w.localCounts[model]++
		}
		for model := range e.InMemory {
			if !e.OnDisk[model] {
				w.localCounts[model]++
			}
		}
	}
	w.countedVersion = w.version
}

// wantedReplicas returns how many replicas of a model its demand justifies.
// Until demand has been observed for a while, the existing replicas show best
// which models are busy.
func (w *World) wantedReplicas(model cardamom.ModelID, now time.Time) int {
	observed := w.observedTime(now).Seconds()
	if observed < minObservation.Seconds() {
		return min(max(w.replicas(model), 1), initialReplicas)
	}
	d, ok := w.demands[model]
	if !ok {
		return 1
	}
	window := w.effectiveWindow(now, demandDecay)
	count := 1
	if d.decayedArrivals(now)/window >= w.secondReplicaRate(now) {
		count = 2
	}
	count = max(count, int(math.Ceil(w.tokenRate(model, now)/w.profile.CopyTokens)))
	count = max(count, int(math.Ceil(float64(d.running+d.waiting)/w.profile.CopyRunning)))
	return min(count, w.profile.MostCopies)
}

// secondReplicaRate returns the arrivals per second from which a model gets a
// second replica. The rate is higher while many swaps run: each replica takes
// the memory of a rare model, whose requests then wait for a swap.
func (w *World) secondReplicaRate(now time.Time) float64 {
	busy := w.swaps.decayedArrivals(now) / w.effectiveWindow(now, demandDecay) * swapSeconds / float64(max(len(w.engines), 1))
	if busy > scarceSwapShare {
		return w.profile.ScarceCopyRate
	}
	return w.profile.SecondCopyRate
}

// localCount returns how many engines can load the model without the store.
func (w *World) localCount(model cardamom.ModelID) int {
	if w.countedVersion != w.version || w.replicaCounts == nil {
		w.countReplicas()
	}
	return w.localCounts[model]
}

// utilization returns the prompt tokens per second that an engine would read
// with a replica of the model, as a fraction of what one replica should read:
// models on one engine wait for each other.
func (w *World) utilization(e *engine, model cardamom.ModelID, now time.Time) float64 {
	total := w.tokenRate(model, now) / float64(w.replicas(model)+1)
	for held := range e.Held {
		total += w.tokenRate(held, now) / float64(max(w.replicas(held), 1))
	}
	return total / w.profile.CopyTokens
}

// tokenRate returns the prompt tokens per second of the requests for a model.
func (w *World) tokenRate(model cardamom.ModelID, now time.Time) float64 {
	d, ok := w.demands[model]
	if !ok {
		return 0
	}
	return d.tokens * d.decayFactor(now, tokenDecay) / w.effectiveWindow(now, tokenDecay)
}

// effectiveWindow returns the seconds by which a count that decays with the
// given time constant is divided to get a rate. It grows with the time observed.
func (w *World) effectiveWindow(now time.Time, decay time.Duration) float64 {
	observed := max(w.observedTime(now), minObservation).Seconds()
	return decay.Seconds() * (1 - math.Exp(-observed/decay.Seconds()))
}
