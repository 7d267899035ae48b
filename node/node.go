// Package node assembles one instance of cardd: its control loop, its servers and
// their supervisor tree. An instance can have holds, which are leases on cells (sets
// of engines whose loads it then plans) or on shards of the claims.
//
// # Usage
//
//	settings, err := conf.Load("cardd.jsonc")
//	n, err := node.Build(settings, logger)
//	err = n.Run(ctx) // until ctx ends; then hands over and drains
package node

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"
	"github.com/thejerf/suture/v4"

	"cardamomcourse.example/cardamom/admit"
	"cardamomcourse.example/cardamom/certs"
	"cardamomcourse.example/cardamom/conf"
	"cardamomcourse.example/cardamom/ctrl"
	"cardamomcourse.example/cardamom/entry"
	"cardamomcourse.example/cardamom/link"
	"cardamomcourse.example/cardamom/trace"
)

const (
	// sweepInterval is the time between two checks for waiters that can no longer
	// finish in time.
	sweepInterval = 20 * time.Millisecond
	// headerTimeout is how long a client may take to send its headers.
	headerTimeout = 10 * time.Second
	// idleTimeout is how long an idle connection of a caller is kept open.
	idleTimeout = 2 * time.Minute
	// handoverTimeout bounds the handover of holds at a shutdown.
	handoverTimeout = 5 * time.Second
	// failureDecaySeconds is the decay time of the supervisor's failure count.
	failureDecaySeconds = 30
)

// Node is one instance.
type Node struct {
	settings  *conf.Settings
	loop      *ctrl.Loop
	admission *admit.Controller
	callers   *http.Server
	peers     *http.Server
	tracer    *trace.Tracer
	keeper    *certs.Keeper
	logger    hclog.Logger
	draining  atomic.Bool
}

// New returns an instance that has not started.
func New(settings *conf.Settings, loop *ctrl.Loop, admission *admit.Controller, callers *entry.Server, peers *link.Server, tracer *trace.Tracer, keeper *certs.Keeper, logger hclog.Logger) *Node {
	n := &Node{settings: settings, loop: loop, admission: admission, tracer: tracer, keeper: keeper, logger: logger}
	n.callers = &http.Server{Handler: n.closeWhenDraining(callers.Handler()), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	n.peers = &http.Server{Handler: link.Handler(peers), ReadHeaderTimeout: headerTimeout}
	return n
}

// closeWhenDraining asks callers to close their connections once the instance is
// leaving.
func (n *Node) closeWhenDraining(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// Run serves until ctx ends, then hands over the instance's holds, lets the
// requests in flight finish within the drain time and stops.
func (n *Node) Run(ctx context.Context) error {
	callerListener, err := net.Listen("tcp", n.settings.Instance().CallerAddress)
	if err != nil {
		return eris.Wrap(err, "listen for callers")
	}
	peerListener, err := net.Listen("tcp", n.settings.Instance().PeerAddress)
	if err != nil {
		_ = callerListener.Close()
		return eris.Wrap(err, "listen for peers")
	}
	if n.keeper != nil {
		peerListener = tls.NewListener(peerListener, n.keeper.ServerConfig())
	}
	runCtx, stop := context.WithCancel(context.Background())
	defer stop()
	done := n.supervisor(callerListener, peerListener).ServeBackground(runCtx)
	n.logger.Info("started", "callers", callerListener.Addr(), "peers", peerListener.Addr())
	<-ctx.Done()
	n.shutDown()
	stop()
	err = <-done
	_ = n.peers.Close()
	if closeErr := n.tracer.Close(context.Background()); closeErr != nil {
		n.logger.Warn("spans_lost", "error", closeErr)
	}
	n.logger.Info("stopped")
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return eris.Wrap(err, "supervisor")
}

// shutDown hands over the holds and drains the callers' requests.
func (n *Node) shutDown() {
	n.logger.Info("leaving")
	n.draining.Store(true)
	leaveCtx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
	defer cancel()
	if err := n.loop.Leave(leaveCtx); err != nil {
		n.logger.Warn("holds_not_handed_over", "error", err)
	}
	drainCtx, cancelDrain := context.WithTimeout(context.Background(), n.settings.DrainTimeout())
	defer cancelDrain()
	if err := n.callers.Shutdown(drainCtx); err != nil {
		waiting, running := n.admission.Counts()
		n.logger.Warn("requests_cut", "waiting", waiting, "running", running)
		_ = n.callers.Close()
	}
}

// supervisor returns the root of the supervisor tree: the control loop and the
// services that handle requests.
func (n *Node) supervisor(callers, peers net.Listener) *suture.Supervisor {
	spec := suture.Spec{FailureDecay: failureDecaySeconds, EventHook: n.logFailure}
	traffic := suture.New("traffic", spec)
	traffic.Add(&httpService{name: "callers", server: n.callers, listener: callers})
	traffic.Add(&httpService{name: "peers", server: n.peers, listener: peers})
	traffic.Add(&sweepService{admission: n.admission})
	root := suture.New("cardd", spec)
	root.Add(n.loop)
	root.Add(traffic)
	return root
}

func (n *Node) logFailure(event suture.Event) {
	n.logger.Error("service_failed", "detail", event.String())
}

// httpService runs an HTTP server under a supervisor.
type httpService struct {
	name     string
	server   *http.Server
	listener net.Listener
}

// String names the service for its supervisor.
func (s *httpService) String() string { return s.name }

// Serve implements suture.Service.
func (s *httpService) Serve(ctx context.Context) error {
	result := make(chan error, 1)
	go func() { result <- s.server.Serve(s.listener) }()
	select {
	case <-ctx.Done():
		return nil
	case err := <-result:
		if errors.Is(err, http.ErrServerClosed) {
			return suture.ErrDoNotRestart
		}
		return eris.Wrapf(err, "serve %s", s.name)
	}
}

// sweepService refuses the waiters that can no longer finish in time.
type sweepService struct {
	admission *admit.Controller
}

// String names the service for its supervisor.
func (s *sweepService) String() string { return "sweeper" }

// Serve implements suture.Service.
func (s *sweepService) Serve(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			s.admission.Sweep(now)
		}
	}
}
