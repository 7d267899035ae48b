package poison

import (
	"time"

	cardamom "cardamomcourse.example/cardamom"
)

const (
	// isolationPoints are two deaths while an answer had begun.
	isolationPoints = 2 * begunPoints
	// maxHoldTime is how long an instance leaves an isolated part to the one that sends its
	// requests, which may get none.
	maxHoldTime = time.Second
)

// isolate reports whether requests with the part are sent alone. Several parts that crash
// upstreams would share most deaths, and none of these would tell which is the cause.
func (e *Evidence) isolate(begun map[string]bool) bool {
	return !e.proven() && e.points(nothing, begun) >= isolationPoints
}

// Begin reports whether a request with a suspected part may be sent now, after it was held
// back for a time. One with each part is at a time. Of all isolated parts together one is, by
// the instance that may try refused parts; the others hold such requests back for a second
// first. If it may be sent, end has to be called after the send.
func (p *Parts) Begin(service cardamom.ServiceID, id string, held time.Duration) (end func(), ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := Part{service, id}
	if r, known := p.records[key]; known && r.isolated {
		if !p.tries && held < maxHoldTime {
			return nil, false
		}
		key = Part{service: service}
	}
	if p.running[key] {
		return nil, false
	}
	p.running[key] = true
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.running, key)
	}, true
}
