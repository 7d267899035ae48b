package admit

import (
	"container/heap"
	"time"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/cells"
)

// smoothing is the weight of the newest value in a moving average.
const smoothing = 0.2

// waiter is one request in a queue.
type waiter struct {
	ticket  Ticket
	key     time.Time
	index   int
	granted chan grant
}

// grant ends a wait: with a replica or with a refusal.
type grant struct {
	replica cells.Replica
	refusal *cardamom.Refusal
}

// waiters is a heap ordered by key.
type waiters []*waiter

func (w waiters) Len() int           { return len(w) }
func (w waiters) Less(i, j int) bool { return w[i].key.Before(w[j].key) }

func (w waiters) Swap(i, j int) {
	w[i], w[j] = w[j], w[i]
	w[i].index = i
	w[j].index = j
}

// Push implements heap.Interface.
func (w *waiters) Push(x any) {
	item, _ := x.(*waiter)
	item.index = len(*w)
	*w = append(*w, item)
}

// Pop implements heap.Interface.
func (w *waiters) Pop() any {
	old := *w
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*w = old[:len(old)-1]
	last.index = -1
	return last
}

// queue is the requests for one model at this instance.
type queue struct {
	model     cardamom.ModelID
	waiting   waiters
	running   int
	started   int
	service   average
	coldWait  average
	coldSince time.Time
	replicas  []cells.Replica
}

func (q *queue) push(w *waiter) { heap.Push(&q.waiting, w) }

func (q *queue) remove(w *waiter) bool {
	if w.index < 0 {
		return false
	}
	heap.Remove(&q.waiting, w.index)
	return true
}

func (q *queue) head() *waiter {
	if len(q.waiting) == 0 {
		return nil
	}
	return q.waiting[0]
}

// firstClean returns the first waiting request that is not suspected.
func (q *queue) firstClean() *waiter {
	var first *waiter
	for _, w := range q.waiting {
		if !w.ticket.Suspect && (first == nil || w.key.Before(first.key)) {
			first = w
		}
	}
	return first
}

// ahead returns how many waiting requests are served before one with the key.
func (q *queue) ahead(key time.Time) int {
	count := 0
	for _, w := range q.waiting {
		if w.key.Before(key) {
			count++
		}
	}
	return count
}

// readyIn returns the expected time until a replica takes requests.
func (q *queue) readyIn(now time.Time) time.Duration {
	expected := q.coldWait.value
	if !q.coldSince.IsZero() {
		expected = max(expected-now.Sub(q.coldSince), 0)
	}
	loading := false
	for _, replica := range q.replicas {
		switch replica.State {
		case cells.ReplicaReady:
			return 0
		case cells.ReplicaLoading:
			if !loading || replica.ReadyIn < expected {
				expected = replica.ReadyIn
			}
			loading = true
		}
	}
	return expected
}

func (q *queue) idle() bool { return len(q.waiting) == 0 && q.running == 0 && q.started == 0 }

// average is an exponentially weighted moving average of durations.
type average struct {
	value time.Duration
}

func (a *average) add(sample time.Duration) {
	if a.value == 0 {
		a.value = sample
		return
	}
	a.value += time.Duration(smoothing * float64(sample-a.value))
}
