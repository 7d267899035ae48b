package plan

import (
	"math"
	"time"

	cardamom "cardamomcourse.example/cardamom"
)

// use is how much a model is asked for.
type use struct {
	count   float64
	tokens  float64
	at      time.Time
	last    time.Time
	waiting int
	running int
}

// decayed returns the remembered arrivals at the time.
func (u *use) decayed(now time.Time) float64 { return u.count * u.left(now, memoryOf) }

// left returns the part of what is remembered for a time that still counts.
func (u *use) left(now time.Time, memory time.Duration) float64 {
	return math.Exp(-now.Sub(u.at).Seconds() / memory.Seconds())
}

// rate returns the expected arrivals a second.
func (u *use) rate(now time.Time) float64 {
	return (u.decayed(now) + priorArrivals) / (memoryOf + priorTime).Seconds()
}

// want is a model or adapter that requests wait for.
type want struct {
	model   cardamom.ModelID
	adapter string
}

// Arrived counts requests for a model with so many prompt tokens together.
func (w *World) Arrived(model cardamom.ModelID, count, tokens int, now time.Time) {
	if w.began.IsZero() {
		w.began = now
	}
	u := w.use(model)
	u.count = u.decayed(now) + float64(count)
	u.tokens = u.tokens*u.left(now, tokenMemory) + float64(tokens)
	u.at, u.last = now, now
}

// seen returns for how long demand has been counted, at most the memory of it.
func (w *World) seen(now time.Time) time.Duration {
	if w.began.IsZero() {
		return 0
	}
	return min(now.Sub(w.began), memoryOf)
}

// Used takes that an adapter was asked for, so that it is not dropped next.
func (w *World) Used(id cardamom.UpstreamID, model cardamom.ModelID, adapter string, now time.Time) {
	if e, ok := w.engines[id]; ok {
		e.used[string(model)+"/"+adapter] = now
	}
}

// Running sets how many requests of a model are waiting and in progress.
func (w *World) Running(model cardamom.ModelID, waiting, running int) {
	u := w.use(model)
	u.waiting, u.running = waiting, running
}

// Want takes that requests wait for a model or adapter until the time.
func (w *World) Want(model cardamom.ModelID, adapter string, until time.Time) {
	key := want{model, adapter}
	if until.After(w.wants[key]) {
		w.wants[key] = until
	}
}

func (w *World) use(model cardamom.ModelID) *use {
	u, ok := w.uses[model]
	if !ok {
		u = &use{}
		w.uses[model] = u
	}
	return u
}

// Known returns the models that were asked for at some time.
func (w *World) Known() []cardamom.ModelID {
	list := make([]cardamom.ModelID, 0, len(w.uses))
	for model := range w.uses {
		list = append(list, model)
	}
	return list
}

// Waits takes that at least so many requests wait for a model.
func (w *World) Waits(model cardamom.ModelID, waiting int) {
	u := w.use(model)
	u.waiting = max(u.waiting, waiting)
}
