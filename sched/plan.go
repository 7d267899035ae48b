package sched

import "time"

// plan returns when the prompt of a waiting request may be sent, after those of the requests
// that go before it, and when the engine will begin to read it.
func (b *Book) plan(e *entry, current burst, now time.Time) (start, begin time.Time, reason Reason) {
	alone, reason := b.startAt(e, current, now)
	planned := b.others(e, current, later(alone, current.until).Add(backMargin), now)
	start, _ = b.startAt(e, planned, now)
	if alone.Sub(now) <= lead && start.Sub(now) > lead {
		reason = Order
	}
	start = later(start, alone)
	return start, later(start, planned.until), reason
}

func later(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}

// others returns the burst after the prompts of the requests that go before another. Those
// that ask again only after a time don't: the engine would stand idle until then.
func (b *Book) others(e *entry, current burst, backBy, now time.Time) burst {
	planned := current
	for _, other := range b.waits {
		if other == e {
			break
		}
		if other.dueBack.After(backBy) {
			continue
		}
		at, _ := b.startAt(other, planned, now)
		planned = planned.add(at, other.cost)
	}
	return planned
}

// startAt returns when a prompt may be sent after a burst, and why not at once.
func (b *Book) startAt(e *entry, u burst, now time.Time) (time.Time, Reason) {
	if next := u.until.Add(eventTime); now.Before(next) && u.until.Sub(u.from)+e.cost > b.allowance {
		return next, Gap
	}
	// A burst that begins later leaves the streams a pause before.
	start, reason := later(now, u.from), NoReason
	if begin := b.shares.begin(e.request.Urgency); begin.After(start) {
		start, reason = begin, Urgent
	}
	if e.promoted(now) {
		return start, reason
	}
	for _, other := range b.reads {
		first := other.readBy.Add(eventTime)
		if other.request.Target == 0 || other.request.Urgency > e.request.Urgency || !first.After(start) {
			continue
		}
		if due := other.due(); !first.After(due) && first.Add(e.cost).After(due) {
			start, reason = first, FirstEvent
		}
	}
	return start, reason
}

// leastAllowance returns how long the engine may read prompts without a pause, so that no stream
// that it runs gets a long gap.
func (b *Book) leastAllowance() time.Duration {
	least := noLimit
	for _, e := range b.entries {
		if e.state != waiting && e.request.Gap > 0 {
			least = min(least, e.request.Gap)
		}
	}
	return least - least/gapMargin - eventTime
}
