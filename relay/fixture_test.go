package relay_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/await"
	"cardamomcourse.example/cardamom/clock"
	"cardamomcourse.example/cardamom/conns"
	"cardamomcourse.example/cardamom/coord"
	"cardamomcourse.example/cardamom/demand"
	"cardamomcourse.example/cardamom/fakes/host"
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
	"cardamomcourse.example/cardamom/site"
)

// grantInterval is the time between two looks for trials that are asked for.
const grantInterval = 50 * time.Millisecond

// views returns a view that changes only if the test does it.
type views struct {
	view atomic.Pointer[coord.View]
}

func (v *views) View() *coord.View { return v.view.Load() }

// coordinator returns the same result for every need.
type coordinator struct {
	result    coord.AwaitResult
	suspected chan []cardamom.UpstreamID
	calls     *atomic.Int32
}

func (c coordinator) Await(ctx context.Context, need coord.Need) coord.AwaitResult {
	c.calls.Add(1)
	select {
	case c.suspected <- need.Unreachable:
	default:
	}
	if need.CallTimeout > 0 {
		<-time.After(min(need.CallTimeout, 20*time.Millisecond))
	}
	return c.result
}

// origins knows the streams that began at this instance.
type origins struct {
	book *origin.Book
	// began is called when a stream begins or goes on, unless it is nil.
	began func()
}

func (o *origins) StreamBegan(service cardamom.ServiceID, request string, began origin.Origin) {
	o.book.Begin(origin.NewStream(service, request), began, clock.Now())
	if o.began != nil {
		o.began()
	}
}

func (o *origins) StreamOrigin(_ context.Context, service cardamom.ServiceID, request string) (origin.Origin, origin.Knowledge) {
	return o.book.Find(origin.NewStream(service, request), clock.Now())
}

// fixture is a relay in front of upstreams that share a script of behaviours.
type fixture struct {
	engines []*host.Upstream
	// suspected are the suspected upstreams of the first call for a model.
	suspected chan []cardamom.UpstreamID
	// calls counts the calls for a model.
	calls atomic.Int32
	// permits grants the permits for upstreams with a rate limit.
	permits *permits
	// lenders lend credit of the retry budget.
	lenders *lenders
	// credits decides on the quotas of organisations.
	credits *credits
	origins *origins
	memory  *memory.Account
	reach   *reach.Tracker
	ledger  *poison.Ledger
	relay   *relay.Server
	pool    *conns.Pool
	views   *views
	catalog *site.Catalog
	// upstreams are those of the first view.
	upstreams []*site.Upstream
	server    *httptest.Server
	closing   context.CancelFunc
	ending    context.CancelFunc
}

func newFixture(result coord.AwaitResult, names ...string) *fixture {
	w := &fixture{memory: memory.New(fixtureMemory), suspected: make(chan []cardamom.UpstreamID, 1), permits: &permits{}, lenders: &lenders{}, credits: &credits{}, origins: &origins{book: origin.NewBook()}, reach: reach.New(), ledger: poison.New(), pool: conns.New(nil), views: &views{}}
	var upstreams []*site.Upstream
	for _, id := range append([]string{"i-1"}, names...) {
		for _, service := range []string{"plain", "models"} {
			name := id + "-" + service
			engine := host.NewUpstream(nil, host.UpstreamSpec{ID: name, Service: service, Models: []string{"m"}})
			w.engines = append(w.engines, engine)
			DeferCleanup(engine.Close)
			upstreams = append(upstreams, &site.Upstream{
				Upstream: cardamom.Upstream{ID: cardamom.UpstreamID(name), Service: cardamom.ServiceID(service), Address: engine.Address(), State: cardamom.Live},
				Version:  "v1", Slots: 4, Loaded: map[cardamom.ModelID][]string{"m": nil},
			})
		}
	}
	route := func(prefix string, kind site.Kind, service string, resumable bool) site.Route {
		return site.Route{
			Name: prefix, Host: "h.example", Prefix: prefix, Kind: kind, Shares: []site.Share{{Service: cardamom.ServiceID(service), Weight: 1}},
			Timeout: 20 * time.Second, TargetLatency: 500 * time.Millisecond, MaxAttempts: 2, Resumable: resumable,
		}
	}
	models := &site.EngineSpec{Models: map[cardamom.ModelID]site.Model{"m": {Name: "m"}, "cold": {Name: "cold"}}}
	catalog := site.NewCatalog(3, []site.Route{
		route("/safe/", site.Idempotent, "plain", false), route("/once/", site.NonIdempotent, "plain", false),
		route("/stream/", site.Streaming, "models", false), route("/resume/", site.Streaming, "models", true),
	}, []site.Service{{Name: "plain"}, {Name: "models", Engine: models}}, site.Limits{BodyBytes: 1000, HeaderBytes: 4000})
	w.catalog, w.upstreams = catalog, upstreams
	w.views.view.Store(coord.NewView(catalog, upstreams, nil))
	closing, closeNow := context.WithCancel(context.Background())
	w.closing = closeNow
	DeferCleanup(closeNow)
	ending, endNow := context.WithCancel(context.Background())
	w.ending = endNow
	DeferCleanup(endNow)
	server := relay.New(relay.Options{
		Instance: "front-1", Dialect: platform.Dialect{}, Views: w.views, Waiters: await.New(coordinator{result, w.suspected, &w.calls}),
		Pool: w.pool, Demand: demand.New(), Health: health.New(), Pace: pace.New(),
		Memory: w.memory, Budget: retry.New(retry.Limits{Ratio: 20, Window: 10 * time.Second, Slack: 100}, 0), Ledger: w.ledger, Parts: poison.NewParts(), Limits: quota.NewBook(), Notices: notice.NewBook(), Permits: w.permits, Lenders: w.lenders, Credits: w.credits, KeyMaxAge: 5 * time.Second, ConfigurationInForce: 3 * time.Second, Alone: quota.NewShare(func() float64 { return 0 }), Origins: w.origins, Reach: w.reach, Peers: conns.New(nil), Metrics: metric.New(),
		Leaving: func() bool { return closing.Err() != nil }, Closing: closing, Ending: ending, Logger: hclog.NewNullLogger(),
	})
	w.relay = server
	w.server = httptest.NewServer(server)
	DeferCleanup(w.server.Close)
	return w
}

// grantTrials grants the trials that are asked for, as a coordinator does.
func (w *fixture) grantTrials() {
	ticker := time.NewTicker(grantInterval)
	done := make(chan struct{})
	DeferCleanup(func() { close(done) })
	go func() {
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
			case <-done:
				return
			}
			now := time.Now()
			for _, suspect := range w.ledger.Suspects(now) {
				if suspect.Wanted() {
					w.ledger.Merge([]poison.Suspect{suspect.Granting(w.ledger.Grant(suspect.Fingerprint(), now))}, now)
				}
			}
		}
	}()
}

// setTimeout makes the view's catalog have streams with a timeout of their route.
func (w *fixture) setTimeout(timeout time.Duration) {
	route, ok := w.catalog.Match("h.example", "/stream/")
	Expect(ok).To(BeTrue())
	copied := *route
	copied.Timeout = timeout
	services := []site.Service{{Name: "models", Engine: &site.EngineSpec{Models: map[cardamom.ModelID]site.Model{"m": {Name: "m"}}}}}
	w.views.view.Store(coord.NewView(site.NewCatalog(w.catalog.Version()+1, []site.Route{copied}, services, w.catalog.Limits()), w.upstreams, nil))
}

// setTargetGap makes the view's catalog have streams with a target gap, whose events hold so
// many tokens.
func (w *fixture) setTargetGap(gap time.Duration, eventTokens int) {
	route, ok := w.catalog.Match("h.example", "/stream/")
	Expect(ok).To(BeTrue())
	copied := *route
	copied.TargetGap = gap
	engine := &site.EngineSpec{EventTokens: eventTokens, Models: map[cardamom.ModelID]site.Model{"m": {Name: "m"}}}
	catalog := site.NewCatalog(w.catalog.Version()+1, []site.Route{copied}, []site.Service{{Name: "models", Engine: engine}}, w.catalog.Limits())
	w.views.view.Store(coord.NewView(catalog, w.upstreams, nil))
}

// leave makes the view list an upstream as leaving.
func (w *fixture) leave(id cardamom.UpstreamID) {
	var upstreams []*site.Upstream
	for _, upstream := range w.upstreams {
		if upstream.ID == id {
			leaving := *upstream
			leaving.State = cardamom.Leaving
			upstream = &leaving
		}
		upstreams = append(upstreams, upstream)
	}
	w.views.view.Store(coord.NewView(w.catalog, upstreams, nil))
}

// script sets the behaviours; each request takes the next one, at any upstream.
func (w *fixture) script(behaviours []host.Behaviour) {
	for _, engine := range w.engines {
		engine.ShareScript(&behaviours)
	}
}

func (w *fixture) runs() []host.Run {
	var runs []host.Run
	for _, engine := range w.engines {
		runs = append(runs, engine.Runs()...)
	}
	return runs
}

func (w *fixture) newRequest(path, model string, header map[string]string) *http.Request {
	request, err := http.NewRequest(http.MethodPost, w.server.URL+path, strings.NewReader("the body"))
	Expect(err).NotTo(HaveOccurred())
	request.Host = "h.example"
	request.Header.Set("Request-Id", "r-1")
	request.Header.Set("Deadline-Ms", "20000")
	if model != "" {
		request.Header.Set("Model", model)
	}
	for name, value := range header {
		request.Header.Set(name, value)
	}
	return request
}

// listenWith starts an upstream that handles each connection with serve, and returns its address.
func listenWith(serve func(net.Conn)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return listener.Addr().String()
}
