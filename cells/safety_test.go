package cells_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/cells"
	"cardamomcourse.example/cardamom/engine"
)

// step does one random action in the world.
func step(t *rapid.T, w *world) {
	pick := func(label string, n int) int { return rapid.IntRange(0, n-1).Draw(t, label) }
	e := w.engines[pick("engine", len(w.engines))]
	switch pick("action", 12) {
	case 0:
		model := rapid.SampledFrom([]cardamom.ModelID{"a", "b", "c", "a1", "b1"}).Draw(t, "model")
		w.uses = append(w.uses, cells.Use{Model: model, Waiting: 1 + pick("waiting", 8), NextArrival: w.now})
	case 1:
		w.uses = nil
	case 2, 3, 4:
		w.decide(w.cell)
	case 5, 6:
		if len(w.network) > 0 {
			w.deliver(pick("message", len(w.network)), rapid.Bool().Draw(t, "copy"), rapid.Bool().Draw(t, "lost"))
		}
	case 7:
		w.report(w.cell, e)
	case 8:
		w.finishLoads(e)
		w.report(w.cell, e)
	case 9:
		w.now = w.now.Add(time.Duration(pick("millis", 3000)) * time.Millisecond)
	case 10:
		w.injectFault(t, e)
	case 11:
		if len(w.paused) > 0 {
			old := w.paused[pick("old", len(w.paused))]
			w.report(old, e)
			w.decide(old)
		}
	}
}

// injectFault injects one of the rarer faults, or none.
func (w *world) injectFault(t *rapid.T, e *simEngine) {
	switch rapid.IntRange(0, 5).Draw(t, "disturb") {
	case 0, 1:
		w.takeOver()
	case 2:
		w.remove(e)
	case 3:
		if len(w.network) > 0 {
			w.dropOrder(len(w.network) - 1)
		}
	case 4:
		e.listed.State = cardamom.Leaving
		w.cell.SetUpstreams(w.listed(), w.now)
	}
}

var _ = Describe("a cell with faults", func() {
	for _, fencing := range []bool{true, false} {
		It("never exceeds a quota or an engine's memory", func() {
			rapid.Check(GinkgoT(), func(t *rapid.T) {
				w, err := newWorld(fencing, rapid.IntRange(1, 4).Draw(t, "engines"))
				if err != nil {
					t.Fatal(err)
				}
				for range rapid.IntRange(10, 150).Draw(t, "steps") {
					step(t, w)
					if violation := w.violation(); violation != "" {
						t.Fatal(violation)
					}
				}
			})
		})
	}
})

// runWithoutFaults runs the world without faults for a number of rounds.
func runWithoutFaults(w *world, rounds int) {
	for range rounds {
		w.decide(w.cell)
		for len(w.network) > 0 {
			w.deliver(0, false, false)
		}
		for _, e := range w.engines {
			w.finishLoads(e)
			w.report(w.cell, e)
		}
		w.now = w.now.Add(200 * time.Millisecond)
	}
}

var _ = Describe("a cell without faults", func() {
	var w *world

	BeforeEach(func() {
		var err error
		w, err = newWorld(true, 3)
		Expect(err).NotTo(HaveOccurred())
		runWithoutFaults(w, 3)
	})

	It("loads one replica for a burst of waiting requests", func() {
		w.uses = []cells.Use{{Model: "b", Waiting: 400, NextArrival: w.now}}
		runWithoutFaults(w, 10)
		Expect(w.cell.Count("b")).To(Equal(1))
	})

	It("loads an adapter on an upstream that has its base", func() {
		w.uses = []cells.Use{{Model: "a1", Waiting: 1, NextArrival: w.now}}
		runWithoutFaults(w, 10)
		var hosts []*simEngine
		for _, e := range w.engines {
			if _, ok := e.loaded["a1"]; ok {
				hosts = append(hosts, e)
			}
		}
		Expect(hosts).To(HaveLen(1))
		Expect(hosts[0].loaded).To(HaveKey(cardamom.ModelID("a")))
	})

	It("loads a base once if requests wait for it and for its adapter", func() {
		w.uses = []cells.Use{
			{Model: "b1", Waiting: 1, NextArrival: w.now.Add(-time.Second)},
			{Model: "b", Waiting: 1, NextArrival: w.now},
		}
		runWithoutFaults(w, 10)
		Expect(w.violation()).To(BeEmpty())
		Expect(w.cell.Count("b")).To(Equal(1))
		Expect(w.cell.Count("b1")).To(Equal(1))
	})

	It("waits for a silent follower before an unload, but not for a removed one", func() {
		w.uses = []cells.Use{{Model: "c", Waiting: 1, NextArrival: w.now}}
		runWithoutFaults(w, 5)
		w.cell.UpdateFollower(cells.Watch{Instance: "stranger", Seq: 1}, w.now)
		w.uses = nil
		runWithoutFaults(w, 20)
		Expect(w.cell.Count("c")).To(Equal(1))
		w.cell.RemoveFollower("stranger")
		runWithoutFaults(w, 3)
		Expect(w.cell.Count("c")).To(Equal(0))
	})

	It("unloads an idle model after its keep time", func() {
		w.uses = []cells.Use{{Model: "c", Waiting: 1, NextArrival: w.now}}
		runWithoutFaults(w, 5)
		Expect(w.cell.Count("c")).To(Equal(1))
		w.uses = nil
		runWithoutFaults(w, 20)
		Expect(w.cell.Count("c")).To(Equal(0))
	})

	It("evicts an idle model for one that requests wait for", func() {
		single, err := newWorld(true, 1)
		Expect(err).NotTo(HaveOccurred())
		runWithoutFaults(single, 2)
		single.uses = []cells.Use{{Model: "b", Waiting: 1, NextArrival: single.now}}
		runWithoutFaults(single, 5)
		single.uses = []cells.Use{{Model: "c", Waiting: 1, NextArrival: single.now}}
		runWithoutFaults(single, 8)
		Expect(single.engines[0].loaded).To(HaveKey(cardamom.ModelID("c")))
		Expect(single.engines[0].loaded).NotTo(HaveKey(cardamom.ModelID("b")))
	})

	It("loads a model of low priority between more urgent ones", func() {
		single, err := newWorld(true, 1)
		Expect(err).NotTo(HaveOccurred())
		runWithoutFaults(single, 2)
		lessUrgent := cells.Use{Model: "c", Waiting: 1, NextArrival: single.now, Priority: 9}
		for round := range 400 {
			urgent := cells.Use{Model: "b", Waiting: 1, NextArrival: single.now}
			if round%10 < 5 {
				urgent.Waiting = 0
			}
			single.uses = []cells.Use{urgent, lessUrgent}
			runWithoutFaults(single, 1)
			if loaded, ok := single.engines[0].loaded["c"]; ok && loaded.State == engine.Ready {
				return
			}
		}
		Fail("the model of low priority was never loaded")
	})

	It("replaces a replica on a leaving upstream", func() {
		w.uses = []cells.Use{{Model: "b", Waiting: 1, NextArrival: w.now}}
		runWithoutFaults(w, 5)
		var host *simEngine
		for _, e := range w.engines {
			if _, ok := e.loaded["b"]; ok {
				host = e
			}
		}
		Expect(host).NotTo(BeNil())
		host.listed.State = cardamom.Leaving
		w.cell.SetUpstreams(w.listed(), w.now)
		runWithoutFaults(w, 10)
		Expect(host.loaded).NotTo(HaveKey(cardamom.ModelID("b")))
		Expect(w.cell.Count("b")).To(Equal(1))
	})

	It("keeps memory reserved for an order without a reply, and sends the order again under the same ID", func() {
		w.uses = []cells.Use{{Model: "b", Waiting: 1, NextArrival: w.now}}
		w.decide(w.cell)
		Expect(w.network).To(HaveLen(1))
		first := w.network[0].command.Order
		w.dropOrder(0)
		Expect(w.cell.Count("b")).To(Equal(1))
		Expect(w.cell.ReservedMemory(w.engines[0].listed.ID) + w.cell.ReservedMemory(w.engines[1].listed.ID) + w.cell.ReservedMemory(w.engines[2].listed.ID)).To(Equal(60))
		w.now = w.now.Add(time.Second)
		w.decide(w.cell)
		Expect(w.network).To(HaveLen(1))
		Expect(w.network[0].command.Order.ID).To(Equal(first.ID))
		Expect(w.network[0].command.Order.Kind).To(Equal(engine.OrderLoad))
	})

	It("keeps memory reserved for an order that may have been accepted, if a later send fails", func() {
		for _, failure := range []error{engine.ErrStaleFence, engine.ErrRefused, engine.ErrUnreachable, cells.ErrNotRecorded} {
			w, err := newWorld(true, 1)
			Expect(err).NotTo(HaveOccurred())
			runWithoutFaults(w, 3)
			w.uses = []cells.Use{{Model: "b", Waiting: 1, NextArrival: w.now}}
			w.decide(w.cell)
			host := w.engines[0].listed.ID
			order := w.network[0].command.Order
			w.deliver(0, false, true)
			w.now = w.now.Add(time.Second)
			w.cell.Decide(w.now)
			w.cell.ApplySendResult(host, order.ID, failure, w.now)
			Expect(w.cell.ReservedMemory(host)).To(Equal(60), failure.Error())
			Expect(w.cell.TakeEndedLoads()).To(BeEmpty(), failure.Error())
			runWithoutFaults(w, 3)
			Expect(w.cell.Count("b")).To(Equal(1), failure.Error())
			Expect(w.violation()).To(BeEmpty())
		}
	})

	It("frees the memory of an order that was lost and later refused, once a report shows a newer fencing token", func() {
		single, err := newWorld(true, 1)
		Expect(err).NotTo(HaveOccurred())
		runWithoutFaults(single, 3)
		single.uses = []cells.Use{{Model: "b", Waiting: 1, NextArrival: single.now}}
		single.decide(single.cell)
		host, order := single.engines[0].listed.ID, single.network[0].command.Order
		single.dropOrder(0)
		single.now = single.now.Add(time.Second)
		single.cell.Decide(single.now)
		single.cell.ApplySendResult(host, order.ID, engine.ErrRefused, single.now)
		single.uses = nil
		runWithoutFaults(single, 1)
		Expect(single.cell.ReservedMemory(host)).To(Equal(60))
		single.now = single.now.Add(time.Second)
		runWithoutFaults(single, 1)
		Expect(single.cell.ReservedMemory(host)).To(BeZero())
		Expect(single.engines[0].loaded).To(BeEmpty())
	})

	It("sends a follower of an empty cell no second snapshot", func() {
		Expect(w.cell.ChangesSince(0).Snapshot).To(BeTrue())
		seen := w.cell.ChangesSince(0).Seq
		Expect(seen).To(Equal(w.cell.Seq()))
		Expect(seen).NotTo(BeZero())
		Expect(w.cell.ChangesSince(seen).Snapshot).To(BeFalse())
	})

	It("sends followers only what has changed", func() {
		w.uses = []cells.Use{{Model: "b", Waiting: 1, NextArrival: w.now}}
		runWithoutFaults(w, 5)
		seq := w.cell.Seq()
		Expect(w.cell.ChangesSince(seq).Replicas).To(BeEmpty())
		Expect(w.cell.ChangesSince(0).Snapshot).To(BeTrue())
		Expect(w.cell.ChangesSince(0).Replicas).To(HaveLen(1))
		w.uses = nil
		runWithoutFaults(w, 20)
		delta := w.cell.ChangesSince(seq)
		Expect(delta.Snapshot).To(BeFalse())
		Expect(delta.Removed).To(ConsistOf(cells.ReplicaKey{Model: "b", Upstream: w.engines[0].listed.ID}))
	})
})
