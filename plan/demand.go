package plan

import (
	"math"
	"time"

	cardamom "cardamomcourse.example/cardamom"
)

// modelDemand is the demand for a model.
type modelDemand struct {
	// arrivals is the number of requests, decayed exponentially with demandDecay.
	arrivals float64
	// tokens is the number of tokens of their prompts, decayed with tokenDecay.
	tokens float64
	// updated is the time up to which both are decayed.
	updated     time.Time
	lastArrival time.Time
	// waiting is how many requests wait for the model.
	waiting int
	// running is how many requests for the model are in flight.
	running int
}

// decayedArrivals returns arrivals, decayed to the given time.
func (d *modelDemand) decayedArrivals(now time.Time) float64 {
	return d.arrivals * d.decayFactor(now, demandDecay)
}

// decayFactor returns the fraction of a count that remains at the given time, for
// the given time constant.
func (d *modelDemand) decayFactor(now time.Time, decay time.Duration) float64 {
	return math.Exp(-now.Sub(d.updated).Seconds() / decay.Seconds())
}

// rate returns the expected arrivals per second.
func (d *modelDemand) rate(now time.Time) float64 {
	return (d.decayedArrivals(now) + priorArrivals) / (demandDecay + priorTime).Seconds()
}

// modelKey is a model that requests wait for, with one of its adapters unless adapter
// is empty.
type modelKey struct {
	model   cardamom.ModelID
	adapter string
}

// Arrived counts requests for a model. tokens is the size of all their prompts
// together.
func (pl *Planner) Arrived(model cardamom.ModelID, count, tokens int, now time.Time) {
	if pl.demandSince.IsZero() {
		pl.demandSince = now
	}
	d := pl.demandOf(model)
	d.arrivals = d.decayedArrivals(now) + float64(count)
	d.tokens = d.tokens*d.decayFactor(now, tokenDecay) + float64(tokens)
	d.updated, d.lastArrival = now, now
}

// observedTime returns for how long demand has been counted, at most
// demandDecay.
func (pl *Planner) observedTime(now time.Time) time.Duration {
	if pl.demandSince.IsZero() {
		return 0
	}
	return min(now.Sub(pl.demandSince), demandDecay)
}

// AdapterUsed records that an adapter was requested: the least recently used one is
// evicted first.
func (pl *Planner) AdapterUsed(id cardamom.UpstreamID, model cardamom.ModelID, adapter string, now time.Time) {
	if e, ok := pl.engines[id]; ok {
		e.adapterUsed[string(model)+"/"+adapter] = now
	}
}

// SetRequestCounts sets how many requests of a model are waiting and how many
// are in flight.
func (pl *Planner) SetRequestCounts(model cardamom.ModelID, waiting, running int) {
	d := pl.demandOf(model)
	d.waiting, d.running = waiting, running
}

// RecordWait records that requests wait for a model or adapter until the given
// time.
func (pl *Planner) RecordWait(model cardamom.ModelID, adapter string, until time.Time) {
	key := modelKey{model, adapter}
	if until.After(pl.waits[key]) {
		pl.waits[key] = until
	}
}

func (pl *Planner) demandOf(model cardamom.ModelID) *modelDemand {
	d, ok := pl.demands[model]
	if !ok {
		d = &modelDemand{}
		pl.demands[model] = d
	}
	return d
}

// KnownModels returns the models with a demand record.
func (pl *Planner) KnownModels() []cardamom.ModelID {
	list := make([]cardamom.ModelID, 0, len(pl.demands))
	for model := range pl.demands {
		list = append(list, model)
	}
	return list
}

// RaiseWaiting raises the number of requests that wait for a model to at least
// the given number.
func (pl *Planner) RaiseWaiting(model cardamom.ModelID, waiting int) {
	d := pl.demandOf(model)
	d.waiting = max(d.waiting, waiting)
}
