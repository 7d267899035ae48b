package site

import (
	"math"
	"time"
)

const (
	// shortTarget is the target of the most urgent requests of a rank.
	shortTarget = 250 * time.Millisecond
	// lastUrgency is what engines start last.
	lastUrgency = 9
	// urgencySteps is how many steps a doubled target is less urgent.
	urgencySteps = 1.5
)

// Urgency returns the order in which engines start waiting requests, 0 first:
// by the operator's rank, then those with the nearer target. A short request
// delays a long one little, and the other way round it delays much.
func (r *Route) Urgency() int {
	step := 0.0
	if r.Target > shortTarget {
		step = urgencySteps * math.Log2(float64(r.Target)/float64(shortTarget))
	}
	return min(max(r.Priority+int(math.Round(step)), 0), lastUrgency)
}
