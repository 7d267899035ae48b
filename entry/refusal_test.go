package entry_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hashicorp/go-hclog"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/admit"
	"cardamomcourse.example/cardamom/cells"
	"cardamomcourse.example/cardamom/claim"
	"cardamomcourse.example/cardamom/engine"
	"cardamomcourse.example/cardamom/entry"
	"cardamomcourse.example/cardamom/poison"
	"cardamomcourse.example/cardamom/policy"
	"cardamomcourse.example/cardamom/route"
	"cardamomcourse.example/cardamom/trace"
)

const (
	testMaxBody  = 2000
	testDocument = `{
		"profiles": {"p": {"replicas": 1}},
		"services": {"s": {"kind": "models", "places": ["x"], "runner_memory_mb": 100}, "a": {"kind": "plain", "places": ["x"], "profile": "p"}},
		"models": {"m": {"service": "s", "profile": "p", "memory_mb": 10, "checkpoint_mb": 10}}
	}`
)

// localClaims is a fake claim client that keeps all claims in one shard in memory.
type localClaims struct {
	shard *claim.Shard
}

func (c *localClaims) Ask(_ context.Context, ask claim.GrantRequest) claim.Answer {
	return c.shard.Ask(ask, testNow)
}

func (c *localClaims) Settle(_ context.Context, settle claim.Settlement) bool {
	c.shard.Settle(settle, testNow)
	return true
}

// restartedReporter reports an incarnation other than that of the replica in
// useUpstream, as if every upstream had died and restarted.
type restartedReporter struct{}

func (restartedReporter) Report(context.Context, string) (*engine.Report, error) {
	return &engine.Report{Incarnation: 99}, nil
}

// harness runs an entry server for one model, m of service s, which has at most
// one replica. s/x/0 is the model's cell: cell 0 of the service in data centre x.
type harness struct {
	views      *route.ViewStore
	controller *admit.Controller
	ledger     *poison.Ledger
	server     *httptest.Server
}

func newHarness() *harness { return newHarnessFor(testMaxBody) }

// newHarnessFor returns a harness whose server accepts bodies up to maxBody bytes.
func newHarnessFor(maxBody int64) *harness {
	document, err := policy.Parse("test", []byte(testDocument))
	Expect(err).NotTo(HaveOccurred())
	tracer, err := trace.New(trace.Options{})
	Expect(err).NotTo(HaveOccurred())
	self := cardamom.Instance{ID: "i", DataCentre: "x"}
	h := &harness{views: route.NewViewStore(self), controller: admit.New(admit.Deadline(), 1<<20, func(cardamom.CellID) {}), ledger: poison.New()}
	h.views.Store(&route.View{
		Self: self, Published: policy.NewPublished(1, document, nil, "", ""),
		FollowedCells: map[cardamom.CellID]map[cardamom.ModelID][]cells.Replica{"s/x/0": {}},
	})
	server := entry.New(entry.Options{
		Self: self, MaxBodyBytes: maxBody, Views: h.views, Admission: h.controller, Claims: &localClaims{shard: claim.NewShard(claimRetention)},
		Reporter: restartedReporter{}, Ledger: h.ledger, Tracer: tracer, Metrics: entry.NewMetrics(nil), Logger: hclog.NewNullLogger(),
	})
	h.server = httptest.NewServer(server.Handler())
	DeferCleanup(h.server.Close)
	return h
}

// useUpstream makes the upstream the only replica of the model.
func (h *harness) useUpstream(upstream http.Handler) {
	server := httptest.NewServer(upstream)
	DeferCleanup(server.Close)
	h.useAddress(server.Listener.Addr().String())
}

// useAddress makes an address that of the only replica of the model and of the only upstream of
// the plain service.
func (h *harness) useAddress(address string) {
	view := *h.views.Load()
	view.Plain = map[cardamom.ServiceID][]cardamom.Upstream{"a": {{ID: "a-1", Service: "a", Address: address, State: cardamom.Live}}}
	h.views.Store(&view)
	h.controller.Update("s/x/0", map[cardamom.ModelID][]cells.Replica{"m": {{
		ReplicaKey: cells.ReplicaKey{Model: "m", Upstream: "u"}, Address: address,
		State: cells.ReplicaReady, Slots: 4, Incarnation: 1,
	}}}, testNow)
}

func (h *harness) do(method, path, body string, header ...string) *http.Response {
	request, err := http.NewRequest(method, h.server.URL+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	response, err := http.DefaultTransport.RoundTrip(request)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(response.Body.Close)
	return response
}

type refusalWire struct {
	Error struct {
		Type    string `json:"type"`
		Outcome string `json:"outcome"`
	} `json:"error"`
}

var _ = Describe("a refused request", func() {
	file, err := os.Open("testdata/refusals.txt")
	if err != nil {
		panic(err)
	}
	defer file.Close()
	scanner := bufio.NewScanner(file)
	for scanner.Scan() {
		line := scanner.Text()
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		It(line, func() {
			// The fields are: method and path, header, body, and the expected
			// status, reason and outcome.
			fields := strings.Split(line, "|")
			for i := range fields {
				fields[i] = strings.TrimSpace(fields[i])
			}
			method, path, _ := strings.Cut(fields[0], " ")
			body := fields[2]
			// OVERSIZE stands for a body one byte longer than allowed.
			if body == "OVERSIZE" {
				body = strings.Repeat("x", testMaxBody+1)
			}
			var header []string
			if name, value, ok := strings.Cut(fields[1], ": "); ok {
				header = []string{name, value}
			}
			response := newHarness().do(method, path, body, header...)
			var wire refusalWire
			Expect(json.NewDecoder(response.Body).Decode(&wire)).To(Succeed())
			got := fmt.Sprintf("%d %s %s", response.StatusCode, wire.Error.Type, wire.Error.Outcome)
			Expect(got).To(Equal(fields[3]))
			Expect(response.Header.Get(cardamom.OutcomeHeader)).To(Equal(wire.Error.Outcome))
		})
	}
})
