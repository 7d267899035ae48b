package relay_test

import (
	_ "embed"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

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
