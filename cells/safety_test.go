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

// step does one random thing to the world.
func step(t *rapid.T, w *world) {
	pick := func(label string, n int) int { return rapid.IntRange(0, n-1).Draw(t, label) }
	e := w.engines[pick("engine", len(w.engines))]
	switch pick("action", 12) {
	case 0:
		model := rapid.SampledFrom([]cardamom.ModelID{"a", "b", "c", "a1", "b1"}).Draw(t, "model")
		w.uses = append(w.uses, cells.Use{Model: model, Waiting: 1 + pick("waiting", 8), Since: w.now})
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
		w.disturb(t, e)
	case 11:
		if len(w.paused) > 0 {
			old := w.paused[pick("old", len(w.paused))]
			w.report(old, e)
			w.decide(old)
		}
	}
}

// disturb does one of the rarer things.
func (w *world) disturb(t *rapid.T, e *simEngine) {
	switch rapid.IntRange(0, 5).Draw(t, "disturb") {
	case 0, 1:
		w.takeOver()
	case 2:
		w.remove(e)
	case 3:
		if len(w.network) > 0 {
			w.loseUnsent(len(w.network) - 1)
		}
	case 4:
		e.listed.State = cardamom.Leaving
		w.cell.List(w.listed(), w.now)
	}
}

var _ = Describe("a cell under failure", func() {
	for _, fencing := range []bool{true, false} {
		It("never has more replicas or memory than decided", func() {
			rapid.Check(GinkgoT(), func(t *rapid.T) {
				w, err := newWorld(fencing, rapid.IntRange(1, 4).Draw(t, "engines"))
				if err != nil {
					t.Fatal(err)
				}
				for range rapid.IntRange(10, 150).Draw(t, "steps") {
					step(t, w)
					if fault := w.fault(); fault != "" {
						t.Fatal(fault)
					}
				}
			})
		})
	}
})

// settle runs the world without failures until nothing changes any more.
func settle(w *world, rounds int) {
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

var _ = Describe("a cell in calm", func() {
	var w *world

	BeforeEach(func() {
		var err error
		w, err = newWorld(true, 3)
		Expect(err).NotTo(HaveOccurred())
		settle(w, 3)
	})

	It("loads one replica for a burst of waiters and more only beyond its slots", func() {
		w.uses = []cells.Use{{Model: "b", Waiting: 400, Since: w.now}}
		settle(w, 10)
		Expect(w.cell.Count("b")).To(Equal(1))
	})

	It("loads an adapter's base first and both on one upstream", func() {
		w.uses = []cells.Use{{Model: "a1", Waiting: 1, Since: w.now}}
		settle(w, 10)
		var hosts []*simEngine
		for _, e := range w.engines {
			if _, ok := e.loaded["a1"]; ok {
				hosts = append(hosts, e)
			}
		}
		Expect(hosts).To(HaveLen(1))
		Expect(hosts[0].loaded).To(HaveKey(cardamom.ModelID("a")))
	})

	It("loads a base once that is asked for itself and by its adapter", func() {
		w.uses = []cells.Use{
			{Model: "b1", Waiting: 1, Since: w.now.Add(-time.Second)},
			{Model: "b", Waiting: 1, Since: w.now},
		}
		settle(w, 10)
		Expect(w.fault()).To(BeEmpty())
		Expect(w.cell.Count("b")).To(Equal(1))
		Expect(w.cell.Count("b1")).To(Equal(1))
	})

	It("does not wait for a follower that has left", func() {
		w.uses = []cells.Use{{Model: "c", Waiting: 1, Since: w.now}}
		settle(w, 5)
		w.cell.Used(cells.Watch{Instance: "stranger", Seq: 1}, w.now)
		w.uses = nil
		settle(w, 20)
		Expect(w.cell.Count("c")).To(Equal(1))
		w.cell.Unwatch("stranger")
		settle(w, 3)
		Expect(w.cell.Count("c")).To(Equal(0))
	})

	It("lets go of an idle model after its keep time", func() {
		w.uses = []cells.Use{{Model: "c", Waiting: 1, Since: w.now}}
		settle(w, 5)
		Expect(w.cell.Count("c")).To(Equal(1))
		w.uses = nil
		settle(w, 20)
		Expect(w.cell.Count("c")).To(Equal(0))
	})

	It("evicts an idle model for one that is waited for", func() {
		single, err := newWorld(true, 1)
		Expect(err).NotTo(HaveOccurred())
		settle(single, 2)
		single.uses = []cells.Use{{Model: "b", Waiting: 1, Since: single.now}}
		settle(single, 5)
		single.uses = []cells.Use{{Model: "c", Waiting: 1, Since: single.now}}
		settle(single, 8)
		Expect(single.engines[0].loaded).To(HaveKey(cardamom.ModelID("c")))
		Expect(single.engines[0].loaded).NotTo(HaveKey(cardamom.ModelID("b")))
	})

	It("lets a patient model load between urgent ones", func() {
		single, err := newWorld(true, 1)
		Expect(err).NotTo(HaveOccurred())
		settle(single, 2)
		patient := cells.Use{Model: "c", Waiting: 1, Since: single.now, Priority: 9}
		for round := range 400 {
			urgent := cells.Use{Model: "b", Waiting: 1, Since: single.now}
			if round%10 < 5 {
				urgent.Waiting = 0
			}
			single.uses = []cells.Use{urgent, patient}
			settle(single, 1)
			if loaded, ok := single.engines[0].loaded["c"]; ok && loaded.State == engine.Ready {
				return
			}
		}
		Fail("the patient model was never loaded")
	})

	It("moves a replica off a leaving upstream", func() {
		w.uses = []cells.Use{{Model: "b", Waiting: 1, Since: w.now}}
		settle(w, 5)
		var host *simEngine
		for _, e := range w.engines {
			if _, ok := e.loaded["b"]; ok {
				host = e
			}
		}
		Expect(host).NotTo(BeNil())
		host.listed.State = cardamom.Leaving
		w.cell.List(w.listed(), w.now)
		settle(w, 10)
		Expect(host.loaded).NotTo(HaveKey(cardamom.ModelID("b")))
		Expect(w.cell.Count("b")).To(Equal(1))
	})

	It("keeps an order charged whose reply was lost, and repeats it under its identity", func() {
		w.uses = []cells.Use{{Model: "b", Waiting: 1, Since: w.now}}
		w.decide(w.cell)
		Expect(w.network).To(HaveLen(1))
		first := w.network[0].command.Order
		w.loseUnsent(0)
		Expect(w.cell.Count("b")).To(Equal(1))
		Expect(w.cell.Charged(w.engines[0].listed.ID) + w.cell.Charged(w.engines[1].listed.ID) + w.cell.Charged(w.engines[2].listed.ID)).To(Equal(60))
		w.now = w.now.Add(time.Second)
		w.decide(w.cell)
		Expect(w.network).To(HaveLen(1))
		Expect(w.network[0].command.Order.ID).To(Equal(first.ID))
		Expect(w.network[0].command.Order.Kind).To(Equal(engine.OrderLoad))
	})

	It("has nothing new for a follower of an empty cell", func() {
		Expect(w.cell.Since(0).Snapshot).To(BeTrue())
		seen := w.cell.Since(0).Seq
		Expect(seen).To(Equal(w.cell.Seq()))
		Expect(seen).NotTo(BeZero())
		Expect(w.cell.Since(seen).Snapshot).To(BeFalse())
	})

	It("sends followers only what has changed", func() {
		w.uses = []cells.Use{{Model: "b", Waiting: 1, Since: w.now}}
		settle(w, 5)
		seq := w.cell.Seq()
		Expect(w.cell.Since(seq).Replicas).To(BeEmpty())
		Expect(w.cell.Since(0).Snapshot).To(BeTrue())
		Expect(w.cell.Since(0).Replicas).To(HaveLen(1))
		w.uses = nil
		settle(w, 20)
		delta := w.cell.Since(seq)
		Expect(delta.Snapshot).To(BeFalse())
		Expect(delta.Gone).To(ConsistOf(cells.Seat{Model: "b", Upstream: w.engines[0].listed.ID}))
	})
})
