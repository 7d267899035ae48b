// Package coord is the control side of an instance: it learns the catalog and
// the upstreams, from the platform or from the coordinating instance, and
// coordinates itself while it holds the lease.
//
// One goroutine owns all control state. Traffic reads an immutable View.
//
// # Usage
//
//	loop := coord.New(options)
//	go loop.Run(ctx)
//	view := loop.View()
//	outcome := loop.Await(ctx, coord.Need{Service: "muse-models", Model: "muse-01"})
package coord

import (
	"sort"
	"sync/atomic"
	"time"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/plan"
	"cardamomcourse.example/cardamom/poison"
	"cardamomcourse.example/cardamom/site"
)

// Member is an instance that takes requests.
type Member struct {
	ID      cardamom.InstanceID
	Entry   string
	Sync    string
	Leaving bool
}

// View is what an instance believes at a moment. It is immutable.
type View struct {
	catalog   *site.Catalog
	services  map[cardamom.ServiceID][]*site.Upstream
	upstreams map[cardamom.UpstreamID]*site.Upstream
	others    map[cardamom.UpstreamID]Others
	members   []Member
	learned   time.Time
	// coordinates tells whether this instance coordinated when the view was made.
	coordinates bool
}

// Others is what the other instances have seen of an upstream.
type Others struct {
	Running  int
	Failures int
}

// NewView returns a view of a catalog and upstreams.
func NewView(catalog *site.Catalog, upstreams []*site.Upstream, members []Member) *View {
	p := picture{catalog: catalog, upstreams: make(map[cardamom.UpstreamID]*site.Upstream), members: members}
	for _, upstream := range upstreams {
		p.upstreams[upstream.ID] = upstream
	}
	return p.view()
}

// Catalog returns the newest catalog, nil before the first is known.
func (v *View) Catalog() *site.Catalog { return v.catalog }

// Upstreams returns the upstreams of a service in order of name.
func (v *View) Upstreams(service cardamom.ServiceID) []*site.Upstream { return v.services[service] }

// Upstream returns a listed upstream.
func (v *View) Upstream(id cardamom.UpstreamID) (*site.Upstream, bool) {
	upstream, ok := v.upstreams[id]
	return upstream, ok
}

// Others returns what the other instances have seen of an upstream.
func (v *View) Others(id cardamom.UpstreamID) Others { return v.others[id] }

// Members returns the instances that exchanged lately.
func (v *View) Members() []Member { return v.members }

// Learned returns when the upstreams were last confirmed by the platform.
func (v *View) Learned() time.Time { return v.learned }

// Coordinates tells whether this instance coordinates.
func (v *View) Coordinates() bool { return v.coordinates }

// board holds the current view.
type board struct {
	current atomic.Pointer[View]
}

func newBoard() *board {
	b := &board{}
	b.current.Store(&View{})
	return b
}

// picture is the control loop's own account, from which views are made.
type picture struct {
	catalog  *site.Catalog
	document []byte
	// packed is the compressed document, made when it is first asked for.
	packed    []byte
	upstreams map[cardamom.UpstreamID]*site.Upstream
	others    map[cardamom.UpstreamID]Others
	// atOnce is how many loads from the store run beside each other at full
	// speed, as coordinators found out.
	atOnce    map[cardamom.ServiceID]plan.AtOnce
	members   []Member
	learned   time.Time
	confirmed time.Time
	ledger    *poison.Ledger
	// removals are the upstreams that the platform told this instance are gone.
	removals map[cardamom.UpstreamID]removal
}

// removal is an upstream's run that is no longer listed, and when it was not.
type removal struct {
	born int64
	at   time.Time
}

// removalMemory is how long a removal is remembered: longer than a coordinator
// that is cut from the platform coordinates.
const removalMemory = time.Minute

// remove notes that the platform no longer lists an upstream.
func (p *picture) remove(upstream *site.Upstream, at time.Time) {
	for id, known := range p.removals {
		if at.Sub(known.at) > removalMemory {
			delete(p.removals, id)
		}
	}
	p.removals[upstream.ID] = removal{upstream.Born, at}
}

// removed tells whether this instance knows from the platform that an upstream
// is gone, and the coordinator's word of it is older.
func (p *picture) removed(upstream *site.Upstream, learned time.Time) bool {
	known, ok := p.removals[upstream.ID]
	return ok && upstream.Born <= known.born && !learned.After(known.at)
}

func (p *picture) view() *View {
	v := &View{
		catalog: p.catalog, services: make(map[cardamom.ServiceID][]*site.Upstream),
		upstreams: make(map[cardamom.UpstreamID]*site.Upstream, len(p.upstreams)),
		others:    p.others, members: p.members, learned: p.learned,
	}
	for id, upstream := range p.upstreams {
		v.upstreams[id] = upstream
		v.services[upstream.Service] = append(v.services[upstream.Service], upstream)
	}
	for _, list := range v.services {
		sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	}
	return v
}
