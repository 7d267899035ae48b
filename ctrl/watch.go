package ctrl

import (
	"context"
	"time"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/cells"
	"cardamomcourse.example/cardamom/peerpb"
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
	if e.request.GetLeave() {
		held.cell.Unwatch(cardamom.InstanceID(e.request.GetInstance()))
		e.reply <- &peerpb.WatchReply{}
		return
	}
	held.cell.Used(watchDomain(e.request, now), now)
	held.dirty = true
	patience := min(max(watchHold, time.Duration(len(held.cell.Watchers()))*watchHoldPerFollower), maxWatchHold)
	e.until = now.Add(min(time.Duration(e.request.GetHoldMs())*time.Millisecond, patience))
	held.parked = append(held.parked, e)
	l.decide(held, now)
}

// dropSilent forgets the followers that are not heard of. What they have in
// progress the engines report, and what they send to a replica that is gone the
// engine refuses as not run.
func (l *Loop) dropSilent(held *heldCell, now time.Time) {
	members := l.peers.At(now)
	for _, id := range held.cell.Watchers() {
		if !members.Alive(members.Current(id)) {
			held.cell.Unwatch(id)
		}
	}
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
