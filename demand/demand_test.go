package demand_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/demand"
)

func TestDemand(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "demand")
}

var (
	a = demand.Key{Service: "s", Model: "a"}
	b = demand.Key{Service: "s", Model: "b"}
)

var _ = Describe("a counter", func() {
	It("says when a model gets its first request in flight", func() {
		counter := demand.New()
		var started []demand.Key
		counter.OnStart(func(key demand.Key) { started = append(started, key) })
		counter.Begin("x", a, "")
		counter.Begin("y", a, "")
		counter.Begin("x", b, "")
		counter.Begin("x", demand.Key{Service: "plain"}, "")
		counter.End("x", a)
		counter.End("y", a)
		counter.Begin("y", a, "")
		Expect(started).To(Equal([]demand.Key{a, b, a}))
	})

	It("reports arrivals once and requests in flight until they end", func() {
		counter := demand.New()
		counter.Arrived(a, 500)
		counter.Begin("x", a, "letters")
		Expect(counter.Take().Models[a]).To(Equal(demand.Model{Arrivals: 1, Tokens: 500, Running: 1}))
		second := counter.Take()
		Expect(second.Models[a]).To(Equal(demand.Model{Running: 1}))
		Expect(second.Upstreams["x"]).To(Equal(demand.Upstream{Running: 1}))
		counter.End("x", a)
		Expect(counter.Take().Models[a]).To(Equal(demand.Model{}))
		Expect(counter.Take().Models).To(BeEmpty())
	})
})

var _ = Describe("the sums of reports", func() {
	report := func(key demand.Key, waiting, running int, upstream cardamom.UpstreamID, failures int) demand.Report {
		return demand.Report{
			Models:    map[demand.Key]demand.Model{key: {Arrivals: 9, Tokens: 900, Waiting: waiting, Running: running}},
			Upstreams: map[cardamom.UpstreamID]demand.Upstream{upstream: {Running: running, Failures: failures}},
		}
	}
	first, second, other := report(a, 1, 2, "x", 1), report(b, 0, 1, "y", 0), report(a, 3, 1, "x", 0)
	counts := func(sums *demand.Sums, key demand.Key) []int {
		waiting, running := sums.Model(key)
		return []int{waiting, running}
	}

	It("are those of the last report of each instance", func() {
		sums := demand.NewSums()
		sums.Replace(demand.Report{}, first)
		sums.Replace(demand.Report{}, other)
		Expect(counts(sums, a)).To(Equal([]int{4, 3}))
		Expect(sums.Replace(first, second)).To(Equal(map[demand.Key]bool{a: true, b: true}))
		Expect(counts(sums, a)).To(Equal([]int{3, 1}))
		Expect(counts(sums, b)).To(Equal([]int{0, 1}))
		sums.Replace(second, demand.Report{})
		sums.Replace(other, demand.Report{})
		Expect(counts(sums, a)).To(Equal([]int{0, 0}))
		Expect(sums.Others(demand.Report{})).To(BeEmpty())
	})

	It("tell an instance what the others have at an upstream", func() {
		sums := demand.NewSums()
		sums.Replace(demand.Report{}, first)
		sums.Replace(demand.Report{}, other)
		Expect(sums.Others(first)).To(Equal(map[cardamom.UpstreamID]demand.Upstream{"x": {Running: 1}}))
		Expect(sums.Others(other)).To(Equal(map[cardamom.UpstreamID]demand.Upstream{"x": {Running: 2, Failures: 1}}))
	})
})
