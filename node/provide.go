package node

import (
	"time"

	"github.com/google/wire"
	"github.com/hashicorp/go-hclog"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/admit"
	"cardamomcourse.example/cardamom/certs"
	"cardamomcourse.example/cardamom/claim"
	"cardamomcourse.example/cardamom/conf"
	"cardamomcourse.example/cardamom/ctrl"
	"cardamomcourse.example/cardamom/engine"
	"cardamomcourse.example/cardamom/entry"
	"cardamomcourse.example/cardamom/link"
	"cardamomcourse.example/cardamom/poison"
	"cardamomcourse.example/cardamom/roster"
	"cardamomcourse.example/cardamom/route"
	"cardamomcourse.example/cardamom/table"
	"cardamomcourse.example/cardamom/trace"
)

// peerTimeout bounds one call to a peer.
const peerTimeout = 15 * time.Second

// Set is the Wire provider set of an instance.
var Set = wire.NewSet(
	provideIncarnation, provideStore, provideLister, provideEngines, provideDialer, provideKeeper, provideViews,
	provideAdmission, provideLoop, provideTracer, provideMetrics, provideEntry, provideLinkServer, provideLinkClaims,
	provideLedger, claim.NewRegistry, newLoopRef, New,
)

// loopRef refers to the control loop. The admission controller, which is built
// before the loop, passes it the demand through this reference.
type loopRef struct {
	loop *ctrl.Loop
}

func newLoopRef() *loopRef { return &loopRef{} }

func provideIncarnation() cardamom.Incarnation { return cardamom.Incarnation(time.Now().UnixNano()) }

func provideStore(settings *conf.Settings) table.Store {
	return table.NewHTTP(settings.TableAddress(), settings.TableTimeout())
}

func provideLister(settings *conf.Settings) ctrl.Lister {
	return roster.NewHTTP(settings.ListAddress(), settings.TableTimeout())
}

func provideEngines(settings *conf.Settings) *engine.HTTP {
	return engine.NewHTTP(settings.EngineTimeout())
}

func provideDialer(keeper *certs.Keeper) *link.Dialer { return link.NewDialer(peerTimeout, keeper) }

// provideKeeper returns nil if the settings switch TLS off.
func provideKeeper(settings *conf.Settings) (*certs.Keeper, error) {
	files := settings.TLS()
	if files.Off() {
		return nil, nil
	}
	return certs.Load(files.Certificate(), files.Key(), files.Authority())
}

func provideViews(settings *conf.Settings) *route.ViewStore {
	return route.NewViewStore(settings.Instance())
}

func provideAdmission(settings *conf.Settings, ref *loopRef) *admit.Controller {
	return admit.New(admit.PolicyByName(settings.Admission()), settings.QueueBytes(), func(cell cardamom.CellID) { ref.loop.NotifyDemand(cell) })
}

func provideLoop(
	settings *conf.Settings, incarnation cardamom.Incarnation, store table.Store, lister ctrl.Lister, engines *engine.HTTP,
	dialer *link.Dialer, admission *admit.Controller, views *route.ViewStore, ledger *poison.Ledger, claims *claim.Registry,
	logger hclog.Logger, ref *loopRef,
) *ctrl.Loop {
	ref.loop = ctrl.New(ctrl.Options{
		Settings: settings, Incarnation: incarnation, Store: store, Lister: lister, Engines: engines, Dialer: dialer,
		Admission: admission, Views: views, Ledger: ledger, Claims: claims, Logger: logger.Named("control"),
	}, time.Now())
	return ref.loop
}

func provideTracer(settings *conf.Settings) (*trace.Tracer, error) {
	return trace.New(trace.Options{
		URL: settings.TraceURL(), File: settings.TraceFile(), SampleRatio: settings.TraceSampleRatio(), Instance: string(settings.Instance().ID),
	})
}

func provideMetrics(admission *admit.Controller, views *route.ViewStore, dialer *link.Dialer, engines *engine.HTTP) *entry.Metrics {
	return entry.NewMetrics(map[string]func() any{
		"peer_bytes_sent":     func() any { return dialer.Meter().Sent() },
		"peer_bytes_received": func() any { return dialer.Meter().Received() },
		"engine_bytes":        func() any { return engines.Meter().Sent() + engines.Meter().Received() },
		"engine_reports":      func() any { return engines.Reports() },
		"waiting":             func() any { waiting, _ := admission.Counts(); return waiting },
		"running":             func() any { _, running := admission.Counts(); return running },
		"members":             func() any { return len(views.Load().Active) },
		"revision":            func() any { return revisionOf(views.Load()) },
	})
}

func revisionOf(view *route.View) uint64 {
	if view.Published == nil {
		return 0
	}
	return uint64(view.Published.Revision())
}

func provideLinkServer(settings *conf.Settings, loop *ctrl.Loop, claims *claim.Registry, views *route.ViewStore) *link.Server {
	return link.NewServer(loop, claims, views, settings.ClaimShards())
}

func provideLinkClaims(settings *conf.Settings, registry *claim.Registry, views *route.ViewStore, dialer *link.Dialer) *link.ClaimClient {
	return link.NewClaimClient(registry, views, dialer, settings.ClaimShards())
}

func provideEntry(
	settings *conf.Settings, incarnation cardamom.Incarnation, views *route.ViewStore, admission *admit.Controller, claims *link.ClaimClient,
	engines *engine.HTTP, ledger *poison.Ledger, tracer *trace.Tracer, metrics *entry.Metrics, logger hclog.Logger,
) *entry.Server {
	return entry.New(entry.Options{
		Self: settings.Instance(), Incarnation: incarnation, MaxBodyBytes: settings.MaxBody(), AddressTTL: settings.AddressTTL(),
		Views: views, Admission: admission, Claims: claims, Reporter: engines, Ledger: ledger, Tracer: tracer, Metrics: metrics,
		Logger: logger.Named("entry"),
	})
}

// provideLedger returns a ledger for instances without a coordinator.
func provideLedger() *poison.Ledger {
	ledger := poison.New()
	ledger.SetCautious(true)
	return ledger
}
