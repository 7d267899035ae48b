package site

import (
	"math"
	"time"
)

const (
	// urgentTarget is the latency target up to which requests of a priority are the
	// most urgent.
	urgentTarget = 250 * time.Millisecond
	// leastUrgent is the value that engines start last.
	leastUrgent = 9
	// urgencyPerDoubling is added for each doubling of the latency target.
	urgencyPerDoubling = 1.5
)

// Urgency returns the priority by which engines start waiting requests, 0 first.
// It is the operator's priority plus an amount that grows with the latency
// target, since a short request delays a long one little, but not vice versa.
func (r *Route) Urgency() int { return r.UrgencyAt(r.Priority) }

// UrgencyAt returns the urgency of a request whose organisation has a priority, which goes
// before the route's.
func (r *Route) UrgencyAt(priority int) int {
	step := 0.0
	if r.TargetLatency > urgentTarget {
		step = urgencyPerDoubling * math.Log2(float64(r.TargetLatency)/float64(urgentTarget))
	}
	return min(max(priority+int(math.Round(step)), 0), leastUrgent)
}
