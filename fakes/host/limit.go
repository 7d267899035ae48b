package host

import (
	"slices"
	"time"
)

// rateLimitHeader names the rate limit in an upstream's answers.
const rateLimitHeader = "Server-Limit"

// NameRateLimit makes the upstream name a rate limit in all its answers from now on, as
// the values of the header. Without values it names none.
func (u *Upstream) NameRateLimit(values ...string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.rateLimit = values
}

// Arrivals returns when requests arrived, also those that the upstream refused.
func (u *Upstream) Arrivals() []time.Time {
	u.mu.Lock()
	defer u.mu.Unlock()
	return slices.Clone(u.arrivals)
}

// MostArrivals returns the greatest number of requests that arrived within a window
// between two times.
func (u *Upstream) MostArrivals(from, to time.Time, window time.Duration) int {
	most := 0
	all := u.Arrivals()
	slices.SortFunc(all, time.Time.Compare)
	first := 0
	for i, at := range all {
		for at.Sub(all[first]) >= window || all[first].Before(from) && first < i {
			first++
		}
		if !at.Before(from) && at.Before(to) {
			most = max(most, i-first+1)
		}
	}
	return most
}
