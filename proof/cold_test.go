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

// burst sends many requests for a model at once, spread over all instances.
func (s *site) burst(model string, count int) []caller.Result {
	results := make([]caller.Result, count)
	addresses := s.addresses()
	var all sync.WaitGroup
	for n := range count {
		all.Go(func() {
			results[n], _ = s.caller.SendTo(s.ctx, addresses[n%len(addresses)], 0, request(model), time.Now())
		})
	}
	all.Wait()
	return results
}

// awaitLoadStart waits until an engine has started to load the model.
func (s *site) awaitLoadStart(model string) {
	Expect(s.Await(s.ctx, conditionTimeout, model+" is being loaded", func() bool {
		truth, err := s.GroundTruth()
		return err == nil && truth.Loads[model] > 0
	})).To(Succeed())
}

// sendInBackground sends a request for a model and returns a channel that
// receives the answer.
func (s *site) sendInBackground(model string) chan caller.Result {
	answer := make(chan caller.Result, 1)
	go func() {
		defer GinkgoRecover()
		answer <- s.sendUntilServed(request(model))
	}()
	return answer
}

var _ = Describe("a cold start", func() {
	for _, file := range []string{"deployment.jsonc", "deployment-unfenced.jsonc"} {
		Context("with "+file, func() {
			var s *site
			BeforeEach(func() { s = startSite(file) })

			It("loads exactly the allowed replicas for a burst at every instance", func() {
				for _, result := range s.burst("solo-1", 200) {
					Expect(result.Outcome).To(Equal(cardamom.Served), result.Reason)
					Expect(result.Complete).To(BeTrue())
				}
				Expect(s.checkedTruth().Loads["solo-1"]).To(Equal(1))
			})

			It("loads once when the cell's holder is killed during the load", func() {
				holder, _ := s.holderAndWitness(s.cellOf("solo-2"))
				Expect(s.SetWeightStoreSpeed(0.3)).To(Succeed())
				answer := s.sendInBackground("solo-2")
				s.awaitLoadStart("solo-2")
				Expect(s.Kill(holder)).To(Succeed())
				Eventually(answer, conditionTimeout).Should(Receive())
				Expect(s.checkedTruth().Loads["solo-2"]).To(Equal(1))
			})

			It("loads once when the cell's holder is paused during the load, replaced and resumed", func() {
				holder, witness := s.holderAndWitness(s.cellOf("solo-3"))
				Expect(s.SetWeightStoreSpeed(0.3)).To(Succeed())
				answer := s.sendInBackground("solo-3")
				s.awaitLoadStart("solo-3")
				Expect(s.Pause(holder)).To(Succeed())
				Expect(s.Await(s.ctx, conditionTimeout, "the witness has taken over", func() bool {
					var now status
					if s.Status(witness, &now) != nil {
						return false
					}
					for _, h := range now.Holds {
						if h.Resource == s.cellOf("solo-3") && h.Holder == witness {
							return true
						}
					}
					return false
				})).To(Succeed())
				Expect(s.Resume(holder)).To(Succeed())
				Eventually(answer, conditionTimeout).Should(Receive())
				s.sendUntilServed(request("solo-3"))
				Expect(s.checkedTruth().Loads["solo-3"]).To(Equal(1))
			})

			It("does not repeat a load whose reply was lost after it took effect", func() {
				for _, engine := range s.deployment.Engines("") {
					Expect(s.SetProxyFaults(engine.ID, fakes.Fault{Path: "/engine/orders", Kind: "drop-reply", Count: 3})).To(Succeed())
				}
				s.sendUntilServed(request("solo-4"))
				Expect(s.checkedTruth().Loads["solo-4"]).To(Equal(1))
			})

			It("tolerates a load order that arrives late and after it was sent again", func() {
				for _, engine := range s.deployment.Engines("") {
					Expect(s.SetProxyFaults(engine.ID, fakes.Fault{Path: "/engine/orders", Kind: "hold", Count: 1, MS: 3000})).To(Succeed())
				}
				s.sendUntilServed(request("brief-1"))
				Expect(s.Await(s.ctx, conditionTimeout, "the model is unloaded", func() bool {
					truth, err := s.GroundTruth()
					return err == nil && truth.LoadedSeconds > 0 && s.loadedCount("brief-1") == 0
				})).To(Succeed())
				Expect(s.Await(s.ctx, conditionTimeout, "the late order has arrived", func() bool { return s.checkedTruth().Loads["brief-1"] >= 1 })).To(Succeed())
				s.sendUntilServed(request("brief-1"))
				s.checkedTruth()
			})

			It("succeeds while the table is down", func() {
				s.holderAndWitness(s.cellOf("solo-1"))
				Expect(s.SetTableFaults(fakes.TableFaults{Down: true})).To(Succeed())
				s.sendUntilServed(request("solo-1"))
				s.sendUntilServed(request("solo-1-ad"))
				Expect(s.checkedTruth().Loads["solo-1"]).To(Equal(1))
			})

			It("loads on another engine when the engine dies during the load", func() {
				Expect(s.SetWeightStoreSpeed(0.3)).To(Succeed())
				answer := s.sendInBackground("solo-2")
				s.awaitLoadStart("solo-2")
				Expect(s.Kill(s.engineWith("solo-2"))).To(Succeed())
				Expect(s.SetWeightStoreSpeed(1)).To(Succeed())
				Eventually(answer, conditionTimeout).Should(Receive())
				Expect(s.checkedTruth().Loads["solo-2"]).To(Equal(2))
			})
		})
	}
})
