package simul

import (
	"container/heap"
	"time"
)

// event is a function to call at a time. Events of one time are called in the order in
// which they were added.
type event struct {
	at     time.Time
	number int
	do     func(now time.Time)
}

// queue is the event queue of a play. It implements heap.Interface.
type queue struct {
	events []event
	added  int
	now    time.Time
}

// Len implements heap.Interface.
func (q *queue) Len() int { return len(q.events) }

// Less implements heap.Interface.
func (q *queue) Less(i, j int) bool {
	a, b := q.events[i], q.events[j]
	return a.at.Before(b.at) || a.at.Equal(b.at) && a.number < b.number
}

// Swap implements heap.Interface.
func (q *queue) Swap(i, j int) { q.events[i], q.events[j] = q.events[j], q.events[i] }

// Push implements heap.Interface.
func (q *queue) Push(x any) { q.events = append(q.events, x.(event)) }

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	last := q.events[len(q.events)-1]
	q.events = q.events[:len(q.events)-1]
	return last
}

// at calls do at the given time, or now if that has passed.
func (q *queue) at(t time.Time, do func(now time.Time)) {
	if t.Before(q.now) {
		t = q.now
	}
	q.added++
	heap.Push(q, event{t, q.added, do})
}

// after calls do after the given time.
func (q *queue) after(wait time.Duration, do func(now time.Time)) { q.at(q.now.Add(wait), do) }

// run calls the events until the given time.
func (q *queue) run(until time.Time) {
	for len(q.events) > 0 && !q.events[0].at.After(until) {
		e := heap.Pop(q).(event)
		q.now = e.at
		e.do(e.at)
	}
}
