package plan

import (
	"math"
	"time"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/site"
)

// copies returns how many engines hold a model, load it or make room for it.
func (w *World) copies(model cardamom.ModelID) int {
	if w.counted != w.changes || w.copyCounts == nil {
		w.countCopies()
	}
	return w.copyCounts[model]
}

// countCopies counts the copies of all models.
func (w *World) countCopies() {
	w.copyCounts = make(map[cardamom.ModelID]int, len(w.spec.Models))
	w.atHands = make(map[cardamom.ModelID]int, len(w.spec.Models))
	for _, e := range w.engines {
		if !e.live() {
			continue
		}
		for model := range e.Held {
			if e.willHold(model) {
				w.copyCounts[model]++
			}
		}
		if p := e.pending; p != nil && p.order.Adapter == "" && p.order.Kind == site.Load {
			if _, ok := e.Held[p.order.Model]; !ok {
				w.copyCounts[p.order.Model]++
			}
		}
		if e.purpose != "" && !e.willHold(e.purpose) {
			w.copyCounts[e.purpose]++
		}
		for model := range e.OnDisk {
			w.atHands[model]++
		}
		for model := range e.InMemory {
			if !e.OnDisk[model] {
				w.atHands[model]++
			}
		}
	}
	w.counted = w.changes
}

// wanted returns how many copies of a model its demand justifies. Before any
// demand is seen, copies that are there are the best word on what is busy.
func (w *World) wanted(model cardamom.ModelID, now time.Time) int {
	seen := w.seen(now).Seconds()
	if seen < firstLook.Seconds() {
		return min(max(w.copies(model), 1), firstCopies)
	}
	u, ok := w.uses[model]
	if !ok {
		return 1
	}
	span := w.span(now, memoryOf)
	count := 1
	if u.decayed(now)/span >= w.secondRate(now) {
		count = 2
	}
	count = max(count, int(math.Ceil(w.tokenRate(model, now)/w.profile.CopyTokens)))
	count = max(count, int(math.Ceil(float64(u.running+u.waiting)/w.profile.CopyRunning)))
	return min(count, w.profile.MostCopies)
}

// secondRate returns the arrivals a second from which a second copy is worth
// its place: each takes the place of a rare model, whose requests then wait for
// a swap.
func (w *World) secondRate(now time.Time) float64 {
	busy := w.swaps.decayed(now) / w.span(now, memoryOf) * swapTime / float64(max(len(w.engines), 1))
	if busy > scarceSwaps {
		return w.profile.ScarceCopyRate
	}
	return w.profile.SecondCopyRate
}

// atHand returns how many engines can load the model without the store.
func (w *World) atHand(model cardamom.ModelID) int {
	if w.counted != w.changes || w.copyCounts == nil {
		w.countCopies()
	}
	return w.atHands[model]
}

// crowd returns how busy an engine would be with a copy of the model, in parts
// of what one copy should read: models on one engine wait for each other.
func (w *World) crowd(e *engine, model cardamom.ModelID, now time.Time) float64 {
	total := w.tokenRate(model, now) / float64(w.copies(model)+1)
	for held := range e.Held {
		total += w.tokenRate(held, now) / float64(max(w.copies(held), 1))
	}
	return total / w.profile.CopyTokens
}

// tokenRate returns the prompt tokens a second that a model is asked for.
func (w *World) tokenRate(model cardamom.ModelID, now time.Time) float64 {
	u, ok := w.uses[model]
	if !ok {
		return 0
	}
	return u.tokens * u.left(now, tokenMemory) / w.span(now, tokenMemory)
}

// span returns the seconds that what is remembered for a time stands for: it approaches
// the rate times the memory.
func (w *World) span(now time.Time, memory time.Duration) float64 {
	seen := max(w.seen(now), firstLook).Seconds()
	return memory.Seconds() * (1 - math.Exp(-seen/memory.Seconds()))
}
