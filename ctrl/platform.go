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

// listRead is a reading of the platform's list.
type listRead struct {
	list *roster.List
}

// rowsRead is a reading of all holds.
type rowsRead struct {
	rows []hold.Row
}

// documentRead is a published document from the table or a peer.
type documentRead struct {
	published *policy.Published
	tried     cardamom.Revision
	// shared tells that another instance has the document too.
	shared bool
}

// offerLimit is how long a document that no peer is known to have is held back.
const offerLimit = 3 * time.Second

// startReaders polls the platform beside the loop.
func (l *Loop) startReaders() {
	go l.every(l.readList)
	go l.every(l.readHolds)
	go l.every(l.readProfile)
}

// membersPerPoll is how many members may read the platform at the pause of the
// settings. More members pause longer, as news also comes from the first that
// reads it.
const membersPerPoll = 100

func (l *Loop) pollPause() time.Duration {
	members := len(l.options.Views.Load().Active)
	return l.options.Settings.TablePoll() * time.Duration(max(members, membersPerPoll)) / membersPerPoll
}

// every runs a call until the loop ends, pausing between the runs.
func (l *Loop) every(call func(ctx context.Context)) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-timer.C:
			call(l.ctx)
			timer.Reset(l.pollPause())
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
	l.peers.Listed(e.list.Instances(), now)
	for _, held := range l.cells {
		l.listCell(held, now)
	}
	l.dirty = true
}

func (l *Loop) readHolds(ctx context.Context) {
	rows, err := l.options.Store.List(ctx, hold.Prefix)
	if err != nil {
		l.options.Logger.Debug("table_unavailable", "error", err)
		return
	}
	event := rowsRead{rows: make([]hold.Row, 0, len(rows))}
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

func (e rowsRead) apply(l *Loop, now time.Time) {
	l.rowsRead = true
	for _, row := range e.rows {
		if l.peers.LearnHold(row) {
			l.holdChanged(row.Resource(), now)
		}
	}
	l.dirty = true
}

func (l *Loop) readProfile(ctx context.Context) {
	head, err := revs.Head(ctx, l.options.Store)
	if err != nil || head.Number <= l.knownRevision() {
		return
	}
	revision, err := revs.Get(ctx, l.options.Store, head.Number)
	if err != nil {
		l.options.Logger.Warn("profile_unreadable", "revision", head.Number, "error", err)
		return
	}
	l.adopt(ctx, revision, false)
}

// knownRevision returns the newest revision known, as the view tells it.
func (l *Loop) knownRevision() cardamom.Revision {
	if newest := l.options.Views.Load().Newest(); newest != nil {
		return newest.Revision()
	}
	return 0
}

// adopt parses a document and hands it to the loop.
func (l *Loop) adopt(ctx context.Context, revision revs.Revision, shared bool) {
	document, err := policy.Parse("published", revision.Document)
	if err != nil {
		l.options.Logger.Error("profile_invalid", "revision", revision.Number, "error", err)
		return
	}
	published := policy.NewPublished(revision.Number, document, revision.Document, revision.Edit, revision.Editor)
	_ = l.post(ctx, documentRead{published: published, tried: revision.Number, shared: shared})
}

func (e documentRead) apply(l *Loop, now time.Time) {
	if l.fetching == e.tried {
		l.fetching = 0
	}
	if e.published == nil || e.published.Revision() <= l.known() {
		return
	}
	l.offered, l.offeredAt = e.published, now
	l.beaten = time.Time{}
	l.dirty = true
	if e.shared {
		l.enforce(now)
	}
}

// enforceDue puts an offered document into force when no peer could take it.
func (l *Loop) enforceDue(now time.Time) {
	alone := len(l.peers.Active(now)) < 2
	if l.offered != nil && (alone || now.Sub(l.offeredAt) > offerLimit) {
		l.enforce(now)
	}
}

// enforce puts the offered document into force.
func (l *Loop) enforce(now time.Time) {
	l.published, l.offered = l.offered, nil
	l.options.Logger.Info("profile_in_force", "revision", l.published.Revision(), "edit", l.published.Edit())
	for _, held := range l.cells {
		held.cell.Publish(l.published.Document())
	}
	l.lookAtHolds(now)
	l.syncFollows(now)
	l.beaten = time.Time{}
	l.dirty = true
}
