package coord

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cardamomcourse.example/cardamom/clock"
	"cardamomcourse.example/cardamom/notice"
	"cardamomcourse.example/cardamom/origin"
	"cardamomcourse.example/cardamom/site"
)

var _ = Describe("streams that a route lets last for long", func() {
	// knows reports whether an instance takes the second version for the only one 95 s after
	// the first was listed last, and knows a stream that began 95 s ago.
	knows := func(route site.Route) (sole, stream bool) {
		l := newLoop("a", site.OrderAccepted)
		route.Shares = []site.Share{{Service: "models", Weight: 1}}
		l.setCatalog(nil, site.NewCatalog(100, []site.Route{route}, []site.Service{{Name: "models"}}, site.Limits{}), "platform")
		now := clock.Now()
		began := now.Add(-95 * time.Second)
		l.options.Origins.Begin(origin.NewStream("models", "r"), origin.New(notice.NewRun("u", 1), "v1"), began)
		l.state.history.Start(began)
		l.state.history.See("models", "v1", began)
		for at := began; !at.After(now); at = at.Add(time.Second) {
			l.state.history.See("models", "v2", at)
			l.state.history.Confirm(at)
		}
		_, sole = l.state.history.Snapshot().Sole("models", now)
		_, known := l.options.Origins.Find(origin.NewStream("models", "r"), now)
		return sole, known == origin.Known
	}

	It("count for what is remembered of versions and streams", func() {
		sole, stream := knows(site.Route{Kind: site.Streaming, Resumable: true, Timeout: 110 * time.Second})
		Expect(sole).To(BeFalse())
		Expect(stream).To(BeTrue())
	})

	It("don't count if callers may not take them up", func() {
		sole, stream := knows(site.Route{Kind: site.Streaming, Timeout: 110 * time.Second})
		Expect(sole).To(BeTrue())
		Expect(stream).To(BeFalse())
	})
})
