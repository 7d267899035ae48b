package relay_test

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cardamomcourse.example/cardamom/coord"
	"cardamomcourse.example/cardamom/fakes/host"
)

//go:embed testdata/crashes.json
var crashScripts []byte

var _ = Describe("the relay before upstreams that crash while they have a request", func() {
	var scripts []struct {
		Name string `json:"name"`
		// Trials means that a coordinator grants trials of requests that are refused.
		Trials bool `json:"trials"`
		// Steps are what the upstream does and the status that the caller gets, with a plus if
		// the answer says when to come back, or "wait" and a time in milliseconds. All callers
		// send the same request.
		Steps []string `json:"steps"`
	}
	if err := json.Unmarshal(crashScripts, &scripts); err != nil {
		panic(err)
	}
	for _, script := range scripts {
		It(script.Name, func() {
			w := newFixture(coord.AwaitResult{}, "i-2", "i-3", "i-4", "i-5", "i-6", "i-7", "i-8")
			if script.Trials {
				w.grantTrials()
			}
			for n, step := range script.Steps {
				behaviour, status, _ := strings.Cut(step, " ")
				if behaviour == "wait" {
					pause, err := time.ParseDuration(status + "ms")
					Expect(err).NotTo(HaveOccurred())
					time.Sleep(pause)
					continue
				}
				w.listRunning()
				w.script([]host.Behaviour{host.Behaviour(behaviour)})
				request := w.newRequest("/once/page", "", map[string]string{"Request-Id": fmt.Sprintf("r-%d", n)})
				response, err := http.DefaultClient.Do(request)
				Expect(err).NotTo(HaveOccurred())
				body, _ := io.ReadAll(response.Body)
				Expect(response.Body.Close()).To(Succeed())
				status, later := strings.CutSuffix(status, "+")
				Expect(fmt.Sprint(response.StatusCode)).To(Equal(status), "step %d: %s", n+1, body)
				if later {
					Expect(response.Header.Get("Retry-After")).NotTo(BeEmpty(), "step %d", n+1)
				}
			}
		})
	}
})
