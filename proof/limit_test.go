package proof_test

import (
	"context"
	"fmt"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cardamomcourse.example/cardamom/fakes/host"
)

const (
	// limitNotice is how long after an upstream first named a limit the instances keep
	// to it.
	limitNotice = 3 * time.Second
	// limitWindow is the time over which requests are counted against a limit.
	limitWindow = 4 * time.Second
)

// limitAllowance is how many requests an upstream with a limit may get in limitWindow.
func limitAllowance(perSecond float64) int {
	return int(perSecond*limitWindow.Seconds()*1.5) + 5
}

// sendAll sends a request each interval, in turn to all instances, until the time has
// passed, and returns how many were served.
func sendAll(s *host.Site, r host.Request, interval, span time.Duration) int {
	var group sync.WaitGroup
	var mu sync.Mutex
	served := 0
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	n := 0
	for end := time.Now().Add(span); time.Now().Before(end); n++ {
		<-ticker.C
		attempt := r
		attempt.ID, attempt.Address = fmt.Sprintf("%s-%d", r.ID, n), s.Instances[n%len(s.Instances)].EntryAddress
		group.Go(func() {
			got, err := s.Send(context.Background(), attempt)
			mu.Lock()
			defer mu.Unlock()
			if err == nil && got.Status == 200 && got.Complete {
				served++
			}
		})
	}
	group.Wait()
	return served
}

var _ = Describe("instances before upstreams that name a rate limit", func() {
	It("keep to it together, and use it", func() {
		const perSecond = 2.0
		s := startFront(3)
		upstreams := s.Upstreams[2:]
		for _, upstream := range upstreams {
			upstream.NameRateLimit(fmt.Sprint(perSecond))
		}
		began := time.Now()
		served := sendAll(s, host.Request{ID: "safe", Path: "/safe/x"}, 25*time.Millisecond, limitNotice+2*limitWindow)
		for _, upstream := range upstreams {
			Expect(host.MostWithin(upstream.ArrivalTimes(began.Add(limitNotice)), limitWindow)).To(BeNumerically("<=", limitAllowance(perSecond)), upstream.ID())
		}
		Expect(served).To(BeNumerically(">=", int(perSecond*limitWindow.Seconds())*len(upstreams)))
	})
})
