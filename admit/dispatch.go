package admit

import (
	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/cells"
)

// dispatch gives places to the waiting requests of a queue, best first.
func (d *Desk) dispatch(q *queue) {
	for d.dispatchHead(q) {
		continue
	}
}

// next returns the first waiting request that can have a place now. A suspected
// one that must wait for another does not hold up those behind it.
func (d *Desk) next(q *queue) (*waiter, cells.Replica, bool) {
	w := q.head()
	if w == nil {
		return nil, cells.Replica{}, false
	}
	replica, ok := d.pick(q, w.ticket)
	if ok || !w.ticket.Suspect {
		return w, replica, ok
	}
	w = q.firstClean()
	if w == nil {
		return nil, cells.Replica{}, false
	}
	replica, ok = d.pick(q, w.ticket)
	return w, replica, ok
}

// dispatchHead gives the first waiting request a place if there is one.
func (d *Desk) dispatchHead(q *queue) bool {
	w, replica, ok := d.next(q)
	if !ok {
		return false
	}
	q.remove(w)
	q.running++
	q.started++
	d.window(replica).take(w.ticket.Suspect)
	d.seats[replica.Seat]++
	w.granted <- grant{replica: replica}
	return true
}

// pick returns the ready replica with the emptiest window. The upstream to
// avoid is taken only if there is no other.
func (d *Desk) pick(q *queue, ticket Ticket) (cells.Replica, bool) {
	var best cells.Replica
	found := false
	least := 0.0
	for _, replica := range q.replicas {
		window := d.window(replica)
		if replica.State != cells.ReplicaReady || !window.open(ticket.Suspect) {
			continue
		}
		fill := float64(window.inflight) / window.limit
		if replica.Upstream == ticket.Avoid {
			fill++
		}
		if !found || fill < least {
			best, found, least = replica, true, fill
		}
	}
	return best, found
}

// dispatchUpstream serves the queues that have a replica on the upstream, the
// one whose head is due first before the others.
func (d *Desk) dispatchUpstream(upstream cardamom.UpstreamID) {
	for {
		var first *queue
		for _, q := range d.queues {
			if q.head() == nil || !q.on(upstream) {
				continue
			}
			if _, _, ok := d.next(q); !ok {
				continue
			}
			if first == nil || q.head().key.Before(first.head().key) {
				first = q
			}
		}
		if first == nil || !d.dispatchHead(first) {
			return
		}
	}
}

func (q *queue) on(upstream cardamom.UpstreamID) bool {
	for _, replica := range q.replicas {
		if replica.Upstream == upstream {
			return true
		}
	}
	return false
}
