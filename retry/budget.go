// Package retry bounds how many requests an instance sends to upstreams beyond
// the first of each, so that all instances together keep a common budget.
//
// # Usage
//
//	budget := retry.New(retry.Limits{Ratio: 0.2, Window: 10 * time.Second, Slack: 56})
//	budget.Earn(service, now)
//	if budget.Spend(service, members, now) { /* send again */ }
package retry

import (
	"sync"
	"time"

	cardamom "cardamomcourse.example/cardamom"
)

const (
	// ratioShare is the part of the ratio that is used; the rest covers
	// requests that are counted late.
	ratioShare = 0.75
	// slackShare is the part of the slack that the members share.
	slackShare = 0.7
	// leastMembers is how many instances are assumed at least, so that a few
	// that see each other late stay within the common slack.
	leastMembers = 8
	// unknownMembers is how many are assumed before any are known.
	unknownMembers = 100
	// slots is how many parts a window has.
	slots = 10
)

// Limits are the common budget: in each window, all instances together send at
// most Ratio times the requests plus Slack again.
type Limits struct {
	Ratio  float64
	Window time.Duration
	Slack  float64
}

// Budget counts one instance's requests and repeats by service. It is safe for
// concurrent use.
type Budget struct {
	mu       sync.Mutex
	limits   Limits
	services map[cardamom.ServiceID]*ring
	// most is the greatest number of members within the window before mostAt,
	// since a new coordinator finds them one by one.
	most   int
	mostAt time.Time
}

// New returns a budget without any requests.
func New(limits Limits) *Budget {
	return &Budget{limits: limits, services: make(map[cardamom.ServiceID]*ring)}
}

// ring counts by parts of the window, one more than it has.
type ring struct {
	requests [slots + 1]int
	repeats  [slots + 1]int
	part     int64
}

func (b *Budget) ring(service cardamom.ServiceID, now time.Time) *ring {
	r, ok := b.services[service]
	if !ok {
		r = &ring{}
		b.services[service] = r
	}
	part := now.UnixNano() / (int64(b.limits.Window) / slots)
	for steps := 0; r.part < part && steps <= slots; steps++ {
		r.part = max(r.part+1, part-slots)
		r.requests[r.part%(slots+1)], r.repeats[r.part%(slots+1)] = 0, 0
	}
	return r
}

// Earn counts a request of a caller.
func (b *Budget) Earn(service cardamom.ServiceID, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.ring(service, now)
	r.requests[r.part%(slots+1)]++
}

// members returns how many instances share the budget.
func (b *Budget) members(known int, now time.Time) int {
	if known <= 0 && b.most == 0 {
		return unknownMembers
	}
	if known >= b.most || now.Sub(b.mostAt) > b.limits.Window {
		b.most, b.mostAt = known, now
	}
	return b.most
}

// Spend counts a repeat and tells whether it is within this instance's share.
func (b *Budget) Spend(service cardamom.ServiceID, members int, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.ring(service, now)
	requests, repeats := 0, 0
	for i := range r.requests {
		requests += r.requests[i]
		repeats += r.repeats[i]
	}
	share := b.limits.Slack * slackShare / float64(max(b.members(members, now), leastMembers))
	if float64(repeats+1) > share+b.limits.Ratio*ratioShare*float64(requests) {
		return false
	}
	r.repeats[r.part%(slots+1)]++
	return true
}
