package coord

import (
	"slices"
	"time"

	cardamom "cardamomcourse.example/cardamom"
)

// PartitionChanged makes the next exchange start early: other instances pass on what this one
// can't send, or need not any more.
func (l *Loop) PartitionChanged() {
	l.post(func(time.Time) { l.reportSoon = true })
}

// shouldYield reports whether another instance is to coordinate: this one reaches no engine,
// so its orders don't arrive, and another one does.
func (l *Loop) shouldYield() bool {
	return l.options.Reach.Partitioned() && slices.ContainsFunc(l.state.members, func(m Member) bool {
		return m.ID != l.options.ID && !m.Leaving && !m.Partitioned
	})
}

// countsMiss reports whether a report that an engine missed counts against the engine: only
// if another upstream has answered since the first one that it missed, as otherwise this
// instance may be the one that reaches nothing. It asks another engine to find out.
func (t *term) countsMiss(p *servicePlan, service cardamom.ServiceID, id cardamom.UpstreamID, now time.Time) bool {
	first, ok := t.firstMisses[id]
	if !ok {
		t.firstMisses[id] = now
		first = now
	}
	others := slices.DeleteFunc(p.Live(), func(u cardamom.Upstream) bool { return u.ID == id })
	if len(others) == 0 {
		return !t.loop.options.Reach.Partitioned()
	}
	if t.loop.options.Reach.HeardSince(first) {
		return true
	}
	t.loop.requestReport(service, others[int(now.UnixNano()/int64(time.Millisecond))%len(others)])
	return false
}
