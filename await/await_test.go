package await_test

import (
	"context"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/await"
	"cardamomcourse.example/cardamom/coord"
)

func TestAwait(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "await")
}

// coordinator records all calls and answers them from a channel, or always alike.
type coordinator struct {
	mu      sync.Mutex
	calls   []coord.Need
	answers chan coord.AwaitResult
	fixed   *coord.AwaitResult
}

func (c *coordinator) Await(ctx context.Context, need coord.Need) coord.AwaitResult {
	c.mu.Lock()
	c.calls = append(c.calls, need)
	fixed := c.fixed
	c.mu.Unlock()
	if fixed != nil {
		return *fixed
	}
	select {
	case answer := <-c.answers:
		return answer
	case <-ctx.Done():
		return coord.AwaitResult{Expected: -1}
	}
}

func (c *coordinator) received() []coord.Need {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]coord.Need(nil), c.calls...)
}

var key = await.Key{Service: "s", Model: "m"}

var _ = Describe("waiting requests", func() {
	It("share one call at a time and end together when the model is ready", func() {
		a := &coordinator{answers: make(chan coord.AwaitResult)}
		waiters := await.New(a)
		verdicts := make(chan await.Verdict, 50)
		for range 50 {
			go func() { verdicts <- waiters.Wait(context.Background(), key, time.Minute) }()
		}
		answers := 0
		Eventually(func() int {
			a.answers <- coord.AwaitResult{Answered: true, Expected: time.Second}
			answers++
			calls := a.received()
			return calls[len(calls)-1].Waiting
		}, 10*time.Second).Should(Equal(50))
		a.answers <- coord.AwaitResult{Answered: true, Ready: true}
		for range 50 {
			Eventually(verdicts, 10*time.Second).Should(Receive(HaveField("Ready", true)))
		}
		Expect(len(a.received())).To(BeNumerically("<=", answers+2))
	})

	It("are refused only if their timeout is too short, at once and with a retry delay", func() {
		a := &coordinator{answers: make(chan coord.AwaitResult)}
		waiters := await.New(a)
		short, long := make(chan await.Verdict, 1), make(chan await.Verdict, 1)
		go func() { short <- waiters.Wait(context.Background(), key, 20*time.Second) }()
		go func() { long <- waiters.Wait(context.Background(), key, 10*time.Minute) }()
		a.answers <- coord.AwaitResult{Answered: true, Expected: time.Minute}
		var verdict await.Verdict
		Eventually(short, 10*time.Second).Should(Receive(&verdict))
		Expect(verdict.Ready).To(BeFalse())
		Expect(verdict.FromCoordinator).To(BeTrue())
		Expect(verdict.RetryAfter).To(BeNumerically("~", time.Minute, 15*time.Second))
		a.answers <- coord.AwaitResult{Answered: true, Ready: true}
		Eventually(long, 10*time.Second).Should(Receive(HaveField("Ready", true)))
	})

	It("report unreachable upstreams once", func() {
		a := &coordinator{answers: make(chan coord.AwaitResult)}
		waiters := await.New(a)
		verdicts := make(chan await.Verdict, 1)
		go func() { verdicts <- waiters.Wait(context.Background(), key, time.Minute, "i-2", "i-1") }()
		a.answers <- coord.AwaitResult{Answered: true, Expected: time.Second}
		a.answers <- coord.AwaitResult{Answered: true, Ready: true}
		Eventually(verdicts, 10*time.Second).Should(Receive(HaveField("Ready", true)))
		Expect(a.received()[0].Unreachable).To(Equal([]cardamom.UpstreamID{"i-1", "i-2"}))
		Expect(a.received()[1].Unreachable).To(BeEmpty())
	})

	It("are refused if their timeout is short while no coordinator answers", func() {
		waiters := await.New(&coordinator{fixed: &coord.AwaitResult{Expected: -1}})
		verdict := waiters.Wait(context.Background(), key, 2*time.Second)
		Expect(verdict.Ready).To(BeFalse())
		Expect(verdict.FromCoordinator).To(BeFalse())
		Expect(verdict.RetryAfter).To(BeNumerically(">", 0))
	})

	It("are refused on the coordinator's word if the model isn't ready when it had expected", func() {
		a := &coordinator{answers: make(chan coord.AwaitResult)}
		waiters := await.New(a)
		verdicts := make(chan await.Verdict, 1)
		go func() { verdicts <- waiters.Wait(context.Background(), key, 200*time.Millisecond) }()
		a.answers <- coord.AwaitResult{Answered: true}
		var verdict await.Verdict
		Eventually(verdicts, 10*time.Second).Should(Receive(&verdict))
		Expect(verdict.Ready).To(BeFalse())
		Expect(verdict.FromCoordinator).To(BeTrue())
	})

	It("end when their caller cancels the request", func() {
		a := &coordinator{answers: make(chan coord.AwaitResult)}
		waiters := await.New(a)
		ctx, cancel := context.WithCancel(context.Background())
		verdicts := make(chan await.Verdict, 1)
		go func() { verdicts <- waiters.Wait(ctx, key, time.Minute) }()
		Eventually(a.received, 10*time.Second).Should(HaveLen(1))
		cancel()
		Eventually(verdicts, 10*time.Second).Should(Receive(HaveField("Ready", false)))
		a.answers <- coord.AwaitResult{Answered: true, Expected: time.Second}
	})
})
