package quota_test

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/quota"
	"cardamomcourse.example/cardamom/site"
)

//go:embed testdata/book.json
var bookScripts []byte

func TestQuota(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "quota")
}

// bookStep is an answer of an upstream, or what another instance knows of it.
type bookStep struct {
	AtMS int64 `json:"at_ms"`
	// Run is the start time of the upstream's run, Listed that of the present one if it
	// is another.
	Run     int64    `json:"run"`
	Listed  int64    `json:"listed"`
	Limit   *float64 `json:"limit"`
	Invalid string   `json:"invalid"`
	Merged  bool     `json:"merged"`
	// ListedOnly means that there is no answer.
	ListedOnly bool     `json:"listed_only"`
	Prune      bool     `json:"prune"`
	Gone       bool     `json:"gone"`
	Change     string   `json:"change"`
	Before     float64  `json:"before"`
	InForce    *float64 `json:"in_force"`
	Kept       int      `json:"kept"`
}

func upstream(id string, run int64) *site.Upstream {
	return &site.Upstream{Upstream: cardamom.Upstream{ID: cardamom.UpstreamID(id)}, StartedMs: run}
}

func (s bookStep) apply(book *quota.Book, now time.Time) quota.Change {
	statement := site.RateLimit{Invalid: s.Invalid}
	if s.Limit != nil {
		statement.Named, statement.PerSecond = true, *s.Limit
	}
	if !s.Merged {
		return book.State(upstream("u", s.Run), statement, now)
	}
	changes := book.Merge([]quota.Limit{{Upstream: "u", StartedMs: s.Run, Ended: !statement.Named, PerSecond: statement.PerSecond, Stated: now}})
	if len(changes) == 0 {
		return quota.Change{}
	}
	return changes[0]
}

var _ = Describe("the book of limits", func() {
	began := time.Unix(1000, 0)
	var scripts []struct {
		Name  string     `json:"name"`
		Steps []bookStep `json:"steps"`
	}
	if err := json.Unmarshal(bookScripts, &scripts); err != nil {
		panic(err)
	}
	for _, script := range scripts {
		It(script.Name, func() {
			book := quota.NewBook()
			for i, step := range script.Steps {
				where := fmt.Sprintf("step %d", i+1)
				now := began.Add(time.Duration(step.AtMS) * time.Millisecond)
				switch {
				case step.Prune:
					book.Prune(func(cardamom.UpstreamID) (int64, bool) { return max(step.Listed, step.Run), !step.Gone }, now)
					Expect(book.Limits()).To(HaveLen(step.Kept), where)
				case !step.ListedOnly:
					change := step.apply(book, now)
					Expect(change.Kind.String()).To(Equal(step.Change), where)
					Expect(change.Before).To(Equal(step.Before), where)
				}
				run := step.Run
				if step.Listed != 0 {
					run = step.Listed
				}
				limit, ok := book.Limit(upstream("u", run), now)
				Expect(ok).To(Equal(step.InForce != nil), where)
				if ok {
					Expect(limit.PerSecond).To(Equal(*step.InForce), where)
				}
			}
		})
	}

	It("stays bounded however many upstreams name limits", func() {
		book := quota.NewBook()
		for n := range 20000 {
			book.State(upstream(fmt.Sprint(n), 1), site.RateLimit{Named: true, PerSecond: 1}, began)
			book.State(upstream(fmt.Sprint(n), 1), site.RateLimit{Invalid: "x"}, began)
		}
		Expect(len(book.Limits())).To(BeNumerically("<", 10000))
	})
})
