package main

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"cardamomcourse.example/cardamom/fakes/host"
	"cardamomcourse.example/cardamom/sleep"
)

const (
	// soakLoadCallers is the number of callers that keep connections and share the requests
	// of a load.
	soakLoadCallers = 16
	// soakImpatient is the share of callers that send a refused request again at once, and
	// soakImpatientTimes how often. The others wait as long as they are told, and return once.
	soakImpatient      = 0.3
	soakImpatientTimes = 3
)

// soakLoad is a load that doesn't wait for answers, and the upstreams that take it.
type soakLoad struct {
	instances int
	engines   int
	plain     int
	// engineCapacity and plainCapacity are those of one upstream.
	engineCapacity host.Capacity
	plainCapacity  host.Capacity
	eventPause     time.Duration
	kinds          []soakKind
}

// soakKind is a kind of request of a load.
type soakKind struct {
	path string
	// perSecond is the mean rate of requests, and burst the factor by which it is higher in
	// every third second.
	perSecond float64
	burst     float64
	bodyBytes int
	deadline  time.Duration
}

// soakLoads are the loads by name.
var soakLoads = map[string]soakLoad{
	"mixed": {
		instances: 8, engines: 9, plain: 3, engineCapacity: host.Capacity{Running: 16, Waiting: 16}, plainCapacity: host.Capacity{Running: 6, Waiting: 2, Work: 30 * time.Millisecond}, eventPause: 40 * time.Millisecond,
		kinds: []soakKind{
			{path: "/resume/", perSecond: 27, burst: 1.7, bodyBytes: 18 << 10, deadline: 5 * time.Second},
			{path: "/stream/", perSecond: 6, burst: 2.4, bodyBytes: 18 << 10, deadline: 10 * time.Second},
			{path: "/once/", perSecond: 7.3, burst: 1.7, bodyBytes: 600, deadline: 2500 * time.Millisecond},
			{path: "/safe/", perSecond: 3.6, burst: 1.7, deadline: 2500 * time.Millisecond},
		},
	},
	"plain": {
		instances: 6, engines: 3, plain: 4, engineCapacity: host.Capacity{Running: 16, Waiting: 16}, plainCapacity: host.Capacity{Running: 3, Waiting: 2, Work: 60 * time.Millisecond}, eventPause: 40 * time.Millisecond,
		kinds: []soakKind{
			{path: "/once/", perSecond: 120, burst: 2, bodyBytes: 600, deadline: 3 * time.Second},
			{path: "/once/", perSecond: 12, burst: 2, bodyBytes: 48 << 10, deadline: 3 * time.Second},
			{path: "/stream/", perSecond: 14, burst: 1.7, bodyBytes: 18 << 10, deadline: 5 * time.Second},
			{path: "/safe/", perSecond: 4, burst: 1.7, deadline: 3 * time.Second},
		},
	},
}

// chooseLoad returns the load with the name, nil if the name is empty.
func chooseLoad(name string) (*soakLoad, error) {
	if name == "" {
		return nil, nil
	}
	load, ok := soakLoads[name]
	if !ok {
		return nil, eris.Errorf("no load is named %q; there are: %s", name, strings.Join(slices.Sorted(maps.Keys(soakLoads)), ", "))
	}
	return &load, nil
}

// upstreamSpecs returns the upstreams of the load.
func (s *soak) upstreamSpecs() []host.UpstreamSpec {
	var specs []host.UpstreamSpec
	for n := range s.load.engines {
		specs = append(specs, s.upstreamSpec("models", soakModels[2*n%len(soakModels)], soakModels[(2*n+1)%len(soakModels)]))
	}
	for range s.load.plain {
		specs = append(specs, s.upstreamSpec("plain"))
	}
	return specs
}

// callerCount returns the number of callers that send one request at a time.
func (s *soak) callerCount() int {
	if s.load != nil {
		return 0
	}
	return soakCallers
}

// sendLoad sends the requests of the load until ctx ends, and returns when all have ended.
func (s *soak) sendLoad(ctx context.Context) {
	callers := make([]*loadCaller, soakLoadCallers)
	for n := range callers {
		callers[n] = &loadCaller{soak: s, session: s.site.NewSession(), impatient: float64(n) < soakImpatient*soakLoadCallers}
		defer callers[n].session.Close()
	}
	var group sync.WaitGroup
	defer group.Wait()
	for k, kind := range s.load.kinds {
		random := rand.New(rand.NewPCG(s.seed, uint64(k)+2000))
		group.Go(func() {
			for n := 0; sleep.For(ctx, kind.pause(random, time.Now())); n++ {
				caller, model, chosen := callers[random.IntN(len(callers))], soakModels[random.IntN(len(soakModels))], random.Uint64()
				group.Go(func() { caller.send(ctx, kind, fmt.Sprintf("s%d-k%d-%d", s.seed, k, n), model, chosen) })
			}
		})
	}
}

// pause draws the time until the next request.
func (k soakKind) pause(random *rand.Rand, now time.Time) time.Duration {
	rate := k.perSecond
	if now.Unix()%3 == 0 {
		rate *= k.burst
	}
	return time.Duration(random.ExpFloat64() / rate * float64(time.Second))
}

// loadCaller sends requests of a load over its own connections.
type loadCaller struct {
	soak      *soak
	session   *host.Session
	impatient bool

	mu        sync.Mutex
	addresses []string
	until     time.Time
}

// address returns the address for a request, chosen by a random number, empty if there is none.
func (c *loadCaller) address(chosen uint64) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().After(c.until) {
		instances := c.soak.site.Instances
		if addresses, err := c.soak.site.Lookup(instances[chosen%uint64(len(instances))]); err == nil && len(addresses) > 0 {
			c.addresses, c.until = addresses, time.Now().Add(soakAddressTTL)
		}
	}
	if len(c.addresses) == 0 {
		return ""
	}
	return c.addresses[chosen%uint64(len(c.addresses))]
}

// send sends a request, and again with another id as often as the caller does after a refusal.
func (c *loadCaller) send(ctx context.Context, kind soakKind, id, model string, chosen uint64) {
	s := c.soak
	again := 1
	if c.impatient {
		again = soakImpatientTimes
	}
	for n := 0; n <= again && ctx.Err() == nil; n++ {
		request := host.Request{ID: fmt.Sprintf("%s-%d", id, n), Path: kind.path + "x", Address: c.address(chosen + uint64(n)), Deadline: kind.deadline}
		if request.Address == "" {
			return
		}
		request.Body = "body of " + request.ID + strings.Repeat(".", kind.bodyBytes)
		if kind.path == "/stream/" || kind.path == "/resume/" {
			request.Model = model
		}
		e := &sentRequest{kind: kind.path, address: request.Address, body: request.Body, began: time.Now()}
		s.identifyValid(&request, e)
		s.recordSent(request.ID, e)
		response, err := c.session.Send(context.WithoutCancel(ctx), request)
		s.recordAnswer(e, response, err)
		if err != nil || !isPromise(response.Status) || !c.impatient && !sleep.For(ctx, response.RetryAfter) {
			return
		}
	}
}
