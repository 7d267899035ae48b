package coord

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/clock"
	"cardamomcourse.example/cardamom/demand"
	"cardamomcourse.example/cardamom/lease"
	"cardamomcourse.example/cardamom/notice"
	"cardamomcourse.example/cardamom/origin"
	"cardamomcourse.example/cardamom/plan"
	"cardamomcourse.example/cardamom/poison"
	"cardamomcourse.example/cardamom/quota"
	"cardamomcourse.example/cardamom/reach"
	"cardamomcourse.example/cardamom/sched"
	"cardamomcourse.example/cardamom/site"
	"cardamomcourse.example/cardamom/table"
)

const (
	// tickInterval is the time between two steps of the control loop.
	tickInterval = 50 * time.Millisecond
	// pendingTickInterval replaces tickInterval while orders or Await calls are
	// pending.
	pendingTickInterval = 15 * time.Millisecond
	// eventQueueSize is how many events can wait for the control goroutine.
	eventQueueSize = 256
)

// CatalogSource reads the published configuration.
type CatalogSource interface {
	Next(ctx context.Context, wait time.Duration) ([]byte, *site.Catalog, error)
	Reset()
}

// UpstreamSource reads the registrations of upstreams.
type UpstreamSource interface {
	Next(ctx context.Context, wait time.Duration) (site.UpstreamUpdate, error)
	Reset()
}

// Engines sends orders to engines and reads their reports.
type Engines interface {
	Report(ctx context.Context, upstream cardamom.Upstream) (site.Report, error)
	Send(ctx context.Context, upstream cardamom.Upstream, order site.Order) site.OrderResult
}

// Options are the settings and dependencies of a loop.
type Options struct {
	ID cardamom.InstanceID
	// EntryAddress is the host:port at which this instance serves callers.
	EntryAddress string
	// SyncAddress is the host:port at which it serves other instances.
	SyncAddress string
	// Seeds are sync addresses of instances to ask for the coordinator.
	Seeds         []string
	LeaseDuration time.Duration
	// TakeoverDelay is how long after its start, and after losing its coordinator,
	// an instance with little capacity leaves the lease to others.
	TakeoverDelay time.Duration
	// ChangeTime is how soon after the platform accepts a change, of the configuration or of
	// an upstream that leaves, all instances have to act on it.
	ChangeTime time.Duration
	// ListRate bounds how many upstreams a coordinator sends in a second to members whose lists
	// differ from its own, 0 for any number.
	ListRate float64
	// Clock returns the store's monotonic clock in milliseconds and the incarnation of
	// the store to which it belongs.
	Clock func(now time.Time) (ms int64, incarnation uint64, ok bool)
	// Fenced means that engines refuse orders with an old fencing token.
	Fenced    bool
	Table     table.Store
	Catalogs  CatalogSource
	Upstreams UpstreamSource
	Engines   Engines
	Decode    func(document []byte) (*site.Catalog, error)
	Profiles  Profiles
	Demand    *demand.Counter
	Ledger    *poison.Ledger
	Parts     *poison.Parts
	Limits    *quota.Book
	Notices   *notice.Book
	Origins   *origin.Book
	Reach     *reach.Tracker
	Lender    Lender
	// Books are the schedules of the upstreams whose scheduler this instance is.
	Books  *sched.Books
	Logger hclog.Logger
}

// Loop learns the catalog and the upstreams for one instance, and coordinates
// while the instance holds the lease.
type Loop struct {
	options           Options
	logger            hclog.Logger
	events            chan func(now time.Time)
	views             *viewStore
	state             *controlState
	lease             *lease.State
	leaseCallInFlight bool
	// leaseDeaths is the revision of the deaths that the last write of the lease held.
	leaseDeaths uint64
	// leaseAttempts are the writes of the lease that got no answer.
	leaseAttempts lease.Attempts
	// lastLeaseCall is when a read or write of the lease row last began; zero makes
	// a call due.
	lastLeaseCall time.Time
	// lastLeaseRead is when a read of the lease row last succeeded.
	lastLeaseRead time.Time
	// leaseFailures counts the failed reads of the lease row since the last
	// successful read.
	leaseFailures int
	// noCoordinatorSince is when the instance started or last lost its coordinator.
	noCoordinatorSince time.Time
	// term is nil while this instance is not the coordinator.
	term       *term
	peers      *peers
	credits    *credits
	origins    *originTeller
	schedulers *schedulers
	// soleServices are the services of which all instances could infer the version at the
	// last step.
	soleServices map[cardamom.ServiceID]bool
	exchanging   bool
	// lastExchange is when an exchange last began; zero makes the next one due.
	lastExchange time.Time
	// reportSoon means that the next exchange need not wait for its interval.
	reportSoon bool
	// tellsLevels means that the last exchange told the coordinator the levels of quotas.
	tellsLevels bool
	// partsNews means that this instance has news of parts that it has told no member.
	partsNews bool
	// lastAnswered is when the last exchange that a coordinator answered began.
	lastAnswered time.Time
	position     position
	// listGeneration counts how often the coordinator's list was to be compared anew, and
	// askedGeneration is its value at the last request.
	listGeneration  uint64
	askedGeneration uint64
	// minTerm is the least term whose coordinator may still coordinate: those of the
	// terms before it are known to have been replaced, and their answers are ignored.
	minTerm uint64
	// askAgainAt is when to ask the coordinator for all upstreams, since one that it lists
	// was not believed until then; zero if there is none.
	askAgainAt time.Time
	leaving    bool
	// releaseLater means that this instance leaves and releases the lease when the store
	// answers.
	releaseLater bool
	// catalogBehind means that the coordinator has a newer catalog.
	catalogBehind bool
	// coordinatorCatalog is the version of the coordinator's catalog.
	coordinatorCatalog uint64
	// needDocument means that this instance could not read the newer catalog from
	// the platform and asks the coordinator for it.
	needDocument bool
	viewChanged  bool
	// changes are those of upstreams that are not logged yet.
	changes []upstreamChange
	ctx     context.Context
}

// position is how much of a coordinator's state an instance has received.
type position struct {
	// coordinator is the coordinator's sync address.
	coordinator string
	term        uint64
	change      uint64
	// comparison is how far the lists of upstreams are compared, while term is 0.
	comparison listComparison
	// members is the version of the member list.
	members uint64
	// stale means that the coordinator's data from the platform is too old.
	stale bool
}

// New returns a loop that has not started.
func New(options Options) *Loop {
	l := &Loop{
		options: options, logger: options.Logger, events: make(chan func(time.Time), eventQueueSize), views: newViewStore(),
		state: &controlState{upstreams: make(map[cardamom.UpstreamID]*site.Upstream), storeConcurrency: make(map[cardamom.ServiceID]plan.StoreConcurrency), removals: make(map[cardamom.UpstreamID]removal), restored: newRestoration(), history: origin.NewHistory(), ledger: options.Ledger},
		lease: lease.New(options.ID, options.LeaseDuration), peers: newPeers(), credits: newCredits(clock.Now()), ctx: context.Background(),
	}
	l.origins, l.schedulers = newOriginTeller(l), newSchedulers()
	options.Demand.OnStart(l.requestStarted)
	options.Parts.OnChange(l.partsChanged)
	options.Ledger.OnChange(l.suspectsChanged)
	options.Notices.OnLeave(l.leaveNoticed)
	options.Notices.OnWait(l.waitNoticed)
	return l
}

// View returns the current view.
func (l *Loop) View() *View { return l.views.current.Load() }

// Run runs the control goroutine until ctx ends.
func (l *Loop) Run(ctx context.Context) error {
	l.ctx = ctx
	l.noCoordinatorSince = clock.Now()
	go l.origins.run(ctx)
	go l.followCatalog(ctx)
	go l.followUpstreams(ctx)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case event := <-l.events:
			event(clock.Now())
			l.drain()
		case <-timer.C:
		}
		wait := l.step(clock.Now())
		if !timer.Stop() {
			select {
			case <-timer.C:
			default:
			}
		}
		timer.Reset(wait)
	}
}

// drain handles all queued events, so that a single step follows them.
func (l *Loop) drain() {
	for {
		select {
		case event := <-l.events:
			event(clock.Now())
		default:
			return
		}
	}
}

// post queues an event for the control goroutine.
func (l *Loop) post(event func(now time.Time)) {
	select {
	case l.events <- event:
	case <-l.ctx.Done():
	}
}

// step does what is due and returns the time until the next step.
func (l *Loop) step(now time.Time) time.Duration {
	l.credits.stepped(now)
	l.stepLease(now)
	l.stepExchange(now)
	l.tellMembers(now)
	l.stepOrigins(now)
	l.options.Parts.AllowTrials(l.term != nil)
	wait := tickInterval
	if t := l.term; t != nil {
		if now.Sub(t.lastStep) >= pendingTickInterval {
			t.lastStep = now
			t.pending = l.stepTerm(now)
		}
		if t.pending {
			wait = pendingTickInterval
		}
	}
	if l.reportSoon {
		wait = min(wait, l.timing().earlyExchangeInterval())
	}
	l.logChanges()
	l.credits.setCoordinator(l.reachableCoordinator(now), l.timing().exchangeInterval())
	if l.viewChanged {
		l.viewChanged = false
		view := l.state.view()
		view.coordinates = l.term != nil
		l.views.current.Store(view)
	}
	return wait
}

// setCatalog replaces the catalog if the given one is newer.
func (l *Loop) setCatalog(document []byte, catalog *site.Catalog, origin string) {
	known := l.state.catalog
	if known != nil && catalog.Version() <= known.Version() {
		return
	}
	l.state.catalog, l.state.document, l.state.packed = catalog, document, nil
	l.viewChanged = true
	l.logger.Info("catalog_changed", "version", catalog.Version(), "origin", origin)
	l.allowStreams(catalog)
	if l.term != nil {
		l.term.setCatalog(catalog)
	}
}

// allowStreams records for how long the catalog lets streams last that callers may take up.
func (l *Loop) allowStreams(catalog *site.Catalog) {
	for _, route := range catalog.Routes() {
		if route.Kind != site.Streaming || !route.Resumable {
			continue
		}
		l.options.Origins.Allow(route.Timeout)
		for _, share := range route.Shares {
			l.state.history.Allow(share.Service, route.Timeout)
		}
	}
}

// setUpstream adds or updates an upstream.
func (l *Loop) setUpstream(upstream *site.Upstream, origin string) {
	known, ok := l.state.upstreams[upstream.ID]
	if ok && known.StartedMs == upstream.StartedMs && known.State == cardamom.Leaving && upstream.State == cardamom.Live {
		// A leaving upstream is not live again in the same run: this data is older.
		return
	}
	if !ok || known.State != upstream.State || known.Version != upstream.Version {
		l.changes = append(l.changes, upstreamChange{upstream, origin})
	}
	l.state.upstreams[upstream.ID] = upstream
	l.state.history.See(upstream.Service, upstream.Version, clock.Now())
	l.viewChanged = true
}

// removeUpstream removes an upstream that is no longer listed.
func (l *Loop) removeUpstream(id cardamom.UpstreamID, origin string) {
	if known, ok := l.state.upstreams[id]; ok {
		read := origin == "platform"
		if read {
			l.state.recordRemoval(known, l.state.upstreamsConfirmed)
		}
		l.state.restored.recordRemoval(known, read, l.state.upstreamsConfirmed)
		delete(l.state.upstreams, id)
		l.viewChanged = true
		l.logger.Info("upstream_gone", "upstream", id, "origin", origin)
	}
}
