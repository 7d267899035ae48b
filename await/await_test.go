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

// asker answers calls as it is told and counts them.
type asker struct {
	mu       sync.Mutex
	calls    []coord.Need
	answers  chan coord.Prospect
	standing *coord.Prospect
}

func (a *asker) Await(ctx context.Context, need coord.Need) coord.Prospect {
	a.mu.Lock()
	a.calls = append(a.calls, need)
	standing := a.standing
	a.mu.Unlock()
	if standing != nil {
		return *standing
	}
	select {
	case prospect := <-a.answers:
		return prospect
	case <-ctx.Done():
		return coord.Prospect{Expected: -1}
	}
}

func (a *asker) asked() []coord.Need {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]coord.Need(nil), a.calls...)
}

var key = await.Key{Service: "s", Model: "m"}

var _ = Describe("the desk", func() {
	It("asks once for a burst of requests and lets all go when the model is ready", func() {
		a := &asker{answers: make(chan coord.Prospect)}
		desk := await.New(a)
		verdicts := make(chan await.Verdict, 50)
		for range 50 {
			go func() { verdicts <- desk.Wait(context.Background(), key, time.Minute) }()
		}
		answers := 0
		Eventually(func() int {
			a.answers <- coord.Prospect{Known: true, Expected: time.Second}
			answers++
			calls := a.asked()
			return calls[len(calls)-1].Waiting
		}, 10*time.Second).Should(Equal(50))
		a.answers <- coord.Prospect{Known: true, Ready: true}
		for range 50 {
			Eventually(verdicts, 10*time.Second).Should(Receive(HaveField("Ready", true)))
		}
		Expect(len(a.asked())).To(BeNumerically("<=", answers+2))
	})

	It("refuses only those that can't wait so long, at once and with the time to return", func() {
		a := &asker{answers: make(chan coord.Prospect)}
		desk := await.New(a)
		hasty, patient := make(chan await.Verdict, 1), make(chan await.Verdict, 1)
		go func() { hasty <- desk.Wait(context.Background(), key, 20*time.Second) }()
		go func() { patient <- desk.Wait(context.Background(), key, 10*time.Minute) }()
		a.answers <- coord.Prospect{Known: true, Expected: time.Minute}
		var verdict await.Verdict
		Eventually(hasty, 10*time.Second).Should(Receive(&verdict))
		Expect(verdict.Ready).To(BeFalse())
		Expect(verdict.Expected).To(BeTrue())
		Expect(verdict.Later).To(BeNumerically("~", time.Minute, 15*time.Second))
		a.answers <- coord.Prospect{Known: true, Ready: true}
		Eventually(patient, 10*time.Second).Should(Receive(HaveField("Ready", true)))
	})

	It("tells once which upstreams could not be reached", func() {
		a := &asker{answers: make(chan coord.Prospect)}
		desk := await.New(a)
		verdicts := make(chan await.Verdict, 1)
		go func() { verdicts <- desk.Wait(context.Background(), key, time.Minute, "i-2", "i-1") }()
		a.answers <- coord.Prospect{Known: true, Expected: time.Second}
		a.answers <- coord.Prospect{Known: true, Ready: true}
		Eventually(verdicts, 10*time.Second).Should(Receive(HaveField("Ready", true)))
		Expect(a.asked()[0].Doubts).To(Equal([]cardamom.UpstreamID{"i-1", "i-2"}))
		Expect(a.asked()[1].Doubts).To(BeEmpty())
	})

	It("refuses short requests while no coordinator answers", func() {
		desk := await.New(&asker{standing: &coord.Prospect{Expected: -1}})
		verdict := desk.Wait(context.Background(), key, 2*time.Second)
		Expect(verdict.Ready).To(BeFalse())
		Expect(verdict.Expected).To(BeFalse())
		Expect(verdict.Later).To(BeNumerically(">", 0))
	})

	It("ends a wait whose caller left", func() {
		a := &asker{answers: make(chan coord.Prospect)}
		desk := await.New(a)
		ctx, cancel := context.WithCancel(context.Background())
		verdicts := make(chan await.Verdict, 1)
		go func() { verdicts <- desk.Wait(ctx, key, time.Minute) }()
		Eventually(a.asked, 10*time.Second).Should(HaveLen(1))
		cancel()
		Eventually(verdicts, 10*time.Second).Should(Receive(HaveField("Ready", false)))
		a.answers <- coord.Prospect{Known: true, Expected: time.Second}
	})
})
