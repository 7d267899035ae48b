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

var _ = Describe("a run that wants no requests for a time", func() {
	now := time.Unix(1000, 0)
	run := notice.NewRun("u", 5)

	It("gets some again after it, and at once in its next run", func() {
		book := notice.NewBook()
		Expect(book.Wait(run, 2*time.Second, now)).To(BeTrue())
		until, waits := book.WaitUntil(run, now.Add(time.Second))
		Expect(waits).To(BeTrue())
		Expect(until).To(Equal(now.Add(2 * time.Second)))
		_, waits = book.WaitUntil(run, now.Add(2*time.Second))
		Expect(waits).To(BeFalse())
		_, waits = book.WaitUntil(notice.NewRun("u", 6), now)
		Expect(waits).To(BeFalse())
		Expect(book.Wait(run, time.Second, now.Add(3*time.Second))).To(BeTrue())
	})

	It("waits for the later of two times", func() {
		book := notice.NewBook()
		book.Wait(run, 2*time.Second, now)
		Expect(book.Wait(run, 5*time.Second, now.Add(time.Second))).To(BeFalse())
		Expect(book.Wait(run, time.Second, now.Add(time.Second))).To(BeFalse())
		until, _ := book.WaitUntil(run, now)
		Expect(until).To(Equal(now.Add(6 * time.Second)))
	})

	It("names an invalid time once", func() {
		book := notice.NewBook()
		Expect(book.Invalid("u")).To(BeTrue())
		Expect(book.Invalid("u")).To(BeFalse())
	})

	It("takes bounded room, and none after the time", func() {
		book := notice.NewBook()
		for n := range 20000 {
			book.Wait(notice.NewRun(cardamom.UpstreamID(fmt.Sprint(n)), 1), time.Second, now)
		}
		Expect(book.Waiting(now)).To(BeNumerically("<=", 8192))
		ended := book.Prune(func(cardamom.UpstreamID) (int64, bool) { return 1, true }, now.Add(time.Second))
		Expect(book.Waiting(now)).To(BeZero())
		Expect(ended).To(HaveLen(8192))
	})
})
