// Package retry limits how many retries an instance sends to upstreams, so that
// all instances together stay within a common retry budget.
//
// # Usage
//
//	budget := retry.New(retry.Limits{Ratio: 0.2, Window: 10 * time.Second, Slack: 56})
//	budget.CountRequest(service, now)
//	if budget.AllowRetry(service, members, now).Allowed { /* send again */ }
package retry

import (
	"sync"
	"time"

	cardamom "cardamomcourse.example/cardamom"
)

const (
	// ratioShare is the fraction of the ratio that is used; the rest covers
	// requests that are counted late.
	ratioShare = 0.75
	// slackShare is the fraction of the slack that the members share.
	slackShare = 0.7
	// minMembers is the smallest number of members assumed, so that a few
	// instances that discover each other late stay within the common slack.
	minMembers = 8
	// unknownMembers is the number of members assumed before any are known.
	unknownMembers = 100
	// buckets is the number of buckets that a window is divided into.
	buckets = 10
)

// Limits are the common budget: in each window, all instances together send at
// most Ratio times the requests plus Slack as retries.
type Limits struct {
	Ratio  float64
	Window time.Duration
	Slack  float64
}

// Budget counts one instance's requests and retries by service. It is safe for
// concurrent use.
type Budget struct {
	mu       sync.Mutex
	limits   Limits
	services map[cardamom.ServiceID]*ring
	// peakMembers is the greatest recent number of members, kept for a window from
	// peakAt, since a new coordinator discovers the members one by one.
	peakMembers int
	peakAt      time.Time
}

// New returns a budget without any requests.
func New(limits Limits) *Budget {
	return &Budget{limits: limits, services: make(map[cardamom.ServiceID]*ring)}
}

// Decision is the budget's answer to a retry.
type Decision struct {
	Allowed bool
	// Changed means that the last retry of the service got the other answer.
	Changed bool
	// Credit is how many retries the service had left before this one.
	Credit float64
	// Members is the number of instances that share the budget, as assumed.
	Members int
}

// ring counts requests and retries in buckets. It has one bucket more than the
// window, which also covers the part of the oldest bucket inside the window.
type ring struct {
	requests [buckets + 1]int
	retries  [buckets + 1]int
	// bucket is the number of the current bucket since the epoch.
	bucket int64
	// refusing means that the last retry was refused.
	refusing bool
}

// ring returns the service's counters, with the expired buckets cleared.
func (b *Budget) ring(service cardamom.ServiceID, now time.Time) *ring {
	r, ok := b.services[service]
	if !ok {
		r = &ring{}
		b.services[service] = r
	}
	bucket := now.UnixNano() / (int64(b.limits.Window) / buckets)
	for steps := 0; r.bucket < bucket && steps <= buckets; steps++ {
		r.bucket = max(r.bucket+1, bucket-buckets)
		r.requests[r.bucket%(buckets+1)], r.retries[r.bucket%(buckets+1)] = 0, 0
	}
	return r
}

// CountRequest counts a caller's request, which adds to the budget.
func (b *Budget) CountRequest(service cardamom.ServiceID, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.ring(service, now)
	r.requests[r.bucket%(buckets+1)]++
}

// members returns the number of instances that share the budget.
func (b *Budget) members(known int, now time.Time) int {
	if known <= 0 && b.peakMembers == 0 {
		return unknownMembers
	}
	if known >= b.peakMembers || now.Sub(b.peakAt) > b.limits.Window {
		b.peakMembers, b.peakAt = known, now
	}
	return b.peakMembers
}

// AllowRetry decides whether a retry is within this instance's share of the
// budget, and counts it if so.
func (b *Budget) AllowRetry(service cardamom.ServiceID, members int, now time.Time) Decision {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.ring(service, now)
	requests, retries := 0, 0
	for i := range r.requests {
		requests += r.requests[i]
		retries += r.retries[i]
	}
	sharing := max(b.members(members, now), minMembers)
	share := b.limits.Slack * slackShare / float64(sharing)
	credit := share + b.limits.Ratio*ratioShare*float64(requests) - float64(retries)
	decision := Decision{Allowed: credit >= 1, Credit: credit, Members: sharing}
	decision.Changed = r.refusing == decision.Allowed
	r.refusing = !decision.Allowed
	if decision.Allowed {
		r.retries[r.bucket%(buckets+1)]++
	}
	return decision
}
