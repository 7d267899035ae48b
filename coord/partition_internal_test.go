package coord

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/clock"
	"cardamomcourse.example/cardamom/site"
)

// cutOff makes an instance know that it reaches no upstream.
func (l *Loop) cutOff() {
	now := clock.Now()
	l.options.Reach.Failed("x", now)
	l.options.Reach.Failed("y", now)
	l.options.Reach.Probed(true, false, now)
}

var _ = Describe("an instance that reaches no upstream", func() {
	other := func(partitioned, leaving bool) []Member {
		return []Member{{ID: "i-1"}, {ID: "i-2", Partitioned: partitioned, Leaving: leaving}}
	}

	It("tells other instances", func() {
		l := newLoop("i-1", site.OrderAccepted)
		Expect(l.wireMember().GetPartitioned()).To(BeFalse())
		l.cutOff()
		Expect(decodeMember(l.wireMember()).Partitioned).To(BeTrue())
	})

	It("releases the lease for one that reaches upstreams", func() {
		l := newLoop("i-1", site.OrderAccepted)
		l.becomeCoordinator()
		l.state.members = other(false, false)
		Expect(l.shouldYield()).To(BeFalse())
		l.cutOff()
		Expect(l.shouldYield()).To(BeTrue())
	})

	DescribeTable("keeps the lease", func(members []Member) {
		l := newLoop("i-1", site.OrderAccepted)
		l.becomeCoordinator()
		l.state.members = members
		l.cutOff()
		Expect(l.shouldYield()).To(BeFalse())
	},
		Entry("if no other reaches upstreams", other(true, false)),
		Entry("if the only other one leaves", other(false, true)),
		Entry("if it is alone", []Member{{ID: "i-1"}}),
	)

	It("leaves the lease to others while it reaches none", func() {
		l := newLoop("i-1", site.OrderAccepted)
		l.state.members = other(false, false)
		later := clock.Now().Add(time.Minute)
		Expect(l.mayTake(later)).To(BeTrue())
		l.cutOff()
		Expect(l.mayTake(later)).To(BeFalse())
		l.options.Reach.Answered(cardamom.UpstreamID("x"), clock.Now())
		l.options.Reach.Probed(true, true, clock.Now())
		Expect(l.mayTake(later)).To(BeTrue())
	})
})
