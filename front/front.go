// Package front assembles an instance of the reverse proxy for the upstreams (back
// ends) of the users' platform: the relay, which passes on requests, the control
// loop, the HTTP servers and their supervisor.
//
// Callers are programs that send requests. The platform's store publishes the
// catalog: the routes, services, models and limits of the deployment. One instance,
// the coordinator, holds the lease in that store and plans which models the engines
// (model servers) load. A request that crashes upstreams is called poison.
//
// # Usage
//
//	settings, err := front.Load("cardfront.jsonc")
//	instance, err := front.Build(settings, logger)
//	err = instance.Run(ctx) // serves until ctx ends, then drains
package front

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"
	"github.com/thejerf/suture/v4"

	"cardamomcourse.example/cardamom/clock"
	"cardamomcourse.example/cardamom/conns"
	"cardamomcourse.example/cardamom/coord"
	"cardamomcourse.example/cardamom/memory"
	"cardamomcourse.example/cardamom/metric"
	"cardamomcourse.example/cardamom/notice"
	"cardamomcourse.example/cardamom/origin"
	"cardamomcourse.example/cardamom/platform"
	"cardamomcourse.example/cardamom/poison"
	"cardamomcourse.example/cardamom/quota"
	"cardamomcourse.example/cardamom/reach"
	"cardamomcourse.example/cardamom/relay"
	"cardamomcourse.example/cardamom/sleep"
	"cardamomcourse.example/cardamom/syncpb"
)

const (
	// headerTimeout bounds reading the headers of a request. Where the catalog sets a shorter
	// time for callers, that applies from the first byte on.
	headerTimeout = 10 * time.Second
	// idleTimeout is the longest time that an idle connection to the entry, ready,
	// addresses or metrics server is kept open. The catalog may set a shorter time
	// for entry connections.
	idleTimeout = time.Minute
	// maxHeaderBytes bounds the size in bytes of a request's headers.
	maxHeaderBytes = 64 << 10
	// maxSyncBytes bounds the size in bytes of another instance's call.
	maxSyncBytes = 16 << 20
	// maxAddresses bounds the number of addresses in an answer to callers.
	maxAddresses = 64
	// acceptPercent is the percentage of the grace time in which a leaving instance
	// still accepts requests, since some callers don't know another instance yet.
	// The rest is for the requests in flight. The grace time is the time that an
	// instance gets to shut down.
	acceptPercent = 34
	// maxAcceptTime bounds that time: callers look addresses up again within it, and what
	// comes later may be cut off at the end of the grace time.
	maxAcceptTime = 2800 * time.Millisecond
	// exitMargin is the time at the end of the grace time that is reserved for the
	// process to exit.
	exitMargin = 400 * time.Millisecond
	// answerMargin is the time before exitMargin in which the callers whose upstreams have
	// not answered get an answer of the instance.
	answerMargin = 200 * time.Millisecond
	// hoppedRecheck is the interval at which a leaving instance looks whether the requests of
	// other instances have ended.
	hoppedRecheck = 20 * time.Millisecond
	// leaveTimeout bounds the release of the coordinator's lease.
	leaveTimeout = time.Second
	// sweepInterval is the time between two sweeps, which close idle connections to
	// upstreams and from callers.
	sweepInterval = time.Second
	// failureDecaySeconds is the time over which the supervisor's failure count
	// decays.
	failureDecaySeconds = 30
)

// Instance is one instance of the proxy with its servers and control loop.
type Instance struct {
	settings    *Settings
	loop        *coord.Loop
	pool        *conns.Pool
	metrics     *metric.Tally
	limits      *quota.Book
	notices     *notice.Book
	origins     *origin.Book
	reach       *reach.Tracker
	scout       *reach.Scout
	relay       *relay.Server
	parts       *poison.Parts
	shutdown    *shutdownState
	logger      hclog.Logger
	servers     []*httpServer
	entryServer *http.Server
	idleConns   *idleConns
	callers     *callers
	account     *memory.Account
}

// shutdownState is how far the shutdown of the instance has come.
type shutdownState struct {
	// leaving is set when the shutdown begins.
	leaving atomic.Bool
	// accepting ends when the instance stops accepting requests, later in the
	// shutdown.
	accepting context.Context
	// stopAccepting ends accepting.
	stopAccepting context.CancelFunc
	// relaying ends when the instance no longer waits for upstreams, just before the end of
	// the shutdown.
	relaying context.Context
	// stopRelaying ends relaying.
	stopRelaying context.CancelFunc
}

func newShutdownState() *shutdownState {
	s := &shutdownState{}
	s.accepting, s.stopAccepting = context.WithCancel(context.Background())
	s.relaying, s.stopRelaying = context.WithCancel(context.Background())
	return s
}

// httpServer is one HTTP server with its listener. It implements suture.Service.
type httpServer struct {
	name     string
	server   *http.Server
	listener net.Listener
}

// Serve implements suture.Service.
func (s *httpServer) Serve(context.Context) error {
	err := s.server.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return suture.ErrDoNotRestart
	}
	return eris.Wrapf(err, "serve %s", s.name)
}

// New returns an instance; Run starts it.
func New(settings *Settings, loop *coord.Loop, pool *conns.Pool, entryHandler *relay.Server, parts *poison.Parts, limits *quota.Book, notices *notice.Book, origins *origin.Book, tracker *reach.Tracker, scout *reach.Scout, callers *callers, account *memory.Account, metrics *metric.Tally, shutdown *shutdownState, logger hclog.Logger) *Instance {
	i := &Instance{settings: settings, loop: loop, pool: pool, parts: parts, limits: limits, notices: notices, origins: origins, reach: tracker, scout: scout, relay: entryHandler, metrics: metrics, shutdown: shutdown, logger: logger, idleConns: newIdleConns(), callers: callers, account: account}
	i.entryServer = callers.bound(&http.Server{Handler: entryHandler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes, ConnState: i.idleConns.track})
	return i
}

// Reload applies the profiles and the sound parts of new settings. All other settings need
// a restart.
func (i *Instance) Reload(settings *Settings) {
	i.loop.SetProfiles(settings.profiles)
	i.parts.SetSound(settings.soundParts)
}

// registerGauges registers gauges that read the view of the control loop when the
// metrics are requested: the view is what the instance knows of the deployment.
func (i *Instance) registerGauges() {
	i.metrics.Gauge("catalog_version", func() float64 {
		if catalog := i.loop.View().Catalog(); catalog != nil {
			return float64(catalog.Version())
		}
		return 0
	})
	i.metrics.Gauge("upstreams_age_seconds", func() float64 { return clock.Now().Sub(i.loop.View().UpstreamsConfirmed()).Seconds() })
	i.metrics.Gauge("store_restores", func() float64 { return float64(i.loop.View().Restores()) })
	i.metrics.Gauge("members", func() float64 { return float64(len(i.loop.View().Members())) })
	i.metrics.Gauge("upstreams_limited", func() float64 { return float64(i.limits.InForce()) })
	i.metrics.Gauge("streams_known", func() float64 { return float64(i.origins.Len()) })
	i.metrics.Gauge("partitioned", func() float64 {
		if i.reach.Partitioned() {
			return 1
		}
		return 0
	})
	i.metrics.Gauge("upstreams_said_leaving", func() float64 { return float64(len(i.notices.Leaving())) })
	i.metrics.Gauge("upstreams_waiting", func() float64 { return float64(i.notices.Waiting(clock.Now())) })
	i.metrics.Gauge("parts_suspected", func() float64 { suspected, _ := i.parts.Counts(); return float64(suspected) })
	i.metrics.Gauge("parts_refused", func() float64 { _, refused := i.parts.Counts(); return float64(refused) })
	i.registerCallerGauges()
	i.metrics.Gauge("coordinates", func() float64 {
		if i.loop.View().Coordinates() {
			return 1
		}
		return 0
	})
}

// Run serves until ctx ends, then shuts down within the grace time.
func (i *Instance) Run(ctx context.Context) error {
	if err := i.listen(); err != nil {
		return err
	}
	i.registerGauges()
	runCtx, stop := context.WithCancel(context.Background())
	defer stop()
	tree := suture.New("instance", suture.Spec{FailureDecay: failureDecaySeconds, EventHook: i.logSupervisorEvent})
	tree.Add(loopService{i.loop})
	tree.Add(i.scout)
	for _, s := range i.servers {
		tree.Add(s)
	}
	done := tree.ServeBackground(runCtx)
	go func() {
		for sleep.For(runCtx, sweepInterval) {
			i.pool.Sweep(time.Now())
			i.relay.Peers.Sweep(time.Now())
			if catalog := i.loop.View().Catalog(); catalog != nil {
				i.idleConns.sweep(catalog.Limits().IdleTimeout, time.Now())
				i.callers.sweep(catalog.Limits().HeaderTimeout, time.Now())
			}
		}
	}()
	listen := i.settings.listen
	i.logger.Info("started", "instance", i.settings.instance, "data_centre", i.settings.dataCentre, "entry", listen.Entry, "sync", listen.Sync, "store", i.settings.store)
	<-ctx.Done()
	i.leave()
	stop()
	for _, s := range i.servers {
		_ = s.server.Close()
	}
	if err := <-done; err != nil && !errors.Is(err, context.Canceled) {
		i.logger.Error("supervisor_failed", "reason", err)
	}
	i.logger.Info("stopped", "instance", i.settings.instance)
	return nil
}

// loopService runs the control loop under the supervisor.
type loopService struct {
	loop *coord.Loop
}

// Serve implements suture.Service.
func (l loopService) Serve(ctx context.Context) error { return l.loop.Run(ctx) }

// logSupervisorEvent is the supervisor's event hook. It logs the events of the services
// that the supervisor runs, such as the failure of one.
func (i *Instance) logSupervisorEvent(event suture.Event) {
	i.logger.Warn("service_ended", "detail", event.String())
}

// listen opens a listener on each configured address. Run starts their servers.
func (i *Instance) listen() error {
	addresses := i.settings.listen
	syncMux := http.NewServeMux()
	syncHandler := syncpb.NewSyncServer(coord.NewServer(i.loop))
	syncMux.Handle(syncHandler.PathPrefix(), http.MaxBytesHandler(syncHandler, maxSyncBytes))
	endpoints := []struct {
		name    string
		address string
		server  *http.Server
		// forCallers means that callers connect to it.
		forCallers bool
	}{
		{"entry", addresses.Entry, i.entryServer, true},
		{"ready", addresses.Ready, i.pathServer(platform.ReadyPath, i.serveReady), false},
		{"addresses", addresses.Addresses, i.callers.bound(i.pathServer(platform.AddressPath, i.serveAddresses)), true},
		{"sync", addresses.Sync, &http.Server{Handler: i.withHops(syncMux), ReadHeaderTimeout: headerTimeout, ReadTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes}, false},
		{"metrics", addresses.Metrics, i.pathServer("/metrics", i.serveMetrics), false},
	}
	for _, endpoint := range endpoints {
		if endpoint.address == "" {
			continue
		}
		listener, err := net.Listen("tcp", endpoint.address)
		if err != nil {
			return eris.Wrapf(err, "listen for %s", endpoint.name)
		}
		if endpoint.forCallers {
			listener = callerListener{listener, i.callers}
		}
		i.servers = append(i.servers, &httpServer{name: endpoint.name, server: endpoint.server, listener: listener})
	}
	return nil
}

// withHops returns a handler of other instances' calls that also handles the requests that
// they can't send to upstreams themselves.
func (i *Instance) withHops(calls http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !relay.IsHopped(r) {
			calls.ServeHTTP(w, r)
			return
		}
		// The timeout for reading calls would end a long stream.
		_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
		i.relay.ServeHopped(w, r)
	})
}

// pathServer returns a server with one handler.
func (i *Instance) pathServer(path string, handler http.HandlerFunc) *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc(path, handler)
	return &http.Server{Handler: mux, ReadTimeout: headerTimeout, WriteTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
}

// serveReady handles readiness checks: 503 once the shutdown has begun or while no
// catalog is known, else 200.
func (i *Instance) serveReady(w http.ResponseWriter, _ *http.Request) {
	if i.shutdown.leaving.Load() || i.loop.View().Catalog() == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// serveAddresses handles requests for the entry addresses that callers connect to.
func (i *Instance) serveAddresses(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(platform.EncodeAddresses(i.entryAddresses(), i.settings.addressTTL))
}

// entryAddresses returns the entry addresses of instances that aren't leaving,
// at most maxAddresses of them, in random order. If there are none it returns
// this instance's own.
func (i *Instance) entryAddresses() []string {
	own := i.settings.listen.Entry
	var list []string
	if !i.shutdown.leaving.Load() {
		list = append(list, own)
	}
	for _, m := range i.loop.View().Members() {
		if !m.Leaving && m.EntryAddress != own {
			list = append(list, m.EntryAddress)
		}
	}
	if len(list) == 0 {
		list = append(list, own)
	}
	rand.Shuffle(len(list), func(a, b int) { list[a], list[b] = list[b], list[a] })
	return list[:min(len(list), maxAddresses)]
}

// serveMetrics handles requests for the metrics in text form.
func (i *Instance) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_ = i.metrics.Write(w)
}

// leave shuts the instance down within the grace time: it releases the coordinator's
// lease if this instance holds it, gives callers time to switch to other instances,
// stops accepting requests and waits for the requests in flight. Callers whose upstream has
// not answered by then are told so, rather than left with a closed connection.
func (i *Instance) leave() {
	began := time.Now()
	i.logger.Info("leaving", "instance", i.settings.instance, "grace_ms", i.settings.grace.Milliseconds())
	i.shutdown.leaving.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := i.loop.Leave(ctx); err != nil {
		i.logger.Warn("lease_not_released", "reason", err)
	}
	sleep.For(context.Background(), acceptTime(i.settings.grace)-time.Since(began))
	i.shutdown.stopAccepting()
	end := began.Add(i.settings.grace - exitMargin)
	if err := i.drain(end.Add(-answerMargin)); err != nil {
		i.logger.Warn("requests_unanswered", "reason", err)
	}
	i.shutdown.stopRelaying()
	if err := i.drain(end); err != nil {
		i.logger.Warn("requests_cut", "reason", err)
	}
}

// acceptTime returns how long an instance with the grace time still accepts requests once it
// leaves.
func acceptTime(grace time.Duration) time.Duration {
	return min(grace*acceptPercent/100, maxAcceptTime)
}

// drain waits until the requests in flight have ended, those of other instances too. It fails
// if they have not by a time.
func (i *Instance) drain(until time.Time) error {
	ctx, cancel := context.WithDeadline(context.Background(), until)
	defer cancel()
	if err := i.entryServer.Shutdown(ctx); err != nil {
		return eris.Wrap(err, "requests of callers are in flight")
	}
	for i.relay.Hopped() > 0 {
		if !sleep.For(ctx, hoppedRecheck) {
			return eris.Errorf("%d requests of other instances are in flight", i.relay.Hopped())
		}
	}
	return nil
}
