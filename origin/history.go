package origin

import (
	"maps"
	"time"

	cardamom "cardamomcourse.example/cardamom"
)

const (
	// maxHistoryGap is the longest time without a listing of the upstreams that a history
	// bridges. A version that came and went within it would have to be listed, loaded with
	// a model and used by instances that all ended since.
	maxHistoryGap = 30 * time.Second
	// maxListingAge is the age of the last listing from which a history doesn't know
	// whether there is another version by now. At the target size lists are up to 2.2 s old.
	maxListingAge = 3 * time.Second
	// newVersionWait is how long after its first listing a version begins no streams. By
	// then no instance infers anything from a listing that lacks it.
	newVersionWait = maxListingAge + 300*time.Millisecond
	// maxSightings bounds the versions that one instance tells another.
	maxSightings = 128
)

// Sighting is when upstreams of a service with a version were listed first and last.
type Sighting struct {
	Service cardamom.ServiceID
	Version string
	// First is the earliest listing that is known, no later than Last.
	First time.Time
	Last  time.Time
}

// Account is a history as instances tell it to each other.
type Account struct {
	// Since is from when on it has every version, zero if from the start of the
	// deployment.
	Since time.Time
	// Confirmed is until when it has them, zero if it has none.
	Confirmed time.Time
	Sightings []Sighting
}

// History has the versions of the upstreams of each service, those of upstreams that are
// gone too. It is not safe for concurrent use.
type History struct {
	// since is from when on the history has every version, zero if from the start of the
	// deployment.
	since time.Time
	// confirmed is when the upstreams were last listed, zero if never.
	confirmed time.Time
	seen      map[cardamom.ServiceID]map[string]span
	// lifetimes are how long streams of a service may last, where that is longer than Lifetime.
	lifetimes map[cardamom.ServiceID]time.Duration
	// settled means that the history of others has been merged, or that there is none.
	settled bool
}

// span is from the first to the last listing of a version.
type span struct {
	first time.Time
	last  time.Time
}

// join returns the span from the first to the last listing of both. A version that was listed
// again after more than maxHistoryGap is new to instances that have forgotten it, so that its
// first listing is the first one after that.
func (s span) join(other span) span {
	if other.first.Before(s.first) {
		s, other = other, s
	}
	if other.first.Sub(s.last) > maxHistoryGap {
		return other
	}
	if other.last.After(s.last) {
		s.last = other.last
	}
	return s
}

// NewHistory returns the history of an instance that knows nothing.
func NewHistory() *History {
	return &History{seen: make(map[cardamom.ServiceID]map[string]span), lifetimes: make(map[cardamom.ServiceID]time.Duration)}
}

// Allow records that streams of a service may last for so long from now on. Those that began
// when they might last longer still may.
func (h *History) Allow(service cardamom.ServiceID, lifetime time.Duration) {
	if lifetime > max(Lifetime, h.lifetimes[service]) {
		h.lifetimes[service] = lifetime
	}
}

// rememberedFor is how long after its last listing a version may have begun a stream whose
// caller comes back: instances whose listing is old may have used it longer.
func (h *History) rememberedFor(service cardamom.ServiceID) time.Duration {
	return max(Lifetime, h.lifetimes[service]) + maxHistoryGap
}

// Start records that the deployment has just started, so that there was no version before.
func (h *History) Start(now time.Time) {
	h.since, h.confirmed, h.settled = time.Time{}, now, true
}

// See records that an upstream of a service with a version is listed at a time.
func (h *History) See(service cardamom.ServiceID, version string, at time.Time) {
	h.Add(Sighting{Service: service, Version: version, First: at, Last: at})
}

// Add merges a sighting into what is known of its version.
func (h *History) Add(s Sighting) {
	versions, ok := h.seen[s.Service]
	if !ok {
		versions = make(map[string]span)
		h.seen[s.Service] = versions
	}
	known, ok := versions[s.Version]
	if !ok {
		versions[s.Version] = span{s.First, s.Last}
		return
	}
	versions[s.Version] = known.join(span{s.First, s.Last})
}

// Confirm records that the versions seen since the last call are all that were listed at a
// time.
func (h *History) Confirm(at time.Time) {
	if h.confirmed.IsZero() || at.Sub(h.confirmed) > maxHistoryGap {
		h.since = at
	}
	if at.After(h.confirmed) {
		h.confirmed = at
	}
	for service, versions := range h.seen {
		for version, seen := range versions {
			if at.Sub(seen.last) > h.rememberedFor(service) {
				delete(versions, version)
			}
		}
		if len(versions) == 0 {
			delete(h.seen, service)
		}
	}
}

// Merge adds what another instance tells, or what the lease row has. An account that
// reaches back further extends the history unless there is a gap between the two.
func (h *History) Merge(account Account) {
	for _, s := range account.Sightings {
		h.Add(s)
	}
	h.settled = true
	switch {
	case account.Confirmed.IsZero():
	case h.confirmed.IsZero():
		h.since, h.confirmed = account.Since, account.Confirmed
	case account.Since.Before(h.since) && h.since.Sub(account.Confirmed) <= maxHistoryGap:
		h.since = account.Since
	}
}

// Account returns the history to tell others, one without sightings or times if it has too
// many versions.
func (h *History) Account(now time.Time) Account {
	account := Account{Since: h.since, Confirmed: h.confirmed}
	for service, versions := range h.seen {
		for version, seen := range versions {
			if now.Sub(seen.last) < h.rememberedFor(service) {
				account.Sightings = append(account.Sightings, Sighting{service, version, seen.first, seen.last})
			}
		}
	}
	if len(account.Sightings) > maxSightings {
		return Account{}
	}
	return account
}

// Snapshot returns the history as it is now.
func (h *History) Snapshot() *Snapshot {
	s := &Snapshot{since: h.since, confirmed: h.confirmed, settled: h.settled, sole: make(map[cardamom.ServiceID]string), first: make(map[cardamom.ServiceID]map[string]time.Time), lifetimes: maps.Clone(h.lifetimes)}
	for service, versions := range h.seen {
		recent := 0
		first := make(map[string]time.Time, len(versions))
		for version, seen := range versions {
			first[version] = seen.first
			if h.confirmed.Sub(seen.last) < h.rememberedFor(service) {
				recent++
				s.sole[service] = version
			}
		}
		s.first[service] = first
		if recent != 1 || s.sole[service] == "" {
			delete(s.sole, service)
		}
	}
	return s
}

// Snapshot is a history at one moment. It is immutable; the zero value knows nothing.
type Snapshot struct {
	since     time.Time
	confirmed time.Time
	settled   bool
	// sole has the services with one version only.
	sole map[cardamom.ServiceID]string
	// first is when each version was first listed.
	first     map[cardamom.ServiceID]map[string]time.Time
	lifetimes map[cardamom.ServiceID]time.Duration
}

// Sole returns the version that began every stream of a service whose caller may still come
// back, and false if there may be several.
func (s *Snapshot) Sole(service cardamom.ServiceID, now time.Time) (string, bool) {
	if s == nil || s.confirmed.IsZero() || now.Sub(s.confirmed) > maxListingAge || !s.since.IsZero() && now.Sub(s.since) < max(Lifetime, s.lifetimes[service]) {
		return "", false
	}
	version, ok := s.sole[service]
	return version, ok
}

// MayBegin reports whether streams of a service may begin at a version, or else from when on.
// Instances that have not listed a new version yet infer that another one began its streams.
func (s *Snapshot) MayBegin(service cardamom.ServiceID, version string, now time.Time) (bool, time.Time) {
	if sole, ok := s.Sole(service, now); ok && sole == version {
		return true, time.Time{}
	}
	from := now.Add(newVersionWait)
	if s != nil {
		if first, ok := s.first[service][version]; ok {
			from = first.Add(newVersionWait)
		}
	}
	return !now.Before(from), from
}

// Settled reports whether the history has what others know, which an instance learns a
// moment after its start.
func (s *Snapshot) Settled() bool { return s != nil && s.settled }
