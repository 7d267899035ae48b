package proof_test

import (
	"context"
	"fmt"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/fakes"
	"cardamomcourse.example/cardamom/fakes/caller"
)

func labelRequest(key string) caller.Request {
	return caller.Request{
		Service: "app", Path: "/labels", Method: "POST", Prompt: "label for " + key, Key: key, Deadline: 3 * time.Second,
	}
}

// sendLabels sends many calls with a key and repeats each, up to 20 times, until its
// outcome is served or may-have-run. It runs during while it sends the calls, and
// returns the outcomes of each key in order.
func (s *site) sendLabels(count int, during func()) map[string][]cardamom.Outcome {
	outcomes := make(map[string][]cardamom.Outcome)
	var mu sync.Mutex
	var all sync.WaitGroup
	for n := range count {
		key := fmt.Sprintf("label-%d", n)
		all.Go(func() {
			for attempt := 0; attempt < 20; attempt++ {
				result := s.caller.Send(s.ctx, labelRequest(key))
				mu.Lock()
				outcomes[key] = append(outcomes[key], result.Outcome)
				GinkgoWriter.Printf("%s: %s %s at %s after %v\n", key, result.Outcome, result.Reason, result.Instance, result.Total)
				mu.Unlock()
				if result.Outcome == cardamom.Served || result.Outcome == cardamom.MayHaveRun {
					return
				}
				s.caller.Forget("app")
			}
		})
	}
	during()
	all.Wait()
	return outcomes
}

// checkOutcomes checks the outcomes of each key against the ground truth: a key that
// was served has run, and one with only not-run outcomes has not.
func (s *site) checkOutcomes(outcomesByKey map[string][]cardamom.Outcome) {
	truth := s.checkedTruth()
	for key, outcomes := range outcomesByKey {
		served, ran := false, truth.Runs[key] > 0
		allNotRun := true
		for _, outcome := range outcomes {
			served = served || outcome == cardamom.Served
			allNotRun = allNotRun && outcome == cardamom.NotRun
		}
		Expect(served && !ran).To(BeFalse(), "%s has the outcome served and did not run", key)
		Expect(allNotRun && ran).To(BeFalse(), "%s has only not-run outcomes and ran", key)
	}
}

var _ = Describe("a request that must not run twice", func() {
	var s *site
	BeforeEach(func() { s = startSite("deployment.jsonc") })

	It("runs once when its instance dies and it is sent again to another", func() {
		holder, _ := s.holderAndWitness("claims/0")
		outcomesByKey := s.sendLabels(200, func() { Expect(s.Kill(holder)).To(Succeed()) })
		s.checkOutcomes(outcomesByKey)
	})

	It("runs once when replies are lost after it ran", func() {
		for _, service := range s.deployment.PlainServices("") {
			Expect(s.SetProxyFaults(service.ID, fakes.Fault{Path: "/", Kind: "drop-reply", Count: 20})).To(Succeed())
		}
		s.checkOutcomes(s.sendLabels(200, func() {}))
	})

	It("runs once when the holder of its claim is paused and resumed", func() {
		holder, _ := s.holderAndWitness("claims/1")
		outcomesByKey := s.sendLabels(200, func() {
			Expect(s.Pause(holder)).To(Succeed())
			Expect(s.Await(s.ctx, conditionTimeout, "another instance holds the shard", func() bool {
				for _, instance := range s.deployment.Instances() {
					var now status
					if instance.ID == holder || s.Status(instance.ID, &now) != nil {
						continue
					}
					for _, claim := range now.Claims {
						if claim.Resource == "claims/1" && claim.Holder != holder {
							return true
						}
					}
				}
				return false
			})).To(Succeed())
			Expect(s.Resume(holder)).To(Succeed())
		})
		s.checkOutcomes(outcomesByKey)
	})

	It("is served while the table is down, also after an instance dies", func() {
		// A shard without a witness can't be taken over while the table is down.
		for n := range claimShards {
			s.holderAndWitness(fmt.Sprintf("claims/%d", n))
		}
		holder, _ := s.holderAndWitness("claims/2")
		Expect(s.SetTableFaults(fakes.TableFaults{Down: true})).To(Succeed())
		outcomesByKey := s.sendLabels(100, func() { Expect(s.Kill(holder)).To(Succeed()) })
		s.checkOutcomes(outcomesByKey)
		for key, outcomes := range outcomesByKey {
			Expect(outcomes[len(outcomes)-1]).To(BeElementOf(cardamom.Served, cardamom.MayHaveRun), key)
		}
	})
})

var _ = Describe("a stream that breaks off", func() {
	cutStream := func(file string) (*site, caller.Result) {
		s := startSite(file)
		s.sendUntilServed(request("solo-1"))
		for _, engine := range s.deployment.Engines("") {
			Expect(s.SetProxyFaults(engine.ID, fakes.Fault{Path: "/v1/", Kind: "cut", Count: 2, Bytes: 700})).To(Succeed())
		}
		r := request("solo-1")
		r.Tokens, r.Key = 40, "stream"
		return s, s.caller.Send(s.ctx, r)
	}

	It("is resumed without a duplicate or missing token if its engine can resume", func() {
		s, result := cutStream("deployment.jsonc")
		Expect(result.Outcome).To(Equal(cardamom.Served), result.Reason)
		Expect(result.Complete).To(BeTrue())
		Expect(s.checkedTruth().Runs["stream"]).To(Equal(1))
	})

	It("ends with the outcome may-have-run if its engine can't resume", func() {
		s, result := cutStream("deployment-unfenced.jsonc")
		Expect(result.Outcome).To(Equal(cardamom.MayHaveRun))
		Expect(result.Complete).To(BeFalse())
		Expect(result.WrongContent).To(BeFalse())
		Expect(s.checkedTruth().Runs["stream"]).To(Equal(1))
	})
})

var _ = Describe("leaving", func() {
	var s *site
	BeforeEach(func() { s = startSite("deployment.jsonc") })

	It("cuts off no request in flight when an instance shuts down", func() {
		s.sendUntilServed(request("wide-1"))
		long := request("wide-1")
		long.Tokens = 300
		var all sync.WaitGroup
		results := make([]caller.Result, 20)
		target := s.deployment.Instances()[0].ID
		for n := range results {
			all.Go(func() {
				results[n], _ = s.caller.SendTo(s.ctx, s.Address(target), 0, long, time.Now())
			})
		}
		Expect(s.Await(s.ctx, conditionTimeout, "the requests run", func() bool {
			running := 0
			for _, report := range s.reports() {
				for _, loaded := range report.Loaded {
					running += loaded.Running
				}
			}
			return running >= 8
		})).To(Succeed())
		Expect(s.Terminate(target)).To(Succeed())
		all.Wait()
		for _, result := range results {
			Expect(result.Outcome).To(Equal(cardamom.Served), result.Reason)
			Expect(result.Complete).To(BeTrue())
		}
		process, _ := s.Process(target)
		Eventually(process.Done(), conditionTimeout).Should(BeClosed())
	})

	It("sends nothing new to a leaving upstream", func() {
		s.sendUntilServed(request("solo-1"))
		leaving := s.engineWith("solo-1")
		Expect(s.MarkLeaving(leaving)).To(Succeed())
		Expect(s.Await(s.ctx, conditionTimeout, "the model has moved", func() bool {
			s.caller.Send(s.ctx, request("solo-1"))
			now := s.engineWith("solo-1")
			return now != "" && now != leaving
		})).To(Succeed())
		s.sendUntilServed(request("solo-1"))
		Expect(s.engineWith("solo-1")).NotTo(Equal(leaving))
		s.checkedTruth()
	})
})

var _ = Describe("a request that crashes engines", func() {
	It("is refused by all instances after two engines have crashed", func() {
		s := startSite("deployment.jsonc")
		s.sendUntilServed(request("wide-1"))
		poison := request("wide-1")
		poison.Prompt = "CRASH-THE-RUNNER"
		poison.Deadline = 8 * time.Second
		Expect(s.Await(s.ctx, conditionTimeout, "it is refused with the reason poison", func() bool {
			result := s.caller.Send(s.ctx, poison)
			return result.Reason == string(cardamom.ReasonPoison)
		})).To(Succeed())
		for _, address := range s.addresses() {
			Expect(s.Await(s.ctx, conditionTimeout, address+" refuses it", func() bool {
				ctx, cancel := context.WithTimeout(s.ctx, poison.Deadline)
				defer cancel()
				result, _ := s.caller.SendTo(ctx, address, 0, poison, time.Now())
				return result.Reason == string(cardamom.ReasonPoison)
			})).To(Succeed())
		}
		Expect(s.checkedTruth().Deaths).To(Equal(2))
	})
})
