package admit_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/admit"
	"cardamomcourse.example/cardamom/cells"
)

// simulateLatency returns the latency of the new request, by assigning it and each
// request before it to the slot that is free first.
func simulateLatency(state admit.QueueState) time.Duration {
	limit := max(state.Limit, 1)
	servers := make([]time.Duration, limit)
	var finish time.Duration
	for range state.Ahead + state.Running + 1 {
		first := 0
		for n := range servers {
			if servers[n] < servers[first] {
				first = n
			}
		}
		servers[first] += state.ServiceTime
		finish = servers[first]
	}
	return state.ReadyIn + finish
}

var _ = Describe("the expected latency of a request", func() {
	It("is within one service time of a simulated queue", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			state := admit.QueueState{
				Ahead: rapid.IntRange(0, 50).Draw(t, "ahead"), Limit: rapid.IntRange(1, 9).Draw(t, "limit"),
				ServiceTime: time.Duration(rapid.IntRange(1, 500).Draw(t, "service")) * time.Millisecond,
				ReadyIn:     time.Duration(rapid.IntRange(0, 500).Draw(t, "ready")) * time.Millisecond,
			}
			state.Running = rapid.IntRange(0, state.Limit).Draw(t, "running")
			got, want := admit.ExpectedLatency(state), simulateLatency(state)
			if difference := got - want; difference > state.ServiceTime || difference < -state.ServiceTime {
				t.Fatalf("expected %v, simulated %v", got, want)
			}
		})
	})
})

// testMaxBytes is the memory limit for requests in these tests.
const testMaxBytes = 1000

var _ = Describe("an admission controller", func() {
	var (
		controller *admit.Controller
		demands    int
		now        time.Time
	)
	replica := func(slots int) map[cardamom.ModelID][]cells.Replica {
		key := cells.ReplicaKey{Model: "m", Upstream: "u"}
		return map[cardamom.ModelID][]cells.Replica{"m": {{ReplicaKey: key, State: cells.ReplicaReady, Slots: slots, Sharers: 1}}}
	}
	request := func(priority int, deadline time.Duration) admit.Request {
		return admit.Request{Model: "m", Cell: "c", Caller: "x", Priority: priority, Arrived: now, Deadline: now.Add(deadline)}
	}

	BeforeEach(func() {
		demands, now = 0, time.Now()
		controller = admit.New(admit.Deadline(), testMaxBytes, func(cardamom.CellID) { demands++ })
	})

	enter := func(r admit.Request) chan *admit.Permit {
		got := make(chan *admit.Permit, 1)
		go func() {
			defer GinkgoRecover()
			permit, _ := controller.Acquire(context.Background(), r, now)
			got <- permit
		}()
		return got
	}
	waiting := func() int { n, _ := controller.Counts(); return n }

	It("reports demand for a model without replicas and serves it once one is ready", func() {
		got := enter(request(0, time.Minute))
		Eventually(waiting).Should(Equal(1))
		Expect(demands).To(Equal(1))
		uses, _ := controller.Uses("c")
		Expect(uses).To(HaveLen(1))
		Expect(uses[0].Waiting).To(Equal(1))
		controller.Update("c", replica(1), now)
		Eventually(got).Should(Receive(Not(BeNil())))
	})

	It("runs no more requests at a time than the replica has slots", func() {
		controller.Update("c", replica(1), now)
		first := <-enter(request(0, time.Minute))
		second := enter(request(0, time.Minute))
		Eventually(waiting).Should(Equal(1))
		Consistently(second, "50ms").ShouldNot(Receive())
		first.Release(admit.Done, now.Add(time.Millisecond))
		Eventually(second).Should(Receive(Not(BeNil())))
	})

	It("serves urgent requests first, except before low-priority ones that have waited long", func() {
		controller.Update("c", replica(1), now)
		first := <-enter(request(0, time.Hour))
		old := request(9, time.Hour)
		old.Arrived = now.Add(-time.Minute)
		young := request(9, time.Hour)
		aged, recent, urgent := enter(old), enter(young), enter(request(0, time.Hour))
		Eventually(waiting).Should(Equal(3))
		first.Release(admit.Failed, now)
		var permit *admit.Permit
		Eventually(aged).Should(Receive(&permit))
		permit.Release(admit.Failed, now)
		Eventually(urgent).Should(Receive(&permit))
		permit.Release(admit.Failed, now)
		Eventually(recent).Should(Receive(&permit))
	})

	It("refuses at once a request that can't finish in time", func() {
		controller.Update("c", replica(1), now)
		permit := <-enter(request(0, time.Minute))
		permit.Release(admit.Done, now.Add(10*time.Second))
		_ = enter(request(0, time.Minute))
		Eventually(func() int { _, running := controller.Counts(); return running }).Should(Equal(1))
		_, refusal := controller.Acquire(context.Background(), request(0, 15*time.Second), now)
		Expect(refusal).NotTo(BeNil())
		Expect(refusal.Reason()).To(Equal(cardamom.ReasonOverload))
		Expect(refusal.Outcome()).To(Equal(cardamom.NotRun))
		Expect(refusal.RetryAfter()).To(BeNumerically(">", 0))
	})

	It("refuses a waiting request that can no longer finish in time", func() {
		refused := make(chan *cardamom.Refusal, 1)
		go func() {
			_, refusal := controller.Acquire(context.Background(), request(0, time.Hour), now)
			refused <- refusal
		}()
		Eventually(waiting).Should(Equal(1))
		controller.Sweep(now.Add(2 * time.Hour))
		var refusal *cardamom.Refusal
		Eventually(refused).Should(Receive(&refusal))
		Expect(refusal.Reason()).To(Equal(cardamom.ReasonDeadline))
	})

	It("runs one suspected request at a time on an upstream", func() {
		controller.Update("c", replica(4), now)
		suspect := request(0, time.Minute)
		suspect.Suspected = true
		first := <-enter(suspect)
		second := enter(suspect)
		Eventually(waiting).Should(Equal(1))
		Expect(<-enter(request(1, time.Minute))).NotTo(BeNil())
		first.Release(admit.Failed, now)
		Eventually(second).Should(Receive(Not(BeNil())))
	})

	It("limits the memory of waiting requests and frees it when they end", func() {
		big := request(0, time.Minute)
		big.Size = testMaxBytes
		got := enter(big)
		Eventually(waiting).Should(Equal(1))
		_, refusal := controller.Acquire(context.Background(), big, now)
		Expect(refusal).NotTo(BeNil())
		Expect(refusal.Reason()).To(Equal(cardamom.ReasonQueueFull))
		controller.Update("c", replica(1), now)
		(<-got).Release(admit.Done, now)
		Expect(<-enter(big)).NotTo(BeNil())
	})

	It("removes the request of a caller that disconnects", func() {
		ctx, cancel := context.WithCancel(context.Background())
		refused := make(chan *cardamom.Refusal, 1)
		go func() {
			_, refusal := controller.Acquire(ctx, request(0, time.Hour), now)
			refused <- refusal
		}()
		Eventually(waiting).Should(Equal(1))
		cancel()
		var refusal *cardamom.Refusal
		Eventually(refused).Should(Receive(&refusal))
		Expect(refusal.Reason()).To(Equal(cardamom.ReasonCallerGone))
		Expect(waiting()).To(BeZero())
	})
})
