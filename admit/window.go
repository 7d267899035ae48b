package admit

import (
	"math"

	"cardamomcourse.example/cardamom/cells"
)

const (
	// windowGrowth is added to a full window whose upstream has no queue.
	windowGrowth = 0.5
	// windowShrink multiplies a window whose upstream has a long queue.
	windowShrink = 0.85
	// windowCeiling bounds a window as a multiple of the upstream's slots.
	windowCeiling = 1.25
	// longQueue is the share of the slots from which on a queue is long.
	longQueue = 0.25
)

// window bounds this instance's requests in progress at one upstream. It
// starts at the instance's share of the slots and follows the upstream's queue.
type window struct {
	limit    float64
	sharers  int
	slots    int
	inflight int
	suspects int
	full     bool
}

func newWindow(replica cells.Replica) *window {
	return &window{limit: share(replica), sharers: replica.Sharers, slots: replica.Slots}
}

// share returns an even share of the slots, rounded up.
func share(replica cells.Replica) float64 {
	return max(math.Ceil(float64(replica.Slots)/float64(max(replica.Sharers, 1))), 1)
}

func (w *window) open(suspect bool) bool {
	if suspect && w.suspects > 0 {
		return false
	}
	return w.inflight < int(w.limit)
}

func (w *window) take(suspect bool) {
	w.inflight++
	if suspect {
		w.suspects++
	}
	w.full = w.full || w.inflight >= int(w.limit)
}

func (w *window) release(suspect bool) {
	w.inflight--
	if suspect {
		w.suspects--
	}
}

// adjust takes the upstream's reported queue.
func (w *window) adjust(replica cells.Replica) {
	w.slots = replica.Slots
	switch {
	case replica.Sharers != w.sharers:
		w.sharers = replica.Sharers
		w.limit = share(replica)
	case float64(replica.Waiting) > longQueue*float64(w.slots):
		w.limit = max(w.limit*windowShrink, 1)
	case w.full && replica.Waiting == 0:
		w.limit = min(w.limit+windowGrowth, max(float64(w.slots)*windowCeiling, 1))
	}
	w.full = false
}
