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

// inForce waits until every listed instance is on the second revision.
func (s *site) inForce(instances []fleet.Placed) {
	const revision = 2
	for _, instance := range instances {
		Expect(s.Await(s.ctx, eventually, fmt.Sprintf("%s is on revision %d", instance.ID, revision), func() bool {
			var now status
			return s.Status(instance.ID, &now) == nil && now.Revision >= revision
		})).To(Succeed())
	}
}

func (s *site) edit(id string, base uint64) revs.Edit {
	return revs.Edit{ID: id, Base: cardamom.Revision(base), Editor: "spec", Document: s.deployment.Profiles()}
}

// neverBack samples the revisions of all instances until stopped and returns
// how often one stepped back.
func (s *site) neverBack() (stop func() int) {
	ctx, cancel := context.WithCancel(s.ctx)
	back := 0
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
					back++
				}
				last[instance.ID] = now.Revision
			}
		}
	})
	return func() int {
		cancel()
		all.Wait()
		return back
	}
}

var _ = Describe("a published profile", func() {
	var s *site
	BeforeEach(func() { s = startSite("deployment.jsonc") })

	It("gives racing operators one winner and is in force everywhere", func() {
		stop := s.neverBack()
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
		s.inForce(s.deployment.Instances())
		Expect(stop()).To(BeZero())
	})

	It("is known once when the reply of its commit is lost", func() {
		Expect(s.TableFaults(fakes.TableFaults{LoseReplies: 2})).To(Succeed())
		revision, err := revs.Publish(s.ctx, s.Store(), s.edit("lost", 1), time.Now())
		Expect(err).NotTo(HaveOccurred())
		Expect(revision.Number).To(Equal(cardamom.Revision(2)))
		s.inForce(s.deployment.Instances())
	})

	It("reaches an instance that starts while the table is down, and never reverts", func() {
		_, err := revs.Publish(s.ctx, s.Store(), s.edit("two", 1), time.Now())
		Expect(err).NotTo(HaveOccurred())
		s.inForce(s.deployment.Instances())
		stop := s.neverBack()
		Expect(s.TableFaults(fakes.TableFaults{Down: true})).To(Succeed())
		target := s.deployment.Instances()[1]
		Expect(s.Kill(target.ID)).To(Succeed())
		Expect(s.Restart(target.ID)).To(Succeed())
		Expect(s.AwaitReady(s.ctx, target.ID)).To(Succeed())
		s.inForce([]fleet.Placed{target})
		s.ask(request("solo-1"))
		Expect(s.TableFaults(fakes.TableFaults{})).To(Succeed())
		Expect(stop()).To(BeZero())
		s.truth()
	})
})
