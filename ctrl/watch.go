package ctrl

import (
	"context"
	"time"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/cells"
	"cardamomcourse.example/cardamom/peerpb"
)

const (
	// minWatchTime is the time for which a watch is kept open if nothing changes
	// and the cell has few followers.
	minWatchTime = time.Second
	// watchTimePerFollower times the number of followers is the time for which a
	// watch of a cell with many followers is kept open, so that their watches stay
	// within the holder's byte budget.
	watchTimePerFollower = 100 * time.Millisecond
	// maxWatchTime is the longest time a watch is kept open.
	maxWatchTime = 10 * time.Second
	// watchTimeout is the timeout of one watch.
	watchTimeout = 12 * time.Second
	// watchOnceTimeout is the timeout of a watch that the holder answers at once.
	watchOnceTimeout = 2 * time.Second
	// watchRetryDelay is the delay after a failed watch.
	watchRetryDelay = 100 * time.Millisecond
	// demandBatchDelay is the time for which new demand is collected before it is
	// sent.
	demandBatchDelay = 2 * time.Millisecond
)

// watchReceived is a watch that a follower sent.
type watchReceived struct {
	request *peerpb.WatchRequest
	reply   chan *peerpb.WatchReply
	until   time.Time
}

// Watch answers a follower of a cell held here once the cell's replicas change
// or the watch has been open long enough.
func (l *Loop) Watch(ctx context.Context, request *peerpb.WatchRequest) (*peerpb.WatchReply, error) {
	e := &watchReceived{request: request, reply: make(chan *peerpb.WatchReply, 1)}
	if err := l.post(ctx, e); err != nil {
		return nil, err
	}
	return await(ctx, l, e.reply)
}

func (e *watchReceived) apply(l *Loop, now time.Time) {
	held, ok := l.cells[cellResource(cardamom.CellID(e.request.GetCell()))]
	if !ok {
		e.reply <- &peerpb.WatchReply{NotHolder: true}
		return
	}
	if e.request.GetLeave() {
		held.cell.RemoveFollower(cardamom.InstanceID(e.request.GetInstance()))
		e.reply <- &peerpb.WatchReply{}
		return
	}
	held.cell.UpdateFollower(watchFromWire(e.request, now), now)
	held.dirty = true
	watchTime := min(max(minWatchTime, time.Duration(len(held.cell.Followers()))*watchTimePerFollower), maxWatchTime)
	e.until = now.Add(min(time.Duration(e.request.GetHoldMs())*time.Millisecond, watchTime))
	held.openWatches = append(held.openWatches, e)
	l.decide(held, now)
}

// removeSilentFollowers removes followers that are not alive. This is safe: the
// engines report the followers' requests in flight, and they refuse a request that
// a follower sends to an unloaded replica, so that it does not run.
func (l *Loop) removeSilentFollowers(held *heldCell, now time.Time) {
	members := l.peers.At(now)
	for _, id := range held.cell.Followers() {
		if !members.Alive(members.Current(id)) {
			held.cell.RemoveFollower(id)
		}
	}
}

// answerWatches answers the watches whose cell has changed or whose time is up.
func (l *Loop) answerWatches(held *heldCell, now time.Time) {
	kept := held.openWatches[:0]
	for _, watch := range held.openWatches {
		seq := watch.request.GetSeq()
		if watch.request.GetFence() != held.epoch {
			seq = 0
		}
		if seq == held.cell.Seq() && seq != 0 && now.Before(watch.until) {
			kept = append(kept, watch)
			continue
		}
		watch.reply <- newWatchReply(held, seq)
	}
	held.openWatches = kept
}

func newWatchReply(held *heldCell, seq uint64) *peerpb.WatchReply {
	delta := held.cell.ChangesSince(seq)
	reply := &peerpb.WatchReply{Fence: held.epoch, Seq: delta.Seq, Snapshot: delta.Snapshot}
	for _, replica := range delta.Replicas {
		reply.Replicas = append(reply.Replicas, &peerpb.Replica{
			Model: string(replica.Model), Upstream: string(replica.Upstream), Address: replica.Address,
			State: uint32(replica.State), ReadyInMs: replica.ReadyIn.Milliseconds(), Slots: uint32(replica.Slots), Sharers: uint32(replica.Sharers),
			Running: uint32(replica.Running), Waiting: uint32(replica.Waiting), Incarnation: uint64(replica.Incarnation),
		})
	}
	for _, removed := range delta.Removed {
		reply.Gone = append(reply.Gone, &peerpb.Gone{Model: string(removed.Model), Upstream: string(removed.Upstream)})
	}
	return reply
}

func watchFromWire(request *peerpb.WatchRequest, now time.Time) cells.Watch {
	watch := cells.Watch{Instance: cardamom.InstanceID(request.GetInstance()), Seq: request.GetSeq()}
	for _, use := range request.GetUses() {
		watch.Uses = append(watch.Uses, cells.Use{
			Model: cardamom.ModelID(use.GetModel()), Waiting: int(use.GetWaiting()), Running: int(use.GetRunning()),
			Started: int(use.GetStarted()), NextArrival: now.Add(-time.Duration(use.GetWaitedMs()) * time.Millisecond),
			Priority: int(use.GetPriority()), ServiceTime: time.Duration(use.GetServiceMs()) * time.Millisecond,
		})
	}
	for i := 0; i+1 < len(request.GetBusy()); i += 2 {
		watch.InFlight = append(watch.InFlight, cells.ReplicaKey{
			Model: cardamom.ModelID(request.GetBusy()[i]), Upstream: cardamom.UpstreamID(request.GetBusy()[i+1]),
		})
	}
	return watch
}
