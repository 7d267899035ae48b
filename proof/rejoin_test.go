package proof_test

import (
	"fmt"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cardamomcourse.example/cardamom/fakes/host"
)

// rejoin is a deployment whose instances are all killed while callers have streams that
// broke off, which they take up again afterwards.
type rejoin struct {
	instances int
	// late means that the second version registers only just before the kill.
	late bool
	// leave means that the engines of the first version leave before the kill.
	leave bool
	// away is the fault of the store while the instances start again.
	away host.Fault
	// kills is how often all instances are killed.
	kills int
	// only means that there is no second version, so that all streams go on.
	only bool
}

// killAll kills all instances and starts them again.
func killAll(s *host.Site, away host.Fault) {
	for _, instance := range s.Instances {
		Expect(instance.Signal(syscall.SIGKILL)).To(Succeed())
	}
	s.Store.SetFault(away)
	for _, instance := range s.Instances {
		<-instance.Done()
		Expect(instance.Start()).To(Succeed())
	}
}

var _ = Describe("streams whose instances were all killed", func() {
	DescribeTable("never go on at another version",
		func(c rejoin) {
			engine := func(id, version string) host.UpstreamSpec {
				return host.UpstreamSpec{ID: id, Service: "models", DataCentre: "x", Models: []string{"m1"}, Slots: 16, LoadTime: 100 * time.Millisecond, Version: version}
			}
			first, second := []host.UpstreamSpec{engine("i-1", "v1"), engine("i-2", "v1")}, engine("i-3", "v2")
			specs := first
			if !c.late && !c.only {
				specs = append(specs, second)
			}
			s := startVersionsOf(c.instances, specs...)
			entry := func(n int) string { return s.Instances[n%c.instances].EntryAddress }
			began := make(map[string]host.Response)
			begin := func(name string, count int) {
				for n := range count {
					id := fmt.Sprintf("%s%d", name, n)
					if response := cutStream(s, id, entry(n)); eventID.MatchString(response.Body) {
						began[id] = response
					}
				}
			}
			begin("before", 10)
			if c.late {
				added := host.NewUpstream(s.Store, second)
				s.Add(added)
				Eventually(func() int {
					begin(fmt.Sprintf("late%d-", len(began)), 1)
					return len(added.Runs())
				}, conditionTimeout).Should(BeNumerically(">", 0))
			}
			if c.leave {
				for _, upstream := range s.Upstreams[:2] {
					upstream.Close()
					s.Store.Remove("servers", upstream.ID())
				}
			}
			Expect(began).NotTo(BeEmpty())
			goneOn := 0
			for kill := range c.kills {
				killAll(s, c.away)
				if c.away == host.NoFault {
					awaitMembers(s, s.Instances)
				}
				for id, first := range began {
					for n := range 2 {
						var rest host.Response
						Eventually(func() error {
							var err error
							rest, err = tryTakeUp(s, fmt.Sprintf("%s-%d-%d", id, kill, n), id, entry(n), first.Body)
							return err
						}, conditionTimeout).Should(Succeed())
						if rest.Status == 200 {
							goneOn++
							Expect(host.VersionsIn(first.Body+rest.Body)).To(HaveLen(1), "%s:\n%s%s", id, first.Body, rest.Body)
							continue
						}
						Expect(rest.Status).To(Equal(503), rest.Body)
					}
				}
				s.Store.SetFault(host.NoFault)
				awaitMembers(s, s.Instances)
			}
			if c.only {
				Expect(goneOn).To(Equal(2 * c.kills * len(began)))
			}
			AddReportEntry("taken up", fmt.Sprintf("%d of %d", goneOn, 2*c.kills*len(began)))
		},
		Entry("though all do with a single version", rejoin{instances: 8, only: true, kills: 1}),
		Entry("with two versions in service", rejoin{instances: 8, kills: 1}),
		Entry("with a second version that has just registered", rejoin{instances: 8, late: true, kills: 1}),
		Entry("with a second version, after the last engine of the first left", rejoin{instances: 8, leave: true, kills: 1}),
		Entry("with a second version that has just registered, after the last engine of the first left", rejoin{instances: 8, late: true, leave: true, kills: 1}),
		Entry("with two versions while the store is away", rejoin{instances: 8, away: host.Down, kills: 1}),
		Entry("with two versions while the store loses its answers", rejoin{instances: 8, away: host.LoseReplies, kills: 1}),
		Entry("with two versions, twice in a row", rejoin{instances: 8, late: true, kills: 2}),
	)
})
