package ctrl

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/cells"
	"cardamomcourse.example/cardamom/hold"
	"cardamomcourse.example/cardamom/peerpb"
	"cardamomcourse.example/cardamom/peers"
	"cardamomcourse.example/cardamom/route"
	"cardamomcourse.example/cardamom/sleep"
)

// cellFollower keeps the replicas of a cell up to date by watching the cell's
// holder.
type cellFollower struct {
	cell          cardamom.CellID
	replicas      map[cardamom.ModelID][]cells.Replica
	replicasByKey map[cells.ReplicaKey]cells.Replica
	cancel        context.CancelFunc
	demandRaised  chan struct{}
	holderChanged chan hold.Row

	// row is the newest hold row that run has read. Only run's goroutine uses it.
	row hold.Row
}

// syncFollowers starts and stops this instance's followers of cells as the
// membership changes.
func (l *Loop) syncFollowers(now time.Time) {
	if l.published == nil {
		return
	}
	active := l.peers.Active(now)
	wanted := make(map[cardamom.CellID]bool)
	for _, service := range l.published.Document().Services() {
		for _, cell := range service.Cells() {
			wanted[cell] = l.followsCell(cell, active)
		}
	}
	for cell, want := range wanted {
		if _, following := l.followers[cell]; want && !following {
			l.startFollower(cell, now)
		}
	}
	for cell, f := range l.followers {
		if !wanted[cell] && !l.options.Admission.Busy(cell) {
			f.cancel()
			delete(l.followers, cell)
			l.dirty = true
		}
	}
}

func (l *Loop) followsCell(cell cardamom.CellID, active []peers.Member) bool {
	if route.DataCentreOf(cell) == l.options.Settings.Instance().DataCentre {
		return true
	}
	if _, held := l.cells[cellResource(cell)]; held {
		return true
	}
	for _, id := range route.Followers(cell, active) {
		if id == l.options.Settings.Instance().ID {
			return true
		}
	}
	return false
}

func (l *Loop) startFollower(cell cardamom.CellID, now time.Time) {
	ctx, cancel := context.WithCancel(l.ctx)
	f := &cellFollower{
		cell: cell, cancel: cancel, demandRaised: make(chan struct{}, 1), holderChanged: make(chan hold.Row, 1),
		replicas: make(map[cardamom.ModelID][]cells.Replica), replicasByKey: make(map[cells.ReplicaKey]cells.Replica),
	}
	l.followers[cell] = f
	l.dirty = true
	f.setHold(l.effectiveHold(cellResource(cell), now))
	go f.run(ctx, l)
}

// setHold passes the newest hold row to run, replacing a row that run has not
// read yet.
func (f *cellFollower) setHold(row hold.Row) {
	select {
	case <-f.holderChanged:
	default:
	}
	f.holderChanged <- row
}

// NotifyDemand makes the follower of a cell send its current demand to the
// holder. It never blocks the request that calls it.
func (l *Loop) NotifyDemand(cell cardamom.CellID) {
	select {
	case l.inbox <- demandChanged{cell: cell}:
	default:
	}
}

// demandChanged reports that requests for a cell's models wait at this
// instance.
type demandChanged struct {
	cell cardamom.CellID
}

func (e demandChanged) apply(l *Loop, _ time.Time) {
	f, ok := l.followers[e.cell]
	if !ok {
		return
	}
	select {
	case f.demandRaised <- struct{}{}:
	default:
	}
}

// watchAnswered is a holder's reply to a watch.
type watchAnswered struct {
	follower *cellFollower
	reply    *peerpb.WatchReply
	done     chan struct{}
}

// run watches the cell's holder until ctx is done.
func (f *cellFollower) run(ctx context.Context, l *Loop) {
	defer f.sendLeave(l)
	var epoch, seq uint64
	for ctx.Err() == nil {
		reply, err := f.watch(ctx, l, epoch, seq)
		if err != nil || reply.GetNotHolder() {
			f.waitToRetry(ctx)
			continue
		}
		epoch, seq = reply.GetFence(), reply.GetSeq()
		e := watchAnswered{follower: f, reply: reply, done: make(chan struct{}, 1)}
		if l.post(ctx, e) != nil {
			return
		}
		if _, err := await(ctx, l, e.done); err != nil {
			return
		}
	}
}

// sendLeave asks the holder to remove this instance from the cell's followers.
func (f *cellFollower) sendLeave(l *Loop) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(l.ctx), watchOnceTimeout)
	defer cancel()
	request := &peerpb.WatchRequest{Cell: string(f.cell), Instance: string(l.self().ID()), Leave: true}
	if _, err := l.watchHolder(ctx, f.row, request); err != nil {
		l.options.Logger.Debug("leave_not_told", "cell", f.cell, "error", err)
	}
}

// waitToRetry waits for the retry delay or until the hold changes.
func (f *cellFollower) waitToRetry(ctx context.Context) {
	timer := time.NewTimer(watchRetryDelay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case f.row = <-f.holderChanged:
	case <-timer.C:
	}
}

// errHolderChanged means that the hold changed during a watch.
var errHolderChanged = eris.New("holder has changed")

// watch sends one watch and waits for the reply. New demand or a change of the
// hold ends it early.
func (f *cellFollower) watch(ctx context.Context, l *Loop, epoch, seq uint64) (*peerpb.WatchReply, error) {
	select {
	case f.row = <-f.holderChanged:
	default:
	}
	row := f.row
	if row.Holder().None() {
		return &peerpb.WatchReply{NotHolder: true}, nil
	}
	limited, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	request := f.request(l, epoch, seq)
	result := make(chan watchResult, 1)
	go func() {
		reply, err := l.watchHolder(limited, row, request)
		result <- watchResult{reply: reply, err: err}
	}()
	select {
	case r := <-result:
		return r.reply, r.err
	case f.row = <-f.holderChanged:
		return nil, errHolderChanged
	case <-f.demandRaised:
		cancel()
		sleep.For(ctx, demandBatchDelay)
		return f.watchOnce(ctx, l, row, epoch, seq)
	}
}

type watchResult struct {
	reply *peerpb.WatchReply
	err   error
}

// watchOnce sends a watch that the holder answers at once, to pass on new demand.
func (f *cellFollower) watchOnce(ctx context.Context, l *Loop, row hold.Row, epoch, seq uint64) (*peerpb.WatchReply, error) {
	limited, cancel := context.WithTimeout(ctx, watchOnceTimeout)
	defer cancel()
	request := f.request(l, epoch, seq)
	request.HoldMs = 0
	return l.watchHolder(limited, row, request)
}

func (l *Loop) watchHolder(ctx context.Context, row hold.Row, request *peerpb.WatchRequest) (*peerpb.WatchReply, error) {
	if row.Holder() == l.self() {
		return l.Watch(ctx, request)
	}
	address := l.holderAddress(row.Holder().ID())
	if address == "" {
		return &peerpb.WatchReply{NotHolder: true}, nil
	}
	return l.options.Dialer.Dial(address).Watch(ctx, request)
}

// self returns this instance and its incarnation. It reads no loop state, so
// any goroutine may call it.
func (l *Loop) self() hold.Party {
	return hold.NewParty(l.options.Settings.Instance().ID, l.options.Incarnation)
}

// holderAddress returns the peer address of an active member, empty if unknown.
// It reads the published view, so any goroutine may call it.
func (l *Loop) holderAddress(id cardamom.InstanceID) string {
	for _, member := range l.options.Views.Load().Active {
		if member.Instance().ID == id {
			return member.Instance().PeerAddress
		}
	}
	return ""
}

func (f *cellFollower) request(l *Loop, epoch, seq uint64) *peerpb.WatchRequest {
	uses, busy := l.options.Admission.Uses(f.cell)
	self := l.self()
	request := &peerpb.WatchRequest{
		Cell: string(f.cell), Instance: string(self.ID()), Incarnation: uint64(self.Incarnation()),
		Fence: epoch, Seq: seq, HoldMs: maxWatchTime.Milliseconds(),
	}
	now := time.Now()
	for _, use := range uses {
		request.Uses = append(request.Uses, &peerpb.Use{
			Model: string(use.Model), Waiting: uint32(use.Waiting), Running: uint32(use.Running),
			Started: uint32(use.Started), WaitedMs: waitedMs(use, now), Priority: int32(use.Priority), ServiceMs: use.ServiceTime.Milliseconds(),
		})
	}
	for _, key := range busy {
		request.Busy = append(request.Busy, string(key.Model), string(key.Upstream))
	}
	return request
}

func waitedMs(use cells.Use, now time.Time) int64 {
	if use.Waiting == 0 {
		return 0
	}
	return now.Sub(use.NextArrival).Milliseconds()
}

func (e watchAnswered) apply(l *Loop, now time.Time) {
	e.follower.merge(e.reply)
	l.options.Admission.Update(e.follower.cell, e.follower.replicas, now)
	l.dirty = true
	e.done <- struct{}{}
}

// merge applies a holder's reply to the follower's replicas.
func (f *cellFollower) merge(reply *peerpb.WatchReply) {
	if reply.GetSnapshot() {
		f.replicasByKey = make(map[cells.ReplicaKey]cells.Replica)
	}
	for _, wire := range reply.GetReplicas() {
		replica := replicaFromWire(wire)
		f.replicasByKey[replica.ReplicaKey] = replica
	}
	for _, removed := range reply.GetGone() {
		delete(f.replicasByKey, cells.ReplicaKey{Model: cardamom.ModelID(removed.GetModel()), Upstream: cardamom.UpstreamID(removed.GetUpstream())})
	}
	replicas := make(map[cardamom.ModelID][]cells.Replica)
	for _, replica := range f.replicasByKey {
		replicas[replica.Model] = append(replicas[replica.Model], replica)
	}
	f.replicas = replicas
}

func replicaFromWire(wire *peerpb.Replica) cells.Replica {
	return cells.Replica{
		ReplicaKey: cells.ReplicaKey{Model: cardamom.ModelID(wire.GetModel()), Upstream: cardamom.UpstreamID(wire.GetUpstream())},
		Address:    wire.GetAddress(), State: cells.ReplicaState(wire.GetState()),
		ReadyIn: time.Duration(wire.GetReadyInMs()) * time.Millisecond, Slots: int(wire.GetSlots()), Sharers: int(wire.GetSharers()),
		Running: int(wire.GetRunning()), Waiting: int(wire.GetWaiting()), Incarnation: cardamom.Incarnation(wire.GetIncarnation()),
	}
}
