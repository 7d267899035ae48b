package coord

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

//go:embed testdata/timing.json
var timingCases []byte

// timingCase is a deployment whose ages and intervals are checked against each other.
type timingCase struct {
	Members  int   `json:"members"`
	ChangeMS int64 `json:"change_ms"`
}

// platformReadTime is for one read of the platform and for making the view from it.
const platformReadTime = 200 * time.Millisecond

var _ = Describe("the ages and intervals of the control path", func() {
	var cases []timingCase
	if err := json.Unmarshal(timingCases, &cases); err != nil {
		panic(err)
	}
	const lease = 3 * time.Second
	for _, c := range cases {
		changeTime := time.Duration(c.ChangeMS) * time.Millisecond
		t := newTiming(c.Members, changeTime)
		Describe(fmt.Sprintf("with %d members and a change time of %v", c.Members, changeTime), func() {
			It("let a member read nothing from the platform while the coordinator reads it", func() {
				oldestAnswer := max(catalogWait, upstreamInterval) + exchangeSlack
				Expect(oldestAnswer + t.exchangeInterval()).To(BeNumerically("<=", t.staleAfter()))
			})

			It("bring a change to all members in its time, with and without a coordinator", func() {
				Expect(t.staleAfter() + pollCheckInterval + platformReadTime).To(BeNumerically("<", changeTime))
				Expect(t.pollInterval() + platformReadTime).To(BeNumerically("<", changeTime))
			})

			It("keep a member of which one exchange is lost", func() {
				Expect(t.memberTimeout()).To(BeNumerically(">", t.exchangeInterval()+exchangeTimeout+t.earlyExchangeInterval()+exchangeSlack))
			})

			It("keep a coordinator that misses one exchange, and none longer than its lease", func() {
				Expect(t.coordinatorTimeout()).To(BeNumerically(">", t.exchangeInterval()+exchangeTimeout))
				Expect(t.coordinatorTimeout()).To(BeNumerically("<=", max(lease, 2*t.exchangeInterval()+exchangeTimeout)))
			})

			It("don't grow with the number of members beyond what the change time allows", func() {
				Expect(t.exchangeInterval()).To(BeNumerically("<", changeTime/2))
				Expect(t.maxBackoff()).To(BeNumerically("<=", max(maxBackoff, changeTime)))
			})
		})
	}

	It("let the exchanges of small deployments take place as often as before", func() {
		Expect(newTiming(8, 2*time.Second).exchangeInterval()).To(Equal(minExchangeInterval))
	})
})
