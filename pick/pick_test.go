package pick_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/pick"
)

func TestPick(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "pick")
}

var _ = Describe("the choice of an upstream", func() {
	DescribeTable("of two replicas without a prefix",
		func(a, b pick.Candidate, expected cardamom.UpstreamID) {
			a.ID, b.ID = "a", "b"
			id, ok := pick.Best([]pick.Candidate{a, b}, "")
			Expect(ok).To(Equal(expected != ""))
			Expect(id).To(Equal(expected))
		},
		Entry("chooses the one with fewer requests in flight", pick.Candidate{Running: 3}, pick.Candidate{Running: 2}, cardamom.UpstreamID("b")),
		Entry("chooses the one in the same data centre if both are equal", pick.Candidate{Running: 2}, pick.Candidate{Running: 2, SameDataCentre: true}, cardamom.UpstreamID("b")),
		Entry("skips a full one", pick.Candidate{Running: 4, Limit: 4}, pick.Candidate{Running: 9, Limit: 10}, cardamom.UpstreamID("b")),
		Entry("chooses none if all are full", pick.Candidate{Running: 4, Limit: 4}, pick.Candidate{Running: 5, Limit: 5}, cardamom.UpstreamID("")),
		Entry("avoids one that fails half of its requests", pick.Candidate{FailureRate: 0.5}, pick.Candidate{Running: 6}, cardamom.UpstreamID("b")),
		Entry("avoids one that failed for other instances", pick.Candidate{OtherFailures: 8}, pick.Candidate{Running: 4}, cardamom.UpstreamID("b")),
		Entry("chooses an unreachable one last", pick.Candidate{Suspended: true}, pick.Candidate{Running: 60, FailureRate: 1}, cardamom.UpstreamID("b")),
		Entry("avoids one whose first events take long", pick.Candidate{Expected: 2 * time.Second}, pick.Candidate{Running: 12}, cardamom.UpstreamID("b")),
		Entry("does not penalise the usual time to a first event", pick.Candidate{Expected: 250 * time.Millisecond}, pick.Candidate{Running: 1}, cardamom.UpstreamID("a")),
	)

	It("sends prompts with the same prefix to one replica, until that has many more requests in flight", func() {
		replicas := func(extra int, busy cardamom.UpstreamID) []pick.Candidate {
			list := []pick.Candidate{{ID: "a"}, {ID: "b"}, {ID: "c"}}
			for i := range list {
				if list[i].ID == busy {
					list[i].Running = extra
				}
			}
			return list
		}
		preferred, ok := pick.Best(replicas(0, ""), "5c1e07a2:800")
		Expect(ok).To(BeTrue())
		again, _ := pick.Best(replicas(3, preferred), "5c1e07a2:800")
		Expect(again).To(Equal(preferred))
		elsewhere, _ := pick.Best(replicas(9, preferred), "5c1e07a2:800")
		Expect(elsewhere).NotTo(Equal(preferred))
	})
})
