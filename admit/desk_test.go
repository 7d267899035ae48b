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

// naiveExpect plays the queue through, one request after another.
func naiveExpect(load admit.Load) time.Duration {
	limit := max(load.Limit, 1)
	servers := make([]time.Duration, limit)
	var finish time.Duration
	for range load.Ahead + load.Running + 1 {
		first := 0
		for n := range servers {
			if servers[n] < servers[first] {
				first = n
			}
		}
		servers[first] += load.Service
		finish = servers[first]
	}
	return load.ReadyIn + finish
}

var _ = Describe("the expected time of a request", func() {
	It("is within one service time of the queue played through", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			load := admit.Load{
				Ahead: rapid.IntRange(0, 50).Draw(t, "ahead"), Limit: rapid.IntRange(1, 9).Draw(t, "limit"),
				Service: time.Duration(rapid.IntRange(1, 500).Draw(t, "service")) * time.Millisecond,
				ReadyIn: time.Duration(rapid.IntRange(0, 500).Draw(t, "ready")) * time.Millisecond,
			}
			load.Running = rapid.IntRange(0, load.Limit).Draw(t, "running")
			got, want := admit.Expect(load), naiveExpect(load)
			if difference := got - want; difference > load.Service || difference < -load.Service {
				t.Fatalf("expected %v, played through %v", got, want)
			}
		})
	})
})

// testBytes is the memory for requests of the specs' desk.
const testBytes = 1000

var _ = Describe("a desk", func() {
	var (
		desk    *admit.Desk
		demands int
		now     time.Time
	)
	replica := func(slots int) map[cardamom.ModelID][]cells.Replica {
		seat := cells.Seat{Model: "m", Upstream: "u"}
		return map[cardamom.ModelID][]cells.Replica{"m": {{Seat: seat, State: cells.ReplicaReady, Slots: slots, Sharers: 1}}}
	}
	ticket := func(priority int, deadline time.Duration) admit.Ticket {
		return admit.Ticket{Model: "m", Cell: "c", Caller: "x", Priority: priority, Arrived: now, Deadline: now.Add(deadline)}
	}

	BeforeEach(func() {
		demands, now = 0, time.Now()
		desk = admit.New(admit.Deadline(), testBytes, func(cardamom.CellID) { demands++ })
	})

	enter := func(t admit.Ticket) chan *admit.Pass {
		got := make(chan *admit.Pass, 1)
		go func() {
			defer GinkgoRecover()
			pass, _ := desk.Enter(context.Background(), t, now)
			got <- pass
		}()
		return got
	}
	waiting := func() int { n, _ := desk.Waiting(); return n }

	It("tells of demand for a cold model and serves it once a replica is ready", func() {
		got := enter(ticket(0, time.Minute))
		Eventually(waiting).Should(Equal(1))
		Expect(demands).To(Equal(1))
		uses, _ := desk.Uses("c")
		Expect(uses).To(HaveLen(1))
		Expect(uses[0].Waiting).To(Equal(1))
		desk.Update("c", replica(1), now)
		Eventually(got).Should(Receive(Not(BeNil())))
	})

	It("gives each place to one request at a time", func() {
		desk.Update("c", replica(1), now)
		first := <-enter(ticket(0, time.Minute))
		second := enter(ticket(0, time.Minute))
		Eventually(waiting).Should(Equal(1))
		Consistently(second, "50ms").ShouldNot(Receive())
		first.Release(admit.Done, now.Add(time.Millisecond))
		Eventually(second).Should(Receive(Not(BeNil())))
	})

	It("serves the urgent before the patient, but not for ever", func() {
		desk.Update("c", replica(1), now)
		first := <-enter(ticket(0, time.Hour))
		old := ticket(9, time.Hour)
		old.Arrived = now.Add(-time.Minute)
		young := ticket(9, time.Hour)
		aged, patient, urgent := enter(old), enter(young), enter(ticket(0, time.Hour))
		Eventually(waiting).Should(Equal(3))
		first.Release(admit.Broken, now)
		var pass *admit.Pass
		Eventually(aged).Should(Receive(&pass))
		pass.Release(admit.Broken, now)
		Eventually(urgent).Should(Receive(&pass))
		pass.Release(admit.Broken, now)
		Eventually(patient).Should(Receive(&pass))
	})

	It("refuses at once what can't finish in time", func() {
		desk.Update("c", replica(1), now)
		pass := <-enter(ticket(0, time.Minute))
		pass.Release(admit.Done, now.Add(10*time.Second))
		_ = enter(ticket(0, time.Minute))
		Eventually(func() int { _, running := desk.Waiting(); return running }).Should(Equal(1))
		_, refusal := desk.Enter(context.Background(), ticket(0, 15*time.Second), now)
		Expect(refusal).NotTo(BeNil())
		Expect(refusal.Reason()).To(Equal(cardamom.ReasonOverload))
		Expect(refusal.Outcome()).To(Equal(cardamom.NotRun))
		Expect(refusal.RetryAfter()).To(BeNumerically(">", 0))
	})

	It("refuses in the queue what has become hopeless", func() {
		refused := make(chan *cardamom.Refusal, 1)
		go func() {
			_, refusal := desk.Enter(context.Background(), ticket(0, time.Hour), now)
			refused <- refusal
		}()
		Eventually(waiting).Should(Equal(1))
		desk.Sweep(now.Add(2 * time.Hour))
		var refusal *cardamom.Refusal
		Eventually(refused).Should(Receive(&refusal))
		Expect(refusal.Reason()).To(Equal(cardamom.ReasonDeadline))
	})

	It("runs one suspected request at a time on an upstream", func() {
		desk.Update("c", replica(4), now)
		suspect := ticket(0, time.Minute)
		suspect.Suspect = true
		first := <-enter(suspect)
		second := enter(suspect)
		Eventually(waiting).Should(Equal(1))
		Expect(<-enter(ticket(1, time.Minute))).NotTo(BeNil())
		first.Release(admit.Broken, now)
		Eventually(second).Should(Receive(Not(BeNil())))
	})

	It("bounds the memory of waiting requests, and frees it", func() {
		big := ticket(0, time.Minute)
		big.Size = testBytes
		got := enter(big)
		Eventually(waiting).Should(Equal(1))
		_, refusal := desk.Enter(context.Background(), big, now)
		Expect(refusal).NotTo(BeNil())
		Expect(refusal.Reason()).To(Equal(cardamom.ReasonQueueFull))
		desk.Update("c", replica(1), now)
		(<-got).Release(admit.Done, now)
		Expect(<-enter(big)).NotTo(BeNil())
	})

	It("forgets a caller that goes away", func() {
		ctx, cancel := context.WithCancel(context.Background())
		refused := make(chan *cardamom.Refusal, 1)
		go func() {
			_, refusal := desk.Enter(ctx, ticket(0, time.Hour), now)
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
