package coord

import (
	"cmp"
	"slices"
	"time"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/notice"
	"cardamomcourse.example/cardamom/site"
	"cardamomcourse.example/cardamom/syncpb"
)

const (
	// maxSentWaits bounds the waits in one message to another instance.
	maxSentWaits = 256
	// maxToldWait bounds a wait that another instance tells of.
	maxToldWait = time.Hour
)

// waitNoticed makes the next exchange start early: the coordinator may have models loaded
// elsewhere.
func (l *Loop) waitNoticed() {
	// The caller may be the control goroutine itself.
	go l.post(func(time.Time) { l.reportSoon = true })
}

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
	startedMs := func(id cardamom.UpstreamID) (int64, bool) {
		upstream, ok := l.state.upstreams[id]
		if !ok {
			return 0, false
		}
		return upstream.StartedMs, true
	}
	if l.term != nil {
		l.term.waits.Prune(startedMs, now)
	}
	ended := l.options.Notices.Prune(startedMs, now)
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

// mergeWaits records the waits that upstreams asked a member for. They bind only that member,
// but the plan has what requests need loaded elsewhere.
func (t *term) mergeWaits(list []*syncpb.UpstreamWait, now time.Time) {
	for _, wire := range list {
		remaining := min(time.Duration(wire.GetRemainingMs())*time.Millisecond, maxToldWait)
		t.waits.Wait(notice.NewRun(cardamom.UpstreamID(wire.GetUpstream()), wire.GetBorn()), remaining, now)
	}
}

// planWaits returns until when upstreams want no requests, as the plans take it.
func (t *term) planWaits(now time.Time) map[cardamom.UpstreamID]time.Time {
	until := make(map[cardamom.UpstreamID]time.Time)
	for run, end := range t.waits.Waits(now) {
		if upstream, ok := t.loop.state.upstreams[run.ID()]; ok && upstream.StartedMs == run.StartedMs() {
			until[run.ID()] = end
		}
	}
	return until
}

// encodeWaits returns the waits that end last.
func encodeWaits(waits map[notice.Run]time.Time, now time.Time) []*syncpb.UpstreamWait {
	list := make([]*syncpb.UpstreamWait, 0, len(waits))
	for run, until := range waits {
		list = append(list, &syncpb.UpstreamWait{Upstream: string(run.ID()), Born: run.StartedMs(), RemainingMs: until.Sub(now).Milliseconds()})
	}
	slices.SortFunc(list, func(a, b *syncpb.UpstreamWait) int {
		return cmp.Or(cmp.Compare(b.GetRemainingMs(), a.GetRemainingMs()), cmp.Compare(a.GetUpstream(), b.GetUpstream()))
	})
	return list[:min(len(list), maxSentWaits)]
}
