package admit

import (
	"container/heap"
	"time"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/cells"
)

// newSampleWeight is the weight of the newest sample in a moving average.
const newSampleWeight = 0.2

// waiter is one request in a queue.
type waiter struct {
	request Request
	sortKey time.Time
	index   int
	result  chan waitResult
}

// waitResult is the result of a wait: a replica or a refusal.
type waitResult struct {
	replica cells.Replica
	refusal *cardamom.Refusal
}

// waiters is a heap ordered by sortKey.
type waiters []*waiter

func (w waiters) Len() int           { return len(w) }
func (w waiters) Less(i, j int) bool { return w[i].sortKey.Before(w[j].sortKey) }

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

// queue holds the requests for one model at this instance.
type queue struct {
	model   cardamom.ModelID
	waiting waiters
	running int
	started int
	// service is the average time of a request in service.
	service average
	// coldWait is the average time from the first request to a ready replica.
	coldWait average
	// coldSince is when the current cold start began, zero if there is none.
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

// firstUnsuspected returns the first waiting request that is not suspected.
func (q *queue) firstUnsuspected() *waiter {
	var first *waiter
	for _, w := range q.waiting {
		if !w.request.Suspected && (first == nil || w.sortKey.Before(first.sortKey)) {
			first = w
		}
	}
	return first
}

// ahead returns how many waiting requests are served before one with that sort key.
func (q *queue) ahead(sortKey time.Time) int {
	count := 0
	for _, w := range q.waiting {
		if w.sortKey.Before(sortKey) {
			count++
		}
	}
	return count
}

// timeUntilReady returns the expected time until a replica is ready, 0 if one is.
func (q *queue) timeUntilReady(now time.Time) time.Duration {
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
	a.value += time.Duration(newSampleWeight * float64(sample-a.value))
}
