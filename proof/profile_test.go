package proof_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/fakes"
	"cardamomcourse.example/cardamom/fakes/fleet"
	"cardamomcourse.example/cardamom/revs"
)

// awaitSecondRevision waits until each of the instances is on the second revision.
func (s *site) awaitSecondRevision(instances []fleet.ProcessSpec) {
	const revision = 2
	for _, instance := range instances {
		Expect(s.Await(s.ctx, conditionTimeout, fmt.Sprintf("%s is on revision %d", instance.ID, revision), func() bool {
			var now status
			return s.Status(instance.ID, &now) == nil && now.Revision >= revision
		})).To(Succeed())
	}
}

func (s *site) edit(id string, base uint64) revs.Edit {
	return revs.Edit{ID: id, Base: cardamom.Revision(base), Editor: "spec", Document: s.deployment.Profiles()}
}

// countRollbacks samples the revisions of all instances until stop is called, which
// returns how often an instance's revision decreased.
func (s *site) countRollbacks() (stop func() int) {
	ctx, cancel := context.WithCancel(s.ctx)
	rollbacks := 0
	var all sync.WaitGroup
	all.Go(func() {
		last := make(map[string]uint64)
		ticker := time.NewTicker(100 * time.Millisecond)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			for _, instance := range s.deployment.Instances() {
				var now status
				if s.Status(instance.ID, &now) != nil || now.Revision == 0 {
					continue
				}
				if now.Revision < last[instance.ID] {
					rollbacks++
				}
				last[instance.ID] = now.Revision
			}
		}
	})
	return func() int {
		cancel()
		all.Wait()
		return rollbacks
	}
}

var _ = Describe("a published profile", func() {
	var s *site
	BeforeEach(func() { s = startSite("deployment.jsonc") })

	It("comes from only one of several concurrent edits and is in force everywhere", func() {
		stop := s.countRollbacks()
		var all sync.WaitGroup
		errs := make(chan error, 10)
		for n := range 10 {
			all.Go(func() {
				_, err := revs.Publish(s.ctx, s.Store(), s.edit(fmt.Sprintf("race-%d", n), 1), time.Now())
				errs <- err
			})
		}
		all.Wait()
		close(errs)
		won := 0
		for err := range errs {
			if err == nil {
				won++
				continue
			}
			Expect(errors.Is(err, revs.ErrConflict)).To(BeTrue(), err.Error())
		}
		Expect(won).To(Equal(1))
		s.awaitSecondRevision(s.deployment.Instances())
		Expect(stop()).To(BeZero())
	})

	It("is published once when the reply to its commit is lost", func() {
		Expect(s.SetTableFaults(fakes.TableFaults{LoseReplies: 2})).To(Succeed())
		revision, err := revs.Publish(s.ctx, s.Store(), s.edit("lost", 1), time.Now())
		Expect(err).NotTo(HaveOccurred())
		Expect(revision.Number).To(Equal(cardamom.Revision(2)))
		s.awaitSecondRevision(s.deployment.Instances())
	})

	It("reaches an instance that starts while the table is down, and never reverts", func() {
		_, err := revs.Publish(s.ctx, s.Store(), s.edit("two", 1), time.Now())
		Expect(err).NotTo(HaveOccurred())
		s.awaitSecondRevision(s.deployment.Instances())
		// A cell without a witness can't be taken over while the table is down.
		s.holderAndWitness(s.cellOf("solo-1"))
		stop := s.countRollbacks()
		Expect(s.SetTableFaults(fakes.TableFaults{Down: true})).To(Succeed())
		target := s.deployment.Instances()[1]
		Expect(s.Kill(target.ID)).To(Succeed())
		Expect(s.Restart(target.ID)).To(Succeed())
		Expect(s.AwaitReady(s.ctx, target.ID)).To(Succeed())
		s.awaitSecondRevision([]fleet.ProcessSpec{target})
		s.sendUntilServed(request("solo-1"))
		Expect(s.SetTableFaults(fakes.TableFaults{})).To(Succeed())
		Expect(stop()).To(BeZero())
		s.checkedTruth()
	})
})
