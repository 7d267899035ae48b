package coord

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/clock"
	"cardamomcourse.example/cardamom/notice"
	"cardamomcourse.example/cardamom/site"
	"cardamomcourse.example/cardamom/syncpb"
)

var _ = Describe("an upstream that says in an answer that it leaves", func() {
	run := notice.NewRun("x", 1)

	leaves := func(reply *syncpb.ExchangeReply) bool {
		for _, upstream := range reply.GetUpstreams() {
			if upstream.GetId() == "x" {
				return upstream.GetLeaving()
			}
		}
		return false
	}

	It("is known to leave to the coordinator, its plan and all members after one exchange", func() {
		coordinator, member := newLoop("a", site.OrderAccepted), newLoop("b", site.OrderAccepted)
		coordinator.becomeCoordinator()
		Expect(leaves(coordinator.exchangeFrom("c", 0, start))).To(BeFalse())
		member.options.Notices.Leave(run, start)
		reply := coordinator.exchange(member.report(member.options.Demand.Take()), start)
		coordinator.term.publishPlan(coordinator.term.plans["s"])
		Expect(coordinator.state.upstreams["x"].State).To(Equal(cardamom.Leaving))
		Expect(leaves(coordinator.exchangeFrom("c", reply.GetChange(), start))).To(BeTrue())
	})

	It("stays so against a listing, a coordinator's data and a removal that are older", func() {
		l := newLoop("a", site.OrderAccepted)
		live := &site.Upstream{Upstream: cardamom.Upstream{ID: "x", Service: "s", Address: "x:1", State: cardamom.Live}, StartedMs: 1, RegistrationSeq: 9}
		l.setUpstream(live, "test")
		l.options.Notices.Leave(run, start)
		l.applyLeave(run, "response", start)
		l.applyListing(site.UpstreamUpdate{Full: true, Present: []*site.Upstream{live}}, start, start)
		Expect(l.state.upstreams["x"].State).To(Equal(cardamom.Leaving))
		l.applyExchangeReply(&syncpb.ExchangeReply{Coordinates: true, Full: true, Upstreams: []*syncpb.Upstream{encodeUpstream(live)}}, start)
		Expect(l.state.upstreams["x"].State).To(Equal(cardamom.Leaving))
		l.removeUpstream("x", "platform")
		l.setUpstream(live, "test")
		Expect(l.options.Notices.IsLeaving(run)).To(BeTrue())
	})

	It("stays known to the coordinator for the plan if it asks a member for a wait", func() {
		coordinator, member := newLoop("a", site.OrderAccepted), newLoop("b", site.OrderAccepted)
		plan := coordinator.becomeCoordinator()
		plan.RecordWait("m", "", start.Add(time.Second))
		coordinator.stepTerm(start)
		Expect(plan.Ready("m", "", start)).To(HaveLen(1))
		Expect(member.options.Notices.Wait(run, 30*time.Second, clock.Now())).To(BeTrue())
		coordinator.exchange(member.report(member.options.Demand.Take()), start)
		coordinator.stepTerm(start)
		Expect(plan.Ready("m", "", start)).To(BeEmpty())
		expected, known := plan.ReadyIn("m", "", start)
		Expect(known).To(BeTrue())
		Expect(expected).To(BeNumerically("<", 5*time.Second))
		Expect(coordinator.options.Notices.Waiting(start)).To(BeZero())

		coordinator.setUpstream(&site.Upstream{Upstream: cardamom.Upstream{ID: "x", Service: "s", State: cardamom.Live}, StartedMs: 2}, "test")
		Expect(coordinator.term.planWaits(start)).To(BeEmpty())
	})

	It("makes the next exchange early if it asks for a wait", func() {
		l := newLoop("a", site.OrderAccepted)
		l.options.Notices.Wait(run, time.Second, start)
		var event func(time.Time)
		Eventually(l.events, 10*time.Second).Should(Receive(&event))
		event(start)
		Expect(l.reportSoon).To(BeTrue())
	})

	It("is live again in its next run", func() {
		l := newLoop("a", site.OrderAccepted)
		l.setUpstream(&site.Upstream{Upstream: cardamom.Upstream{ID: "x", Service: "s", State: cardamom.Live}, StartedMs: 1}, "test")
		l.options.Notices.Leave(run, start)
		l.applyLeave(run, "response", start)
		l.setUpstream(&site.Upstream{Upstream: cardamom.Upstream{ID: "x", Service: "s", State: cardamom.Live}, StartedMs: 2}, "test")
		Expect(l.state.upstreams["x"].State).To(Equal(cardamom.Live))
		l.applyLeave(run, "member", start)
		Expect(l.state.upstreams["x"].State).To(Equal(cardamom.Live))
		l.pruneNotices(start)
		Expect(l.options.Notices.Leaving()).To(BeEmpty())
	})

	It("is known from the answer with its report", func() {
		l := newLoop("a", site.OrderAccepted)
		l.becomeCoordinator()
		l.term.recordLeave("x", site.Report{Leaving: true}, start)
		l.term.recordLeave("y", site.Report{}, start)
		var event func(time.Time)
		Eventually(l.events, 10*time.Second).Should(Receive(&event))
		event(start)
		Expect(l.state.upstreams["x"].State).To(Equal(cardamom.Leaving))
		Expect(l.state.upstreams["y"].State).To(Equal(cardamom.Live))
	})
})
