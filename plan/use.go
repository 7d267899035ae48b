package plan

import (
	"math"
	"time"

	cardamom "cardamomcourse.example/cardamom"
)

// modelDemand is the demand for a model. Its arrivals and tokens are sums that
// decay exponentially, as of the time updated.
type modelDemand struct {
	arrivals    float64
	tokens      float64
	updated     time.Time
	lastArrival time.Time
	waiting     int
	running     int
}

// decayedArrivals returns the sum of arrivals at the given time.
func (d *modelDemand) decayedArrivals(now time.Time) float64 {
	return d.arrivals * d.decayFactor(now, demandDecay)
}

// decayFactor returns the fraction of a sum that remains at the given time, for
// the given time constant.
func (d *modelDemand) decayFactor(now time.Time, decay time.Duration) float64 {
	return math.Exp(-now.Sub(d.updated).Seconds() / decay.Seconds())
}

// rate returns the expected arrivals per second.
func (d *modelDemand) rate(now time.Time) float64 {
	return (d.decayedArrivals(now) + priorArrivals) / (demandDecay + priorTime).Seconds()
}

// modelKey is a model or adapter that requests wait for.
type modelKey struct {
	model   cardamom.ModelID
	adapter string
}

// Arrived counts requests for a model. tokens is the size of all their prompts
// together.
func (w *World) Arrived(model cardamom.ModelID, count, tokens int, now time.Time) {
	if w.demandSince.IsZero() {
		w.demandSince = now
	}
	d := w.demandOf(model)
	d.arrivals = d.decayedArrivals(now) + float64(count)
	d.tokens = d.tokens*d.decayFactor(now, tokenDecay) + float64(tokens)
	d.updated, d.lastArrival = now, now
}

// observedTime returns for how long demand has been counted, at most
// demandDecay.
func (w *World) observedTime(now time.Time) time.Duration {
	if w.demandSince.IsZero() {
		return 0
	}
	return min(now.Sub(w.demandSince), demandDecay)
}

// Used records that an adapter was requested, so that it is not evicted next.
func (w *World) Used(id cardamom.UpstreamID, model cardamom.ModelID, adapter string, now time.Time) {
	if e, ok := w.engines[id]; ok {
		e.adapterUsed[string(model)+"/"+adapter] = now
	}
}

// Running sets how many requests of a model are waiting and how many are in
// flight.
func (w *World) Running(model cardamom.ModelID, waiting, running int) {
	d := w.demandOf(model)
	d.waiting, d.running = waiting, running
}

// Want records that requests wait for a model or adapter until the given time.
func (w *World) Want(model cardamom.ModelID, adapter string, until time.Time) {
	key := modelKey{model, adapter}
	if until.After(w.waits[key]) {
		w.waits[key] = until
	}
}

func (w *World) demandOf(model cardamom.ModelID) *modelDemand {
	d, ok := w.demands[model]
	if !ok {
		d = &modelDemand{}
		w.demands[model] = d
	}
	return d
}

// Known returns the models with a demand record.
func (w *World) Known() []cardamom.ModelID {
	list := make([]cardamom.ModelID, 0, len(w.demands))
	for model := range w.demands {
		list = append(list, model)
	}
	return list
}

// Waits raises the number of requests that wait for a model to at least the
// given number.
func (w *World) Waits(model cardamom.ModelID, waiting int) {
	d := w.demandOf(model)
	d.waiting = max(d.waiting, waiting)
}
