package claim_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/claim"
	"cardamomcourse.example/cardamom/hold"
)

const keepFor = time.Minute

var testNow = time.Unix(1000, 0)

// referenceEvent is one event in the log of the reference model: a grant if the
// outcome is unknown, else a settlement.
type referenceEvent struct {
	key, grant  string
	fingerprint uint64
	outcome     cardamom.Outcome
}

// reference is a reference model of a shard, slow but simple: it derives each
// verdict from the whole log of a key.
type reference struct {
	log []referenceEvent
}

func (r *reference) ask(key, grant string, fingerprint uint64) claim.Verdict {
	verdict, current, known := claim.Granted, "", uint64(0)
	for _, e := range r.log {
		if e.key != key {
			continue
		}
		switch {
		case e.outcome == cardamom.OutcomeUnknown:
			verdict, current, known = claim.Running, e.grant, e.fingerprint
		case e.grant != current || verdict != claim.Running:
		case e.outcome == cardamom.NotRun:
			verdict, current = claim.Granted, ""
		case e.outcome == cardamom.Served:
			verdict = claim.Ran
		default:
			verdict = claim.MayHaveRun
		}
	}
	switch {
	case current == "":
		r.log = append(r.log, referenceEvent{key: key, grant: grant, fingerprint: fingerprint})
		return claim.Granted
	case known != fingerprint:
		return claim.KeyReused
	case verdict == claim.Running && current == grant:
		return claim.Granted
	default:
		return verdict
	}
}

func (r *reference) settle(key, grant string, outcome cardamom.Outcome) {
	r.log = append(r.log, referenceEvent{key: key, grant: grant, outcome: outcome})
}

var _ = Describe("a shard of claims", func() {
	now := testNow

	It("answers as the reference model does, also after its witness took over", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			shard, model, witness := claim.NewShard(keepFor), &reference{}, hold.NewWitness()
			witness.Apply(hold.Record{Resource: "claims/0", Fence: 1, Reset: true})
			for range rapid.IntRange(1, 60).Draw(t, "steps") {
				key := fmt.Sprintf("k%d", rapid.IntRange(0, 3).Draw(t, "key"))
				grant := fmt.Sprintf("g%d", rapid.IntRange(0, 4).Draw(t, "grant"))
				fingerprint := uint64(rapid.IntRange(0, 8).Draw(t, "fingerprint") / 8)
				switch rapid.IntRange(0, 4).Draw(t, "action") {
				case 0, 1:
					got := shard.Ask(claim.GrantRequest{Key: key, Grant: grant, Fingerprint: fingerprint}, now).Verdict
					if want := model.ask(key, grant, fingerprint); got != want {
						t.Fatalf("key %s grant %s: verdict %d, reference model %d", key, grant, got, want)
					}
				case 2, 3:
					outcome := rapid.SampledFrom([]cardamom.Outcome{cardamom.NotRun, cardamom.Served, cardamom.MayHaveRun}).Draw(t, "outcome")
					shard.Settle(claim.Settlement{Key: key, Grant: grant, Outcome: outcome}, now)
					model.settle(key, grant, outcome)
				case 4:
					successor := claim.NewShard(keepFor)
					if err := successor.Adopt(witness.Entries("claims/0"), now); err != nil {
						t.Fatal(err)
					}
					shard = successor
				}
				witness.Apply(hold.Record{Resource: "claims/0", Fence: 1, Entries: shard.Changes()})
			}
		})
	})

	It("keeps a small result for the resend", func() {
		shard := claim.NewShard(keepFor)
		shard.Ask(claim.GrantRequest{Key: "k", Grant: "g"}, now)
		shard.Settle(claim.Settlement{Key: "k", Grant: "g", Outcome: cardamom.Served, Result: claim.Result{Status: 200, Body: []byte("label")}}, now)
		answer := shard.Ask(claim.GrantRequest{Key: "k", Grant: "other"}, now)
		Expect(answer.Verdict).To(Equal(claim.Ran))
		Expect(string(answer.Result.Body)).To(Equal("label"))
	})

	It("refuses an unknown key after claims were lost, unless its issue number shows that it is new", func() {
		shard := claim.NewShard(keepFor)
		shard.MarkLost(17, now)
		Expect(shard.Ask(claim.GrantRequest{Key: "a", Grant: "g"}, now).Verdict).To(Equal(claim.ClaimsLost))
		Expect(shard.Ask(claim.GrantRequest{Key: "a", Grant: "g", Issue: 16}, now).Verdict).To(Equal(claim.ClaimsLost))
		Expect(shard.Ask(claim.GrantRequest{Key: "a", Grant: "g", Issue: 17}, now).Verdict).To(Equal(claim.Granted))
		Expect(shard.Ask(claim.GrantRequest{Key: "b", Grant: "g"}, now.Add(2*keepFor)).Verdict).To(Equal(claim.Granted))
	})
})
