package retain

import (
	"math"
	"time"
)

const (
	// bucketCount is the number of buckets. They cover idle gaps from bucketBase to
	// about two and a half days.
	bucketCount = 72
	// bucketsPerDouble is the number of buckets for each doubling of the gap.
	bucketsPerDouble = 4
	// bucketBase is the upper bound of the first bucket.
	bucketBase = time.Second
	// gapDecay is the factor by which each new gap multiplies the weights of older
	// ones.
	gapDecay = 0.97
)

// History holds when a model was last used and a histogram of its idle gaps, the
// times between two uses. The buckets are logarithmic, and the weights of older gaps
// decay exponentially. The history of a profile holds the gaps of all its models.
type History struct {
	counts  [bucketCount]float64
	lastUse time.Time

	// plan is the plan last computed. It is valid until another gap is added, and
	// only for planColdStartCost, the cost of a cold start that it was computed with.
	plan              Plan
	planColdStartCost time.Duration
	planValid         bool
}

// LastUse returns when the model was last used.
func (h *History) LastUse() time.Time { return h.lastUse }

// RecordUse records a use of the model and returns the idle gap since the previous
// use. It returns 0 for the first use and for a gap that is too short to be recorded.
func (h *History) RecordUse(now time.Time) time.Duration {
	gap := now.Sub(h.lastUse)
	if h.lastUse.IsZero() || gap <= bucketBase {
		gap = 0
	}
	h.AddGap(gap)
	if now.After(h.lastUse) {
		h.lastUse = now
	}
	return gap
}

// AddGap records an idle gap, unless it is too short: at most bucketBase.
func (h *History) AddGap(gap time.Duration) {
	if gap <= bucketBase {
		return
	}
	for i := range h.counts {
		h.counts[i] *= gapDecay
	}
	h.counts[bucketOf(gap)]++
	h.planValid = false
}

// totalWeight returns the sum of the weights of all gaps.
func (h *History) totalWeight() float64 {
	total := 0.0
	for _, count := range h.counts {
		total += count
	}
	return total
}

// bucketOf returns the bucket of a gap. The last one also holds all longer gaps.
func bucketOf(gap time.Duration) int {
	doublings := math.Log2(float64(gap) / float64(bucketBase))
	return min(max(int(math.Ceil(doublings*bucketsPerDouble)), 0), bucketCount-1)
}

// upperBound returns the upper bound of a bucket.
func upperBound(bucket int) time.Duration {
	return time.Duration(float64(bucketBase) * math.Exp2(float64(bucket)/bucketsPerDouble))
}
