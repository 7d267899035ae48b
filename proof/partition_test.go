package proof_test

import (
	"context"
	"fmt"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cardamomcourse.example/cardamom/fakes/host"
)

const (
	// cutContact is how long after the beginning of a cut instances may fail to serve, as the
	// platform allows.
	cutContact = 3 * time.Second
	// cutSpan is how long requests are counted after that.
	cutSpan = 3 * time.Second
	// cutRequestPause is the pause between two requests to an instance.
	cutRequestPause = 60 * time.Millisecond
)

// startPartitioned starts four instances before upstreams with links.
func startPartitioned() *host.Site {
	engine := func(id string, models ...string) host.UpstreamSpec {
		return host.UpstreamSpec{ID: id, Service: "models", DataCentre: "x", Models: models, Slots: 16, LoadTime: 100 * time.Millisecond, WithLink: true}
	}
	plain := func(id string) host.UpstreamSpec {
		return host.UpstreamSpec{ID: id, Service: "plain", DataCentre: "x", Slots: 16, WithLink: true}
	}
	s, err := host.NewSite(host.SiteOptions{
		Program: filepath.Join(programs, "cardfront"), Folder: GinkgoT().TempDir(), Instances: 4, Config: host.Config(1, frontModels),
		Upstreams: []host.UpstreamSpec{engine("i-1", "m1", "m2"), engine("i-2", "m3", "m4"), engine("i-3", "m5", "m1"), plain("p-1"), plain("p-2"), plain("p-3")},
	})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(s.Close)
	DeferCleanup(func() {
		if CurrentSpecReport().Failed() {
			for _, instance := range s.Instances {
				GinkgoWriter.Printf("== %s\n%s\n", instance.Name(), instance.Log())
			}
		}
	})
	awaitMembers(s, s.Instances)
	return s
}

// tries are requests that were sent to an instance, each once.
type tries struct {
	sent   int
	whole  atomic.Int64
	flying sync.WaitGroup
}

// served waits until all requests have ended and returns how many were served.
func (t *tries) served() int {
	t.flying.Wait()
	return int(t.whole.Load())
}

// sendTries sends requests of all kinds to an instance for a time, and does not wait for
// the last.
func sendTries(s *host.Site, instance *host.Instance, span time.Duration) *tries {
	t := &tries{}
	kinds := []host.Request{{Path: "/safe/x"}, {Path: "/once/x"}, {Path: "/stream/x", Model: "m1"}, {Path: "/resume/x", Model: "m3"}}
	tick := time.NewTicker(cutRequestPause)
	defer tick.Stop()
	for end := time.Now().Add(span); time.Now().Before(end); t.sent++ {
		request := kinds[t.sent%len(kinds)]
		request.ID, request.Address = fmt.Sprintf("%s-%d-%d", instance.Name(), t.sent, end.UnixNano()), instance.EntryAddress
		t.flying.Go(func() {
			if got, err := s.Send(context.Background(), request); err == nil && got.Status == 200 && got.Complete && got.Sealed {
				t.whole.Add(1)
			}
		})
		<-tick.C
	}
	return t
}

// sendToAll sends requests to all instances at the same time.
func sendToAll(s *host.Site, span time.Duration) []*tries {
	all := make([]*tries, len(s.Instances))
	var group sync.WaitGroup
	for n, instance := range s.Instances {
		group.Go(func() { all[n] = sendTries(s, instance, span) })
	}
	group.Wait()
	return all
}

var _ = Describe("instances that are partitioned from all upstreams", func() {
	for name, fault := range map[string]host.LinkFault{"are silent": host.Silent, "are reset": host.Resetting, "live on while new ones hang": host.Hanging} {
		for _, cut := range []int{1, 3} {
			It(fmt.Sprintf("serve first tries while connections of %d of four %s", cut, name), func() {
				s := startPartitioned()
				for _, t := range sendToAll(s, cutRequestPause) {
					Expect(t.served()).To(Equal(t.sent))
				}
				for _, instance := range s.Instances[:cut] {
					Expect(s.CutOff(instance, fault)).To(Succeed())
				}
				early := sendToAll(s, cutContact)
				counted := sendToAll(s, cutSpan)
				sent, served := map[bool]int{}, map[bool]int{}
				for n, t := range counted {
					sent[n < cut] += t.sent
					served[n < cut] += t.served()
				}
				for _, instance := range s.Instances[:cut] {
					Expect(s.CutOff(instance, host.NoLinkFault)).To(Succeed())
				}
				for _, t := range early {
					t.served()
				}
				failed := sent[true] - served[true]
				report := fmt.Sprintf("served %d of %d at those cut off, %d of %d at the others", served[true], sent[true], served[false], sent[false])
				GinkgoWriter.Println(report)
				Expect(failed <= 10+(sent[true]+sent[false])/50 || 3*served[true]*sent[false] >= 2*served[false]*sent[true]).To(BeTrue(), report)
				for id, count := range s.Runs() {
					Expect(count).To(BeNumerically("<=", 2), id)
				}
			})
		}
	}
})
