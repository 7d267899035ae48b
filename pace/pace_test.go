package pace_test

import (
	_ "embed"
	"encoding/json"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/pace"
)

func TestPace(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "pace")
}

//go:embed testdata/window.json
var windowScripts []byte

// script is a history of prompts and gaps, and the windows expected on the way.
type script struct {
	Name  string `json:"name"`
	Steps []struct {
		AtMS   int    `json:"at_ms"`
		Engine string `json:"engine"`
		// Sent is the size of a prompt that is sent to the engine.
		Sent *int `json:"sent"`
		// GapMS is a gap in a stream of the engine.
		GapMS  int  `json:"gap_ms"`
		Window *int `json:"window"`
	} `json:"steps"`
}

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

var _ = Describe("the window of prompt tokens", func() {
	var scripts []script
	if err := json.Unmarshal(windowScripts, &scripts); err != nil {
		panic(err)
	}
	for _, s := range scripts {
		It(s.Name, func() {
			tracker := pace.New()
			for i, step := range s.Steps {
				now, id := at(step.AtMS), cardamom.UpstreamID(step.Engine)
				switch {
				case step.Sent != nil:
					tracker.Sent("s", id, *step.Sent, now)
				case step.GapMS > 0:
					tracker.Gap("s", id, time.Duration(step.GapMS)*time.Millisecond, 150*time.Millisecond, now)
				}
				if step.Window != nil {
					Expect(tracker.Window("s")).To(Equal(*step.Window), "step %d", i)
				}
			}
		})
	}

	It("is that of one service", func() {
		tracker := pace.New()
		tracker.Sent("s", "a", 500, start)
		Expect(tracker.Window("t")).To(BeZero())
	})
})

var _ = Describe("recent prompts", func() {
	It("are those sent to one engine within the span", func() {
		tracker := pace.New()
		tracker.Sent("s", "a", 500, at(0))
		tracker.Sent("s", "a", 300, at(100))
		tracker.Sent("s", "b", 900, at(100))
		Expect(tracker.RecentTokens("a", 150*time.Millisecond, at(149))).To(Equal(800))
		Expect(tracker.RecentTokens("a", 150*time.Millisecond, at(150))).To(Equal(300))
		Expect(tracker.RecentTokens("c", 150*time.Millisecond, at(150))).To(BeZero())
	})
})

var _ = Describe("the expected time to a first event", func() {
	It("is the longest open wait or the average of recent waits", func() {
		tracker := pace.New()
		Expect(tracker.Expected("a", start)).To(BeZero())
		first := tracker.Sent("s", "a", 500, at(0))
		Expect(tracker.Expected("a", at(70))).To(Equal(70 * time.Millisecond))
		first.FirstEvent(at(100))
		Expect(tracker.Expected("a", at(300))).To(Equal(100 * time.Millisecond))
		tracker.Sent("s", "a", 500, at(300))
		Expect(tracker.Expected("a", at(350))).To(Equal(100 * time.Millisecond))
		Expect(tracker.Expected("a", at(900))).To(Equal(600 * time.Millisecond))
	})

	It("forgets waits that ended and averages that are old", func() {
		tracker := pace.New()
		wait := tracker.Sent("s", "a", 500, at(0))
		wait.FirstEvent(at(100))
		wait.Ended(at(200))
		Expect(tracker.Expected("a", at(2000))).To(Equal(100 * time.Millisecond))
		Expect(tracker.Expected("a", at(2200))).To(BeZero())
		broken := tracker.Sent("s", "a", 500, at(3000))
		broken.Ended(at(3100))
		Expect(tracker.Expected("a", at(3200))).To(BeZero())
	})
})
