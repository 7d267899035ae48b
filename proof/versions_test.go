package proof_test

import (
	"context"
	"fmt"
	"path/filepath"
	"regexp"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cardamomcourse.example/cardamom/fakes/host"
)

// eventID matches the id of an event.
var eventID = regexp.MustCompile(`(?m)^id: (\d+)$`)

// startVersions starts three instances before engines of two software versions, all of
// which have the same model.
func startVersions() *host.Site {
	engine := func(id, version string) host.UpstreamSpec {
		return host.UpstreamSpec{ID: id, Service: "models", DataCentre: "x", Models: []string{"m1"}, Slots: 16, LoadTime: 100 * time.Millisecond, Version: version}
	}
	return startVersionsOf(3, engine("i-1", "v1"), engine("i-2", "v2"), engine("i-3", "v1"), engine("i-4", "v2"))
}

// startVersionsOf starts instances before upstreams and waits until all are members.
func startVersionsOf(instances int, upstreams ...host.UpstreamSpec) *host.Site {
	s, err := host.NewSite(host.SiteOptions{
		Program: filepath.Join(programs, "cardfront"), Folder: GinkgoT().TempDir(), Instances: instances, Config: host.Config(1, frontModels), Upstreams: upstreams,
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

// earnRetries sends sound requests, so that the retry budget allows to send the next one
// again.
func earnRetries(s *host.Site, round int) {
	for n := range 30 {
		sendUntilServed(s, host.Request{ID: fmt.Sprintf("sound%d-%d", round, n), Path: "/stream/x", Model: "m1", Address: s.Instances[n%3].EntryAddress})
	}
}

// cutStream begins a stream whose engines break it off twice, so that it ends early, and
// returns what the caller has of it.
func cutStream(s *host.Site, id, address string) host.Response {
	for _, engine := range s.Upstreams {
		engine.AppendBehaviours(host.Cut, host.Cut)
	}
	response, err := s.Send(context.Background(), host.Request{ID: id, Path: "/resume/x", Model: "m1", Address: address})
	for _, engine := range s.Upstreams {
		engine.ClearBehaviours()
	}
	Expect(err).NotTo(HaveOccurred())
	return response
}

// takeUp takes a stream up at another instance after what the caller has of it.
func takeUp(s *host.Site, id, resumes, address, has string) host.Response {
	response, err := tryTakeUp(s, id, resumes, address, has)
	Expect(err).NotTo(HaveOccurred())
	return response
}

// tryTakeUp is takeUp at an instance that may not accept connections yet.
func tryTakeUp(s *host.Site, id, resumes, address, has string) (host.Response, error) {
	ids := eventID.FindAllStringSubmatch(has, -1)
	Expect(ids).NotTo(BeEmpty(), has)
	return s.Send(context.Background(), host.Request{
		ID: id, Path: "/resume/x", Model: "m1", Address: address, Resumes: resumes, LastEventID: ids[len(ids)-1][1],
	})
}

var _ = Describe("streams before engines of two software versions", func() {
	It("never hold events of both in one response", func() {
		s := startVersions()
		for n := range 10 {
			earnRetries(s, n)
			for _, engine := range s.Upstreams {
				engine.AppendBehaviours(host.Cut)
			}
			response, err := s.Send(context.Background(), host.Request{ID: fmt.Sprintf("within%d", n), Path: "/resume/x", Model: "m1", Address: s.Instances[n%3].EntryAddress})
			Expect(err).NotTo(HaveOccurred())
			for _, engine := range s.Upstreams {
				engine.ClearBehaviours()
			}
			Expect(host.VersionsIn(response.Body)).To(HaveLen(1), response.Body)
		}
	})

	It("go on at the version that began them when their caller comes back at another instance", func() {
		s := startVersions()
		for n := range 10 {
			id := fmt.Sprintf("back%d", n)
			began := cutStream(s, id, s.Instances[n%3].EntryAddress)
			rest := takeUp(s, id+"-2", id, s.Instances[(n+1)%3].EntryAddress, began.Body)
			Expect(rest.Status).To(Equal(200), rest.Body)
			Expect(host.VersionsIn(began.Body+rest.Body)).To(HaveLen(1), began.Body+rest.Body)
		}
	})

	It("go on at the version that began them after the instance that served them was killed", func() {
		s := startVersions()
		began := make(map[string]host.Response)
		for n := range 10 {
			id := fmt.Sprintf("killed%d", n)
			began[id] = cutStream(s, id, s.Instances[0].EntryAddress)
		}
		Expect(s.Instances[0].Signal(syscall.SIGKILL)).To(Succeed())
		<-s.Instances[0].Done()
		for id, first := range began {
			rest := takeUp(s, id+"-2", id, s.Instances[1].EntryAddress, first.Body)
			Expect(rest.Status).To(Equal(200), rest.Body)
			Expect(host.VersionsIn(first.Body+rest.Body)).To(HaveLen(1), first.Body+rest.Body)
		}
	})

	It("are refused at once, and not run, if nobody knows the version that began them", func() {
		s := startVersions()
		rest := takeUp(s, "unknown-2", "unknown", s.Instances[0].EntryAddress, "id: 2\n")
		Expect(rest.Status).To(Equal(503), rest.Body)
		Expect(rest.RetryAfter).To(BeZero())
		Expect(s.Runs()).NotTo(HaveKey("unknown-2"))
	})
})
