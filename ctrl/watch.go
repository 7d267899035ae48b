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

const (
	// watchHold is the least time a watch without news is kept open.
	watchHold = time.Second
	// watchHoldPerFollower lengthens it, so that the watches of many followers
	// stay within the holder's byte budget.
	watchHoldPerFollower = 100 * time.Millisecond
	// maxWatchHold is the longest time a watch is kept open.
	maxWatchHold = 10 * time.Second
	// watchTimeout is the greatest time of one watch.
	watchTimeout = 12 * time.Second
	// tellTimeout is the greatest time of a watch that only tells of demand.
	tellTimeout = 2 * time.Second
	// watchPause is the pause after a failed watch.
	watchPause = 100 * time.Millisecond
	// watchGather is the time for which demand gathers before the next watch.
	watchGather = 2 * time.Millisecond
)

// watched is a follower's watch.
type watched struct {
	request *peerpb.WatchRequest
	reply   chan *peerpb.WatchReply
	until   time.Time
}

// Watch answers a follower of a cell held here.
func (l *Loop) Watch(ctx context.Context, request *peerpb.WatchRequest) (*peerpb.WatchReply, error) {
	e := &watched{request: request, reply: make(chan *peerpb.WatchReply, 1)}
	if err := l.post(ctx, e); err != nil {
		return nil, err
	}
	return await(ctx, l, e.reply)
}

func (e *watched) apply(l *Loop, now time.Time) {
	held, ok := l.cells[cellResource(cardamom.CellID(e.request.GetCell()))]
	if !ok {
		e.reply <- &peerpb.WatchReply{NotHolder: true}
		return
	}
	held.cell.Used(watchDomain(e.request, now), now)
	held.dirty = true
	patience := min(max(watchHold, time.Duration(held.cell.Watchers())*watchHoldPerFollower), maxWatchHold)
	e.until = now.Add(min(time.Duration(e.request.GetHoldMs())*time.Millisecond, patience))
	held.parked = append(held.parked, e)
	l.decide(held, now)
}

// answerParked answers the watches for which there is news or whose time is up.
func (l *Loop) answerParked(held *heldCell, now time.Time) {
	kept := held.parked[:0]
	for _, parked := range held.parked {
		seq := parked.request.GetSeq()
		if parked.request.GetFence() != held.epoch {
			seq = 0
		}
		if seq == held.cell.Seq() && seq != 0 && now.Before(parked.until) {
			kept = append(kept, parked)
			continue
		}
		parked.reply <- watchReply(held, seq)
	}
	held.parked = kept
}

func watchReply(held *heldCell, seq uint64) *peerpb.WatchReply {
	delta := held.cell.Since(seq)
	reply := &peerpb.WatchReply{Fence: held.epoch, Seq: delta.Seq, Snapshot: delta.Snapshot}
	for _, replica := range delta.Replicas {
		reply.Replicas = append(reply.Replicas, &peerpb.Replica{
			Model: string(replica.Model), Upstream: string(replica.Upstream), Address: replica.Address,
			State: uint32(replica.State), ReadyInMs: replica.ReadyIn.Milliseconds(), Slots: uint32(replica.Slots), Sharers: uint32(replica.Sharers),
			Running: uint32(replica.Running), Waiting: uint32(replica.Waiting), Incarnation: uint64(replica.Incarnation),
		})
	}
	for _, seat := range delta.Gone {
		reply.Gone = append(reply.Gone, &peerpb.Gone{Model: string(seat.Model), Upstream: string(seat.Upstream)})
	}
	return reply
}

func watchDomain(request *peerpb.WatchRequest, now time.Time) cells.Watch {
	watch := cells.Watch{Instance: cardamom.InstanceID(request.GetInstance()), Seq: request.GetSeq()}
	for _, use := range request.GetUses() {
		watch.Uses = append(watch.Uses, cells.Use{
			Model: cardamom.ModelID(use.GetModel()), Waiting: int(use.GetWaiting()), Running: int(use.GetRunning()),
			Started: int(use.GetStarted()), Since: now.Add(-time.Duration(use.GetWaitedMs()) * time.Millisecond),
			Priority: int(use.GetPriority()), Service: time.Duration(use.GetServiceMs()) * time.Millisecond,
		})
	}
	for i := 0; i+1 < len(request.GetBusy()); i += 2 {
		watch.Busy = append(watch.Busy, cells.Seat{
			Model: cardamom.ModelID(request.GetBusy()[i]), Upstream: cardamom.UpstreamID(request.GetBusy()[i+1]),
		})
	}
	return watch
}

// follow is a cell whose replicas this instance sends requests to.
type follow struct {
	cell     cardamom.CellID
	replicas map[cardamom.ModelID][]cells.Replica
	seats    map[cells.Seat]cells.Replica
	epoch    uint64
	seq      uint64
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
	if route.PlaceOf(cell) == l.options.Settings.Instance().Place {
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
	f.epoch, f.seq = reply.GetFence(), reply.GetSeq()
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
