package ctrl

import (
	"context"
	"time"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/hold"
)

// calmFactor is how many times longer the pause between two reports of an
// upstream is while nothing is expected of it.
const calmFactor = 25

// shortestPause is the least pause between two reports of an upstream.
const shortestPause = 50 * time.Millisecond

// poller asks one upstream for its reports.
type poller struct {
	cancel context.CancelFunc
	// wake carries the pause until the next report.
	wake chan time.Duration
}

// startPoller polls an upstream until the poller is cancelled: when it is woken
// for, and seldom otherwise.
func (l *Loop) startPoller(resource hold.Resource, upstream cardamom.Upstream) *poller {
	ctx, cancel := context.WithCancel(l.ctx)
	p := &poller{cancel: cancel, wake: make(chan time.Duration, 1)}
	calm := calmFactor * l.options.Settings.Report()
	go func() {
		due := time.Now()
		timer := time.NewTimer(0)
		defer timer.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case wait := <-p.wake:
				if at := time.Now().Add(wait); at.Before(due) {
					due = at
					timer.Reset(wait)
				}
			case <-timer.C:
				l.askReport(ctx, resource, upstream)
				due = time.Now().Add(calm)
				timer.Reset(calm)
			}
		}
	}()
	return p
}

// hurry makes the next report of the poller come after the pause at the latest.
func (p *poller) hurry(pause time.Duration) {
	select {
	case p.wake <- pause:
	default:
	}
}

func (l *Loop) askReport(ctx context.Context, resource hold.Resource, upstream cardamom.Upstream) {
	limited, cancel := context.WithTimeout(ctx, l.options.Settings.EngineTimeout())
	defer cancel()
	report, err := l.options.Engines.Report(limited, upstream.Address)
	if err == nil {
		_ = l.post(ctx, reported{resource: resource, upstream: upstream.ID, report: report})
	}
}

// hurry wakes the pollers of the upstreams of which news is expected.
func (h *heldCell) hurry() {
	for id, p := range h.pollers {
		if due, ok := h.cell.Expecting(id); ok {
			p.hurry(max(due, shortestPause))
		}
	}
}
