// Package coord is the control loop of an instance: it learns the catalog (the
// published configuration) and the upstreams, from the platform that runs the
// upstreams or from the coordinator, and is the coordinator while it holds the
// lease.
//
// The coordinator is the instance that holds the lease. It plans which models
// are loaded and sends orders, which are load and unload commands, to the
// engines. Its period in office is a term, whose number is a fencing token:
// engines refuse orders from an earlier term. All instances, the coordinator
// included, are members, which exchange with the coordinator: they report their
// requests and receive changes of upstreams. A suspect is the fingerprint of a
// request that may crash upstreams (see package poison).
//
// One goroutine owns all control state. Requests read an immutable View.
//
// # Usage
//
//	loop := coord.New(options)
//	go loop.Run(ctx)
//	view := loop.View()
//	result := loop.Await(ctx, coord.Need{Service: "muse-models", Model: "muse-01"})
package coord

import (
	"sort"
	"sync/atomic"
	"time"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/clock"
	"cardamomcourse.example/cardamom/origin"
	"cardamomcourse.example/cardamom/plan"
	"cardamomcourse.example/cardamom/poison"
	"cardamomcourse.example/cardamom/site"
)

// Member is an instance that serves callers.
type Member struct {
	ID cardamom.InstanceID
	// EntryAddress is the host:port at which the member serves callers.
	EntryAddress string
	// SyncAddress is the host:port at which it serves other instances.
	SyncAddress string
	// Leaving means that the member is shutting down.
	Leaving bool
	// Weak means that its processor or link is too weak for a coordinator, so that
	// others take the lease first.
	Weak bool
	// Partitioned means that it reaches no upstream.
	Partitioned bool
}

// View is what an instance knows at one moment. It is immutable.
type View struct {
	catalog            *site.Catalog
	services           map[cardamom.ServiceID][]*site.Upstream
	upstreams          map[cardamom.UpstreamID]*site.Upstream
	peerStats          map[cardamom.UpstreamID]UpstreamStats
	members            []Member
	membersConfirmed   time.Time
	upstreamsConfirmed time.Time
	catalogConfirmed   time.Time
	// coordinates means that this instance coordinated when the view was made.
	coordinates bool
	// restores is how often the store returned from an older copy.
	restores int
	versions *origin.Snapshot
}

// UpstreamStats are the requests that instances have in flight at an upstream, and
// their failures there since their last exchange.
type UpstreamStats struct {
	Running  int
	Failures int
}

// NewView returns a view of a catalog and upstreams, whose versions have been listed for long.
func NewView(catalog *site.Catalog, upstreams []*site.Upstream, members []Member) *View {
	s := controlState{catalog: catalog, upstreams: make(map[cardamom.UpstreamID]*site.Upstream), members: members, restored: newRestoration(), history: origin.NewHistory()}
	s.catalogConfirmed = clock.Now()
	s.history.Start(clock.Now())
	for _, upstream := range upstreams {
		s.upstreams[upstream.ID] = upstream
		s.history.Add(origin.Sighting{Service: upstream.Service, Version: upstream.Version, Last: clock.Now()})
	}
	return s.view()
}

// WithCatalogConfirmed returns a copy of the view whose catalog was last confirmed at a time.
func (v *View) WithCatalogConfirmed(at time.Time) *View {
	copied := *v
	copied.catalogConfirmed = at
	return &copied
}

// Catalog returns the newest catalog, nil before the first is known.
func (v *View) Catalog() *site.Catalog { return v.catalog }

// Upstreams returns the upstreams of a service, sorted by ID.
func (v *View) Upstreams(service cardamom.ServiceID) []*site.Upstream { return v.services[service] }

// Upstream returns a listed upstream.
func (v *View) Upstream(id cardamom.UpstreamID) (*site.Upstream, bool) {
	upstream, ok := v.upstreams[id]
	return upstream, ok
}

// PeerStats returns what other instances have in flight at an upstream.
func (v *View) PeerStats(id cardamom.UpstreamID) UpstreamStats { return v.peerStats[id] }

// Members returns the instances that exchanged recently.
func (v *View) Members() []Member { return v.members }

// MembersConfirmed returns when the coordinator last confirmed the members, on the
// clock of package clock.
func (v *View) MembersConfirmed() time.Time { return v.membersConfirmed }

// UpstreamsConfirmed returns when the upstreams were last confirmed by the platform.
func (v *View) UpstreamsConfirmed() time.Time { return v.upstreamsConfirmed }

// CatalogConfirmed returns when the platform last confirmed that the catalog is the newest,
// on the clock of package clock.
func (v *View) CatalogConfirmed() time.Time { return v.catalogConfirmed }

// Coordinates reports whether this instance coordinates.
func (v *View) Coordinates() bool { return v.coordinates }

// SoleVersion returns the software version that began every stream of a service whose
// caller may still come back, and false if there may be several.
func (v *View) SoleVersion(service cardamom.ServiceID, now time.Time) (string, bool) {
	return v.versions.Sole(service, now)
}

// MayBegin reports whether streams of a service may begin at a software version, or else from
// when on.
func (v *View) MayBegin(service cardamom.ServiceID, version string, now time.Time) (bool, time.Time) {
	return v.versions.MayBegin(service, version, now)
}

// VersionsSettled reports whether this instance has learned since its start which versions
// there were before.
func (v *View) VersionsSettled() bool { return v.versions.Settled() }

// Restores returns how often the store has returned from an older copy since the
// instance started, as far as it read registrations.
func (v *View) Restores() int { return v.restores }

// viewStore holds the current view.
type viewStore struct {
	current atomic.Pointer[View]
}

func newViewStore() *viewStore {
	s := &viewStore{}
	s.current.Store(&View{})
	return s
}

// controlState is what the control goroutine knows; views are made from it.
type controlState struct {
	catalog  *site.Catalog
	document []byte
	// packed is the compressed document, made on first use.
	packed    []byte
	upstreams map[cardamom.UpstreamID]*site.Upstream
	peerStats map[cardamom.UpstreamID]UpstreamStats
	// storeConcurrency is how many loads from the store can run at once at full speed, as
	// coordinators measured it.
	storeConcurrency map[cardamom.ServiceID]plan.StoreConcurrency
	members          []Member
	// storedInstances is how many instances there were by the lease row, 0 if it tells none.
	storedInstances int
	// membersConfirmed is when the coordinator last confirmed the members.
	membersConfirmed time.Time
	// upstreamsConfirmed is when the platform last confirmed the upstreams.
	upstreamsConfirmed time.Time
	// catalogConfirmed is when the platform last confirmed the catalog.
	catalogConfirmed time.Time
	ledger           *poison.Ledger
	// removals are the upstreams whose removal this instance saw on the platform.
	removals map[cardamom.UpstreamID]removal
	restored *restoration
	// history has the software versions of upstreams, those that are gone too.
	history *origin.History
}

// removal records that the platform no longer lists an upstream.
type removal struct {
	// startedMs is the start of the removed run of the upstream. A run with a
	// later start is not affected.
	startedMs int64
	at        time.Time
}

// removalRetention is how long a removal is kept. It is longer than a coordinator
// that has lost the platform can keep coordinating and sending the old listing.
const removalRetention = time.Minute

// recordRemoval records that the platform no longer lists an upstream.
func (s *controlState) recordRemoval(upstream *site.Upstream, at time.Time) {
	for id, known := range s.removals {
		if at.Sub(known.at) > removalRetention {
			delete(s.removals, id)
		}
	}
	s.removals[upstream.ID] = removal{upstream.StartedMs, at}
}

// removed reports whether the platform removed an upstream after the
// coordinator last confirmed it.
func (s *controlState) removed(upstream *site.Upstream, confirmed time.Time) bool {
	known, ok := s.removals[upstream.ID]
	return ok && upstream.StartedMs <= known.startedMs && !confirmed.After(known.at)
}

func (s *controlState) view() *View {
	v := &View{
		catalog: s.catalog, services: make(map[cardamom.ServiceID][]*site.Upstream),
		upstreams: make(map[cardamom.UpstreamID]*site.Upstream, len(s.upstreams)),
		peerStats: s.peerStats, members: s.members, membersConfirmed: s.membersConfirmed, upstreamsConfirmed: s.upstreamsConfirmed, catalogConfirmed: s.catalogConfirmed, restores: s.restored.count, versions: s.history.Snapshot(),
	}
	for id, upstream := range s.upstreams {
		v.upstreams[id] = upstream
		v.services[upstream.Service] = append(v.services[upstream.Service], upstream)
	}
	for _, list := range v.services {
		sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	}
	return v
}
