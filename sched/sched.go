// Package sched keeps the schedule of an upstream that all instances share: when a prompt
// may be sent to it, so that neither the first events of requests nor the streams that run
// there suffer more than their routes allow.
//
// An engine reads prompts between the tokens of its running streams. Prompts that it reads
// without a pause for longer than a stream's target gap make a long gap in that stream. A
// Book therefore admits prompts in bursts that are shorter than this gap, with pauses in
// which streams get their next event.
//
// # Usage
//
//	book := sched.NewBook(20)
//	answer := book.Reserve(request, now)
//	switch answer.Kind() {
//	case sched.Send:
//	    // send it; later call book.FirstEvent and book.Ended
//	case sched.Wait:
//	    // call Reserve again after answer.Wait()
//	case sched.Late:
//	    // try another upstream, or refuse the request
//	}
package sched

import (
	"time"

	cardamom "cardamomcourse.example/cardamom"
)

// HeldInterval is the interval at which a scheduler looks at a call that waits.
const HeldInterval = 15 * time.Millisecond

// Request is a streaming request whose prompt is to be sent to the upstream of a book.
type Request struct {
	// ID is the same for each call for one attempt.
	ID       uint64
	Instance cardamom.InstanceID
	Service  cardamom.ServiceID
	Model    cardamom.ModelID
	Tokens   int
	// Urgency is the request's priority, 0 first.
	Urgency int
	Arrived time.Time
	// Target is the time from then in which the first event is due, Gap the one in which
	// each further event is due after the one before; 0 means no target.
	Target time.Duration
	Gap    time.Duration
	// Remaining is how much longer the caller waits for the first event.
	Remaining time.Duration
	// Held means that the request's call waits at the scheduler, which looks at it each
	// HeldInterval.
	Held bool
	// Probe means that another upstream is asked if the prompt can't be sent at once, so that
	// the request doesn't wait for this one.
	Probe bool
}

// Kind is what a request is to do.
type Kind uint8

// The kinds of answers.
const (
	// Send means that the prompt is to be sent now.
	Send Kind = iota
	// Wait means that the request is to ask again after a time.
	Wait
	// Late means that the first event can't arrive in time.
	Late
)

var kindWords = [...]string{"send", "wait", "late"}

func (k Kind) String() string { return kindWords[k] }

// Reason is why a request waits.
type Reason string

// The reasons.
const (
	// NoReason means that the request doesn't wait.
	NoReason Reason = ""
	// Gap means that streams at the upstream would get a long gap.
	Gap Reason = "gap"
	// FirstEvent means that the first event of a request sent before would come late.
	FirstEvent Reason = "first_event"
	// Order means that other requests go first.
	Order Reason = "order"
	// Urgent means that more urgent requests come late.
	Urgent Reason = "urgent"
)

// Answer is the answer to a reservation.
type Answer struct {
	kind     Kind
	wait     time.Duration
	expected time.Duration
	backlog  time.Duration
	reason   Reason
}

// NewAnswer returns an answer that another instance gave.
func NewAnswer(kind Kind, wait, expected, backlog time.Duration, reason Reason) Answer {
	return Answer{kind, wait, expected, backlog, reason}
}

// Kind returns what the request is to do.
func (a Answer) Kind() Kind { return a.kind }

// Wait returns after how long the request is to ask again, or, if it is late, after which
// time a new one would be in time.
func (a Answer) Wait() time.Duration { return a.wait }

// Expected returns the expected time from now to the first event.
func (a Answer) Expected() time.Duration { return a.expected }

// Backlog returns how long the engine will read the prompts that it got, and those that wait
// and are as urgent.
func (a Answer) Backlog() time.Duration { return a.backlog }

// Reason returns why the request waits.
func (a Answer) Reason() Reason { return a.reason }
