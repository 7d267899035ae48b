package proof_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cardamomcourse.example/cardamom/fakes/host"
)

const (
	// crashRecovery is within how long a request is served again whose upstreams have ended.
	crashRecovery = 12 * time.Second
	// crashNotice is how long after the third upstream that a request crashed it may still
	// reach others, and lateCrashes is how many it may crash later than that.
	crashNotice = 3 * time.Second
	lateCrashes = 3
	// crashStoreTime is longer than it takes until a death that an instance has seen is stored.
	crashStoreTime = time.Second
	// crashSlots is so low that few requests share an upstream.
	crashSlots = 1
)

// startCrashSite starts instances and upstreams of a plain service.
func startCrashSite(instances, upstreams int) *host.Site {
	options := host.SiteOptions{Instances: instances}
	for n := range upstreams {
		options.Upstreams = append(options.Upstreams, host.UpstreamSpec{ID: fmt.Sprintf("p-%d", n), Service: "plain", DataCentre: "x", Slots: crashSlots})
	}
	return startHost(options)
}

// crashed returns when upstreams crashed.
func crashed(s *host.Site) []time.Time {
	var times []time.Time
	for _, upstream := range s.Upstreams {
		if at, ok := upstream.Crashed(); ok {
			times = append(times, at)
		}
	}
	return times
}

// endTogether ends at least as many upstreams at about the same moment, all that have a request
// for the page, which one instance has sent. That instance refuses the page then.
func endTogether(s *host.Site, count int) {
	for _, upstream := range s.Upstreams {
		upstream.AppendBehaviours(host.Hang, host.Hang, host.Hang)
	}
	var group sync.WaitGroup
	for n := range 3 * count {
		group.Go(func() {
			defer GinkgoRecover()
			_, _ = s.Send(context.Background(), host.Request{ID: fmt.Sprintf("hang%d", n), Path: "/once/page", Address: s.Instances[0].EntryAddress})
		})
	}
	Eventually(func() int { return len(hanging(s)) }, conditionTimeout).Should(Equal(3 * count))
	ending := make(map[*host.Upstream]bool)
	for _, upstream := range hanging(s) {
		ending[upstream] = true
	}
	Expect(len(ending)).To(BeNumerically(">=", count))
	for upstream := range ending {
		group.Go(upstream.End)
	}
	group.Wait()
	for _, upstream := range s.Upstreams {
		upstream.ClearBehaviours()
	}
	refused, err := s.Send(context.Background(), host.Request{ID: "refused", Path: "/once/page", Address: s.Instances[0].EntryAddress})
	Expect(err).NotTo(HaveOccurred())
	Expect(refused.Status).To(Equal(503), refused.Body)
}

// hanging returns the upstream of each request that endTogether has sent.
func hanging(s *host.Site) []*host.Upstream {
	var list []*host.Upstream
	for _, upstream := range s.Upstreams {
		for _, run := range upstream.Runs() {
			if strings.HasPrefix(run.ID, "hang") {
				list = append(list, upstream)
			}
		}
	}
	return list
}

// crashCase is how upstreams end while they have requests that are alike.
type crashCase struct {
	// answered means that such requests were answered before.
	answered bool
	// before means that all instances start again just before, after that they do just after.
	before, after bool
	count         int
}

// Callers were refused for good, also after all instances had started again: a refused request is
// not sent, so that no answer could clear it.
var _ = Describe("a request that many callers share", func() {
	DescribeTable("is served again after upstreams ended together while they had it",
		func(c crashCase) {
			s := startCrashSite(3, 14)
			if c.answered {
				for n, instance := range s.Instances {
					sendUntilServed(s, host.Request{ID: fmt.Sprintf("before%d", n), Path: "/once/page", Address: instance.EntryAddress})
				}
			}
			if c.before {
				killAll(s, host.NoFault)
				awaitMembers(s, s.Instances)
			}
			endTogether(s, c.count)
			if c.after {
				time.Sleep(crashStoreTime)
				killAll(s, host.NoFault)
				awaitMembers(s, s.Instances)
			}
			for n, instance := range s.Instances {
				sends := 0
				Eventually(func() int {
					sends++
					response, err := s.Send(context.Background(), host.Request{ID: fmt.Sprintf("after%d-%d", n, sends), Path: "/once/page", Address: instance.EntryAddress})
					if err != nil {
						return 0
					}
					return response.Status
				}, crashRecovery).Should(Equal(200), instance.Name())
			}
		},
		Entry("and had not answered it yet", crashCase{count: 2}),
		Entry("and had answered it before", crashCase{count: 4, answered: true}),
		Entry("before all instances started again", crashCase{count: 4, answered: true, after: true}),
		Entry("just after all instances started again", crashCase{count: 2, answered: true, before: true}),
	)
})

var _ = Describe("a request that crashes each upstream that gets it", func() {
	DescribeTable("reaches few more after the third",
		func(kill bool) {
			s := startCrashSite(3, 14)
			for _, upstream := range s.Upstreams {
				upstream.AppendBehaviours(host.Crash)
			}
			began, killed := time.Now(), false
			for n := 0; time.Since(began) < 10*time.Second; n++ {
				_, _ = s.Send(context.Background(), host.Request{ID: fmt.Sprintf("bad%d", n), Path: "/safe/bad", Address: s.Instances[n%3].EntryAddress})
				time.Sleep(50 * time.Millisecond)
				if kill && !killed && time.Since(began) > 4*time.Second {
					killed = true
					killAll(s, host.NoFault)
				}
			}
			times := crashed(s)
			Expect(len(times)).To(BeNumerically(">=", 3))
			slices.SortFunc(times, time.Time.Compare)
			late := 0
			for _, at := range times {
				if at.After(times[2].Add(crashNotice)) {
					late++
				}
			}
			AddReportEntry("crashed", fmt.Sprintf("%d, %d of them late", len(times), late))
			Expect(late).To(BeNumerically("<=", lateCrashes))
		},
		Entry("while instances run on", false),
		Entry("also if all instances start again", true),
	)
})
