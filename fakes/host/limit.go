package host

import (
	"slices"
	"time"
)

// rateLimitHeader names the rate limit in an upstream's answers.
const rateLimitHeader = "Server-Limit"

// Arrival is a request that arrived at an upstream, also one that it refused.
type Arrival struct {
	ID string
	At time.Time
	// Keys are the values of the header with the key of an organisation, which upstreams must
	// not get.
	Keys []string
}

// NameRateLimit makes the upstream name a rate limit in all its answers from now on, as
// the values of the header. Without values it names none.
func (u *Upstream) NameRateLimit(values ...string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.rateLimit = values
}

// Service returns the upstream's service.
func (u *Upstream) Service() string { return u.spec.Service }

// Arrivals returns the requests that arrived.
func (u *Upstream) Arrivals() []Arrival {
	u.mu.Lock()
	defer u.mu.Unlock()
	return slices.Clone(u.arrivals)
}

// ArrivalTimes returns when requests arrived from a time on.
func (u *Upstream) ArrivalTimes(from time.Time) []time.Time {
	var times []time.Time
	for _, arrival := range u.Arrivals() {
		if !arrival.At.Before(from) {
			times = append(times, arrival.At)
		}
	}
	return times
}

// MostWithin returns the greatest number of times within a window.
func MostWithin(times []time.Time, window time.Duration) int {
	sorted := slices.Clone(times)
	slices.SortFunc(sorted, time.Time.Compare)
	most, first := 0, 0
	for i, at := range sorted {
		for at.Sub(sorted[first]) >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
