package ctrl

import (
	"context"
	"time"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/hold"
	"cardamomcourse.example/cardamom/policy"
	"cardamomcourse.example/cardamom/revs"
	"cardamomcourse.example/cardamom/roster"
)

// listRead is a fetched list of the platform.
type listRead struct {
	list *roster.List
}

// holdsRead is all hold rows as read from the table.
type holdsRead struct {
	rows []hold.Row
}

// documentRead is a published document read from the table or a peer. Without a
// document it only ends an attempt to fetch one.
type documentRead struct {
	published *policy.Published
	attempted cardamom.Revision
	// shared means that another instance has the document too.
	shared bool
}

// offerTimeout is the time after which an offered document comes into force even
// if no peer is known to have it.
const offerTimeout = 3 * time.Second

// startReaders starts the goroutines that poll the platform.
func (l *Loop) startReaders() {
	go l.poll(l.readList)
	go l.poll(l.readHolds)
	go l.poll(l.readProfile)
}

// fullRateMembers is the number of members up to which each polls the platform
// at the configured interval. In larger memberships the interval grows, as
// members also pass on to each other what one of them has read.
const fullRateMembers = 100

func (l *Loop) pollInterval() time.Duration {
	members := len(l.options.Views.Load().Active)
	return l.options.Settings.TablePollInterval() * time.Duration(max(members, fullRateMembers)) / fullRateMembers
}

// poll repeats a call at the poll interval until the loop ends.
func (l *Loop) poll(call func(ctx context.Context)) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-timer.C:
			call(l.ctx)
			timer.Reset(l.pollInterval())
		}
	}
}

func (l *Loop) readList(ctx context.Context) {
	list, err := l.options.Lister.Fetch(ctx)
	if err != nil {
		l.options.Logger.Debug("list_unavailable", "error", err)
		return
	}
	_ = l.post(ctx, listRead{list: list})
}

func (e listRead) apply(l *Loop, now time.Time) {
	l.list = e.list
	l.peers.ApplyList(e.list.Instances(), now)
	for _, held := range l.cells {
		l.syncUpstreams(held, now)
	}
	l.dirty = true
}

func (l *Loop) readHolds(ctx context.Context) {
	rows, err := l.options.Store.List(ctx, hold.Prefix)
	if err != nil {
		l.options.Logger.Debug("table_unavailable", "error", err)
		return
	}
	event := holdsRead{rows: make([]hold.Row, 0, len(rows))}
	for _, row := range rows {
		decoded, err := hold.Decode(row.Key(), row.Value(), row.Version())
		if err != nil {
			l.options.Logger.Error("hold_unreadable", "key", row.Key(), "error", err)
			continue
		}
		event.rows = append(event.rows, decoded)
	}
	_ = l.post(ctx, event)
}

func (e holdsRead) apply(l *Loop, now time.Time) {
	l.holdsKnown = true
	for _, row := range e.rows {
		if l.peers.MergeHold(row) {
			l.syncRole(row.Resource(), now)
		}
	}
	l.dirty = true
}

func (l *Loop) readProfile(ctx context.Context) {
	head, err := revs.Head(ctx, l.options.Store)
	if err != nil || head.Number <= l.revisionInView() {
		return
	}
	revision, err := revs.Get(ctx, l.options.Store, head.Number)
	if err != nil {
		l.options.Logger.Warn("profile_unreadable", "revision", head.Number, "error", err)
		return
	}
	l.offerDocument(ctx, revision, false)
}

// revisionInView returns the newest revision in the published view. Any
// goroutine may call it.
func (l *Loop) revisionInView() cardamom.Revision {
	if newest := l.options.Views.Load().Newest(); newest != nil {
		return newest.Revision()
	}
	return 0
}

// offerDocument parses a document and posts it to the loop.
func (l *Loop) offerDocument(ctx context.Context, revision revs.Revision, shared bool) {
	document, err := policy.Parse("published", revision.Document)
	if err != nil {
		l.options.Logger.Error("profile_invalid", "revision", revision.Number, "error", err)
		return
	}
	published := policy.NewPublished(revision.Number, document, revision.Document, revision.EditID, revision.Editor)
	_ = l.post(ctx, documentRead{published: published, attempted: revision.Number, shared: shared})
}

func (e documentRead) apply(l *Loop, now time.Time) {
	if l.fetchingRevision == e.attempted {
		l.fetchingRevision = 0
	}
	if e.published == nil || e.published.Revision() <= l.newestRevision() {
		return
	}
	l.offered, l.offeredAt = e.published, now
	l.heartbeatAt = time.Time{}
	l.dirty = true
	if e.shared {
		l.activateOffered(now)
	}
}

// activateIfDue puts an offered document into force if there is no other active
// member, or if none is known to have the document after offerTimeout.
func (l *Loop) activateIfDue(now time.Time) {
	alone := len(l.peers.Active(now)) < 2
	if l.offered != nil && (alone || now.Sub(l.offeredAt) > offerTimeout) {
		l.activateOffered(now)
	}
}

// activateOffered puts the offered document into force.
func (l *Loop) activateOffered(now time.Time) {
	l.published, l.offered = l.offered, nil
	l.options.Logger.Info("profile_in_force", "revision", l.published.Revision(), "edit", l.published.Edit())
	for _, held := range l.cells {
		held.cell.SetDocument(l.published.Document())
	}
	l.checkHolds(now)
	l.syncFollowers(now)
	l.heartbeatAt = time.Time{}
	l.dirty = true
}
