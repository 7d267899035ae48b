package coord

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/demand"
	"cardamomcourse.example/cardamom/lease"
	"cardamomcourse.example/cardamom/plan"
	"cardamomcourse.example/cardamom/poison"
	"cardamomcourse.example/cardamom/site"
	"cardamomcourse.example/cardamom/steady"
	"cardamomcourse.example/cardamom/table"
)

const (
	// tickEvery is the time between two looks at what is due.
	tickEvery = 50 * time.Millisecond
	// quickTick is that time while orders or waiting calls are pending.
	quickTick = 15 * time.Millisecond
	// eventRoom is how many events may wait for the control goroutine.
	eventRoom = 256
)

// CatalogSource follows the published configuration.
type CatalogSource interface {
	Next(ctx context.Context, wait time.Duration) ([]byte, *site.Catalog, error)
	Reset()
}

// UpstreamSource follows the registrations of upstreams.
type UpstreamSource interface {
	Next(ctx context.Context, wait time.Duration) (site.Listing, error)
	Reset()
}

// Engines gives orders to engines and asks for their reports.
type Engines interface {
	Report(ctx context.Context, upstream cardamom.Upstream) (site.Report, error)
	Send(ctx context.Context, upstream cardamom.Upstream, order site.Order) site.OrderResult
}

// Options are what a loop needs.
type Options struct {
	ID    cardamom.InstanceID
	Entry string
	Sync  string
	Seeds []string
	Term  time.Duration
	// Reluctance is how long after its start, and after others, a weak instance
	// takes the lease.
	Reluctance time.Duration
	// Clock returns the store's steady clock in milliseconds.
	Clock     func(now time.Time) (int64, bool)
	Fenced    bool
	Table     table.Store
	Catalogs  CatalogSource
	Upstreams UpstreamSource
	Engines   Engines
	Decode    func(document []byte) (*site.Catalog, error)
	Profiles  Profiles
	Demand    *demand.Counter
	Ledger    *poison.Ledger
	Logger    hclog.Logger
}

// Loop is the control side of one instance.
type Loop struct {
	options Options
	logger  hclog.Logger
	events  chan func(now time.Time)
	board   *board
	picture *picture
	lease   *lease.State
	leasing bool
	leaseAt time.Time
	// leaseSeen is when the row was last read.
	leaseSeen time.Time
	// leaseFailures counts the reads since the last that was answered.
	leaseFailures int
	// began is when the instance started or last lost its coordinator.
	began    time.Time
	tenure   *tenure
	peers    *peers
	telling  bool
	tellAt   time.Time
	answered time.Time
	position position
	leaving  bool
	// behind tells that the coordinator has a newer catalog, needDocument that
	// it could not be read from the platform.
	behind       bool
	needDocument bool
	changed      bool
	ctx          context.Context
}

// position is how far an instance has followed a coordinator.
type position struct {
	coordinator string
	tenure      uint64
	change      uint64
	members     uint64
	stale       bool
}

// New returns a loop that has not started.
func New(options Options) *Loop {
	return &Loop{
		options: options, logger: options.Logger, events: make(chan func(time.Time), eventRoom), board: newBoard(),
		picture: &picture{upstreams: make(map[cardamom.UpstreamID]*site.Upstream), atOnce: make(map[cardamom.ServiceID]plan.AtOnce), removals: make(map[cardamom.UpstreamID]removal), ledger: options.Ledger},
		lease:   lease.New(options.ID, options.Term), peers: newPeers(),
	}
}

// View returns what the instance believes now.
func (l *Loop) View() *View { return l.board.current.Load() }

// Run owns the control state until ctx ends.
func (l *Loop) Run(ctx context.Context) error {
	l.ctx = ctx
	l.began = steady.Now()
	go l.followCatalog(ctx)
	go l.followUpstreams(ctx)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case event := <-l.events:
			event(steady.Now())
			l.drain()
		case <-timer.C:
		}
		wait := l.step(steady.Now())
		if !timer.Stop() {
			select {
			case <-timer.C:
			default:
			}
		}
		timer.Reset(wait)
	}
}

// drain takes the events that wait, so that they are answered by one step.
func (l *Loop) drain() {
	for {
		select {
		case event := <-l.events:
			event(steady.Now())
		default:
			return
		}
	}
}

// post gives an event to the control goroutine.
func (l *Loop) post(event func(now time.Time)) {
	select {
	case l.events <- event:
	case <-l.ctx.Done():
	}
}

// step does what is due and returns the time until the next look.
func (l *Loop) step(now time.Time) time.Duration {
	l.stepLease(now)
	l.stepTell(now)
	wait := tickEvery
	if t := l.tenure; t != nil {
		if now.Sub(t.stepped) >= quickTick {
			t.stepped = now
			t.busy = l.stepTenure(now)
		}
		if t.busy {
			wait = quickTick
		}
	}
	if l.changed {
		l.changed = false
		view := l.picture.view()
		view.coordinates = l.tenure != nil
		l.board.current.Store(view)
	}
	return wait
}

// setCatalog takes a catalog if it is newer than the known one.
func (l *Loop) setCatalog(document []byte, catalog *site.Catalog, origin string) {
	known := l.picture.catalog
	if known != nil && catalog.Version() <= known.Version() {
		return
	}
	l.picture.catalog, l.picture.document, l.picture.packed = catalog, document, nil
	l.changed = true
	l.logger.Info("catalog_changed", "version", catalog.Version(), "origin", origin)
	if l.tenure != nil {
		l.tenure.setCatalog(catalog)
	}
}

// setUpstream takes an upstream as it is listed or relayed.
func (l *Loop) setUpstream(upstream *site.Upstream, origin string) {
	known, ok := l.picture.upstreams[upstream.ID]
	if ok && known.Born == upstream.Born && known.State == cardamom.Leaving && upstream.State == cardamom.Live {
		// A leaving upstream does not come back; an older word says so.
		return
	}
	if !ok || known.State != upstream.State {
		l.logger.Info("upstream_changed", "upstream", upstream.ID, "service", upstream.Service, "address", upstream.Address,
			"leaving", upstream.State == cardamom.Leaving, "beat", upstream.Beat, "origin", origin)
	}
	l.picture.upstreams[upstream.ID] = upstream
	l.changed = true
}

// dropUpstream takes that an upstream is no longer listed.
func (l *Loop) dropUpstream(id cardamom.UpstreamID, origin string) {
	if known, ok := l.picture.upstreams[id]; ok {
		if origin == "platform" {
			l.picture.remove(known, l.picture.learned)
		}
		delete(l.picture.upstreams, id)
		l.changed = true
		l.logger.Info("upstream_gone", "upstream", id, "origin", origin)
	}
}
