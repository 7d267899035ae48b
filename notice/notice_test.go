package notice_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/notice"
)

func TestNotice(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "notice")
}

var _ = Describe("a run that leaves", func() {
	now := time.Unix(1000, 0)
	listed := func(startedMs int64, ok bool) func(cardamom.UpstreamID) (int64, bool) {
		return func(cardamom.UpstreamID) (int64, bool) { return startedMs, ok }
	}

	It("leaves whatever older news says, and not in its next run", func() {
		book := notice.NewBook()
		Expect(book.Leave(notice.NewRun("u", 5), now)).To(BeTrue())
		Expect(book.Leave(notice.NewRun("u", 5), now)).To(BeFalse())
		Expect(book.IsLeaving(notice.NewRun("u", 5))).To(BeTrue())
		Expect(book.IsLeaving(notice.NewRun("u", 4))).To(BeTrue())
		Expect(book.IsLeaving(notice.NewRun("u", 6))).To(BeFalse())
		Expect(book.IsLeaving(notice.NewRun("v", 5))).To(BeFalse())
	})

	It("isn't replaced by what an earlier run said", func() {
		book := notice.NewBook()
		book.Leave(notice.NewRun("u", 5), now)
		Expect(book.Leave(notice.NewRun("u", 4), now)).To(BeFalse())
		Expect(book.Leaving()).To(Equal([]notice.Run{notice.NewRun("u", 5)}))
	})

	It("is told of once", func() {
		book := notice.NewBook()
		var told []notice.Run
		book.OnLeave(func(run notice.Run) { told = append(told, run) })
		for range 3 {
			book.Leave(notice.NewRun("u", 5), now)
		}
		Expect(told).To(Equal([]notice.Run{notice.NewRun("u", 5)}))
	})

	It("is forgotten with its next run, or long after it was last said", func() {
		book := notice.NewBook()
		book.Leave(notice.NewRun("u", 5), now)
		book.Prune(listed(5, true), now.Add(9*time.Minute))
		book.Prune(listed(0, false), now.Add(9*time.Minute))
		Expect(book.IsLeaving(notice.NewRun("u", 5))).To(BeTrue())
		book.Prune(listed(6, true), now)
		Expect(book.Leaving()).To(BeEmpty())
		book.Leave(notice.NewRun("u", 6), now)
		book.Prune(listed(0, false), now.Add(10*time.Minute))
		Expect(book.Leaving()).To(BeEmpty())
	})

	It("takes bounded room", func() {
		book := notice.NewBook()
		for n := range 20000 {
			book.Leave(notice.NewRun(cardamom.UpstreamID(fmt.Sprint(n)), 1), now)
		}
		Expect(len(book.Leaving())).To(BeNumerically("<=", 8192))
	})
})
