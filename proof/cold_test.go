package proof_test

import (
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/fakes"
	"cardamomcourse.example/cardamom/fakes/caller"
)

// burst sends many first requests at once, straight to every instance.
func (s *site) burst(model string, count int) []caller.Result {
	results := make([]caller.Result, count)
	addresses := s.addresses()
	var all sync.WaitGroup
	for n := range count {
		all.Go(func() {
			results[n], _ = s.caller.At(s.ctx, addresses[n%len(addresses)], 0, request(model), time.Now())
		})
	}
	all.Wait()
	return results
}

// loading waits until a runner has started to load the model.
func (s *site) loading(model string) {
	Expect(s.Await(s.ctx, eventually, model+" is being loaded", func() bool {
		truth, err := s.Truth()
		return err == nil && truth.Loads[model] > 0
	})).To(Succeed())
}

// background asks for a model and hands the answer over when it comes.
func (s *site) background(model string) chan caller.Result {
	answer := make(chan caller.Result, 1)
	go func() {
		defer GinkgoRecover()
		answer <- s.ask(request(model))
	}()
	return answer
}

var _ = Describe("a cold start", func() {
	for _, file := range []string{"deployment.jsonc", "deployment-unfenced.jsonc"} {
		Context("with "+file, func() {
			var s *site
			BeforeEach(func() { s = startSite(file) })

			It("loads just the decided replicas for a burst at every instance", func() {
				for _, result := range s.burst("solo-1", 200) {
					Expect(result.Outcome).To(Equal(cardamom.Served), result.Reason)
					Expect(result.Whole).To(BeTrue())
				}
				Expect(s.truth().Loads["solo-1"]).To(Equal(1))
			})

			It("survives the end of the holder in the middle of a load", func() {
				holder, _ := s.holder(s.home("solo-2"))
				Expect(s.SlowWeights(0.3)).To(Succeed())
				answer := s.background("solo-2")
				s.loading("solo-2")
				Expect(s.Kill(holder)).To(Succeed())
				Eventually(answer, eventually).Should(Receive())
				Expect(s.truth().Loads["solo-2"]).To(Equal(1))
			})

			It("survives a holder that is paused, succeeded and resumed", func() {
				holder, witness := s.holder(s.home("solo-3"))
				Expect(s.SlowWeights(0.3)).To(Succeed())
				answer := s.background("solo-3")
				s.loading("solo-3")
				Expect(s.Pause(holder)).To(Succeed())
				Expect(s.Await(s.ctx, eventually, "the witness has taken over", func() bool {
					var now status
					if s.Status(witness, &now) != nil {
						return false
					}
					for _, h := range now.Holds {
						if h.Resource == s.home("solo-3") && h.Holder == witness {
							return true
						}
					}
					return false
				})).To(Succeed())
				Expect(s.Resume(holder)).To(Succeed())
				Eventually(answer, eventually).Should(Receive())
				s.ask(request("solo-3"))
				Expect(s.truth().Loads["solo-3"]).To(Equal(1))
			})

			It("does not repeat a load whose reply was lost after it took effect", func() {
				for _, runner := range s.deployment.Runners("") {
					Expect(s.Faults(runner.ID, fakes.Fault{Path: "/engine/orders", Kind: "drop-reply", Count: 3})).To(Succeed())
				}
				s.ask(request("solo-4"))
				Expect(s.truth().Loads["solo-4"]).To(Equal(1))
			})

			It("is not harmed by an order that arrives late and twice", func() {
				for _, runner := range s.deployment.Runners("") {
					Expect(s.Faults(runner.ID, fakes.Fault{Path: "/engine/orders", Kind: "hold", Count: 1, MS: 3000})).To(Succeed())
				}
				s.ask(request("brief-1"))
				Expect(s.Await(s.ctx, eventually, "the model is let go", func() bool {
					truth, err := s.Truth()
					return err == nil && truth.LoadedSeconds > 0 && s.loadedNow("brief-1") == 0
				})).To(Succeed())
				Expect(s.Await(s.ctx, eventually, "the late order has arrived", func() bool { return s.truth().Loads["brief-1"] >= 1 })).To(Succeed())
				s.ask(request("brief-1"))
				s.truth()
			})

			It("goes on while the table is down", func() {
				s.holder(s.home("solo-1"))
				Expect(s.TableFaults(fakes.TableFaults{Down: true})).To(Succeed())
				s.ask(request("solo-1"))
				s.ask(request("solo-1-ad"))
				Expect(s.truth().Loads["solo-1"]).To(Equal(1))
			})

			It("is made good on another runner when the runner dies in the middle of a load", func() {
				Expect(s.SlowWeights(0.3)).To(Succeed())
				answer := s.background("solo-2")
				s.loading("solo-2")
				Expect(s.Kill(s.loader("solo-2"))).To(Succeed())
				Expect(s.SlowWeights(1)).To(Succeed())
				Eventually(answer, eventually).Should(Receive())
				Expect(s.truth().Loads["solo-2"]).To(Equal(2))
			})
		})
	}
})
