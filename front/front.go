// Package front assembles an instance that serves callers before the users'
// platform: the relay, the control loop, the servers and the supervisor tree
// above them.
//
// # Usage
//
//	settings, err := front.Load("cardfront.jsonc")
//	instance, err := front.Build(settings, logger)
//	err = instance.Run(ctx) // until ctx ends; then leaves and drains
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

	"cardamomcourse.example/cardamom/conns"
	"cardamomcourse.example/cardamom/coord"
	"cardamomcourse.example/cardamom/pause"
	"cardamomcourse.example/cardamom/platform"
	"cardamomcourse.example/cardamom/relay"
	"cardamomcourse.example/cardamom/steady"
	"cardamomcourse.example/cardamom/syncpb"
	"cardamomcourse.example/cardamom/tally"
)

const (
	// headerTimeout is how long a connection may take to send its headers.
	headerTimeout = 10 * time.Second
	// idleTimeout is how long an unused connection of a caller is kept.
	idleTimeout = time.Minute
	// maxHeader bounds the size in bytes of a request's headers.
	maxHeader = 64 << 10
	// maxAddresses is how many addresses callers are told at most.
	maxAddresses = 64
	// acceptShare is the part of the grace time, in percent, in which a leaving
	// instance still takes requests of callers that know no other yet. The rest
	// is for finishing them.
	acceptShare = 34
	// finishMargin is kept of the grace time for the end of the process.
	finishMargin = 400 * time.Millisecond
	// leaveTimeout bounds the hand-over of the lease.
	leaveTimeout = time.Second
	// sweepEvery is the time between two closings of idle connections.
	sweepEvery = time.Second
	// restartDecay is the time in seconds over which failures are forgotten.
	restartDecay = 30
)

// Instance is one instance.
type Instance struct {
	settings *Settings
	loop     *coord.Loop
	pool     *conns.Pool
	tally    *tally.Tally
	gate     *gate
	logger   hclog.Logger
	servers  []*service
	entry    *http.Server
	idlers   *idlers
}

// gate tells whether the instance is leaving, and whether it takes no further
// requests.
type gate struct {
	leaving atomic.Bool
	closing context.Context
	close   context.CancelFunc
}

func newGate() *gate {
	closing, cancel := context.WithCancel(context.Background())
	return &gate{closing: closing, close: cancel}
}

// service is one listening server. It implements suture.Service.
type service struct {
	name     string
	server   *http.Server
	listener net.Listener
}

// Serve implements suture.Service.
func (s *service) Serve(context.Context) error {
	err := s.server.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return suture.ErrDoNotRestart
	}
	return eris.Wrapf(err, "serve %s", s.name)
}

// New returns an instance that has not started.
func New(settings *Settings, loop *coord.Loop, pool *conns.Pool, server *relay.Server, counts *tally.Tally, g *gate, logger hclog.Logger) *Instance {
	i := &Instance{settings: settings, loop: loop, pool: pool, tally: counts, gate: g, logger: logger, idlers: newIdlers()}
	i.entry = &http.Server{Handler: server, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader, ConnState: i.idlers.note}
	return i
}

// Reload takes new settings as far as they can change while the instance runs:
// its profiles. Everything else needs a restart.
func (i *Instance) Reload(settings *Settings) { i.loop.SetProfiles(settings.profiles) }

// gauges publishes what the instance believes now.
func (i *Instance) gauges() {
	i.tally.Gauge("catalog_version", func() float64 {
		if catalog := i.loop.View().Catalog(); catalog != nil {
			return float64(catalog.Version())
		}
		return 0
	})
	i.tally.Gauge("upstreams_age_seconds", func() float64 { return steady.Now().Sub(i.loop.View().Learned()).Seconds() })
	i.tally.Gauge("members", func() float64 { return float64(len(i.loop.View().Members())) })
	i.tally.Gauge("coordinates", func() float64 {
		if i.loop.View().Coordinates() {
			return 1
		}
		return 0
	})
}

// Run serves until ctx ends, then leaves within the grace time.
func (i *Instance) Run(ctx context.Context) error {
	if err := i.listen(); err != nil {
		return err
	}
	i.gauges()
	runCtx, stop := context.WithCancel(context.Background())
	defer stop()
	tree := suture.New("instance", suture.Spec{FailureDecay: restartDecay, EventHook: i.note})
	tree.Add(loopService{i.loop})
	for _, s := range i.servers {
		tree.Add(s)
	}
	done := tree.ServeBackground(runCtx)
	go func() {
		for pause.For(runCtx, sweepEvery) {
			i.pool.Sweep(time.Now())
			if catalog := i.loop.View().Catalog(); catalog != nil {
				i.idlers.sweep(catalog.Limits().IdleTimeout, time.Now())
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

// loopService runs the control loop below the supervisor.
type loopService struct {
	loop *coord.Loop
}

// Serve implements suture.Service.
func (l loopService) Serve(ctx context.Context) error { return l.loop.Run(ctx) }

// note logs what the supervisor reports.
func (i *Instance) note(event suture.Event) {
	i.logger.Warn("service_ended", "detail", event.String())
}

// listen opens all addresses.
func (i *Instance) listen() error {
	addresses := i.settings.listen
	sync := http.NewServeMux()
	server := syncpb.NewSyncServer(coord.NewServer(i.loop))
	sync.Handle(server.PathPrefix(), server)
	all := []struct {
		name    string
		address string
		server  *http.Server
	}{
		{"entry", addresses.Entry, i.entry},
		{"ready", addresses.Ready, i.small(platform.ReadyPath, i.ready)},
		{"addresses", addresses.Addresses, i.small(platform.AddressPath, i.addresses)},
		{"sync", addresses.Sync, &http.Server{Handler: sync, ReadHeaderTimeout: headerTimeout}},
		{"metrics", addresses.Metrics, i.small("/metrics", i.metrics)},
	}
	for _, entry := range all {
		if entry.address == "" {
			continue
		}
		listener, err := net.Listen("tcp", entry.address)
		if err != nil {
			return eris.Wrapf(err, "listen for %s", entry.name)
		}
		i.servers = append(i.servers, &service{name: entry.name, server: entry.server, listener: listener})
	}
	return nil
}

func (i *Instance) small(path string, handler http.HandlerFunc) *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc(path, handler)
	return &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
}

// ready answers whether the instance takes requests.
func (i *Instance) ready(w http.ResponseWriter, _ *http.Request) {
	if i.gate.leaving.Load() || i.loop.View().Catalog() == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// addresses answers where callers connect.
func (i *Instance) addresses(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(platform.EncodeAddresses(i.entryAddresses(), i.settings.ttl))
}

// entryAddresses returns the addresses of instances that take requests, at most
// maxAddresses of them, in random order.
func (i *Instance) entryAddresses() []string {
	own := i.settings.listen.Entry
	var list []string
	if !i.gate.leaving.Load() {
		list = append(list, own)
	}
	for _, m := range i.loop.View().Members() {
		if !m.Leaving && m.Entry != own {
			list = append(list, m.Entry)
		}
	}
	if len(list) == 0 {
		list = append(list, own)
	}
	rand.Shuffle(len(list), func(a, b int) { list[a], list[b] = list[b], list[a] })
	return list[:min(len(list), maxAddresses)]
}

// metrics writes all counters and histograms as text.
func (i *Instance) metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_ = i.tally.Write(w)
}

// leave hands the lease over, lets callers find other instances and finishes
// the requests in progress.
func (i *Instance) leave() {
	began := time.Now()
	i.logger.Info("leaving", "instance", i.settings.instance, "grace_ms", i.settings.grace.Milliseconds())
	i.gate.leaving.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := i.loop.Leave(ctx); err != nil {
		i.logger.Warn("lease_not_released", "reason", err)
	}
	pause.For(context.Background(), i.settings.grace*acceptShare/100-time.Since(began))
	i.gate.close()
	drainCtx, cancelDrain := context.WithTimeout(context.Background(), i.settings.grace-finishMargin-time.Since(began))
	defer cancelDrain()
	if err := i.entry.Shutdown(drainCtx); err != nil {
		i.logger.Warn("requests_cut", "reason", err)
	}
}
