package retain

import (
	"math"
	"time"
)

const (
	// bucketCount buckets cover gaps from bucketBase to about two days.
	bucketCount = 72
	// bucketsPerDouble is the number of buckets for each doubling of the gap.
	bucketsPerDouble = 4
	// bucketBase is the upper bound of the first bucket.
	bucketBase = time.Second
	// gapDecay is the factor by which a new gap lowers the weight of older ones.
	gapDecay = 0.97
)

// History holds when a model was last used and a histogram of its idle gaps, in
// logarithmic buckets with an exponential decay of older gaps.
type History struct {
	counts  [bucketCount]float64
	lastUse time.Time

	// plan is the plan last computed, valid until another gap is added.
	plan              Plan
	planColdStartCost time.Duration
	planValid         bool
}

// LastUse returns when the model was last in use.
func (h *History) LastUse() time.Time { return h.lastUse }

// RecordUse records a use of the model and returns the idle gap since the last one, 0 if
// it is too short to count.
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

// AddGap records an idle gap, unless it is within the first bucket.
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

func bucketOf(gap time.Duration) int {
	doublings := math.Log2(float64(gap) / float64(bucketBase))
	return min(max(int(math.Ceil(doublings*bucketsPerDouble)), 0), bucketCount-1)
}

// upperBound returns the upper bound of a bucket.
func upperBound(bucket int) time.Duration {
	return time.Duration(float64(bucketBase) * math.Exp2(float64(bucket)/bucketsPerDouble))
}
