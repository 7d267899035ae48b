package relay

import (
	"time"

	"cardamomcourse.example/cardamom/site"
)

// delivery records when the events of a stream were written to the caller.
type delivery struct {
	lastEvent time.Time
	// longestGap is the longest time between two writes of events.
	longestGap time.Duration
	// longestRelay is the longest time from the read of an event to its write.
	longestRelay time.Duration
}

// written records events that were read at one time and written at another.
func (d *delivery) written(read, now time.Time) {
	if !d.lastEvent.IsZero() {
		d.longestGap = max(d.longestGap, now.Sub(d.lastEvent))
	}
	d.longestRelay = max(d.longestRelay, now.Sub(read))
	d.lastEvent = now
}

// The causes of a late response, as they are logged.
const (
	lateFirstEvent = "first_event"
	lateGap        = "gap"
	lateResponse   = "response"
)

// lateness returns why a response missed its route's targets, empty if it met them.
// first is the time from the request's arrival to the first event of a stream, took
// the time to the end of the response.
func lateness(route *site.Route, first, longestGap, took time.Duration) string {
	switch {
	case route == nil:
		return ""
	case route.Kind != site.Streaming:
		if route.TargetLatency > 0 && took > route.TargetLatency {
			return lateResponse
		}
		return ""
	case route.TargetLatency > 0 && first > route.TargetLatency:
		return lateFirstEvent
	case route.TargetGap > 0 && longestGap > route.TargetGap:
		return lateGap
	default:
		return ""
	}
}
