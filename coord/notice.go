package coord

import (
	"time"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/notice"
	"cardamomcourse.example/cardamom/site"
	"cardamomcourse.example/cardamom/syncpb"
)

// leaveNoticed makes this instance treat an upstream that said in an answer that it leaves
// as one that has registered so, and tell the coordinator at once.
func (l *Loop) leaveNoticed(run notice.Run) {
	// The caller may be the control goroutine itself.
	go l.post(func(now time.Time) {
		l.reportSoon = true
		l.applyLeave(run, "response", now)
	})
}

// applyLeave records that a run of an upstream leaves.
func (l *Loop) applyLeave(run notice.Run, origin string, now time.Time) {
	known, ok := l.state.upstreams[run.ID()]
	if !ok || known.StartedMs != run.StartedMs() || known.State != cardamom.Live {
		return
	}
	leaving := *known
	leaving.State = cardamom.Leaving
	if l.term != nil {
		l.term.update(&leaving, now)
	}
	l.setUpstream(&leaving, origin)
}

// recordLeave records that the answer with an engine's report says that it leaves.
func (t *term) recordLeave(id cardamom.UpstreamID, report site.Report, now time.Time) {
	if upstream, ok := t.loop.state.upstreams[id]; ok && report.Leaving {
		t.loop.options.Notices.Leave(notice.NewRun(id, upstream.StartedMs), now)
	}
}

// pruneNotices drops the notices that ended.
func (l *Loop) pruneNotices(now time.Time) {
	ended := l.options.Notices.Prune(func(id cardamom.UpstreamID) (int64, bool) {
		upstream, ok := l.state.upstreams[id]
		if !ok {
			return 0, false
		}
		return upstream.StartedMs, true
	}, now)
	for _, run := range ended {
		l.logger.Info("upstream_wait", "upstream", run.ID(), "change", "ended")
	}
}

func encodeRuns(runs []notice.Run) []*syncpb.UpstreamRun {
	list := make([]*syncpb.UpstreamRun, 0, len(runs))
	for _, run := range runs {
		list = append(list, &syncpb.UpstreamRun{Upstream: string(run.ID()), Born: run.StartedMs()})
	}
	return list
}

// mergeLeaves records the runs that leave according to a member.
func (l *Loop) mergeLeaves(list []*syncpb.UpstreamRun, now time.Time) {
	for _, wire := range list {
		run := notice.NewRun(cardamom.UpstreamID(wire.GetUpstream()), wire.GetBorn())
		l.options.Notices.Leave(run, now)
		l.applyLeave(run, "member", now)
	}
}
