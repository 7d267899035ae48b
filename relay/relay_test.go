package relay_test

import (
	"context"
	_ "embed"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/await"
	"cardamomcourse.example/cardamom/conns"
	"cardamomcourse.example/cardamom/coord"
	"cardamomcourse.example/cardamom/demand"
	"cardamomcourse.example/cardamom/fakes/host"
	"cardamomcourse.example/cardamom/health"
	"cardamomcourse.example/cardamom/pace"
	"cardamomcourse.example/cardamom/platform"
	"cardamomcourse.example/cardamom/poison"
	"cardamomcourse.example/cardamom/relay"
	"cardamomcourse.example/cardamom/retry"
	"cardamomcourse.example/cardamom/site"
	"cardamomcourse.example/cardamom/tally"
)

//go:embed testdata/outcomes.json
var outcomes []byte

func TestRelay(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "relay")
}

// outcome is how two upstreams treat a request and what its caller gets.
type outcome struct {
	Name string `json:"name"`
	Path string `json:"path"`
	// First and Second are the behaviours of the upstreams in order of use.
	Behaviours []host.Behaviour `json:"behaviours"`
	// Only means that there is one upstream instead of two.
	Only   bool `json:"only"`
	Status int  `json:"status"`
	// Body is the whole body, Cut that the response breaks off.
	Body string `json:"body"`
	Cut  bool   `json:"cut"`
	// Runs is how often the request ran on all upstreams.
	Runs int `json:"runs"`
	// Later tells whether the caller is told when to come back.
	Later bool `json:"later"`
}

// views is a view that does not change.
type views struct {
	view *coord.View
}

func (v views) View() *coord.View { return v.view }

// asker answers all needs alike.
type asker struct {
	prospect coord.Prospect
	doubts   chan []cardamom.UpstreamID
	calls    *atomic.Int32
}

func (a asker) Await(ctx context.Context, need coord.Need) coord.Prospect {
	a.calls.Add(1)
	select {
	case a.doubts <- need.Doubts:
	default:
	}
	if need.Hold > 0 {
		<-time.After(min(need.Hold, 20*time.Millisecond))
	}
	return a.prospect
}

// world is a relay before two upstreams that share a script of behaviours.
type world struct {
	engines []*host.Engine
	// doubts are those of the first call for a model.
	doubts chan []cardamom.UpstreamID
	// calls counts those calls.
	calls   atomic.Int32
	front   *httptest.Server
	closing context.CancelFunc
}

func newWorld(prospect coord.Prospect, names ...string) *world {
	w := &world{doubts: make(chan []cardamom.UpstreamID, 1)}
	var upstreams []*site.Upstream
	for _, id := range append([]string{"i-1"}, names...) {
		for _, service := range []string{"plain", "models"} {
			name := id + "-" + service
			engine := host.NewEngine(nil, host.EngineSpec{ID: name, Service: service, Models: []string{"m"}})
			w.engines = append(w.engines, engine)
			DeferCleanup(engine.Close)
			upstreams = append(upstreams, &site.Upstream{
				Upstream: cardamom.Upstream{ID: cardamom.UpstreamID(name), Service: cardamom.ServiceID(service), Address: engine.Address(), State: cardamom.Live},
				Slots:    4, Held: map[cardamom.ModelID][]string{"m": nil},
			})
		}
	}
	route := func(prefix string, kind site.Kind, service string, resumable bool) site.Route {
		return site.Route{
			Name: prefix, Host: "h.example", Prefix: prefix, Kind: kind, Shares: []site.Share{{Service: cardamom.ServiceID(service), Weight: 1}},
			Timeout: 20 * time.Second, Target: 500 * time.Millisecond, Attempts: 2, Resumable: resumable,
		}
	}
	models := &site.Engine{Models: map[cardamom.ModelID]site.Model{"m": {Name: "m"}, "cold": {Name: "cold"}}}
	catalog := site.NewCatalog(3, []site.Route{
		route("/safe/", site.Idempotent, "plain", false), route("/once/", site.NonIdempotent, "plain", false),
		route("/stream/", site.Streaming, "models", false), route("/resume/", site.Streaming, "models", true),
	}, []site.Service{{Name: "plain"}, {Name: "models", Engine: models}}, site.Limits{BodyBytes: 1000, HeaderBytes: 4000})
	closing, closeNow := context.WithCancel(context.Background())
	w.closing = closeNow
	DeferCleanup(closeNow)
	server := relay.New(relay.Options{
		Dialect: platform.Dialect{}, Views: views{coord.NewView(catalog, upstreams, nil)}, Desk: await.New(asker{prospect, w.doubts, &w.calls}),
		Pool: conns.New(nil), Demand: demand.New(), Health: health.New(), Pace: pace.New(),
		Budget: retry.New(retry.Limits{Ratio: 1, Window: 10 * time.Second, Slack: 100}), Ledger: poison.New(), Counts: tally.New(),
		Leaving: func() bool { return closing.Err() != nil }, Closing: closing, Logger: hclog.NewNullLogger(),
	})
	w.front = httptest.NewServer(server)
	DeferCleanup(w.front.Close)
	return w
}

// script gives the behaviours to whichever upstream is asked next.
func (w *world) script(behaviours []host.Behaviour) {
	for _, engine := range w.engines {
		engine.Share(&behaviours)
	}
}

func (w *world) runs() []host.Run {
	var runs []host.Run
	for _, engine := range w.engines {
		runs = append(runs, engine.Runs()...)
	}
	return runs
}

func (w *world) ask(path, model string, header map[string]string) *http.Request {
	request, err := http.NewRequest(http.MethodPost, w.front.URL+path, strings.NewReader("the body"))
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

var _ = Describe("the relay", func() {
	var cases []outcome
	if err := json.Unmarshal(outcomes, &cases); err != nil {
		panic(err)
	}
	for _, c := range cases {
		It(c.Name, func() {
			names := []string{"i-2"}
			if c.Only {
				names = nil
			}
			w := newWorld(coord.Prospect{}, names...)
			w.script(c.Behaviours)
			model := ""
			if strings.HasPrefix(c.Path, "/stream/") || strings.HasPrefix(c.Path, "/resume/") {
				model = "m"
			}
			response, err := http.DefaultClient.Do(w.ask(c.Path, model, nil))
			if c.Cut && err != nil {
				return
			}
			Expect(err).NotTo(HaveOccurred())
			defer response.Body.Close()
			body, err := io.ReadAll(response.Body)
			if c.Cut {
				Expect(err).To(HaveOccurred(), string(body))
			} else {
				Expect(err).NotTo(HaveOccurred())
			}
			Expect(response.StatusCode).To(Equal(c.Status), string(body))
			if c.Body != "" {
				Expect(string(body)).To(Equal(c.Body))
			}
			Expect(response.Header.Get("Retry-After") != "").To(Equal(c.Later))
			Expect(w.runs()).To(HaveLen(c.Runs))
		})
	}

	It("passes the request on unchanged, without what only the system may set", func() {
		w := newWorld(coord.Prospect{})
		response, err := http.DefaultClient.Do(w.ask("/once//a/../b?x=%2F", "", map[string]string{
			"Hold": "h", "Pin-Ms": "9", "Kv-From": "x", "Kv-Backup": "x", "Expect-Instance": "no", "Request-Priority": "0", "X-Own": "kept", "Connection": "X-Hop", "X-Hop": "1",
		}))
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		runs := w.runs()
		Expect(runs).To(HaveLen(1))
		Expect(runs[0].Target).To(Equal("/once//a/../b?x=%2F"))
		Expect(runs[0].Body).To(Equal("the body"))
		for _, name := range []string{"Hold", "Pin-Ms", "Kv-From", "Kv-Backup", "X-Hop"} {
			Expect(runs[0].Header).NotTo(HaveKey(name))
		}
		Expect(runs[0].Header.Get("X-Own")).To(Equal("kept"))
		Expect(runs[0].Header.Get("Request-Id")).To(Equal("r-1"))
		Expect(runs[0].Header.Get("Expect-Instance")).To(HavePrefix("i-"))
		left := 0
		_, err = fmt.Sscan(runs[0].Header.Get("Deadline-Ms"), &left)
		Expect(err).NotTo(HaveOccurred())
		Expect(left).To(And(BeNumerically(">", 0), BeNumerically("<=", 20000)))
	})

	It("refuses at once what will be loaded too late, with the time to come back", func() {
		w := newWorld(coord.Prospect{Known: true, Expected: 6 * time.Second})
		response, err := http.DefaultClient.Do(w.ask("/stream/x", "cold", nil))
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(response.Header.Get("Retry-After")).To(HavePrefix("6."))
		Expect(w.runs()).To(BeEmpty())
	})

	It("doubts the only engine with the model when it can not be reached, and refuses with the time of the load elsewhere", func() {
		w := newWorld(coord.Prospect{Known: true, Expected: 6 * time.Second})
		for _, engine := range w.engines {
			engine.Close()
		}
		response, err := http.DefaultClient.Do(w.ask("/stream/x", "m", nil))
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(response.Header.Get("Retry-After")).To(HavePrefix("6."))
		Expect(w.doubts).To(Receive(Equal([]cardamom.UpstreamID{"i-1-models"})))
	})

	It("tries a doubted engine again once the coordinator vouches for it", func() {
		w := newWorld(coord.Prospect{Known: true, Ready: true})
		for _, engine := range w.engines {
			engine.Close()
		}
		response, err := http.DefaultClient.Do(w.ask("/stream/x", "m", nil))
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(response.Header.Get("Retry-After")).To(HavePrefix("0."))
		Expect(w.doubts).To(Receive(Not(BeEmpty())))
		// Between the three sends that a request has.
		Expect(w.calls.Load()).To(BeEquivalentTo(2))
	})

	It("does not ask without a pause while the coordinator names engines that are not known here", func() {
		w := newWorld(coord.Prospect{Known: true, Ready: true})
		response, err := http.DefaultClient.Do(w.ask("/stream/x", "cold", nil))
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
		// A pause of 25 ms leaves at most 110 calls to the 2.75 s that it waits.
		Expect(w.calls.Load()).To(BeNumerically("<=", 120))
	})

	It("refuses what waits for a model when the instance closes", func() {
		w := newWorld(coord.Prospect{Known: true, Expected: time.Second})
		status := make(chan int, 1)
		go func() {
			defer GinkgoRecover()
			response, err := http.DefaultClient.Do(w.ask("/stream/x", "cold", nil))
			Expect(err).NotTo(HaveOccurred())
			defer response.Body.Close()
			status <- response.StatusCode
		}()
		Consistently(status, 200*time.Millisecond).ShouldNot(Receive())
		w.closing()
		Eventually(status, 10*time.Second).Should(Receive(Equal(http.StatusServiceUnavailable)))
		Expect(w.runs()).To(BeEmpty())
	})

	It("closes the upstream's request when its caller leaves", func() {
		w := newWorld(coord.Prospect{})
		w.script([]host.Behaviour{host.Hang})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() {
			_, err := http.DefaultClient.Do(w.ask("/safe/x", "", nil).WithContext(ctx))
			done <- err
		}()
		Eventually(w.runs, 10*time.Second).Should(HaveLen(1))
		cancel()
		Eventually(done, 10*time.Second).Should(Receive(HaveOccurred()))
		Eventually(func() int {
			left := 0
			for _, engine := range w.engines {
				left += engine.Left()
			}
			return left
		}, 10*time.Second).Should(Equal(1))
	})

	It("answers 404 for what no route matches, 413 and 431 for what is too large", func() {
		w := newWorld(coord.Prospect{})
		response, err := http.DefaultClient.Do(w.ask("/nowhere/x", "", nil))
		Expect(err).NotTo(HaveOccurred())
		response.Body.Close()
		Expect(response.StatusCode).To(Equal(http.StatusNotFound))
		large := w.ask("/safe/x", "", nil)
		large.Body, large.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", 2000))), 2000
		response, err = http.DefaultClient.Do(large)
		Expect(err).NotTo(HaveOccurred())
		response.Body.Close()
		Expect(response.StatusCode).To(Equal(http.StatusRequestEntityTooLarge))
		response, err = http.DefaultClient.Do(w.ask("/safe/x", "", map[string]string{"X-Long": strings.Repeat("x", 5000)}))
		Expect(err).NotTo(HaveOccurred())
		response.Body.Close()
		Expect(response.StatusCode).To(Equal(http.StatusRequestHeaderFieldsTooLarge))
		Expect(w.runs()).To(BeEmpty())
	})
})
