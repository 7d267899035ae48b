package plan

import (
	"time"

	cardamom "cardamomcourse.example/cardamom"
)

// SetWaits sets until when the engines that asked for a wait want no requests.
func (pl *Planner) SetWaits(until map[cardamom.UpstreamID]time.Time) { pl.quietUntil = until }

// quiet returns how much longer an engine wants no requests.
func (pl *Planner) quiet(e *engine, now time.Time) time.Duration {
	return max(pl.quietUntil[e.ID].Sub(now), 0)
}

// awayReplicas returns how many replicas of a model are on engines that want no requests
// for longer than a load elsewhere takes.
func (pl *Planner) awayReplicas(model cardamom.ModelID, now time.Time) int {
	if len(pl.quietUntil) == 0 {
		return 0
	}
	load, known := pl.shortestLoad(model, now)
	count := 0
	for id := range pl.quietUntil {
		if e, ok := pl.engines[id]; known && ok && e.live() && e.loadedAfterOrder(model) && pl.quiet(e, now) > load {
			count++
		}
	}
	return count
}

// shortestLoad returns the shortest time until an engine that lacks a model could have it
// loaded, and whether there is one.
func (pl *Planner) shortestLoad(model cardamom.ModelID, now time.Time) (shortest time.Duration, known bool) {
	for _, e := range pl.engines {
		if !e.live() || e.loadedAfterOrder(model) {
			continue
		}
		load := max(pl.busyTime(e, now)+pl.loadTime(e, model)+presumeDelay, pl.quiet(e, now))
		if !known || load < shortest {
			shortest, known = load, true
		}
	}
	return shortest, known
}
