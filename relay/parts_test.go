package relay_test

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/coord"
	"cardamomcourse.example/cardamom/fakes/host"
	"cardamomcourse.example/cardamom/site"
)

//go:embed testdata/parts.json
var partScripts []byte

// partStep sends the same kind of request some times, one after the other.
type partStep struct {
	// Parts are the shared parts of the prompt, separated by commas.
	Parts string `json:"parts"`
	// Last is the last part, a new one for each request if empty.
	Last string `json:"last"`
	// Behaviour is that of the engine if not the usual one.
	Behaviour host.Behaviour `json:"behaviour"`
	Times     int            `json:"times"`
	Status    int            `json:"status"`
	// Refused means that the request is refused for a part of its prompt.
	Refused bool `json:"refused"`
}

var _ = Describe("the relay before engines that a part of a prompt crashes", func() {
	var scripts []struct {
		Name     string     `json:"name"`
		Path     string     `json:"path"`
		Crashing []string   `json:"crashing"`
		Steps    []partStep `json:"steps"`
		Crashes  int        `json:"crashes"`
	}
	if err := json.Unmarshal(partScripts, &scripts); err != nil {
		panic(err)
	}
	for _, script := range scripts {
		It(script.Name, func() {
			w := newFixture(coord.AwaitResult{}, "i-2", "i-3", "i-4", "i-5", "i-6", "i-7", "i-8")
			for _, engine := range w.engines {
				engine.CrashOn(script.Crashing...)
			}
			number := 0
			for n, step := range script.Steps {
				for range step.Times {
					number++
					w.listRunning()
					if step.Behaviour != "" {
						w.script([]host.Behaviour{step.Behaviour})
					}
					last := step.Last
					if last == "" {
						last = fmt.Sprintf("own%d", number)
					}
					request := w.newRequest(fmt.Sprintf("%s?n=%d", script.Path, number), "m", map[string]string{
						"Request-Id":    fmt.Sprintf("r-%d", number),
						"Prompt-Prefix": strings.ReplaceAll(step.Parts, ",", ":10,") + ":10," + last + ":5",
					})
					response, err := http.DefaultClient.Do(request)
					Expect(err).NotTo(HaveOccurred())
					body, _ := io.ReadAll(response.Body)
					Expect(response.Body.Close()).To(Succeed())
					Expect(response.StatusCode).To(Equal(step.Status), fmt.Sprintf("step %d: %s", n+1, body))
					if step.Refused {
						Expect(string(body)).To(Equal("part_crashes_upstreams\n"))
						Expect(response.Header).NotTo(HaveKey("Retry-After"))
					}
				}
			}
			crashes := 0
			for _, engine := range w.engines {
				crashes += engine.Crashes()
			}
			Expect(crashes).To(Equal(script.Crashes))
		})
	}
})

// listRunning makes the view list the upstreams that have not crashed.
func (w *fixture) listRunning() {
	running := slices.DeleteFunc(slices.Clone(w.upstreams), func(upstream *site.Upstream) bool {
		return slices.ContainsFunc(w.engines, func(engine *host.Upstream) bool {
			return cardamom.UpstreamID(engine.ID()) == upstream.ID && engine.Crashes() > 0
		})
	})
	w.views.view.Store(coord.NewView(w.catalog, running, nil))
}
