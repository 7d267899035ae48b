// Package ctrl runs the control loop of one instance: a single goroutine that
// owns all control state, applies events and starts calls in other goroutines.
//
// An instance can hold a cell, whose loads it then orders (see package cells), or a
// shard of the claims on idempotency keys (see package claim). A second instance, the
// witness, keeps a copy of the holder's state (see package hold). Followers learn a
// cell's replicas from its holder by watches, which are long polls. Instances exchange
// digests of the membership and the holds (see package peers).
//
// # Usage
//
//	loop := ctrl.New(ctrl.Options{...}, time.Now())
//	go loop.Serve(ctx)
//	reply, err := loop.Watch(ctx, request)
//
// Request handling never waits for the loop: it reads the view that the loop
// publishes.
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

// ErrStopped means that the loop has stopped.
var ErrStopped = eris.New("control loop stopped")

// Lister fetches the platform's list of instances and upstreams.
type Lister interface {
	Fetch(ctx context.Context) (*roster.List, error)
}

// Engines fetches reports from engines and sends orders to them.
type Engines interface {
	Report(ctx context.Context, address string) (*engine.Report, error)
	Send(ctx context.Context, address string, order engine.Order) error
}

// Dialer returns the client of the instance at a peer address.
type Dialer interface {
	Dial(address string) peerpb.Peer
}

// Options are the settings and dependencies of a loop.
type Options struct {
	Settings    *conf.Settings
	Incarnation cardamom.Incarnation
	Store       table.Store
	Lister      Lister
	Engines     Engines
	Dialer      Dialer
	Admission   *admit.Controller
	Views       *route.ViewStore
	Ledger      *poison.Ledger
	Claims      *claim.Registry
	Logger      hclog.Logger
}

const (
	// tickInterval is the time between two runs of the loop's timed work.
	tickInterval = 25 * time.Millisecond
	// holdCheckInterval is the time between two checks of all holds.
	holdCheckInterval = 200 * time.Millisecond
	// inboxSize is the greatest number of events that wait for the loop.
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
	// offered is a newer document that is not in force yet, as no peer is known
	// to have it.
	offered     *policy.Published
	offeredAt   time.Time
	list        *roster.List
	cells       map[hold.Resource]*heldCell
	shards      map[hold.Resource]*heldShard
	followers   map[cardamom.CellID]*cellFollower
	stepRunning map[hold.Resource]bool
	// retryAt is the earliest time of the next step after a failed write.
	retryAt map[hold.Resource]time.Time
	// appliedRows holds the effective row that was last applied to each resource.
	appliedRows map[hold.Resource]hold.Row
	// holdsKnown is set once the hold rows have been read from the table.
	holdsKnown bool
	leaving    bool
	// dirty is set if the published view may be out of date.
	dirty            bool
	holdsCheckedAt   time.Time
	heartbeatAt      time.Time
	fetchingRevision cardamom.Revision
}

// New returns a loop that has not started.
func New(options Options, now time.Time) *Loop {
	self := peers.NewMember(options.Settings.Instance(), options.Incarnation, 1, 0)
	return &Loop{
		options:     options,
		inbox:       make(chan event, inboxSize),
		stopped:     make(chan struct{}),
		peers:       peers.New(self, options.Settings.SuspectTimeout(), uint64(options.Incarnation), now),
		witness:     hold.NewWitness(),
		cells:       make(map[hold.Resource]*heldCell),
		shards:      make(map[hold.Resource]*heldShard),
		followers:   make(map[cardamom.CellID]*cellFollower),
		stepRunning: make(map[hold.Resource]bool),
		appliedRows: make(map[hold.Resource]hold.Row),
		retryAt:     make(map[hold.Resource]time.Time),
	}
}

// String names the loop for its supervisor.
func (l *Loop) String() string { return "control" }

// Serve runs the loop until ctx is done.
func (l *Loop) Serve(ctx context.Context) error {
	l.ctx = ctx
	defer close(l.stopped)
	l.startReaders()
	ticker := time.NewTicker(tickInterval)
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

// post queues an event for the loop.
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

// start runs a call in its own goroutine and posts the event it returns, if any.
func (l *Loop) start(call func(ctx context.Context) event) {
	go func() {
		if e := call(l.ctx); e != nil {
			_ = l.post(l.ctx, e)
		}
	}()
}

func (l *Loop) tick(now time.Time) {
	if now.Sub(l.heartbeatAt) >= l.options.Settings.DigestInterval() {
		l.heartbeatAt = now
		l.activateIfDue(now)
		l.peers.Heartbeat(l.newestRevision(), now)
		l.exchange(now)
		l.dirty = true
	}
	if now.Sub(l.holdsCheckedAt) >= holdCheckInterval {
		l.holdsCheckedAt = now
		l.checkHolds(now)
		l.syncFollowers(now)
		for _, held := range l.cells {
			l.removeSilentFollowers(held, now)
		}
	}
	for _, held := range l.cells {
		l.decide(held, now)
	}
}

// newestRevision returns the newest revision this instance has, whether it is
// in force or offered.
func (l *Loop) newestRevision() cardamom.Revision {
	if l.offered != nil {
		return l.offered.Revision()
	}
	return l.revisionInForce()
}

func (l *Loop) revisionInForce() cardamom.Revision {
	if l.published == nil {
		return 0
	}
	return l.published.Revision()
}

// publishView publishes a view of the state if it may have changed.
func (l *Loop) publishView() {
	if !l.dirty {
		return
	}
	l.dirty = false
	now := time.Now()
	view := &route.View{
		Self: l.options.Settings.Instance(), Published: l.published, Pending: l.offered, Active: l.peers.Active(now),
		FollowedCells: make(map[cardamom.CellID]map[cardamom.ModelID][]cells.Replica, len(l.followers)),
		Plain:         l.plainUpstreams(), Issue: l.peers.NewestHoldVersion(), UnreadyReason: l.unreadyReason(), Leaving: l.leaving,
	}
	for id, f := range l.followers {
		view.FollowedCells[id] = f.replicas
		view.CellHolds = append(view.CellHolds, l.effectiveHold(cellResource(id), now))
	}
	for n := range l.options.Settings.ClaimShards() {
		view.ClaimHolds = append(view.ClaimHolds, l.effectiveHold(claim.ShardResource(n), now))
	}
	l.options.Views.Store(view)
}

func (l *Loop) unreadyReason() string {
	switch {
	case l.published == nil:
		return "no profile document: the table and all known peers have none or can't be reached"
	case l.list == nil:
		return "no list: the platform's list can't be reached"
	case !l.peers.MembershipKnown(time.Now()):
		return "members: no heartbeat from some listed instances yet"
	case !l.holdsKnown && len(l.peers.Active(time.Now())) < 2:
		return "no holds: the table can't be reached and no peer answers"
	default:
		return ""
	}
}

func (l *Loop) plainUpstreams() map[cardamom.ServiceID][]cardamom.Upstream {
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
