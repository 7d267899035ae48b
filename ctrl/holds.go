package ctrl

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/claim"
	"cardamomcourse.example/cardamom/hold"
	"cardamomcourse.example/cardamom/peerpb"
	"cardamomcourse.example/cardamom/policy"
	"cardamomcourse.example/cardamom/route"
	"cardamomcourse.example/cardamom/route/rank"
	"cardamomcourse.example/cardamom/table"
)

// ErrRefused means that a witness refused a record, as it has seen a greater
// fencing token, holds the resource itself or has no copy to change.
var ErrRefused = eris.New("witness refused the record")

// heldShard is a shard of the claims whose hold this instance has.
type heldShard struct {
	resource hold.Resource
	owner    *claim.Owner
	cancel   context.CancelFunc
}

// holdWritten is the result of writing a hold row.
type holdWritten struct {
	resource hold.Resource
	kind     hold.StepKind
	row      hold.Row
	err      error
}

// checkHolds starts the due step for the hold of each resource.
func (l *Loop) checkHolds(now time.Time) {
	if l.published == nil || l.list == nil {
		return
	}
	for n := range l.options.Settings.ClaimShards() {
		l.checkHold(claim.ShardResource(n), now)
	}
	for _, service := range l.published.Document().Services() {
		for _, cell := range service.Cells() {
			l.checkHold(cellResource(cell), now)
		}
	}
}

func (l *Loop) checkHold(resource hold.Resource, now time.Time) {
	if l.stepRunning[resource] {
		return
	}
	row := l.peers.Hold(resource)
	if !l.peers.MembershipKnown(now) || row.Version() == 0 && !l.holdsKnown {
		return
	}
	if effective := l.effectiveHold(resource, now); effective != l.appliedRows[resource] {
		l.appliedRows[resource] = effective
		l.syncRole(resource, now)
		l.dirty = true
	}
	step := hold.Decide(row, hold.NewSelf(l.peers.Party(), l.leaving), l.lazyRank(resource, now), l.peers.At(now))
	if step.Kind() == hold.Keep || now.Before(l.retryAt[resource]) {
		return
	}
	l.stepRunning[resource] = true
	l.options.Logger.Info("hold_step", "resource", resource, "step", step.Kind(),
		"holder", step.Row().Holder().ID(), "witness", step.Row().Witness().ID(), "version", row.Version())
	l.startStep(row, step)
}

// lazyRank returns a function that ranks the instances that may hold a resource.
func (l *Loop) lazyRank(resource hold.Resource, now time.Time) hold.RankFunc {
	return func() []cardamom.InstanceID { return l.rank(resource, now) }
}

func (l *Loop) rank(resource hold.Resource, now time.Time) []cardamom.InstanceID {
	active := l.peers.Active(now)
	all := make([]cardamom.InstanceID, 0, len(active))
	for _, member := range active {
		all = append(all, member.Instance().ID)
	}
	all = rank.Order(string(resource), all)
	cell, isCell := strings.CutPrefix(string(resource), cellPrefix)
	if !isCell {
		return all
	}
	local := rank.Order(string(resource), route.Followers(cardamom.CellID(cell), active))
	return appendMissing(local, all)
}

func appendMissing(list, more []cardamom.InstanceID) []cardamom.InstanceID {
	present := make(map[cardamom.InstanceID]bool, len(list))
	for _, id := range list {
		present[id] = true
	}
	for _, id := range more {
		if !present[id] {
			list = append(list, id)
		}
	}
	return list
}

// startStep carries out a step in its own goroutine. If the step names a witness
// or hands over, it first stores a full copy of the state there; then it writes
// the row.
func (l *Loop) startStep(row hold.Row, step hold.Step) {
	prepare := l.prepare(row, step)
	l.start(func(ctx context.Context) event {
		if err := prepare(ctx); err != nil {
			return holdWritten{resource: row.Resource(), kind: step.Kind(), row: row, err: err}
		}
		value, err := step.Row().Encode()
		if err != nil {
			return holdWritten{resource: row.Resource(), kind: step.Kind(), row: row, err: err}
		}
		version, err := l.options.Store.Commit(ctx, table.Put(row.Key(), row.Version(), value))
		next, decodeErr := hold.Decode(row.Key(), value, version)
		if err == nil {
			err = decodeErr
		}
		return holdWritten{resource: row.Resource(), kind: step.Kind(), row: next, err: err}
	})
}

// prepare returns a function that must succeed before a step's row is written.
// It pauses a held cell, so that its state doesn't change after the copy.
func (l *Loop) prepare(row hold.Row, step hold.Step) func(ctx context.Context) error {
	nothing := func(context.Context) error { return nil }
	target := step.Row().Witness()
	if step.Kind() == hold.HandOver {
		target = step.Row().Holder()
	}
	if step.Kind() == hold.TakeOver || target.None() {
		return nothing
	}
	recorder := l.recorder(target)
	if held, ok := l.cells[row.Resource()]; ok {
		held.paused = true
		record := hold.Record{Resource: row.Resource(), Fence: row.Fence(), Reset: true, Entries: held.entries()}
		return func(ctx context.Context) error { return recorder.Record(ctx, record) }
	}
	if held, ok := l.shards[row.Resource()]; ok {
		return func(ctx context.Context) error { return held.owner.CopyTo(ctx, recorder, row.Fence()) }
	}
	return nothing
}

// recorder returns a Recorder that sends records to a witness.
func (l *Loop) recorder(witness hold.Party) claim.Recorder {
	address := l.peerAddress(witness.ID())
	client := l.options.Dialer.Dial(address)
	holder := string(l.peers.Party().ID())
	timeout := l.options.Settings.EngineTimeout()
	return claim.RecorderFunc(func(ctx context.Context, record hold.Record) error {
		limited, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		request := &peerpb.RecordRequest{
			Resource: string(record.Resource), Fence: uint64(record.Fence), Holder: holder, Reset_: record.Reset,
		}
		for _, entry := range record.Entries {
			request.Entries = append(request.Entries, &peerpb.Entry{Id: entry.ID, Body: entry.Body, Dropped: entry.Removed})
		}
		reply, err := client.Record(limited, request)
		if err != nil {
			return eris.Wrap(err, "record")
		}
		if reply.GetRefused() {
			return ErrRefused
		}
		return nil
	})
}

func (e holdWritten) apply(l *Loop, now time.Time) {
	delete(l.stepRunning, e.resource)
	l.dirty = true
	if e.err == nil {
		l.peers.MergeHold(e.row)
		l.syncRole(e.resource, now)
		l.sendToParties(e.row, now)
		return
	}
	l.retryAt[e.resource] = now.Add(l.options.Settings.TablePollInterval())
	l.options.Logger.Warn("hold_not_written", "resource", e.resource, "step", e.kind, "error", e.err)
	if errors.Is(e.err, table.ErrOutcomeUnknown) || errors.Is(e.err, table.ErrConflict) {
		l.rereadHolds()
		return
	}
	l.syncRole(e.resource, now)
}

// rereadHolds reads all hold rows again and applies them, as a failed write may
// have taken effect or have conflicted with another write.
func (l *Loop) rereadHolds() {
	l.start(func(ctx context.Context) event {
		l.readHolds(ctx)
		return syncRoles{}
	})
}

// syncRoles applies the newest rows to all resources held here.
type syncRoles struct{}

func (syncRoles) apply(l *Loop, now time.Time) {
	for resource := range l.cells {
		l.syncRole(resource, now)
	}
	for resource := range l.shards {
		l.syncRole(resource, now)
	}
}

// syncRole starts, updates or stops holding a resource as its newest row says.
func (l *Loop) syncRole(resource hold.Resource, now time.Time) {
	row := l.effectiveHold(resource, now)
	mine := row.Holder() == l.peers.Party()
	if strings.HasPrefix(string(resource), claim.Prefix) {
		l.syncShard(row, mine, now)
		return
	}
	l.syncCell(row, mine, now)
}

func (l *Loop) syncShard(row hold.Row, mine bool, now time.Time) {
	held, holding := l.shards[row.Resource()]
	switch {
	case mine && !holding:
		l.acquireShard(row, now)
	case mine:
		l.openShard(held, row, now)
	case holding:
		held.cancel()
		l.options.Claims.Set(row.Resource(), nil)
		delete(l.shards, row.Resource())
		l.options.Logger.Info("shard_lost", "resource", row.Resource(), "holder", row.Holder().ID())
	}
}

func (l *Loop) acquireShard(row hold.Row, now time.Time) {
	shard := claim.NewShard(l.options.Settings.ClaimRetention())
	if err := shard.Adopt(l.witness.Entries(row.Resource()), now); err != nil {
		l.options.Logger.Error("claims_unreadable", "resource", row.Resource(), "error", err)
	}
	if row.LossVersion() == row.Version() {
		shard.MarkLost(row.LossVersion(), now)
	}
	l.witness.Forget(row.Resource())
	l.witness.RaiseFence(row.Resource(), row.Fence())
	ctx, cancel := context.WithCancel(l.ctx)
	held := &heldShard{resource: row.Resource(), owner: claim.NewOwner(ctx, row.Resource(), shard), cancel: cancel}
	l.shards[row.Resource()] = held
	l.options.Claims.Set(row.Resource(), held.owner)
	l.options.Logger.Info("shard_held", "resource", row.Resource(), "version", row.Version(), "claims", shard.Len(), "lossy", row.LossVersion() == row.Version())
	l.openShard(held, row, now)
}

func (l *Loop) openShard(held *heldShard, row hold.Row, _ time.Time) {
	if l.stepRunning[row.Resource()] {
		return
	}
	var recorder claim.Recorder
	if !row.Witness().None() {
		recorder = l.recorder(row.Witness())
	}
	l.start(func(ctx context.Context) event {
		held.owner.Open(ctx, recorder, row.Fence())
		return nil
	})
}

func (l *Loop) syncCell(row hold.Row, mine bool, now time.Time) {
	held, holding := l.cells[row.Resource()]
	switch {
	case mine && !holding && l.published != nil:
		l.acquireCell(row, now)
	case mine && holding:
		l.resumeCell(held, row)
	case holding:
		l.loseCell(held, row)
	}
	if f, ok := l.followers[cellOf(row.Resource())]; ok {
		f.setHold(row)
	}
}

// effectiveHold returns the newest row of a resource without incarnations known
// to have ended.
func (l *Loop) effectiveHold(resource hold.Resource, now time.Time) hold.Row {
	return hold.Effective(l.peers.Hold(resource), l.peers.At(now))
}

func cellOf(resource hold.Resource) cardamom.CellID {
	return cardamom.CellID(strings.TrimPrefix(string(resource), cellPrefix))
}

// serviceOf returns the service that a cell belongs to.
func serviceOf(document *policy.Document, cell cardamom.CellID) (*policy.Service, bool) {
	name, _, _ := strings.Cut(string(cell), "/")
	return document.Service(cardamom.ServiceID(name))
}

// placementWire is the JSON encoding of a placement stored with a witness.
type placementWire struct {
	Upstream   string `json:"upstream"`
	Fence      uint64 `json:"fence"`
	Model      string `json:"model"`
	Base       string `json:"base,omitempty"`
	Memory     int    `json:"memory_mb"`
	Checkpoint int    `json:"checkpoint_mb"`
}

func encodePlacement(wire placementWire) []byte {
	body, err := json.Marshal(wire)
	if err != nil {
		return nil
	}
	return body
}
