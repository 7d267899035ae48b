package proof_test

import (
	"context"
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cardamomcourse.example/cardamom/fakes/host"
)

// frontModels are more models than the engines of a front site have memory for.
var frontModels = []string{"m1", "m2", "m3", "m4", "m5"}

// startFront starts instances with a fake of the users' platform and waits until
// all are ready and know each other.
func startFront(instances int) *host.Site { return startFrontSharing(instances, false) }

// startFrontSharing does the same with instances that may share the schedules of upstreams.
func startFrontSharing(instances int, schedules bool) *host.Site {
	return startHost(host.SiteOptions{
		SharedSchedule: schedules, Instances: instances,
		Upstreams: []host.UpstreamSpec{
			{ID: "i-1", Service: "models", DataCentre: "x", Models: []string{"m1", "m2"}, Disk: []string{"m5"}, Slots: 16, LoadTime: 100 * time.Millisecond},
			{ID: "i-2", Service: "models", DataCentre: "y", Models: []string{"m3", "m4"}, Slots: 16, LoadTime: 100 * time.Millisecond},
			{ID: "p-1", Service: "plain", DataCentre: "x", Slots: 8},
			{ID: "p-2", Service: "plain", DataCentre: "y", Slots: 8},
		},
	})
}

// startHost starts the instances and upstreams of the options with the usual configuration, and
// waits until all are ready and know each other.
func startHost(options host.SiteOptions) *host.Site {
	options.Program, options.Folder, options.Config = filepath.Join(programs, "cardfront"), GinkgoT().TempDir(), host.Config(1, frontModels)
	s, err := host.NewSite(options)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(s.Close)
	DeferCleanup(func() {
		if !CurrentSpecReport().Failed() {
			return
		}
		for _, instance := range s.Instances {
			GinkgoWriter.Printf("== %s\n%s\n", instance.Name(), instance.Log())
		}
	})
	awaitMembers(s, s.Instances)
	return s
}

// awaitMembers waits until each instance is ready and lists the addresses of all.
func awaitMembers(s *host.Site, instances []*host.Instance) {
	for _, instance := range instances {
		Eventually(func() bool {
			addresses, err := s.Lookup(instance)
			return err == nil && len(addresses) == len(instances) && s.IsReady(instance)
		}, conditionTimeout).Should(BeTrue(), instance.Name())
	}
}

// sendUntilServed repeats a request until it is served.
func sendUntilServed(s *host.Site, r host.Request) host.Response {
	var got host.Response
	n := 0
	Eventually(func() bool {
		n++
		attempt := r
		attempt.ID = fmt.Sprintf("%s-%d", r.ID, n)
		var err error
		got, err = s.Send(context.Background(), attempt)
		return err == nil && got.Status == 200 && got.Complete
	}, conditionTimeout).Should(BeTrue(), r.ID)
	Expect(got.Sealed).To(BeTrue())
	return got
}

var _ = Describe("instances on the users' platform", func() {
	It("serve requests of each kind without faults", func() {
		s := startFront(2)
		for n := range 40 {
			entry := s.Instances[n%2].EntryAddress
			got := sendUntilServed(s, host.Request{ID: fmt.Sprintf("once%d", n), Path: "/once/x", Body: "b", Address: entry})
			Expect(got.Body).To(HavePrefix("whole answer to once"))
			sendUntilServed(s, host.Request{ID: fmt.Sprintf("safe%d", n), Path: "/safe/x", Address: entry})
			got = sendUntilServed(s, host.Request{ID: fmt.Sprintf("stream%d", n), Path: "/stream/x", Model: frontModels[n%len(frontModels)], Address: entry})
			Expect(strings.Count(got.Body, "\n\n")).To(Equal(4))
		}
		for id, count := range s.Runs() {
			Expect(count).To(Equal(1), id)
		}
		text, err := s.Metrics(s.Instances[0])
		Expect(err).NotTo(HaveOccurred())
		Expect(text).To(ContainSubstring(`requests_total{kind="streaming",outcome="served",reason="answered"}`))
		Expect(text).To(ContainSubstring(`stage_seconds_bucket{stage="first_event",le="+Inf"}`))
	})

	It("load a model once for a burst at all instances", func() {
		s := startFront(3)
		before := s.Upstreams[0].Loads() + s.Upstreams[1].Loads()
		var group sync.WaitGroup
		for n := range 30 {
			group.Add(1)
			go func() {
				defer group.Done()
				defer GinkgoRecover()
				sendUntilServed(s, host.Request{ID: fmt.Sprintf("burst%d", n), Path: "/stream/x", Model: "m5", Address: s.Instances[n%3].EntryAddress})
			}()
		}
		group.Wait()
		Expect(s.Upstreams[0].Loads() + s.Upstreams[1].Loads() - before).To(Equal(1))
	})

	It("apply a new configuration everywhere", func() {
		s := startFront(2)
		s.Store.Put("op", "config", host.Config(7, frontModels, map[string]any{
			"name": "added", "host": "h.example", "pathPrefix": "/added/", "kind": "idempotent", "service": "plain", "timeoutMs": 5000, "maxAttempts": 1,
		}))
		for _, instance := range s.Instances {
			sendUntilServed(s, host.Request{ID: "added" + instance.Name(), Path: "/added/x", Address: instance.EntryAddress})
		}
	})

	It("send nothing to an upstream that leaves", func() {
		s := startFront(2)
		s.Upstreams[2].Drain()
		for _, instance := range s.Instances {
			Eventually(instance.Log, conditionTimeout).Should(ContainSubstring("upstream=p-1 service=plain address=" + s.Upstreams[2].Address() + " leaving=true"))
		}
		before := len(s.Upstreams[2].Runs())
		for n := range 10 {
			sendUntilServed(s, host.Request{ID: fmt.Sprintf("after%d", n), Path: "/safe/x", Address: s.Instances[n%2].EntryAddress})
		}
		Expect(s.Upstreams[2].Runs()).To(HaveLen(before))
	})

	It("finish their requests and are no longer listed when they are stopped", func() {
		s := startFront(2)
		leaving, staying := s.Instances[0], s.Instances[1]
		Expect(leaving.Signal(syscall.SIGTERM)).To(Succeed())
		Eventually(func() bool { return s.IsReady(leaving) }, conditionTimeout).Should(BeFalse())
		Eventually(func() bool {
			addresses, err := s.Lookup(staying)
			return err == nil && !slices.Contains(addresses, leaving.EntryAddress)
		}, conditionTimeout).Should(BeTrue())
		sendUntilServed(s, host.Request{ID: "stays", Path: "/safe/x", Address: staying.EntryAddress})
		Eventually(leaving.Done(), conditionTimeout).Should(BeClosed())
		Expect(leaving.Log()).To(ContainSubstring("event=stopped"))
	})

	It("continue when the coordinator is killed", func() {
		s := startFront(3)
		var coordinator *host.Instance
		Eventually(func() bool {
			for _, instance := range s.Instances {
				if strings.Contains(instance.Log(), "event=lease_taken") {
					coordinator = instance
				}
			}
			return coordinator != nil
		}, conditionTimeout).Should(BeTrue())
		Expect(coordinator.Signal(syscall.SIGKILL)).To(Succeed())
		rest := slices.DeleteFunc(slices.Clone(s.Instances), func(i *host.Instance) bool { return i == coordinator })
		awaitMembers(s, rest)
		sendUntilServed(s, host.Request{ID: "cold", Path: "/stream/x", Model: "m5", Address: rest[0].EntryAddress})
		for id, count := range s.Runs() {
			Expect(count).To(Equal(1), id)
		}
	})

	It("serve from their cached state while the store is down", func() {
		s := startFront(2)
		s.Store.SetFault(host.Reset)
		for n := range 10 {
			sendUntilServed(s, host.Request{ID: fmt.Sprintf("away%d", n), Path: "/once/x", Body: "b", Address: s.Instances[n%2].EntryAddress})
			sendUntilServed(s, host.Request{ID: fmt.Sprintf("model%d", n), Path: "/stream/x", Model: "m1", Address: s.Instances[n%2].EntryAddress})
		}
		s.Store.SetFault(host.NoFault)
		s.Store.Put("op", "config", host.Config(9, frontModels, map[string]any{
			"name": "added", "host": "h.example", "pathPrefix": "/added/", "kind": "idempotent", "service": "plain", "timeoutMs": 5000, "maxAttempts": 1,
		}))
		for _, instance := range s.Instances {
			sendUntilServed(s, host.Request{ID: "back" + instance.Name(), Path: "/added/x", Address: instance.EntryAddress})
		}
	})

	It("recover the configuration after all were killed at once", func() {
		s := startFront(3)
		for _, instance := range s.Instances {
			Expect(instance.Signal(syscall.SIGKILL)).To(Succeed())
		}
		for _, instance := range s.Instances {
			<-instance.Done()
			Expect(instance.Start()).To(Succeed())
		}
		awaitMembers(s, s.Instances)
		for _, instance := range s.Instances {
			sendUntilServed(s, host.Request{ID: "again" + instance.Name(), Path: "/stream/x", Model: "m5", Address: instance.EntryAddress})
		}
	})
})
