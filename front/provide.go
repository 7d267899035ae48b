package front

import (
	"math/rand/v2"

	"github.com/google/wire"
	"github.com/hashicorp/go-hclog"

	"cardamomcourse.example/cardamom/await"
	"cardamomcourse.example/cardamom/conns"
	"cardamomcourse.example/cardamom/coord"
	"cardamomcourse.example/cardamom/demand"
	"cardamomcourse.example/cardamom/health"
	"cardamomcourse.example/cardamom/memory"
	"cardamomcourse.example/cardamom/metric"
	"cardamomcourse.example/cardamom/notice"
	"cardamomcourse.example/cardamom/origin"
	"cardamomcourse.example/cardamom/pace"
	"cardamomcourse.example/cardamom/platform"
	"cardamomcourse.example/cardamom/poison"
	"cardamomcourse.example/cardamom/quota"
	"cardamomcourse.example/cardamom/reach"
	"cardamomcourse.example/cardamom/relay"
	"cardamomcourse.example/cardamom/retry"
	"cardamomcourse.example/cardamom/sched"
)

// systemTable is the name of this proxy's own table in the platform's store.
const systemTable = "cardamom"

// Set is the Wire provider set of an instance.
var Set = wire.NewSet(
	provideStore, provideOptions, provideWaiters, providePool, provideRelay, provideBudget, provideParts, provideEngines, provideMemory, provideCallers, newScout,
	coord.New, demand.New, health.New, pace.New, poison.New, quota.NewBook, notice.NewBook, origin.NewBook, reach.New, metric.New, newShutdownState, New,
)

func provideStore(settings *Settings, logger hclog.Logger) *platform.Store {
	return platform.NewStore(settings.store, logger.Named("store"))
}

func provideOptions(settings *Settings, store *platform.Store, counter *demand.Counter, ledger *poison.Ledger, parts *poison.Parts, limits *quota.Book, notices *notice.Book, origins *origin.Book, tracker *reach.Tracker, budget *retry.Budget, engines *platform.EngineClient, logger hclog.Logger) coord.Options {
	return coord.Options{
		ID: settings.instance, EntryAddress: settings.listen.Entry, SyncAddress: settings.listen.Sync, Seeds: settings.seeds,
		LeaseDuration: settings.lease, Fenced: settings.fencingChecked, TakeoverDelay: settings.TakeoverDelay(), ListRate: settings.ListRate(), ChangeTime: settings.changeTime, Clock: store.Clock, Table: platform.NewTable(store, systemTable),
		Catalogs: platform.NewCatalogWatcher(store, logger), Upstreams: platform.NewUpstreamWatcher(store, logger), Engines: engines,
		Decode: platform.DecodeCatalog, Profiles: settings.profiles, Demand: counter, Ledger: ledger, Parts: parts, Limits: limits, Notices: notices, Origins: origins, Reach: tracker, Lender: budget, Books: sched.NewBooks(), Logger: logger.Named("coord"),
	}
}

func provideParts(settings *Settings) *poison.Parts {
	parts := poison.NewParts()
	parts.SetSound(settings.soundParts)
	return parts
}

func provideEngines(settings *Settings) *platform.EngineClient {
	return platform.NewEngineClient(settings.source)
}

func provideMemory(settings *Settings) *memory.Account { return memory.New(settings.callers.memory) }

func provideCallers(settings *Settings, account *memory.Account, metrics *metric.Tally) *callers {
	return newCallers(settings.callers, account, metrics)
}

func provideWaiters(loop *coord.Loop) *await.Waiters { return await.New(loop) }

func providePool(settings *Settings, metrics *metric.Tally) *conns.Pool {
	return conns.NewFrom(settings.source, func() { metrics.Add("upstream_connections_total", 1) })
}

func provideBudget(settings *Settings) *retry.Budget {
	return retry.New(settings.retries, rand.Float64())
}

func provideRelay(settings *Settings, loop *coord.Loop, waiters *await.Waiters, pool *conns.Pool, counter *demand.Counter, healthTracker *health.Tracker, paceTracker *pace.Tracker, budget *retry.Budget, ledger *poison.Ledger, parts *poison.Parts, limits *quota.Book, notices *notice.Book, tracker *reach.Tracker, account *memory.Account, metrics *metric.Tally, shutdown *shutdownState, logger hclog.Logger) *relay.Server {
	var schedulers relay.Schedulers
	if settings.scheduleShared {
		schedulers = loop
	}
	return relay.New(relay.Options{
		Instance: settings.instance, DataCentre: settings.dataCentre, Dialect: platform.Dialect{}, Views: loop, Waiters: waiters, Pool: pool, Demand: counter,
		BodyStall: settings.callers.bodyStall, Memory: account, Health: healthTracker, Pace: paceTracker, Budget: budget, Ledger: ledger, Parts: parts, Limits: limits, Notices: notices, Permits: loop, Lenders: loop, Schedulers: schedulers, ScheduleGapPerToken: settings.scheduleGapPerToken, Alone: quota.NewShare(rand.Float64), Origins: loop, Reach: tracker, Peers: conns.New(nil), Credits: loop, KeyMaxAge: settings.keyMaxAge, ConfigurationInForce: settings.configurationInForce, Metrics: metrics, Leaving: shutdown.leaving.Load, Closing: shutdown.accepting, Ending: shutdown.relaying, Logger: logger.Named("relay"),
	})
}
