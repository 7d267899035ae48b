package revs_test

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/fakes"
	"cardamomcourse.example/cardamom/revs"
	"cardamomcourse.example/cardamom/table"
)

var _ = Describe("publishing", func() {
	var (
		ctx   context.Context
		fake  *fakes.Table
		store *table.HTTP
		now   = time.Unix(1000, 0)
	)

	BeforeEach(func() {
		ctx = context.Background()
		fake = fakes.NewTable(10000, 10000)
		server := httptest.NewServer(fake.Handler())
		DeferCleanup(server.Close)
		store = table.NewHTTP(server.Listener.Addr().String(), time.Second)
	})

	It("publishes one of ten concurrent edits and returns a conflict for the others", func() {
		var publishers sync.WaitGroup
		errs := make(chan error, 10)
		for n := range 10 {
			publishers.Go(func() {
				_, err := revs.Publish(ctx, store, revs.Edit{ID: fmt.Sprintf("e%d", n), Document: []byte("{}")}, now)
				errs <- err
			})
		}
		publishers.Wait()
		close(errs)
		published := 0
		for err := range errs {
			if err == nil {
				published++
				continue
			}
			Expect(errors.Is(err, revs.ErrConflict)).To(BeTrue(), err.Error())
		}
		Expect(published).To(Equal(1))
		Expect(revs.History(ctx, store)).To(HaveLen(1))
	})

	It("publishes once when the reply is lost after the commit", func() {
		fake.SetFaults(fakes.TableFaults{LoseReplies: 2})
		revision, err := revs.Publish(ctx, store, revs.Edit{ID: "e", Document: []byte("{}")}, now)
		Expect(err).NotTo(HaveOccurred())
		Expect(revision.Number).To(Equal(cardamom.Revision(1)))
		Expect(revs.History(ctx, store)).To(HaveLen(1))
	})

	It("returns the earlier revision for an edit that was published before, even after later edits", func() {
		first := revs.Edit{ID: "e", Document: []byte("{}")}
		_, err := revs.Publish(ctx, store, first, now)
		Expect(err).NotTo(HaveOccurred())
		_, err = revs.Publish(ctx, store, revs.Edit{ID: "f", Base: 1, Document: []byte("{}")}, now)
		Expect(err).NotTo(HaveOccurred())
		again, err := revs.Publish(ctx, store, first, now)
		Expect(err).NotTo(HaveOccurred())
		Expect(again.Number).To(Equal(cardamom.Revision(1)))
		head, err := revs.Head(ctx, store)
		Expect(err).NotTo(HaveOccurred())
		Expect(head.Number).To(Equal(cardamom.Revision(2)))
	})

	It("returns table.ErrUnavailable while the table is down", func() {
		fake.SetFaults(fakes.TableFaults{Down: true})
		_, err := revs.Publish(ctx, store, revs.Edit{ID: "e"}, now)
		Expect(errors.Is(err, table.ErrUnavailable)).To(BeTrue())
	})
})
