package relay_test

import (
	_ "embed"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/coord"
	"cardamomcourse.example/cardamom/fakes/host"
)

//go:embed testdata/leaving.json
var leavingCases []byte

// send sends a request and returns its status; the answer is read as far as it comes.
func (w *fixture) send(path string) int {
	model := ""
	if strings.HasPrefix(path, "/stream/") || strings.HasPrefix(path, "/resume/") {
		model = "m"
	}
	response, err := http.DefaultClient.Do(w.newRequest(path, model, nil))
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// pair returns the two upstreams that requests for the path may go to.
func (w *fixture) pair(path string) (first, second *host.Upstream) {
	service := "plain"
	if strings.HasPrefix(path, "/stream/") || strings.HasPrefix(path, "/resume/") {
		service = "models"
	}
	for _, engine := range w.engines {
		if engine.Service() != service {
			continue
		}
		if first == nil {
			first = engine
		} else {
			second = engine
		}
	}
	return first, second
}

var _ = Describe("the relay before an upstream that says that it leaves in", func() {
	var cases []struct {
		Name      string         `json:"name"`
		Path      string         `json:"path"`
		Behaviour host.Behaviour `json:"behaviour"`
		Believed  bool           `json:"believed"`
	}
	if err := json.Unmarshal(leavingCases, &cases); err != nil {
		panic(err)
	}
	for _, c := range cases {
		It(c.Name, func() {
			if !c.Believed {
				w := newFixture(coord.AwaitResult{})
				leaving, _ := w.pair(c.Path)
				leaving.SayLeaving()
				leaving.AppendBehaviours(c.Behaviour)
				w.send(c.Path)
				w.send(c.Path)
				Expect(leaving.Arrivals()).To(HaveLen(2))
				return
			}
			w := newFixture(coord.AwaitResult{}, "i-2")
			leaving, other := w.pair(c.Path)
			leaving.SayLeaving()
			leaving.AppendBehaviours(c.Behaviour)
			for n := 0; len(leaving.Arrivals()) == 0; n++ {
				Expect(n).To(BeNumerically("<", 200))
				w.send(c.Path)
			}
			reached := len(leaving.Arrivals())
			for range 60 {
				w.send(c.Path)
			}
			Expect(leaving.Arrivals()).To(HaveLen(reached))
			Expect(len(other.Arrivals())).To(BeNumerically(">=", 60))
		})
	}

	It("its last answer, refusing what only it could run", func() {
		w := newFixture(coord.AwaitResult{})
		leaving, _ := w.pair("/safe/x")
		leaving.SayLeaving()
		Expect(w.send("/safe/x")).To(Equal(http.StatusOK))
		Expect(w.send("/safe/x")).To(Equal(http.StatusServiceUnavailable))
		Expect(leaving.Arrivals()).To(HaveLen(1))
	})
})

var _ = Describe("the relay before an upstream that turns requests away and names a time", func() {
	It("sends others there until then", func() {
		for _, path := range []string{"/safe/x", "/once/x", "/stream/x"} {
			w := newFixture(coord.AwaitResult{}, "i-2")
			full, other := w.pair(path)
			full.AskToWait("30")
			for n := 0; len(full.Arrivals()) == 0; n++ {
				Expect(n).To(BeNumerically("<", 200))
				Expect(w.send(path)).To(Equal(http.StatusOK))
			}
			for range 40 {
				Expect(w.send(path)).To(Equal(http.StatusOK))
			}
			Expect(full.Arrivals()).To(HaveLen(1))
			Expect(len(other.Arrivals())).To(BeNumerically(">=", 40))
		}
	})

	It("refuses at once what only it could run, with the time as Retry-After", func() {
		w := newFixture(coord.AwaitResult{})
		full, _ := w.pair("/safe/x")
		full.AskToWait("30")
		for range 5 {
			status, retryAfter := w.get("/safe/x", "")
			Expect(status).To(Equal(http.StatusServiceUnavailable))
			Expect(retryAfter).To(And(BeNumerically(">", 20), BeNumerically("<=", 30)))
		}
		Expect(full.Arrivals()).To(HaveLen(1))
	})

	It("asks the coordinator for another copy of a model that only it has", func() {
		w := newFixture(coord.AwaitResult{Answered: true, Expected: 25 * time.Second})
		full, _ := w.pair("/stream/x")
		full.AskToWait("60")
		for range 5 {
			status, retryAfter := w.get("/stream/x", "m")
			Expect(status).To(Equal(http.StatusServiceUnavailable))
			Expect(retryAfter).To(And(BeNumerically(">", 20), BeNumerically("<=", 26)))
		}
		Expect(full.Arrivals()).To(HaveLen(1))
		Expect(w.calls.Load()).To(BeNumerically(">", 0))
	})

	It("waits for its model where the time ends before another copy would be there", func() {
		w := newFixture(coord.AwaitResult{Answered: true, Expected: 60 * time.Second})
		full, _ := w.pair("/stream/x")
		full.AskToWait("1")
		go func() {
			defer GinkgoRecover()
			Eventually(full.Arrivals, 10*time.Second).Should(HaveLen(1))
			full.StopAsking()
		}()
		Expect(w.send("/stream/x")).To(Equal(http.StatusOK))
		Expect(full.Arrivals()).To(HaveLen(2))
	})

	It("waits where the time ends early enough", func() {
		w := newFixture(coord.AwaitResult{})
		full, _ := w.pair("/safe/x")
		full.AskToWait("1")
		go func() {
			defer GinkgoRecover()
			Eventually(full.Arrivals, 10*time.Second).Should(HaveLen(1))
			full.StopAsking()
		}()
		Expect(w.send("/safe/x")).To(Equal(http.StatusOK))
		Expect(full.Arrivals()).To(HaveLen(2))
	})

	It("sends to its next run at once", func() {
		w := newFixture(coord.AwaitResult{})
		full, _ := w.pair("/safe/x")
		full.AskToWait("30")
		Expect(w.send("/safe/x")).To(Equal(http.StatusServiceUnavailable))
		full.StopAsking()
		w.restart("i-1-plain")
		Expect(w.send("/safe/x")).To(Equal(http.StatusOK))
	})

	It("ignores a time that is none", func() {
		w := newFixture(coord.AwaitResult{})
		full, _ := w.pair("/safe/x")
		full.AskToWait("soon")
		Expect(w.send("/safe/x")).To(Equal(http.StatusServiceUnavailable))
		Expect(len(full.Arrivals())).To(BeNumerically(">", 1))
	})
})

// restart makes the view list an upstream as a later run.
func (w *fixture) restart(id cardamom.UpstreamID) {
	upstreams := slices.Clone(w.upstreams)
	for n, upstream := range upstreams {
		if upstream.ID == id {
			later := *upstream
			later.StartedMs++
			upstreams[n] = &later
		}
	}
	w.views.view.Store(coord.NewView(w.catalog, upstreams, nil))
}
