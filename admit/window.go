package admit

import (
	"math"

	"cardamomcourse.example/cardamom/cells"
)

const (
	// windowGrowth is added to the limit when it was reached and the upstream has no queue.
	windowGrowth = 0.5
	// windowShrink multiplies the limit when the upstream has a long queue.
	windowShrink = 0.85
	// windowCeiling bounds the limit as a multiple of the upstream's slots.
	windowCeiling = 1.25
	// longQueueShare is the share of the upstream's slots above which its queue is long.
	longQueueShare = 0.25
)

// window limits this instance's requests in flight at one upstream. The limit
// starts at the instance's share of the slots and adapts to the upstream's queue
// length by additive increase and multiplicative decrease.
type window struct {
	limit    float64
	sharers  int
	slots    int
	inflight int
	suspects int
	wasFull  bool
}

func newWindow(replica cells.Replica) *window {
	return &window{limit: share(replica), sharers: replica.Sharers, slots: replica.Slots}
}

// share returns an even share of the upstream's slots, rounded up, at least 1.
func share(replica cells.Replica) float64 {
	return max(math.Ceil(float64(replica.Slots)/float64(max(replica.Sharers, 1))), 1)
}

// hasRoom reports whether another request may be sent. Only one suspected request
// runs on an upstream at a time, so that a crash can be attributed to it.
func (w *window) hasRoom(suspected bool) bool {
	if suspected && w.suspects > 0 {
		return false
	}
	return w.inflight < int(w.limit)
}

func (w *window) acquire(suspected bool) {
	w.inflight++
	if suspected {
		w.suspects++
	}
	w.wasFull = w.wasFull || w.inflight >= int(w.limit)
}

func (w *window) release(suspected bool) {
	w.inflight--
	if suspected {
		w.suspects--
	}
}

// adjust adapts the limit to the queue length that the upstream reported.
func (w *window) adjust(replica cells.Replica) {
	w.slots = replica.Slots
	switch {
	case replica.Sharers != w.sharers:
		w.sharers = replica.Sharers
		w.limit = share(replica)
	case float64(replica.Waiting) > longQueueShare*float64(w.slots):
		w.limit = max(w.limit*windowShrink, 1)
	case w.wasFull && replica.Waiting == 0:
		w.limit = min(w.limit+windowGrowth, max(float64(w.slots)*windowCeiling, 1))
	}
	w.wasFull = false
}
