package relay

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cardamomcourse.example/cardamom/site"
)

var _ = Describe("the remaining time of a caller", func() {
	start := time.Unix(1000, 0)
	route := &site.Route{Kind: site.Streaming, Timeout: 15 * time.Second, TargetLatency: 400 * time.Millisecond, TargetGap: 300 * time.Millisecond}

	DescribeTable("of a stream",
		func(started bool, after, expected time.Duration) {
			x := &exchange{arrived: start, route: route, headerSent: started, info: RequestInfo{Deadline: 15 * time.Second}}
			Expect(x.remaining(start.Add(after))).To(Equal(expected))
		},
		Entry("is the first event's timeout less the time since the arrival", false, time.Second, 2400*time.Millisecond-firstEventMargin-time.Second),
		Entry("is used up before the first event", false, 3*time.Second, -600*time.Millisecond-firstEventMargin),
		Entry("restarts with each event", true, 6*time.Second, 2400*time.Millisecond-firstEventMargin),
		Entry("ends with the deadline", true, 14*time.Second, time.Second),
	)
})
