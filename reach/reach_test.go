package reach_test

import (
	_ "embed"
	"encoding/json"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/reach"
)

//go:embed testdata/partitions.json
var partitions []byte

func TestReach(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "reach")
}

// step is something that happens, or a question.
type step struct {
	AtMS     int64  `json:"at_ms"`
	Sent     string `json:"sent"`
	Ended    string `json:"ended"`
	Answered string `json:"answered"`
	Failed   string `json:"failed"`
	// Probed is the result of a round of probes: answered, silent, or none if there was
	// nothing to probe.
	Probed      string `json:"probed"`
	Next        string `json:"next"`
	Doubtful    *bool  `json:"doubtful"`
	Partitioned *bool  `json:"partitioned"`
}

var actions = map[string]reach.Action{"nothing": reach.Nothing, "probe": reach.Probe}

var _ = Describe("an instance", func() {
	var scripts []struct {
		Name  string `json:"name"`
		Steps []step `json:"steps"`
	}
	if err := json.Unmarshal(partitions, &scripts); err != nil {
		panic(err)
	}
	for _, script := range scripts {
		It(script.Name, func() {
			tracker := reach.New()
			ends := make(map[string]func())
			for n, s := range script.Steps {
				now := time.Unix(1000, 0).Add(time.Duration(s.AtMS) * time.Millisecond)
				switch {
				case s.Sent != "":
					ends[s.Sent] = tracker.Sent(cardamom.UpstreamID(s.Sent), now)
				case s.Ended != "":
					ends[s.Ended]()
				case s.Answered != "":
					tracker.Answered(cardamom.UpstreamID(s.Answered), now)
				case s.Failed != "":
					tracker.Failed(cardamom.UpstreamID(s.Failed), now)
				case s.Probed != "":
					tracker.Probed(s.Probed != "none", s.Probed == "answered", now)
				case s.Next != "":
					Expect(tracker.Next(now)).To(Equal(actions[s.Next]), "step %d", n+1)
				case s.Doubtful != nil:
					Expect(tracker.Doubtful(now)).To(Equal(*s.Doubtful), "step %d", n+1)
				default:
					Expect(tracker.Partitioned()).To(Equal(*s.Partitioned), "step %d", n+1)
				}
			}
		})
	}
})
