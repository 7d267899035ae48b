// Package await holds requests for a model that is not loaded until it is, and
// refuses them as soon as it is plain that it will come too late.
//
// The load it answers: many requests at once for a few rare models, each of
// which needs a load that all of them share.
//
// # Usage
//
//	desk := await.New(loop)
//	verdict := desk.Wait(ctx, await.Key{Service: s, Model: m}, patience)
//	if !verdict.Ready { /* refuse, come back after verdict.Later */ }
package await

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/coord"
	"cardamomcourse.example/cardamom/pause"
)

const (
	// longestHold bounds one call to the coordinator.
	longestHold = time.Second
	// unknownWait is what requests are expected to wait while no coordinator
	// answers: a lease to expire and a load from disk.
	unknownWait = 4500 * time.Millisecond
	// unknownGrace is how long nothing is concluded from its silence.
	unknownGrace = 250 * time.Millisecond
	// askAgain is the pause between calls that got no answer.
	askAgain = 120 * time.Millisecond
	// laterMargin is added to the time after which refused callers return.
	laterMargin = 150 * time.Millisecond
)

// Asker asks the coordinating instance for a model.
type Asker interface {
	Await(ctx context.Context, need coord.Need) coord.Prospect
}

// Key is what requests wait for.
type Key struct {
	Service cardamom.ServiceID
	Model   cardamom.ModelID
	Adapter string
}

// Verdict ends a wait.
type Verdict struct {
	Ready bool
	// Later is when it is expected to be ready, for a refusal.
	Later time.Duration
	// Expected tells whether that was told by a coordinator.
	Expected bool
}

// Desk has a group of waiting requests for each key. It is safe for concurrent use.
type Desk struct {
	mu     sync.Mutex
	asker  Asker
	groups map[Key]*group
}

// group is the requests that wait for one key.
type group struct {
	waiting  int
	latest   time.Time
	changed  chan struct{}
	ready    bool
	known    bool
	began    time.Time
	expected time.Time
	// doubts are upstreams that the requests could not reach.
	doubts map[cardamom.UpstreamID]bool
}

// New returns a desk on which nobody waits.
func New(asker Asker) *Desk { return &Desk{asker: asker, groups: make(map[Key]*group)} }

// Wait returns when the key is ready, when it is plain that it will not be
// within the patience, or when ctx ends. The doubts are upstreams that hold the
// model and could not be reached.
func (d *Desk) Wait(ctx context.Context, key Key, patience time.Duration, doubts ...cardamom.UpstreamID) Verdict {
	now := time.Now()
	end := now.Add(patience)
	g := d.join(key, end, now, doubts)
	defer d.leave(g)
	timer := time.NewTimer(patience)
	defer timer.Stop()
	for {
		d.mu.Lock()
		verdict, over := g.verdict(end, time.Now())
		changed := g.changed
		d.mu.Unlock()
		if over {
			return verdict
		}
		grace := time.NewTimer(unknownGrace)
		select {
		case <-changed:
		case <-grace.C:
		case <-timer.C:
			grace.Stop()
			return Verdict{Later: laterMargin}
		case <-ctx.Done():
			grace.Stop()
			return Verdict{Later: laterMargin}
		}
		grace.Stop()
	}
}

// verdict tells whether the wait of a request that can wait until end is over.
func (g *group) verdict(end, now time.Time) (Verdict, bool) {
	switch {
	case g.ready:
		return Verdict{Ready: true, Expected: true}, true
	case g.known && g.expected.After(end):
		return Verdict{Later: g.expected.Sub(now) + laterMargin, Expected: true}, true
	case !g.known && now.Sub(g.began) >= unknownGrace && now.Add(unknownWait).After(end):
		return Verdict{Later: unknownWait}, true
	default:
		return Verdict{}, false
	}
}

func (d *Desk) join(key Key, end, now time.Time, doubts []cardamom.UpstreamID) *group {
	d.mu.Lock()
	defer d.mu.Unlock()
	g, ok := d.groups[key]
	if !ok {
		g = &group{changed: make(chan struct{}), began: now, doubts: make(map[cardamom.UpstreamID]bool)}
		d.groups[key] = g
		go d.ask(key, g)
	}
	for _, id := range doubts {
		g.doubts[id] = true
	}
	g.waiting++
	if end.After(g.latest) {
		g.latest = end
	}
	return g
}

func (d *Desk) leave(g *group) {
	d.mu.Lock()
	defer d.mu.Unlock()
	g.waiting--
}

// ask keeps asking for the key while requests wait for it.
func (d *Desk) ask(key Key, g *group) {
	hold := time.Duration(0)
	for {
		d.mu.Lock()
		if g.waiting == 0 || g.ready {
			if d.groups[key] == g {
				delete(d.groups, key)
			}
			d.mu.Unlock()
			return
		}
		waiting, patience := g.waiting, time.Until(g.latest)
		doubts := slices.Sorted(maps.Keys(g.doubts))
		clear(g.doubts)
		d.mu.Unlock()
		prospect := d.asker.Await(context.Background(), coord.Need{
			Service: key.Service, Model: key.Model, Adapter: key.Adapter, Waiting: waiting, Hold: hold, Patience: patience, Doubts: doubts,
		})
		d.take(g, prospect, time.Now())
		hold = longestHold
		if !prospect.Known {
			hold = 0
			if d.empty(key, g) || !pause.For(context.Background(), askAgain) {
				return
			}
		}
	}
}

// empty forgets a group that nobody waits in.
func (d *Desk) empty(key Key, g *group) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if g.waiting > 0 {
		return false
	}
	if d.groups[key] == g {
		delete(d.groups, key)
	}
	return true
}

// take tells the waiting requests what the coordinator answered.
func (d *Desk) take(g *group, prospect coord.Prospect, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	g.ready = prospect.Ready
	g.known = prospect.Known && prospect.Expected >= 0
	if g.known {
		g.expected = now.Add(prospect.Expected)
	}
	close(g.changed)
	g.changed = make(chan struct{})
}
