package ctrl

import (
	"context"
	"time"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/hold"
)

// idleFactor is the factor by which the report interval grows for an upstream
// of which no change is expected.
const idleFactor = 25

// minReportPause is the least pause before the next report of an upstream.
const minReportPause = 50 * time.Millisecond

// poller fetches the reports of one upstream.
type poller struct {
	cancel context.CancelFunc
	// wake carries the time within which the next report must be fetched.
	wake chan time.Duration
}

// startPoller fetches an upstream's reports until the poller is cancelled: at
// the idle interval, or sooner after reportWithin.
func (l *Loop) startPoller(resource hold.Resource, upstream cardamom.Upstream) *poller {
	ctx, cancel := context.WithCancel(l.ctx)
	p := &poller{cancel: cancel, wake: make(chan time.Duration, 1)}
	idlePause := idleFactor * l.options.Settings.ReportInterval()
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
				l.requestReport(ctx, resource, upstream)
				due = time.Now().Add(idlePause)
				timer.Reset(idlePause)
			}
		}
	}()
	return p
}

// reportWithin makes the poller fetch the next report after at most the pause.
func (p *poller) reportWithin(pause time.Duration) {
	select {
	case p.wake <- pause:
	default:
	}
}

func (l *Loop) requestReport(ctx context.Context, resource hold.Resource, upstream cardamom.Upstream) {
	limited, cancel := context.WithTimeout(ctx, l.options.Settings.EngineTimeout())
	defer cancel()
	report, err := l.options.Engines.Report(limited, upstream.Address)
	if err == nil {
		_ = l.post(ctx, reportReceived{resource: resource, upstream: upstream.ID, report: report})
	}
}

// wakePollers makes the pollers of upstreams that should soon report a change
// fetch a report in time.
func (h *heldCell) wakePollers() {
	for id, p := range h.pollers {
		if due, ok := h.cell.ReportDue(id); ok {
			p.reportWithin(max(due, minReportPause))
		}
	}
}
