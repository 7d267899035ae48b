package relay_test

import (
	_ "embed"
	"encoding/json"
	"io"
	"net/http"
	"runtime"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cardamomcourse.example/cardamom/coord"
)

//go:embed testdata/endless.json
var endlessCases []byte

// maxEndlessMemory bounds what is allocated for a response without end, the stand-in's
// part included.
const maxEndlessMemory = 12 << 20

// allocated returns how many bytes were allocated so far.
func allocated() uint64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.TotalAlloc
}

var _ = Describe("the relay before an upstream that sends without end", func() {
	var cases []struct {
		outcome
		// Stalled means that the upstream waits instead of sending more.
		Stalled bool `json:"stalled"`
	}
	if err := json.Unmarshal(endlessCases, &cases); err != nil {
		panic(err)
	}
	for _, c := range cases {
		It(c.Name, func() {
			w := newFixture(coord.AwaitResult{}, "i-2")
			w.script(c.Behaviours)
			model := ""
			if !strings.HasPrefix(c.Path, "/safe/") && !strings.HasPrefix(c.Path, "/once/") {
				model = "m"
			}
			before := allocated()
			response, err := http.DefaultClient.Do(w.newRequest(c.Path, model, nil))
			Expect(err).NotTo(HaveOccurred())
			defer response.Body.Close()
			Expect(response.StatusCode).To(Equal(c.Status))
			if c.Cut {
				_, err := io.Copy(io.Discard, response.Body)
				Expect(err).To(HaveOccurred())
			} else {
				body, err := io.ReadAll(response.Body)
				Expect(err).NotTo(HaveOccurred())
				if c.Body != "" {
					Expect(string(body)).To(Equal(c.Body))
				}
			}
			Expect(w.runs()).To(HaveLen(c.Runs))
			Expect(allocated() - before).To(BeNumerically("<", maxEndlessMemory))
			if c.Stalled {
				return
			}
			Eventually(func() int {
				closed := 0
				for _, engine := range w.engines {
					closed += engine.Disconnects()
				}
				w.pool.Sweep(time.Now())
				return closed
			}, 10*time.Second).Should(Equal(1), "the connection is not closed")
		})
	}
})
