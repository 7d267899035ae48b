package ctrl

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/cells"
	"cardamomcourse.example/cardamom/hold"
	"cardamomcourse.example/cardamom/pause"
	"cardamomcourse.example/cardamom/peerpb"
	"cardamomcourse.example/cardamom/peers"
	"cardamomcourse.example/cardamom/route"
)

// follow is a cell whose replicas this instance sends requests to.
type follow struct {
	cell     cardamom.CellID
	replicas map[cardamom.ModelID][]cells.Replica
	seats    map[cells.Seat]cells.Replica
	cancel   context.CancelFunc
	notify   chan struct{}
	target   chan hold.Row

	// row is the hold as the follow's goroutine knows it.
	row hold.Row
}

// syncFollows starts and ends follows as members come and go.
func (l *Loop) syncFollows(now time.Time) {
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
		if _, following := l.follows[cell]; want && !following {
			l.startFollow(cell, now)
		}
	}
	for cell, f := range l.follows {
		if !wanted[cell] && !l.options.Desk.Busy(cell) {
			f.cancel()
			delete(l.follows, cell)
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

func (l *Loop) startFollow(cell cardamom.CellID, now time.Time) {
	ctx, cancel := context.WithCancel(l.ctx)
	f := &follow{
		cell: cell, cancel: cancel, notify: make(chan struct{}, 1), target: make(chan hold.Row, 1),
		replicas: make(map[cardamom.ModelID][]cells.Replica), seats: make(map[cells.Seat]cells.Replica),
	}
	l.follows[cell] = f
	l.dirty = true
	f.aim(l.effective(cellResource(cell), now))
	go f.run(ctx, l)
}

// aim tells the follow's goroutine of the newest holder.
func (f *follow) aim(row hold.Row) {
	select {
	case <-f.target:
	default:
	}
	f.target <- row
}

// Demand wakes the watch of a cell. It is called by traffic.
func (l *Loop) Demand(cell cardamom.CellID) {
	select {
	case l.inbox <- demanded{cell: cell}:
	default:
	}
}

// demanded is news for the holder of a cell.
type demanded struct {
	cell cardamom.CellID
}

func (e demanded) apply(l *Loop, _ time.Time) {
	f, ok := l.follows[e.cell]
	if !ok {
		return
	}
	select {
	case f.notify <- struct{}{}:
	default:
	}
}

// followed is a holder's answer to a watch.
type followed struct {
	follow *follow
	reply  *peerpb.WatchReply
	done   chan struct{}
}

// run watches the cell's holder until ctx ends.
func (f *follow) run(ctx context.Context, l *Loop) {
	defer f.leave(l)
	var epoch, seq uint64
	for ctx.Err() == nil {
		reply, err := f.watch(ctx, l, epoch, seq)
		if err != nil || reply.GetNotHolder() {
			f.pause(ctx)
			continue
		}
		epoch, seq = reply.GetFence(), reply.GetSeq()
		e := followed{follow: f, reply: reply, done: make(chan struct{}, 1)}
		if l.post(ctx, e) != nil {
			return
		}
		if _, err := await(ctx, l, e.done); err != nil {
			return
		}
	}
}

// leave tells the holder that the instance follows the cell no longer.
func (f *follow) leave(l *Loop) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(l.ctx), tellTimeout)
	defer cancel()
	request := &peerpb.WatchRequest{Cell: string(f.cell), Instance: string(l.peersParty().ID()), Leave: true}
	if _, err := l.watchHolder(ctx, f.row, request); err != nil {
		l.options.Logger.Debug("leave_not_told", "cell", f.cell, "error", err)
	}
}

// pause waits a little, or for a new holder.
func (f *follow) pause(ctx context.Context) {
	timer := time.NewTimer(watchPause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case f.row = <-f.target:
	case <-timer.C:
	}
}

// errRetargeted means that the cell has another holder than the one watched.
var errRetargeted = eris.New("holder has changed")

// watch makes one watch. Demand that comes up meanwhile, or another holder,
// ends it early.
func (f *follow) watch(ctx context.Context, l *Loop, epoch, seq uint64) (*peerpb.WatchReply, error) {
	select {
	case f.row = <-f.target:
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
	case f.row = <-f.target:
		return nil, errRetargeted
	case <-f.notify:
		cancel()
		pause.For(ctx, watchGather)
		return f.again(ctx, l, row, epoch, seq)
	}
}

type watchResult struct {
	reply *peerpb.WatchReply
	err   error
}

// again makes a watch that returns at once, so that the demand is told.
func (f *follow) again(ctx context.Context, l *Loop, row hold.Row, epoch, seq uint64) (*peerpb.WatchReply, error) {
	limited, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	request := f.request(l, epoch, seq)
	request.HoldMs = 0
	return l.watchHolder(limited, row, request)
}

func (l *Loop) watchHolder(ctx context.Context, row hold.Row, request *peerpb.WatchRequest) (*peerpb.WatchReply, error) {
	if row.Holder() == l.peersParty() {
		return l.Watch(ctx, request)
	}
	address := l.holderAddress(row.Holder().ID())
	if address == "" {
		return &peerpb.WatchReply{NotHolder: true}, nil
	}
	return l.options.Dialer.Dial(address).Watch(ctx, request)
}

// peersParty returns this run of this instance without touching loop state.
func (l *Loop) peersParty() hold.Party {
	return hold.NewParty(l.options.Settings.Instance().ID, l.options.Incarnation)
}

// holderAddress returns a member's peer address as the view knows it.
func (l *Loop) holderAddress(id cardamom.InstanceID) string {
	for _, member := range l.options.Views.Load().Active {
		if member.Instance().ID == id {
			return member.Instance().PeerAddress
		}
	}
	return ""
}

func (f *follow) request(l *Loop, epoch, seq uint64) *peerpb.WatchRequest {
	uses, busy := l.options.Desk.Uses(f.cell)
	self := l.peersParty()
	request := &peerpb.WatchRequest{
		Cell: string(f.cell), Instance: string(self.ID()), Incarnation: uint64(self.Incarnation()),
		Fence: epoch, Seq: seq, HoldMs: maxWatchHold.Milliseconds(),
	}
	now := time.Now()
	for _, use := range uses {
		request.Uses = append(request.Uses, &peerpb.Use{
			Model: string(use.Model), Waiting: uint32(use.Waiting), Running: uint32(use.Running),
			Started: uint32(use.Started), WaitedMs: waited(use, now), Priority: int32(use.Priority), ServiceMs: use.Service.Milliseconds(),
		})
	}
	for _, seat := range busy {
		request.Busy = append(request.Busy, string(seat.Model), string(seat.Upstream))
	}
	return request
}

func waited(use cells.Use, now time.Time) int64 {
	if use.Waiting == 0 {
		return 0
	}
	return now.Sub(use.Since).Milliseconds()
}

func (e followed) apply(l *Loop, now time.Time) {
	e.follow.merge(e.reply)
	l.options.Desk.Update(e.follow.cell, e.follow.replicas, now)
	l.dirty = true
	e.done <- struct{}{}
}

// merge applies a holder's answer to the follow's replicas.
func (f *follow) merge(reply *peerpb.WatchReply) {
	if reply.GetSnapshot() {
		f.seats = make(map[cells.Seat]cells.Replica)
	}
	for _, wire := range reply.GetReplicas() {
		replica := replicaDomain(wire)
		f.seats[replica.Seat] = replica
	}
	for _, gone := range reply.GetGone() {
		delete(f.seats, cells.Seat{Model: cardamom.ModelID(gone.GetModel()), Upstream: cardamom.UpstreamID(gone.GetUpstream())})
	}
	replicas := make(map[cardamom.ModelID][]cells.Replica)
	for _, replica := range f.seats {
		replicas[replica.Model] = append(replicas[replica.Model], replica)
	}
	f.replicas = replicas
}

func replicaDomain(wire *peerpb.Replica) cells.Replica {
	return cells.Replica{
		Seat:    cells.Seat{Model: cardamom.ModelID(wire.GetModel()), Upstream: cardamom.UpstreamID(wire.GetUpstream())},
		Address: wire.GetAddress(), State: cells.ReplicaState(wire.GetState()),
		ReadyIn: time.Duration(wire.GetReadyInMs()) * time.Millisecond, Slots: int(wire.GetSlots()), Sharers: int(wire.GetSharers()),
		Running: int(wire.GetRunning()), Waiting: int(wire.GetWaiting()), Incarnation: cardamom.Incarnation(wire.GetIncarnation()),
	}
}
