package relay_test

import (
	_ "embed"
	"encoding/json"
	"io"
	"net/http"
	"regexp"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/coord"
	"cardamomcourse.example/cardamom/fakes/host"
	"cardamomcourse.example/cardamom/site"
)

//go:embed testdata/versions.json
var versionScripts []byte

// versionStep sends one request of a caller.
type versionStep struct {
	ID      string `json:"id"`
	Resumes string `json:"resumes"`
	// LastEvent is the last event that the caller has, by default the last that it got.
	LastEvent  string           `json:"last_event"`
	Behaviours []host.Behaviour `json:"behaviours"`
	Status     int              `json:"status"`
	// Whole means that the response has the last event of the stream.
	Whole bool   `json:"whole"`
	Body  string `json:"body"`
}

// versionScript is a caller's stream before engines of several versions.
type versionScript struct {
	Name string `json:"name"`
	// Engines maps engines to their versions.
	Engines map[string]string `json:"engines"`
	// GoneOnCut means that the engine that the stream began at is no longer listed once the
	// stream has broken off.
	GoneOnCut bool          `json:"gone_on_cut"`
	Steps     []versionStep `json:"steps"`
}

// lastEvent matches the ids of events.
var lastEvent = regexp.MustCompile(`(?m)^id: (\d+)$`)

// listVersions replaces the engines by ones with the versions.
func (w *fixture) listVersions(versions map[string]string) {
	var upstreams []*site.Upstream
	w.engines = nil
	for id, version := range versions {
		engine := host.NewUpstream(nil, host.UpstreamSpec{ID: id, Service: "models", Models: []string{"m"}, Version: version})
		DeferCleanup(engine.Close)
		w.engines = append(w.engines, engine)
		upstreams = append(upstreams, &site.Upstream{
			Upstream: cardamom.Upstream{ID: cardamom.UpstreamID(id), Service: "models", Address: engine.Address(), State: cardamom.Live},
			Version:  version, Slots: 4, Loaded: map[cardamom.ModelID][]string{"m": nil},
		})
	}
	w.upstreams = upstreams
	w.views.view.Store(coord.NewView(w.catalog, upstreams, nil))
}

// unlist makes the view lack the engines that have run a request. Their versions are
// remembered.
func (w *fixture) unlist() {
	var left []*site.Upstream
	for n, engine := range w.engines {
		if len(engine.Runs()) == 0 {
			left = append(left, w.upstreams[n])
		}
	}
	w.views.view.Store(coord.NewView(w.catalog, left, nil))
}

// goneOnFirstEvent makes an engine that sends an event be no longer listed.
func (w *fixture) goneOnFirstEvent() {
	w.origins.began = w.unlist
}

var _ = Describe("a stream before engines of several software versions", func() {
	var scripts []versionScript
	if err := json.Unmarshal(versionScripts, &scripts); err != nil {
		panic(err)
	}
	for _, script := range scripts {
		It(script.Name, func() {
			w := newFixture(coord.AwaitResult{})
			w.listVersions(script.Engines)
			if script.GoneOnCut {
				w.goneOnFirstEvent()
			}
			got := ""
			for n, step := range script.Steps {
				w.script(step.Behaviours)
				header := map[string]string{"Request-Id": step.ID}
				if step.Resumes != "" {
					header["Resumes"] = step.Resumes
				}
				if step.LastEvent != "" {
					header["Last-Event-Id"] = step.LastEvent
				} else if ids := lastEvent.FindAllStringSubmatch(got, -1); len(ids) > 0 {
					header["Last-Event-Id"] = ids[len(ids)-1][1]
				}
				response, err := http.DefaultClient.Do(w.newRequest("/resume/x", "m", header))
				Expect(err).NotTo(HaveOccurred())
				body, _ := io.ReadAll(response.Body)
				Expect(response.Body.Close()).To(Succeed())
				Expect(response.StatusCode).To(Equal(step.Status), "step %d: %s", n+1, body)
				if step.Status == http.StatusOK {
					got += string(body)
				}
				Expect(strings.Contains(string(body), "id: 4\n")).To(Equal(step.Whole), "step %d: %s", n+1, body)
				if step.Body != "" {
					Expect(string(body)).To(Equal(step.Body))
					Expect(response.Header).NotTo(HaveKey("Retry-After"))
				}
			}
			Expect(len(host.VersionsIn(got))).To(BeNumerically("<=", 1), got)
		})
	}
})
