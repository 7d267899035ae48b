package coord

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cardamomcourse.example/cardamom/lease"
	"cardamomcourse.example/cardamom/site"
	"cardamomcourse.example/cardamom/syncpb"
	"cardamomcourse.example/cardamom/table"
)

var _ = Describe("an instance, when the store returns from an older copy", func() {
	It("ends its term at once and takes the lease again as its holder, with a greater fencing token", func() {
		l := newLoop("i-1", site.OrderAccepted)
		before, _ := table.Version(4, 100)
		l.lease.Observe(lease.Row{}, 4, 0, start)
		Expect(l.lease.RecordWrite(before, "i-1:2", start)).To(BeTrue())
		l.beginTerm(true, start)
		now := start.Add(time.Second)
		restored, _ := table.Version(5, 91)
		l.observe(lease.Row{Version: restored, Holder: "i-9", Address: "i-9:2", Incarnation: 4}, 5, now)
		Expect(l.term).To(BeNil())
		Expect(l.lease.Next(now)).To(Equal(lease.Take))
		Expect(l.mayTake(now)).To(BeTrue())
		after, _ := table.Version(5, 92)
		l.leaseWritten(after, nil, now, now)
		Expect(l.term.number).To(And(Equal(after), BeNumerically(">", before)))
		Expect(l.term.fresh).To(BeFalse())
	})

	It("follows the coordinator of the new incarnation, whose row has a lower number", func() {
		l := newLoop("i-2", site.OrderAccepted)
		before, _ := table.Version(4, 100)
		after, _ := table.Version(5, 92)
		l.handleExchangeReply("i-1:2", &syncpb.ExchangeReply{Coordinates: true, Tenure: before, Full: true}, nil, start, start)
		l.handleExchangeReply("i-3:2", &syncpb.ExchangeReply{Coordinates: true, Tenure: after, Full: true}, nil, start, start)
		Expect(l.position.coordinator).To(Equal("i-3:2"))
		Expect(l.position.term).To(Equal(after))
	})

	It("does not follow the holder that a restored row names", func() {
		l := newLoop("i-2", site.OrderAccepted)
		before, _ := table.Version(4, 100)
		l.lease.Observe(lease.Row{Version: before, Holder: "i-1", Address: "i-1:2", Incarnation: 4}, 4, 0, start)
		l.handleExchangeReply("i-1:2", &syncpb.ExchangeReply{Coordinates: true, Tenure: before, Full: true}, nil, start, start)
		restored, _ := table.Version(5, 80)
		l.observe(lease.Row{Version: restored, Holder: "i-9", Address: "i-9:2", Incarnation: 4}, 5, start.Add(time.Second))
		Expect(l.position.coordinator).To(Equal("i-1:2"))
		Expect(l.minTerm).To(BeZero())
	})
})
