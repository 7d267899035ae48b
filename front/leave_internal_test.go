package front

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// An instance with a long grace time accepted requests that were cut off at its end.
var _ = Describe("the time for which a leaving instance accepts requests", func() {
	DescribeTable("leaves most of the grace time to the requests in flight, and ends soon", func(grace, accept time.Duration) {
		Expect(acceptTime(grace)).To(Equal(accept))
		Expect(acceptTime(grace)).To(BeNumerically("<", 3*time.Second))
	},
		Entry("a short grace time", 3*time.Second, 1020*time.Millisecond),
		Entry("a usual one", 8*time.Second, 2720*time.Millisecond),
		Entry("a long one", 12*time.Second, maxAcceptTime),
		Entry("a very long one", time.Minute, maxAcceptTime),
	)
})
