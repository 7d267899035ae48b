package relay

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cardamomcourse.example/cardamom/site"
)

var _ = Describe("a stream's delivery", func() {
	It("has the longest gap and the longest time in this instance", func() {
		d := delivery{}
		start := time.Unix(1000, 0)
		for _, e := range []struct{ read, written time.Duration }{{0, 5}, {40, 41}, {200, 230}, {240, 242}} {
			d.written(start.Add(e.read*time.Millisecond), start.Add(e.written*time.Millisecond))
		}
		Expect(d.longestGap).To(Equal(189 * time.Millisecond))
		Expect(d.longestRelay).To(Equal(30 * time.Millisecond))
	})

	stream := &site.Route{Kind: site.Streaming, TargetLatency: 500 * time.Millisecond, TargetGap: 150 * time.Millisecond}
	call := &site.Route{Kind: site.Idempotent, TargetLatency: 150 * time.Millisecond}
	DescribeTable("is late", func(route *site.Route, first, gap, took int, expected string) {
		ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
		Expect(lateness(route, ms(first), ms(gap), ms(took))).To(Equal(expected))
	},
		Entry("not within both targets", stream, 500, 150, 9000, ""),
		Entry("by its first event", stream, 501, 200, 9000, "first_event"),
		Entry("by a gap", stream, 100, 151, 9000, "gap"),
		Entry("not by a gap where the route has no target for it", &site.Route{Kind: site.Streaming, TargetLatency: time.Second}, 100, 5000, 9000, ""),
		Entry("as a whole if it is no stream", call, 0, 0, 151, "response"),
		Entry("not as a whole within the target", call, 0, 0, 150, ""),
		Entry("not without a route", nil, 900, 900, 900, ""),
	)
})
