package sched

import (
	"cmp"
	"slices"
	"time"

	cardamom "cardamomcourse.example/cardamom"
)

const (
	// eventTime is how long an engine that reads no prompt takes to the next event of a
	// stream: 6 or 8 tokens of 4 to 6 ms. Bursts of prompts are apart by as much.
	eventTime = 50 * time.Millisecond
	// lead is how long before its start a prompt gets the leave to be sent. It is sent after
	// that time without another call.
	lead = 20 * time.Millisecond
	// freshLatePercent and waitedLatePercent are the percentages of the target that the
	// first event may be expected to take when a request first asks and when it has waited.
	// Expectations are rough, and a request that waited in vain is the greater loss.
	freshLatePercent  = 120
	waitedLatePercent = 130
	// promotedPercent is the percentage of the target after which a waiting request goes
	// before more urgent ones.
	promotedPercent = 50
	// overtakenMargin is the part of its target that must be left to a request after one that
	// has waited for long went before it.
	overtakenMargin = 2
	// askGrace is how long after it should have asked again a waiting request keeps its
	// place: it may have chosen another upstream, or its instance may have died.
	askGrace = 40 * time.Millisecond
	// backMargin is how long an engine may stand idle for a request that goes before others.
	backMargin = 20 * time.Millisecond
	// A waiting request asks again after its target / askIntervals at the latest, so that it
	// notices changes of the order and other upstreams, but not more often than each
	// minAskInterval.
	askIntervals   = 4
	minAskInterval = 100 * time.Millisecond
	// streamLife is how long a stream counts as running after its first event unless its end
	// is told.
	streamLife = 3 * time.Second
	// sendGrace is how long after its caller has given up a request without an event is kept.
	sendGrace = time.Second
	// lostAfter is the time after which a first event that should have arrived no longer
	// tells that the engine is slow: its instance may have died.
	lostAfter = 2 * time.Second
	// gapMargin is the part of a target gap that is kept free for errors of the expected speed.
	gapMargin = 20
	// noLimit is an allowance for prompts where no stream has a target gap.
	noLimit = time.Hour
)

// entryState is how far a request of a book has come.
type entryState uint8

const (
	waiting entryState = iota
	sent
	streaming
)

// entry is a request that waits for the upstream or was sent to it.
type entry struct {
	request Request
	state   entryState
	// cost is how long the engine reads the prompt, readBy when it will have read it.
	cost   time.Duration
	readBy time.Time
	// expires is when the entry is dropped. A waiting request asks again at dueBack.
	expires time.Time
	dueBack time.Time
}

// Book is the schedule of one upstream. It isn't safe for concurrent use.
type Book struct {
	speeds  speeds
	shares  shares
	entries map[uint64]*entry
	// waits are the waiting entries, reads the sent ones without an event in the order of
	// sending.
	waits []*entry
	reads []*entry
	// readFrom and readUntil are the begin and the expected end of the current burst, in
	// which the engine reads prompts without a pause.
	readFrom  time.Time
	readUntil time.Time
	// allowance is how long a burst may be, as of the last call of Reserve.
	allowance time.Duration
}

// NewBook returns the empty book of an engine that is expected to read so many prompt tokens
// in a millisecond.
func NewBook(tokensPerMS float64) *Book {
	return &Book{speeds: newSpeeds(tokensPerMS), shares: newShares(), entries: make(map[uint64]*entry)}
}

// Speed returns how many prompt tokens of a model the engine reads in a millisecond.
func (b *Book) Speed(model cardamom.ModelID) float64 { return b.speeds.of(model) }

// Len returns the number of requests in the book.
func (b *Book) Len() int { return len(b.entries) }

// burst is a time in which the engine reads prompts without a pause.
type burst struct {
	from, until time.Time
}

// add returns the burst after a prompt that starts at a time.
func (u burst) add(start time.Time, cost time.Duration) burst {
	if !start.Before(u.until.Add(eventTime)) {
		return burst{start, start.Add(cost)}
	}
	if start.After(u.until) {
		u.until = start
	}
	return burst{u.from, u.until.Add(cost)}
}

// Reserve answers a request for a prompt to be sent.
func (b *Book) Reserve(r Request, now time.Time) Answer {
	b.prune(now)
	e, known := b.entries[r.ID]
	if known && e.state != waiting {
		b.remove(e, now)
		known = false
	}
	if !known {
		e = &entry{request: r}
		b.entries[r.ID] = e
		b.waits = append(b.waits, e)
	}
	e.request.Remaining, e.cost, e.dueBack = r.Remaining, b.speeds.cost(r.Model, r.Tokens), now
	b.allowance = b.leastAllowance()
	current := b.burst(now)
	b.arrange(current, now)
	idle := !current.until.After(now)
	start, begin, reason := b.plan(e, current, now)
	expected := begin.Sub(now) + e.cost + eventTime
	if late := b.lateBy(e, expected, known, now); late > 0 && !idle {
		b.remove(e, now)
		b.shares.observe(r.Urgency, true)
		if known {
			b.shares.waitedInVain(r.Urgency)
		}
		return Answer{kind: Late, wait: late, expected: expected, backlog: b.backlog(e, now), reason: reason}
	}
	if start.Sub(now) <= lead {
		b.send(e, current, later(start, now))
		return Answer{kind: Send, wait: max(start.Sub(now), 0), expected: e.readBy.Add(eventTime).Sub(now), backlog: b.backlog(e, now)}
	}
	wait := min(start.Sub(now), max(r.Target/askIntervals, minAskInterval))
	if r.Held {
		wait = min(start.Sub(now), HeldInterval)
	}
	if r.Probe {
		b.remove(e, now)
		return Answer{kind: Wait, wait: wait, expected: expected, backlog: b.backlog(e, now), reason: reason}
	}
	e.dueBack = now.Add(wait)
	e.expires = e.dueBack.Add(askGrace)
	return Answer{kind: Wait, wait: wait, expected: expected, backlog: b.backlog(e, now), reason: reason}
}

// backlog returns how long the engine will read the prompts that it got and those that wait
// and are as urgent as a request.
func (b *Book) backlog(e *entry, now time.Time) time.Duration {
	sum := max(b.burst(now).until.Sub(now), 0)
	for _, other := range b.waits {
		if other.request.Urgency <= e.request.Urgency {
			sum += other.cost
		}
	}
	return sum
}

// arrange orders the waiting requests by urgency, then by the time at which the first event is
// due. The first that has waited for half its target goes before all others if these are in
// time nevertheless.
func (b *Book) arrange(current burst, now time.Time) {
	slices.SortStableFunc(b.waits, func(x, y *entry) int {
		return cmp.Or(cmp.Compare(x.request.Urgency, y.request.Urgency), x.due().Compare(y.due()))
	})
	at := slices.IndexFunc(b.waits, func(e *entry) bool { return e.promoted(now) })
	if at <= 0 {
		return
	}
	e := b.waits[at]
	read := later(current.until, now).Add(e.cost)
	for _, other := range b.waits[:at] {
		read = read.Add(other.cost)
		if other.request.Target > 0 && read.Add(eventTime+other.request.Target/overtakenMargin).After(other.due()) {
			return
		}
	}
	copy(b.waits[1:], b.waits[:at])
	b.waits[0] = e
}

func (e *entry) promoted(now time.Time) bool {
	return e.request.Target > 0 && now.Sub(e.request.Arrived) >= e.request.Target*promotedPercent/100
}

// due returns when the first event is due.
func (e *entry) due() time.Time { return e.request.Arrived.Add(e.request.Target) }

// burst returns the current burst. The engine is slower than expected if a request still has
// no event though its prompt should have been read.
func (b *Book) burst(now time.Time) burst {
	u := burst{b.readFrom, b.readUntil}
	rest, overdue := time.Duration(0), false
	for _, e := range b.reads {
		switch late := now.Sub(e.readBy.Add(2 * eventTime)); {
		case late > lostAfter:
		case late > 0 && !overdue:
			overdue = true
		default:
			rest += e.cost
		}
	}
	if end := now.Add(rest); overdue && rest > 0 && u.until.Before(end) {
		u.until = end
	}
	return u
}

// lateBy returns by how much the first event of a request would come too late.
func (b *Book) lateBy(e *entry, expected time.Duration, asked bool, now time.Time) time.Duration {
	r := e.request
	late := expected - r.Remaining
	if r.Target > 0 {
		limit := time.Duration(float64(r.Target*freshLatePercent/100) * b.shares.patience(r.Urgency))
		if asked {
			limit = r.Target * waitedLatePercent / 100
		}
		late = max(late, now.Sub(r.Arrived)+expected-limit)
	}
	return late
}

// send records that the prompt of a waiting request is sent.
func (b *Book) send(e *entry, current burst, now time.Time) {
	b.waits = slices.DeleteFunc(b.waits, func(w *entry) bool { return w == e })
	next := current.add(now, e.cost)
	b.readFrom, b.readUntil = next.from, next.until
	b.shares.sent(e.request.Urgency, now, e.cost)
	e.state, e.readBy, e.expires = sent, next.until, now.Add(e.request.Remaining+sendGrace)
	b.reads = append(b.reads, e)
}

// FirstEvent records that the first event of a request has arrived.
func (b *Book) FirstEvent(id uint64, now time.Time) {
	e, ok := b.entries[id]
	if !ok || e.state != sent {
		return
	}
	if e.request.Target > 0 {
		b.shares.observe(e.request.Urgency, now.After(e.due()))
	}
	at := slices.Index(b.reads, e)
	if at > 0 {
		// The engine took requests in another order, which tells nothing of its speed.
		b.reads = slices.Delete(b.reads, at, at+1)
		e.state, e.expires = streaming, now.Add(streamLife)
		return
	}
	// The prompts behind it may have been read before its first event or not.
	after := time.Duration(0)
	for _, other := range b.reads[at+1:] {
		after += other.cost
	}
	earliest := e.readBy.Add(eventTime)
	deviation := time.Duration(0)
	switch {
	case now.Before(earliest):
		deviation = now.Sub(earliest)
	case now.After(earliest.Add(after)):
		deviation = now.Sub(earliest.Add(after))
	}
	b.speeds.observe(e.request.Model, e.request.Tokens, e.cost, e.cost+deviation)
	b.shift(at+1, deviation)
	b.reads = slices.Delete(b.reads, at, at+1)
	e.state, e.expires = streaming, now.Add(streamLife)
}

// shift moves the expected end of the prompts from an index on.
func (b *Book) shift(from int, by time.Duration) {
	for _, other := range b.reads[from:] {
		other.readBy = other.readBy.Add(by)
	}
	b.readUntil = b.readUntil.Add(by)
	if b.readUntil.Before(b.readFrom) {
		b.readUntil = b.readFrom
	}
}

// Ended records that a request has ended, or no longer wants this upstream.
func (b *Book) Ended(id uint64, now time.Time) {
	if e, ok := b.entries[id]; ok {
		b.remove(e, now)
	}
}

// remove drops an entry. An engine doesn't read the prompt of a request whose caller left.
func (b *Book) remove(e *entry, now time.Time) {
	delete(b.entries, e.request.ID)
	switch e.state {
	case waiting:
		b.waits = slices.DeleteFunc(b.waits, func(w *entry) bool { return w == e })
	case sent:
		at := slices.Index(b.reads, e)
		if unread := min(e.cost, e.readBy.Sub(now)); unread > 0 {
			b.shift(at+1, -unread)
		}
		b.reads = slices.Delete(b.reads, at, at+1)
	}
}

// prune drops expired entries.
func (b *Book) prune(now time.Time) {
	b.removeIf(func(e *entry) bool { return now.After(e.expires) }, now)
}

// removeIf drops entries, those that were sent in the order of sending.
func (b *Book) removeIf(drop func(e *entry) bool, now time.Time) {
	for _, e := range slices.Concat(b.waits, b.reads) {
		if drop(e) {
			b.remove(e, now)
		}
	}
	for _, e := range b.entries {
		if e.state == streaming && drop(e) {
			b.remove(e, now)
		}
	}
}

// KeepSenders drops the requests of instances that are gone.
func (b *Book) KeepSenders(alive func(cardamom.InstanceID) bool, now time.Time) {
	b.removeIf(func(e *entry) bool { return !alive(e.request.Instance) }, now)
}
