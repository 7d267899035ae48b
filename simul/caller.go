package simul

import (
	"math"
	"time"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/site"
)

// retryShare is the part of the time left that a caller waits at most before it comes
// back.
const retryShare = 3

// caller is one request of a caller, with its returns.
type caller struct {
	play    *play
	kind    *kind
	window  *Window
	model   cardamom.ModelID
	prompt  int
	output  int
	began   time.Time
	returns int
	current *exchange
	done    bool
	first   time.Time
	last    time.Time
	gap     time.Duration
}

// kind is a kind of request with its results.
type kind struct {
	wire    kindWire
	route   *site.Route
	weights []float64
	result  *KindResult
}

// newKind returns the kind that a scenario describes.
func newKind(wire kindWire) *kind {
	k := &kind{wire: wire, result: newKindResult(wire.Name), route: &site.Route{
		Name: wire.Name, Kind: site.Streaming, Timeout: ms(wire.DeadlineMS), TargetLatency: ms(wire.TargetMS), TargetGap: ms(wire.GapMS), Priority: wire.Priority, MaxAttempts: 1,
	}}
	for n := range wire.Models[1] - wire.Models[0] + 1 {
		k.weights = append(k.weights, math.Pow(float64(n+1), -wire.Skew))
	}
	return k
}

// shift moves the demand on: the busiest models become the least busy ones.
func (k *kind) shift(places int) {
	if k.wire.Skew > 0 {
		places %= len(k.weights)
		k.weights = append(append([]float64(nil), k.weights[len(k.weights)-places:]...), k.weights[:len(k.weights)-places]...)
	}
}

// attempt sends the request to an instance.
func (c *caller) attempt(now time.Time) {
	deadline := c.began.Add(c.kind.route.Timeout)
	if c.done {
		return
	}
	if now.After(deadline) {
		c.finish("deadline")
		return
	}
	i := c.play.pickInstance()
	if i == nil {
		c.play.events.after(connectPause, c.attempt)
		return
	}
	x := &exchange{
		instance: i, caller: c, route: c.kind.route, model: c.model, prompt: c.prompt, arrived: now, deadline: deadline,
		avoided: make(map[cardamom.UpstreamID]bool),
	}
	c.current = x
	i.open = append(i.open, x)
	i.demand.Arrived(x.key(), c.prompt)
	i.budget.SetMembers(len(i.play.instances), now, now)
	i.budget.CountRequest(service, now)
	c.watch(x, now)
	x.decide(now)
}

// watch ends the attempt if no event comes for as long as a caller waits.
func (c *caller) watch(x *exchange, since time.Time) {
	c.play.events.at(since.Add(c.kind.route.EventTimeout()), func(time.Time) {
		if c.done || c.current != x || x.ended {
			return
		}
		if c.last.After(since) {
			c.watch(x, c.last)
			return
		}
		x.cancel()
		c.finish("left")
	})
}

// event is called when an event reaches the caller.
func (c *caller) event(now time.Time) {
	if c.first.IsZero() {
		c.first = now
	} else {
		c.gap = max(c.gap, now.Sub(c.last))
	}
	c.last = now
}

// served is called when the response is complete.
func (c *caller) served() {
	if c.done {
		return
	}
	c.done = true
	if c.kind.result.served(c.first.Sub(c.began), c.gap, c.kind.route) {
		c.window.InTarget++
	}
}

// refused is called when the request was refused. The caller comes back if it may.
func (c *caller) refused(reason string, retryAfter time.Duration, now time.Time) {
	if c.done {
		return
	}
	left := c.began.Add(c.kind.route.Timeout).Sub(now)
	if c.returns >= c.kind.wire.Returns || left <= 0 {
		c.finish(reason)
		return
	}
	c.returns++
	c.kind.result.Returned++
	c.play.events.after(min(retryAfter, left/retryShare), c.attempt)
}

// failed is called when the request failed and may have run.
func (c *caller) failed(reason string) { c.finish(reason) }

func (c *caller) finish(reason string) {
	if c.done {
		return
	}
	c.done = true
	c.kind.result.notServed(reason)
}
