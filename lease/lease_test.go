package lease_test

import (
	"embed"
	"encoding/json"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/lease"
)

//go:embed testdata/*.json
var scripts embed.FS

func TestLease(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "lease")
}

// step is one event of a script and the state expected after it.
type step struct {
	At       int64  `json:"at_ms"`
	Do       string `json:"do"`
	Version  uint64 `json:"version"`
	Holder   string `json:"holder"`
	Released bool   `json:"released"`
	Renewed  int64  `json:"renewed_ms"`
	Clock    int64  `json:"clock_ms"`
	Began    *int64 `json:"began_ms"`
	Fenced   bool   `json:"fenced"`
	Next     string `json:"next"`
	Valid    *bool  `json:"valid"`
	MayOrder *bool  `json:"may_order"`
}

var actions = map[lease.Action]string{lease.Nothing: "nothing", lease.Take: "take", lease.Renew: "renew"}

var _ = Describe("the lease", func() {
	files, err := scripts.ReadDir("testdata")
	if err != nil {
		panic(err)
	}
	for _, file := range files {
		It("follows "+file.Name(), func() {
			body, err := scripts.ReadFile("testdata/" + file.Name())
			Expect(err).NotTo(HaveOccurred())
			var steps []step
			Expect(json.Unmarshal(body, &steps)).To(Succeed())
			replay(steps)
		})
	}
})

func replay(steps []step) {
	start := time.Unix(1000, 0)
	at := func(ms int64) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	state := lease.New("own", 3*time.Second)
	for i, s := range steps {
		now := at(s.At)
		switch s.Do {
		case "observe":
			state.Observe(lease.Row{Version: s.Version, Holder: cardamom.InstanceID(s.Holder), Released: s.Released, Renewed: s.Renewed}, s.Clock, now)
		case "written":
			began := now
			if s.Began != nil {
				began = at(*s.Began)
			}
			state.RecordWrite(s.Version, "127.0.0.1:1", began)
		case "conflict":
			state.Invalidate()
		case "unreachable":
			state.RecordOutage(now)
		}
		if s.Next != "" {
			Expect(actions[state.Next(now)]).To(Equal(s.Next), "step %d", i)
		}
		if s.Valid != nil {
			Expect(state.Valid(now)).To(Equal(*s.Valid), "step %d", i)
		}
		if s.MayOrder != nil {
			Expect(state.MayOrder(now, s.Fenced)).To(Equal(*s.MayOrder), "step %d", i)
		}
	}
}
