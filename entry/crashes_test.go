package entry_test

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/cells"
	"cardamomcourse.example/cardamom/entry"
	"cardamomcourse.example/cardamom/peers"
	"cardamomcourse.example/cardamom/route/rank"
)

//go:embed testdata/crashes.json
var crashScripts []byte

// replaceEngine makes a new process of the engine the only replica of the model.
func (h *harness) replaceEngine(handler http.Handler, incarnation cardamom.Incarnation) {
	server := httptest.NewServer(handler)
	DeferCleanup(server.Close)
	h.controller.Update("s/x/0", map[cardamom.ModelID][]cells.Replica{"m": {{
		ReplicaKey: cells.ReplicaKey{Model: "m", Upstream: "u"}, Address: server.Listener.Addr().String(),
		State: cells.ReplicaReady, Slots: 4, Incarnation: incarnation,
	}}}, testNow)
}

// addMember adds the instance itself and another one as members that serve the model, of which the
// other one is the first or not.
func (h *harness) addMember(first bool) {
	view := *h.views.Load()
	self := view.Self.ID
	other := self
	for n := 0; other == self || (rank.Order("m", []cardamom.InstanceID{self, other})[0] == other) != first; n++ {
		other = cardamom.InstanceID(fmt.Sprintf("other-%d", n))
	}
	for _, id := range []cardamom.InstanceID{self, other} {
		view.Active = append(view.Active, peers.NewMember(cardamom.Instance{ID: id, DataCentre: view.Self.DataCentre}, 1, 1, 0))
	}
	h.views.Store(&view)
}

// Answers were not recorded, so that two engines that crashed at any time with a request that
// callers share made instances refuse it.
var _ = Describe("an instance before engines that crash while they have a request", func() {
	var scripts []struct {
		Name   string `json:"name"`
		Stream bool   `json:"stream"`
		// Second means that another instance is the first for the model.
		Second bool `json:"second"`
		// Steps are what the engine does, a new process each time, and "served" or the reason
		// that the caller gets, or "wait" and a time in milliseconds. All callers send the same
		// request.
		Steps []string `json:"steps"`
	}
	if err := json.Unmarshal(crashScripts, &scripts); err != nil {
		panic(err)
	}
	for _, script := range scripts {
		It(script.Name, func() {
			h := newHarness()
			h.ledger.SetCautious(true)
			h.addMember(script.Second)
			body := completionBody
			if script.Stream {
				body = streamBody
			}
			for n, step := range script.Steps {
				behaviour, want, _ := strings.Cut(step, " ")
				if behaviour == "wait" {
					pause, err := time.ParseDuration(want + "ms")
					Expect(err).NotTo(HaveOccurred())
					time.Sleep(pause)
					continue
				}
				h.replaceEngine(&scriptedUpstream{script: []string{behaviour}}, cardamom.Incarnation(n+2))
				// With a key it is sent once.
				response := h.do(http.MethodPost, "/v1/chat/completions", body, entry.IdempotencyKeyHeader, fmt.Sprintf("k%d", n))
				text, _ := io.ReadAll(response.Body)
				got := "served"
				for _, reason := range []string{"poison", "upstream-lost"} {
					if strings.Contains(string(text), reason) {
						got = reason
					}
				}
				Expect(got).To(Equal(want), "step %d: %d %s", n+1, response.StatusCode, text)
			}
		})
	}
})
