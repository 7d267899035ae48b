package coord

import (
	"context"
	"errors"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cardamomcourse.example/cardamom/lease"
	"cardamomcourse.example/cardamom/site"
	"cardamomcourse.example/cardamom/table"
)

// rows is a table that keeps what is committed.
type rows struct {
	table.Store
	committed chan []byte
}

func (r rows) Commit(_ context.Context, writes ...table.Write) (uint64, error) {
	for _, write := range writes {
		r.committed <- write.Value
	}
	return 8, nil
}

var _ = Describe("a coordinator that leaves", func() {
	var l *Loop
	var store rows

	// handle handles the next event of the loop.
	handle := func() {
		GinkgoHelper()
		var event func(time.Time)
		Eventually(l.events).Should(Receive(&event))
		event(start.Add(2 * time.Second))
	}
	// leave asks the loop to leave and returns the result.
	leave := func() error {
		result := make(chan error, 1)
		go func() { result <- l.Leave(context.Background()) }()
		handle()
		var err error
		Eventually(result).Should(Receive(&err))
		return err
	}
	BeforeEach(func() {
		l = newLoop("i-1", site.OrderAccepted)
		store = rows{committed: make(chan []byte, 1)}
		l.options.Table = store
		l.becomeCoordinator()
	})

	It("releases the lease at once", func() {
		Expect(leave()).To(Succeed())
		Expect(l.term).To(BeNil())
		Expect(<-store.committed).To(ContainSubstring(`"released":true`))
	})

	It("goes on while the store doesn't answer, as nobody else can take the lease", func() {
		l.leaseWritten(0, errors.New("no answer"), start, start.Add(time.Second))
		Expect(leave()).To(Succeed())
		Expect(l.term).NotTo(BeNil())
		Expect(store.committed).To(BeEmpty())
		Expect(l.exchange(l.report(l.options.Demand.Take()), start.Add(2*time.Second)).GetCoordinates()).To(BeTrue())
		l.stepLease(start.Add(2 * time.Second))
		Expect(<-store.committed).To(ContainSubstring(`"released":false`))
		handle()
		Expect(l.term).To(BeNil())
		Expect(<-store.committed).To(ContainSubstring(`"released":true`))
	})

	It("doesn't take the lease again after it has lost it", func() {
		l.leaseWritten(0, errors.New("no answer"), start, start.Add(time.Second))
		Expect(leave()).To(Succeed())
		l.observe(lease.Row{Version: 9, Holder: "i-2", Address: "i-2:2"}, 0, start.Add(2*time.Second))
		l.stepLease(start.Add(2 * time.Second))
		Expect(l.term).To(BeNil())
		l.stepLease(start.Add(time.Minute))
		Expect(store.committed).To(BeEmpty())
	})
})

var _ = Describe("a coordinator whose renewal gets no answer", func() {
	DescribeTable("goes on ordering",
		func(answered time.Duration, expected bool) {
			l := newLoop("i-1", site.OrderAccepted)
			l.options.Table = rows{committed: make(chan []byte, 1)}
			l.becomeCoordinator()
			began := start.Add(2 * time.Second)
			now := began.Add(answered)
			l.leaseWritten(0, errors.New("no answer"), began, now)
			Expect(l.lease.MayOrder(now.Add(time.Second), true)).To(Equal(expected))
		},
		Entry("while the store is away, as nobody can take the lease", time.Second, true),
		Entry("not after it was frozen meanwhile, when another may have taken it", 8*time.Second, false),
	)
})
