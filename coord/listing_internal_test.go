package coord

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/site"
)

var _ = Describe("the log of upstreams", func() {
	learn := func(l *Loop, count int) string {
		var out bytes.Buffer
		l.logger = hclog.New(&hclog.LoggerOptions{Output: &out})
		for n := range count {
			l.setUpstream(&site.Upstream{Upstream: cardamom.Upstream{ID: cardamom.UpstreamID(fmt.Sprintf("u-%d", n)), Service: "s", State: cardamom.Live}, StartedMs: 1}, "coordinator")
		}
		l.logChanges()
		return out.String()
	}

	It("has a line for each change of a few", func() {
		lines := learn(newLoop("a", site.OrderAccepted), maxChangeLines)
		Expect(strings.Count(lines, "upstream_changed")).To(Equal(maxChangeLines))
	})

	It("has one line where an instance learns hundreds at once", func() {
		lines := learn(newLoop("a", site.OrderAccepted), 900)
		Expect(strings.Count(lines, "\n")).To(Equal(1))
		Expect(lines).To(ContainSubstring("upstreams_changed: count=900"))
	})

	It("has each of them at the coordinator", func() {
		l := newLoop("a", site.OrderAccepted)
		l.becomeCoordinator()
		l.changes = nil
		Expect(strings.Count(learn(l, 900), "upstream_changed")).To(Equal(900))
	})
})
