package plan

import (
	"time"

	cardamom "cardamomcourse.example/cardamom"
)

const (
	// suspectedReportInterval is the time between two report requests to an engine
	// that an instance could not reach.
	suspectedReportInterval = 100 * time.Millisecond
	// downReportInterval is the time between two report requests to an engine that
	// is treated as down.
	downReportInterval = 500 * time.Millisecond
	// missedReportLimit is how many reports in a row a suspected engine must miss
	// to be treated as down: a single one may be lost on the network.
	missedReportLimit = 2
)

// suspicion is the evidence that an engine which is still listed has failed.
type suspicion struct {
	// suspected means that an instance could not reach the engine and that no
	// report has arrived since.
	suspected       bool
	missedReports   int
	reportRequested time.Time
	// down means that the engine is treated as if it were not listed.
	down bool
}

// Suspect records that an instance could not reach an engine. Missed reports count
// against the engine only from then on, so that an engine is treated as down only if
// both that instance and the coordinator can't reach it.
func (pl *Planner) Suspect(id cardamom.UpstreamID, now time.Time) {
	e, ok := pl.engines[id]
	if !ok || e.suspicion.suspected {
		return
	}
	e.suspicion = suspicion{suspected: true, reportRequested: now.Add(-suspectedReportInterval)}
}

// ReportMissed records that a requested report did not arrive. It returns true if the
// engine is treated as down from now on and was not before.
func (pl *Planner) ReportMissed(id cardamom.UpstreamID) bool {
	e, ok := pl.engines[id]
	if !ok || !e.suspicion.suspected || e.suspicion.down {
		return false
	}
	e.suspicion.missedReports++
	if e.suspicion.missedReports < missedReportLimit {
		return false
	}
	e.suspicion.down = true
	pl.markChanged(e)
	return true
}

// clearSuspicion ends the suspicion of an engine that answered.
func (pl *Planner) clearSuspicion(e *engine) {
	if e.suspicion.down {
		pl.markChanged(e)
	}
	e.suspicion = suspicion{}
}

// reportDue reports whether another report is to be requested from a suspected
// engine.
func (s *suspicion) reportDue(now time.Time) bool {
	pause := suspectedReportInterval
	if s.down {
		pause = downReportInterval
	}
	return s.suspected && now.Sub(s.reportRequested) >= pause
}
