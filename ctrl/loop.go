// Package ctrl is the control side of one instance: a single goroutine that
// owns all control state, takes events and starts the calls that follow.
//
// # Usage
//
//	loop := ctrl.New(ctrl.Options{...}, time.Now())
//	go loop.Serve(ctx)
//	reply, err := loop.Watch(ctx, request)
//
// Traffic never waits for the loop: it reads the view the loop stores.
package ctrl

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/admit"
	"cardamomcourse.example/cardamom/cells"
	"cardamomcourse.example/cardamom/claim"
	"cardamomcourse.example/cardamom/conf"
	"cardamomcourse.example/cardamom/engine"
	"cardamomcourse.example/cardamom/hold"
	"cardamomcourse.example/cardamom/peerpb"
	"cardamomcourse.example/cardamom/peers"
	"cardamomcourse.example/cardamom/poison"
	"cardamomcourse.example/cardamom/policy"
	"cardamomcourse.example/cardamom/roster"
	"cardamomcourse.example/cardamom/route"
	"cardamomcourse.example/cardamom/table"
)

// ErrStopped means the loop has ended.
var ErrStopped = eris.New("control loop stopped")

// Lister reads the platform's list.
type Lister interface {
	Fetch(ctx context.Context) (*roster.List, error)
}

// Engines speaks with model engines.
type Engines interface {
	Report(ctx context.Context, address string) (*engine.Report, error)
	Send(ctx context.Context, address string, order engine.Order) error
}

// Dialer returns the client of the instance at a peer address.
type Dialer interface {
	Dial(address string) peerpb.Peer
}

// Options are what a loop works with.
type Options struct {
	Settings    *conf.Settings
	Incarnation cardamom.Incarnation
	Store       table.Store
	Lister      Lister
	Engines     Engines
	Dialer      Dialer
	Desk        *admit.Desk
	Views       *route.Holder
	Ledger      *poison.Ledger
	Claims      *claim.Registry
	Logger      hclog.Logger
}

const (
	// tickEvery is the time between two rounds of decisions.
	tickEvery = 25 * time.Millisecond
	// holdsEvery is the time between two looks at all holds.
	holdsEvery = 200 * time.Millisecond
	// inboxSize is how many events may wait for the loop.
	inboxSize = 4096
)

// event is one message to the loop.
type event interface {
	apply(l *Loop, now time.Time)
}

// Loop is the control state of one instance.
type Loop struct {
	options   Options
	inbox     chan event
	stopped   chan struct{}
	ctx       context.Context
	peers     *peers.State
	witness   *hold.Witness
	published *policy.Published
	// offered is a newer document that no peer is known to have yet.
	offered   *policy.Published
	offeredAt time.Time
	list      *roster.List
	cells     map[hold.Resource]*heldCell
	shards    map[hold.Resource]*heldShard
	follows   map[cardamom.CellID]*follow
	busy      map[hold.Resource]bool
	// retries is when a step that was not written may be tried again.
	retries map[hold.Resource]time.Time
	// acted is the effective row that this instance's role follows.
	acted    map[hold.Resource]hold.Row
	rowsRead bool
	leaving  bool
	dirty    bool
	looked   time.Time
	beaten   time.Time
	fetching cardamom.Revision
}

// New returns a loop that has not started.
func New(options Options, now time.Time) *Loop {
	self := peers.NewMember(options.Settings.Instance(), options.Incarnation, 1, 0)
	return &Loop{
		options: options,
		inbox:   make(chan event, inboxSize),
		stopped: make(chan struct{}),
		peers:   peers.New(self, options.Settings.Suspect(), uint64(options.Incarnation), now),
		witness: hold.NewWitness(),
		cells:   make(map[hold.Resource]*heldCell),
		shards:  make(map[hold.Resource]*heldShard),
		follows: make(map[cardamom.CellID]*follow),
		busy:    make(map[hold.Resource]bool),
		acted:   make(map[hold.Resource]hold.Row),
		retries: make(map[hold.Resource]time.Time),
	}
}

// String names the loop for its supervisor.
func (l *Loop) String() string { return "control" }

// Serve runs the loop until ctx ends.
func (l *Loop) Serve(ctx context.Context) error {
	l.ctx = ctx
	defer close(l.stopped)
	l.startReaders()
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-l.inbox:
			e.apply(l, time.Now())
		case <-ticker.C:
			l.tick(time.Now())
		}
		l.publishView()
	}
}

// post hands an event to the loop.
func (l *Loop) post(ctx context.Context, e event) error {
	select {
	case l.inbox <- e:
		return nil
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "post event")
	case <-l.stopped:
		return ErrStopped
	}
}

// start runs a call beside the loop and posts the event it returns.
func (l *Loop) start(call func(ctx context.Context) event) {
	go func() {
		if e := call(l.ctx); e != nil {
			_ = l.post(l.ctx, e)
		}
	}()
}

func (l *Loop) tick(now time.Time) {
	if now.Sub(l.beaten) >= l.options.Settings.Exchange() {
		l.beaten = now
		l.enforceDue(now)
		l.peers.Beat(l.known(), now)
		l.exchange(now)
		l.dirty = true
	}
	if now.Sub(l.looked) >= holdsEvery {
		l.looked = now
		l.lookAtHolds(now)
		l.syncFollows(now)
		for _, held := range l.cells {
			l.dropSilent(held, now)
		}
	}
	for _, held := range l.cells {
		l.decide(held, now)
	}
}

// known returns the newest revision this instance has, in force or offered.
func (l *Loop) known() cardamom.Revision {
	if l.offered != nil {
		return l.offered.Revision()
	}
	return l.revision()
}

func (l *Loop) revision() cardamom.Revision {
	if l.published == nil {
		return 0
	}
	return l.published.Revision()
}

// publishView stores a view of the state if it has changed.
func (l *Loop) publishView() {
	if !l.dirty {
		return
	}
	l.dirty = false
	now := time.Now()
	view := &route.View{
		Self: l.options.Settings.Instance(), Published: l.published, Offered: l.offered, Active: l.peers.Active(now),
		Follows: make(map[cardamom.CellID]map[cardamom.ModelID][]cells.Replica, len(l.follows)),
		Plain:   l.plain(), Issue: l.peers.Newest(), Unready: l.unready(), Leaving: l.leaving,
	}
	for id, f := range l.follows {
		view.Follows[id] = f.replicas
		view.Cells = append(view.Cells, l.effective(cellResource(id), now))
	}
	for n := range l.options.Settings.ClaimShards() {
		view.Claims = append(view.Claims, l.effective(claim.ShardResource(n), now))
	}
	l.options.Views.Store(view)
}

func (l *Loop) unready() string {
	switch {
	case l.published == nil:
		return "no profile document: the table and all known peers have none or can't be reached"
	case l.list == nil:
		return "no list: the platform's list can't be reached"
	case !l.peers.Settled(time.Now()):
		return "members: not all listed instances have been heard of yet"
	case !l.rowsRead && len(l.peers.Active(time.Now())) < 2:
		return "no holds: the table can't be reached and no peer answers"
	default:
		return ""
	}
}

func (l *Loop) plain() map[cardamom.ServiceID][]cardamom.Upstream {
	plain := make(map[cardamom.ServiceID][]cardamom.Upstream)
	if l.list == nil || l.published == nil {
		return plain
	}
	for _, upstream := range l.list.Upstreams() {
		service, ok := l.published.Document().Service(upstream.Service)
		if ok && service.Kind() == policy.KindPlain && upstream.State == cardamom.Live {
			plain[upstream.Service] = append(plain[upstream.Service], upstream)
		}
	}
	return plain
}

func cellResource(id cardamom.CellID) hold.Resource { return hold.Resource(cellPrefix + string(id)) }

// cellPrefix is the prefix of the resources of cells.
const cellPrefix = "cell/"
