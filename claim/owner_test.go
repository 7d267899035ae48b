package claim_test

import (
	"context"
	"errors"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/claim"
	"cardamomcourse.example/cardamom/hold"
)

// memoryRecorder is a fake recorder that stores records with a witness in this
// process. It can be set to fail.
type memoryRecorder struct {
	mu      sync.Mutex
	witness *hold.Witness
	records int
	fail    bool
}

func (m *memoryRecorder) Record(_ context.Context, record hold.Record) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.records++
	if m.fail || !m.witness.Apply(record) {
		return errors.New("not recorded")
	}
	return nil
}

func (m *memoryRecorder) setFail(fail bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fail = fail
}

var _ = Describe("a shard's owner", func() {
	var (
		ctx      context.Context
		recorder *memoryRecorder
		owner    *claim.Owner
	)

	BeforeEach(func() {
		ignore := goleak.IgnoreCurrent()
		var cancel context.CancelFunc
		ctx, cancel = context.WithCancel(context.Background())
		DeferCleanup(func() {
			cancel()
			Eventually(func() error { return goleak.Find(ignore) }).Should(Succeed())
		})
		recorder = &memoryRecorder{witness: hold.NewWitness()}
		owner = claim.NewOwner(ctx, "claims/0", claim.NewShard(keepFor))
	})

	open := func() {
		Expect(owner.CopyTo(ctx, recorder, 1)).To(Succeed())
		owner.Open(ctx, recorder, 2)
	}

	It("grants nothing before it is open", func() {
		Expect(owner.Ask(ctx, claim.GrantRequest{Key: "k", Grant: "g"}).Verdict).To(Equal(claim.Unavailable))
	})

	It("records a grant before it returns it", func() {
		open()
		Expect(owner.Ask(ctx, claim.GrantRequest{Key: "k", Grant: "g"}).Verdict).To(Equal(claim.Granted))
		Expect(recorder.witness.Entries("claims/0")).To(HaveLen(1))
	})

	It("revokes a grant that could not be recorded, so that a resend may run", func() {
		open()
		recorder.setFail(true)
		Expect(owner.Ask(ctx, claim.GrantRequest{Key: "k", Grant: "g"}).Verdict).To(Equal(claim.Unavailable))
		recorder.setFail(false)
		Expect(owner.Ask(ctx, claim.GrantRequest{Key: "k", Grant: "h"}).Verdict).To(Equal(claim.Granted))
	})

	It("grants nothing once its witness has seen a newer holder", func() {
		open()
		recorder.witness.RaiseFence("claims/0", 9)
		Expect(owner.Ask(ctx, claim.GrantRequest{Key: "k", Grant: "g"}).Verdict).To(Equal(claim.Unavailable))
	})

	It("grants one of many concurrent requests with the same key", func() {
		open()
		var all sync.WaitGroup
		verdicts := make(chan claim.Verdict, 200)
		for n := range 200 {
			all.Go(func() {
				verdicts <- owner.Ask(ctx, claim.GrantRequest{Key: "k", Grant: string(rune('a' + n))}).Verdict
			})
		}
		all.Wait()
		close(verdicts)
		granted := 0
		for verdict := range verdicts {
			if verdict == claim.Granted {
				granted++
			}
		}
		Expect(granted).To(Equal(1))
		Expect(recorder.records).To(BeNumerically("<", 200))
	})

	It("stores a settlement with the witness, so that the next owner knows that the request ran", func() {
		open()
		owner.Ask(ctx, claim.GrantRequest{Key: "k", Grant: "g"})
		Expect(owner.Settle(ctx, claim.Settlement{Key: "k", Grant: "g", Outcome: cardamom.Served, Result: claim.Result{Status: 200}})).To(BeTrue())
		successor := claim.NewShard(keepFor)
		Expect(successor.Adopt(recorder.witness.Entries("claims/0"), testNow)).To(Succeed())
		Expect(successor.Ask(claim.GrantRequest{Key: "k", Grant: "h"}, testNow).Verdict).To(Equal(claim.Ran))
	})
})
