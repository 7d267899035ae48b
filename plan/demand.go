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
	// factors are the decay factors as of the last call of decay.
	factors decayFactors
}

// decayFactors are the fractions of counts that remain at a time. One look at the
// plan uses them for each engine.
type decayFactors struct {
	at, since time.Time
	arrivals  float64
	tokens    float64
}

// decayedArrivals returns arrivals, decayed to the given time.
func (d *modelDemand) decayedArrivals(now time.Time) float64 {
	return d.arrivals * d.decay(now).arrivals
}

// decayedTokens returns tokens, decayed to the given time.
func (d *modelDemand) decayedTokens(now time.Time) float64 {
	return d.tokens * d.decay(now).tokens
}

// decay returns the fractions of the counts that remain at the given time.
func (d *modelDemand) decay(now time.Time) decayFactors {
	if d.factors.at != now || d.factors.since != d.updated {
		elapsed := now.Sub(d.updated).Seconds()
		d.factors = decayFactors{
			at: now, since: d.updated,
			arrivals: math.Exp(-elapsed / demandDecay.Seconds()), tokens: math.Exp(-elapsed / tokenDecay.Seconds()),
		}
	}
	return d.factors
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
	// version is the software version that the engine has to have, empty for any.
	version string
}

// Arrived counts requests for a model. tokens is the size of all their prompts
// together.
func (pl *Planner) Arrived(model cardamom.ModelID, count, tokens int, now time.Time) {
	if pl.demandSince.IsZero() {
		pl.demandSince, pl.windows = now, windows{}
	}
	d := pl.demandOf(model)
	d.arrivals = d.decayedArrivals(now) + float64(count)
	d.tokens = d.decayedTokens(now) + float64(tokens)
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
	pl.RecordWaitAtVersion(model, adapter, "", until)
}

// RecordWaitAtVersion is RecordWait for requests that only engines with a software version
// may run, any if it is empty.
func (pl *Planner) RecordWaitAtVersion(model cardamom.ModelID, adapter, version string, until time.Time) {
	key := modelKey{model, adapter, version}
	if until.After(pl.waits[key]) {
		pl.waits[key] = until
	}
}

// recordWanted records since when requests wait for models that no engine has.
func (pl *Planner) recordWanted(waits []modelKey, now time.Time) {
	since := make(map[cardamom.ModelID]time.Time, len(waits))
	for _, key := range waits {
		if pl.replicas(key.model) > 0 {
			continue
		}
		since[key.model] = now
		if known, ok := pl.wantedSince[key.model]; ok {
			since[key.model] = known
		}
	}
	pl.wantedSince = since
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
