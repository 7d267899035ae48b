package relay_test

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/clock"
	"cardamomcourse.example/cardamom/coord"
	"cardamomcourse.example/cardamom/fakes/host"
	"cardamomcourse.example/cardamom/relay"
)

//go:embed testdata/hops.json
var hopScripts []byte

// peerAnswer is how another instance answers a request.
type peerAnswer struct {
	Status int `json:"status"`
	// Seal means that the answer is that of an upstream.
	Seal       bool   `json:"seal"`
	Body       string `json:"body"`
	RetryAfter string `json:"retry_after"`
	Break      bool   `json:"break"`
}

// hopScript is a request at an instance that is partitioned from all upstreams.
type hopScript struct {
	Name  string       `json:"name"`
	Path  string       `json:"path"`
	Peers []peerAnswer `json:"peers"`
	// PartitionedPeers means that the other instances reach no upstream either.
	PartitionedPeers bool `json:"partitioned_peers"`
	// NoBudget means that the retry budget allows to send nothing again.
	NoBudget   bool   `json:"no_budget"`
	Status     int    `json:"status"`
	Body       string `json:"body"`
	RetryAfter string `json:"retry_after"`
	// Asked is how many instances got the request.
	Asked int `json:"asked"`
}

// others are instances that share a script of answers.
type others struct {
	mu      sync.Mutex
	answers []peerAnswer
	// asked are the requests that arrived.
	asked []*http.Request
}

func (o *others) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	o.mu.Lock()
	defer o.mu.Unlock()
	answer := o.answers[len(o.asked)]
	o.asked = append(o.asked, r)
	if answer.Break {
		panic(http.ErrAbortHandler)
	}
	if answer.Seal {
		w.Header().Set("Server-Seal", "seal")
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.Header().Set("Cardamom-Hop-Upstream", "i-9/5")
	}
	if answer.RetryAfter != "" {
		w.Header().Set("Retry-After", answer.RetryAfter)
	}
	w.WriteHeader(answer.Status)
	_, _ = io.WriteString(w, answer.Body)
}

// trialPause is a little longer than the time until the first trial.
const trialPause = 1100 * time.Millisecond

// refuseLike makes the instance refuse requests for the path, which two upstreams crashed with.
func (w *fixture) refuseLike(path string) {
	w.listRunning()
	w.script([]host.Behaviour{host.Crash, host.Crash})
	for n := range 2 {
		response, err := http.DefaultClient.Do(w.newRequest(path, "", map[string]string{"Request-Id": fmt.Sprintf("crash-%d", n)}))
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Body.Close()).To(Succeed())
		Expect(response.StatusCode).To(Equal(http.StatusBadGateway))
		w.listRunning()
	}
}

// partition makes the instance reach none of its upstreams, beside two other instances.
func (w *fixture) partition(o *others, peersToo bool) {
	for _, engine := range w.engines {
		engine.Close()
	}
	w.reach.Failed("a", clock.Now())
	w.reach.Failed("b", clock.Now())
	var members []coord.Member
	for _, id := range []cardamom.InstanceID{"front-2", "front-3"} {
		server := httptest.NewServer(o)
		DeferCleanup(server.Close)
		members = append(members, coord.Member{ID: id, SyncAddress: strings.TrimPrefix(server.URL, "http://"), Partitioned: peersToo})
	}
	w.views.view.Store(coord.NewView(w.catalog, w.upstreams, members))
}

var _ = Describe("a request at an instance that is partitioned from all upstreams", func() {
	var scripts []hopScript
	if err := json.Unmarshal(hopScripts, &scripts); err != nil {
		panic(err)
	}
	for _, script := range scripts {
		It(script.Name, func() {
			w := newFixture(coord.AwaitResult{})
			o := &others{answers: script.Peers}
			w.partition(o, script.PartitionedPeers)
			response, err := http.DefaultClient.Do(w.newRequest(script.Path+"//a/../b?x=%2F", "", map[string]string{"X-Own": "kept"}))
			Expect(err).NotTo(HaveOccurred())
			defer response.Body.Close()
			body, err := io.ReadAll(response.Body)
			Expect(err).NotTo(HaveOccurred())
			Expect(response.StatusCode).To(Equal(script.Status), string(body))
			Expect(string(body)).To(Equal(script.Body))
			if script.RetryAfter != "" {
				Expect(response.Header.Get("Retry-After")).To(Equal(script.RetryAfter))
			}
			Expect(response.Header).NotTo(HaveKey("Cardamom-Hop-Upstream"))
			Expect(o.asked).To(HaveLen(script.Asked))
			for _, r := range o.asked {
				Expect(relay.IsHopped(r)).To(BeTrue())
				Expect(r.RequestURI).To(Equal(script.Path + "//a/../b?x=%2F"))
				Expect(r.Host).To(Equal("h.example"))
				Expect(r.Header.Get("Request-Id")).To(Equal("r-1"))
				Expect(r.Header.Get("X-Own")).To(Equal("kept"))
				Expect(r.Header.Get("Cardamom-Hop-Catalog")).To(Equal("3"))
			}
		})
	}
})

var _ = Describe("a request from another instance", func() {
	serve := func(w *fixture, header map[string]string) *http.Response {
		server := httptest.NewServer(http.HandlerFunc(w.relay.ServeHopped))
		DeferCleanup(server.Close)
		request := w.newRequest("/once/x", "", header)
		request.URL.Host = strings.TrimPrefix(server.URL, "http://")
		response, err := http.DefaultClient.Do(request)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(response.Body.Close)
		return response
	}

	It("is served, and what the instances tell each other reaches no upstream", func() {
		w := newFixture(coord.AwaitResult{})
		response := serve(w, map[string]string{"Cardamom-Hop-Runs": "0", "Cardamom-Hop-Stream": "s-1"})
		Expect(response.StatusCode).To(Equal(http.StatusOK))
		Expect(response.Header.Get("Cardamom-Hop-Upstream")).To(HavePrefix("i-1-plain/"))
		Expect(w.runs()).To(HaveLen(1))
		Expect(w.runs()[0].Header).NotTo(HaveKey("Cardamom-Hop-Runs"))
		Expect(w.runs()[0].Header).NotTo(HaveKey("Cardamom-Hop-Stream"))
		Expect(w.runs()[0].Header).NotTo(HaveKey("Resumes"))
	})

	DescribeTable("is handled only by the version of the catalog that the first instance has",
		func(version string, status int) {
			w := newFixture(coord.AwaitResult{})
			response := serve(w, map[string]string{"Cardamom-Hop-Runs": "0", "Cardamom-Hop-Catalog": version})
			Expect(response.StatusCode).To(Equal(status))
			if status == http.StatusOK {
				Expect(w.runs()[0].Header).NotTo(HaveKey("Cardamom-Hop-Catalog"))
				return
			}
			Expect(response.Header.Get("Cardamom-Hop-Sends")).To(Equal("0"))
			Expect(w.runs()).To(BeEmpty())
		},
		Entry("the same", "3", http.StatusOK),
		Entry("an older one here", "4", http.StatusServiceUnavailable),
		Entry("a newer one here", "2", http.StatusServiceUnavailable),
		Entry("not stated, as by an instance of the software version before", "", http.StatusOK),
	)

	It("goes to no third instance", func() {
		w := newFixture(coord.AwaitResult{})
		o := &others{answers: []peerAnswer{{Status: 200, Seal: true}}}
		w.partition(o, false)
		response := serve(w, map[string]string{"Cardamom-Hop-Runs": "0"})
		Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(response.Header.Get("Cardamom-Hop-Sends")).To(Equal("0"))
		Expect(o.asked).To(BeEmpty())
	})

	It("fails instead of being refused if it may have run before", func() {
		w := newFixture(coord.AwaitResult{})
		for _, engine := range w.engines {
			engine.Close()
		}
		Expect(serve(w, map[string]string{"Cardamom-Hop-Runs": "1"}).StatusCode).To(Equal(http.StatusBadGateway))
	})

	It("is rejected with an invalid header", func() {
		w := newFixture(coord.AwaitResult{})
		Expect(serve(w, map[string]string{"Cardamom-Hop-Runs": "-1"}).StatusCode).To(Equal(http.StatusBadRequest))
	})

	It("can't be pretended by a caller", func() {
		w := newFixture(coord.AwaitResult{})
		o := &others{answers: []peerAnswer{{Status: 200, Seal: true, Body: "whole"}}}
		w.partition(o, false)
		response, err := http.DefaultClient.Do(w.newRequest("/once/x", "", map[string]string{"Cardamom-Hop-Runs": "1", "Cardamom-Hop-Stream": "s-1", "Cardamom-Hop-Trial": "1"}))
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		Expect(response.StatusCode).To(Equal(http.StatusOK))
		Expect(o.asked[0].Header.Get("Cardamom-Hop-Runs")).To(Equal("0"))
		Expect(o.asked[0].Header).NotTo(HaveKey("Cardamom-Hop-Stream"))
		Expect(o.asked[0].Header).NotTo(HaveKey("Cardamom-Hop-Trial"))
	})

	It("is served for trial though its like is refused here, if the other instance says so", func() {
		w := newFixture(coord.AwaitResult{}, "i-2", "i-3", "i-4")
		w.refuseLike("/once/x")
		crashed := len(w.runs())
		Expect(serve(w, map[string]string{"Cardamom-Hop-Runs": "0"}).StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(w.runs()).To(HaveLen(crashed))
		Expect(serve(w, map[string]string{"Cardamom-Hop-Runs": "0", "Cardamom-Hop-Trial": "1"}).StatusCode).To(Equal(http.StatusOK))
		Expect(w.runs()).To(HaveLen(crashed + 1))
		for _, run := range w.runs() {
			Expect(run.Header).NotTo(HaveKey("Cardamom-Hop-Trial"))
		}
		Expect(serve(w, map[string]string{"Cardamom-Hop-Runs": "0"}).StatusCode).To(Equal(http.StatusOK))
	})

	It("is marked as sent for trial if it is", func() {
		w := newFixture(coord.AwaitResult{}, "i-2", "i-3", "i-4")
		w.refuseLike("/once/x")
		w.grantTrials()
		o := &others{answers: []peerAnswer{{Status: 200, Seal: true, Body: "whole"}}}
		w.partition(o, false)
		time.Sleep(trialPause)
		response, err := http.DefaultClient.Do(w.newRequest("/once/x", "", nil))
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		Expect(response.StatusCode).To(Equal(http.StatusOK))
		Expect(o.asked[0].Header.Get("Cardamom-Hop-Trial")).To(Equal("1"))
	})
})
