package plan

import (
	"time"

	cardamom "cardamomcourse.example/cardamom"
)

const (
	// doubtAsk is the time between two reports of an engine that an instance
	// could not reach, downAsk that for one that is taken to be down.
	doubtAsk = 100 * time.Millisecond
	downAsk  = 500 * time.Millisecond
	// enoughMisses is how many reports in a row must not come until a doubted
	// engine is taken to be down: one may be lost on the way.
	enoughMisses = 2
)

// doubt is what speaks against an engine that is still listed.
type doubt struct {
	// asking means that an instance could not reach the engine and that no
	// report came since.
	asking bool
	misses int
	asked  time.Time
	// down means that the engine is treated as if it were not listed.
	down bool
}

// Doubt takes that an instance could not reach an engine. Only then a missing
// report counts against it: two observers are needed to take an engine out.
func (w *World) Doubt(id cardamom.UpstreamID, now time.Time) {
	e, ok := w.engines[id]
	if !ok || e.doubt.asking {
		return
	}
	e.doubt = doubt{asking: true, asked: now.Add(-doubtAsk)}
}

// Silent takes that an engine's report did not come, and tells whether the
// engine is taken to be down from now on.
func (w *World) Silent(id cardamom.UpstreamID) bool {
	e, ok := w.engines[id]
	if !ok || !e.doubt.asking || e.doubt.down {
		return false
	}
	e.doubt.misses++
	if e.doubt.misses < enoughMisses {
		return false
	}
	e.doubt.down = true
	w.touch(e)
	return true
}

// trust ends all doubt of an engine that answered.
func (w *World) trust(e *engine) {
	if e.doubt.down {
		w.touch(e)
	}
	e.doubt = doubt{}
}

// due tells whether a doubted engine is to be asked again.
func (d *doubt) due(now time.Time) bool {
	pause := doubtAsk
	if d.down {
		pause = downAsk
	}
	return d.asking && now.Sub(d.asked) >= pause
}
