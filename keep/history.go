package keep

import (
	"math"
	"time"
)

const (
	// buckets covers gaps from bucketBase to about two days.
	buckets = 72
	// bucketsPerDouble is how many buckets a doubling of the gap spans.
	bucketsPerDouble = 4
	// bucketBase is the upper bound of the first bucket.
	bucketBase = time.Second
	// forget is the weight that older gaps keep at each new one.
	forget = 0.97
)

// History is when a model was used: its last use and its idle gaps in
// logarithmic buckets, recent ones weighing more.
type History struct {
	counts  [buckets]float64
	lastUse time.Time

	// plan is the newest plan, kept until another gap is seen.
	plan    Plan
	price   time.Duration
	planned bool
}

// LastUse returns when the model was last in use.
func (h *History) LastUse() time.Time { return h.lastUse }

// Use records that the model is in use and returns the gap since the last use,
// 0 if it is none.
func (h *History) Use(now time.Time) time.Duration {
	gap := now.Sub(h.lastUse)
	if h.lastUse.IsZero() || gap <= bucketBase {
		gap = 0
	}
	h.Add(gap)
	if now.After(h.lastUse) {
		h.lastUse = now
	}
	return gap
}

// Add records a gap. One shorter than the shortest bucket is none.
func (h *History) Add(gap time.Duration) {
	if gap <= bucketBase {
		return
	}
	for i := range h.counts {
		h.counts[i] *= forget
	}
	h.counts[bucketOf(gap)]++
	h.planned = false
}

// weight returns the summed weight of the gaps seen.
func (h *History) weight() float64 {
	total := 0.0
	for _, count := range h.counts {
		total += count
	}
	return total
}

func bucketOf(gap time.Duration) int {
	doublings := math.Log2(float64(gap) / float64(bucketBase))
	return min(max(int(math.Ceil(doublings*bucketsPerDouble)), 0), buckets-1)
}

// bound returns the upper bound of a bucket.
func bound(bucket int) time.Duration {
	return time.Duration(float64(bucketBase) * math.Exp2(float64(bucket)/bucketsPerDouble))
}
