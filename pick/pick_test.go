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
	DescribeTable("of two copies without shared parts",
		func(a, b pick.Candidate, expected cardamom.UpstreamID) {
			a.ID, b.ID = "a", "b"
			id, ok := pick.Best([]pick.Candidate{a, b}, "")
			Expect(ok).To(Equal(expected != ""))
			Expect(id).To(Equal(expected))
		},
		Entry("takes the one with less in progress", pick.Candidate{Running: 3}, pick.Candidate{Running: 2}, cardamom.UpstreamID("b")),
		Entry("takes the near one of equals", pick.Candidate{Running: 2}, pick.Candidate{Running: 2, Near: true}, cardamom.UpstreamID("b")),
		Entry("passes over a full one", pick.Candidate{Running: 4, Limit: 4}, pick.Candidate{Running: 9, Limit: 10}, cardamom.UpstreamID("b")),
		Entry("takes none if all are full", pick.Candidate{Running: 4, Limit: 4}, pick.Candidate{Running: 5, Limit: 5}, cardamom.UpstreamID("")),
		Entry("avoids one that fails half of its requests", pick.Candidate{FailureRate: 0.5}, pick.Candidate{Running: 6}, cardamom.UpstreamID("b")),
		Entry("avoids one that others saw fail", pick.Candidate{OtherFailures: 8}, pick.Candidate{Running: 4}, cardamom.UpstreamID("b")),
		Entry("takes an unreachable one last", pick.Candidate{Suspended: true}, pick.Candidate{Running: 60, FailureRate: 1}, cardamom.UpstreamID("b")),
		Entry("avoids one whose first events take long", pick.Candidate{Expected: 2 * time.Second}, pick.Candidate{Running: 12}, cardamom.UpstreamID("b")),
		Entry("does not mind the usual time to a first event", pick.Candidate{Expected: 250 * time.Millisecond}, pick.Candidate{Running: 1}, cardamom.UpstreamID("a")),
	)

	It("sends prompts that share parts to one copy, until that has much more to do", func() {
		copies := func(extra int, busy cardamom.UpstreamID) []pick.Candidate {
			list := []pick.Candidate{{ID: "a"}, {ID: "b"}, {ID: "c"}}
			for i := range list {
				if list[i].ID == busy {
					list[i].Running = extra
				}
			}
			return list
		}
		home, ok := pick.Best(copies(0, ""), "5c1e07a2:800")
		Expect(ok).To(BeTrue())
		again, _ := pick.Best(copies(3, home), "5c1e07a2:800")
		Expect(again).To(Equal(home))
		elsewhere, _ := pick.Best(copies(9, home), "5c1e07a2:800")
		Expect(elsewhere).NotTo(Equal(home))
	})
})
