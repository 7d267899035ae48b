package admit

import (
	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/cells"
)

// dispatch assigns waiting requests of a queue to replicas, in the queue's order.
func (c *Controller) dispatch(q *queue) {
	for c.dispatchHead(q) {
		continue
	}
}

// nextDispatchable returns the first waiting request that can be sent now, and
// its replica. A suspected request that must wait for another suspected one does
// not block those behind it.
func (c *Controller) nextDispatchable(q *queue) (*waiter, cells.Replica, bool) {
	w := q.head()
	if w == nil {
		return nil, cells.Replica{}, false
	}
	replica, ok := c.pick(q, w.request)
	if ok || !w.request.Suspected {
		return w, replica, ok
	}
	w = q.firstUnsuspected()
	if w == nil {
		return nil, cells.Replica{}, false
	}
	replica, ok = c.pick(q, w.request)
	return w, replica, ok
}

// dispatchHead assigns the next waiting request to a replica and reports whether
// there was one to assign.
func (c *Controller) dispatchHead(q *queue) bool {
	w, replica, ok := c.nextDispatchable(q)
	if !ok {
		return false
	}
	q.remove(w)
	q.running++
	q.started++
	c.window(replica).acquire(w.request.Suspected)
	c.inFlight[replica.ReplicaKey]++
	w.result <- waitResult{replica: replica}
	return true
}

// pick returns the ready replica with the least used window. The upstream to
// avoid is picked only if no other has room.
func (c *Controller) pick(q *queue, request Request) (cells.Replica, bool) {
	var best cells.Replica
	found := false
	least := 0.0
	for _, replica := range q.replicas {
		window := c.window(replica)
		if replica.State != cells.ReplicaReady || !window.hasRoom(request.Suspected) {
			continue
		}
		fill := float64(window.inflight) / window.limit
		if replica.Upstream == request.Avoid {
			fill++
		}
		if !found || fill < least {
			best, found, least = replica, true, fill
		}
	}
	return best, found
}

// dispatchUpstream dispatches from the queues that have a replica on the upstream,
// in the order of the requests at their heads.
func (c *Controller) dispatchUpstream(upstream cardamom.UpstreamID) {
	for {
		var first *queue
		for _, q := range c.queues {
			if q.head() == nil || !q.hasReplicaOn(upstream) {
				continue
			}
			if _, _, ok := c.nextDispatchable(q); !ok {
				continue
			}
			if first == nil || q.head().sortKey.Before(first.head().sortKey) {
				first = q
			}
		}
		if first == nil || !c.dispatchHead(first) {
			return
		}
	}
}

func (q *queue) hasReplicaOn(upstream cardamom.UpstreamID) bool {
	for _, replica := range q.replicas {
		if replica.Upstream == upstream {
			return true
		}
	}
	return false
}
