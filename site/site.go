// Package site has the data types that describe a deployment: the published
// catalog of routes, services and models, the registered upstreams, and the
// orders to engines.
//
// # Usage
//
//	catalog := site.NewCatalog(7, routes, services, limits)
//	route, ok := catalog.Match("news.example", "/digest/2024")
//	service, ok := catalog.Service(route.Pick(hash))
//
// All values are immutable once built and may be shared between goroutines.
package site

import (
	"slices"
	"sort"
	"strings"
	"time"

	cardamom "cardamomcourse.example/cardamom"
)

// Kind is the execution guarantee of a route's requests.
type Kind uint8

// The kinds of a route.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota + 1
	// NonIdempotent requests run at most once for each attempt of the caller.
	NonIdempotent
	// Streaming requests are answered by a stream of events; they run at most
	// once unless the route is resumable.
	Streaming
)

// Share is a service of a route with its weight in the traffic split.
type Share struct {
	Service cardamom.ServiceID
	Weight  int
}

// Route maps requests with a host and path prefix to services.
type Route struct {
	Name    string
	Host    string
	Prefix  string
	Kind    Kind
	Shares  []Share
	Timeout time.Duration
	// TargetLatency is the target for the response, or for the first event of a
	// stream. TargetGap is the target for the time between two events.
	TargetLatency time.Duration
	TargetGap     time.Duration
	// Priority is the priority that the operator gave; 0 is served first.
	Priority    int
	MaxAttempts int
	Resumable   bool
	// Anonymous means that requests need no key, also where others do.
	Anonymous bool
}

// Repeatable reports whether a request that may have run may be sent again.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Streaming && r.Resumable)
}

// Pick returns the service for a request with the hash, weighted by the shares.
func (r *Route) Pick(hash uint64) cardamom.ServiceID {
	total := 0
	for _, share := range r.Shares {
		total += max(share.Weight, 0)
	}
	if total == 0 {
		if len(r.Shares) == 0 {
			return ""
		}
		return r.Shares[0].Service
	}
	point := int(hash % uint64(total))
	for _, share := range r.Shares {
		point -= max(share.Weight, 0)
		if point < 0 {
			return share.Service
		}
	}
	return r.Shares[len(r.Shares)-1].Service
}

// Model is a checkpoint that engines of a service can load.
type Model struct {
	Name      cardamom.ModelID
	SizeMB    float64
	AdapterMB float64
	Adapters  int
	// StoreLoadTime, DiskLoadTime and MemoryLoadTime are the load times of the
	// weights from the store, the engine's disk and its host memory.
	StoreLoadTime  time.Duration
	DiskLoadTime   time.Duration
	MemoryLoadTime time.Duration
}

// EngineSpec has the properties that all engines of a service share.
type EngineSpec struct {
	// Slots is the number of requests that an engine runs at once.
	Slots int
	// MemoryMB bounds the weights of the loaded models.
	MemoryMB float64
	// EventTokens is the number of tokens that an event of a stream holds, 0 if unknown.
	EventTokens int
	// AdapterSlots bounds the loaded adapters.
	AdapterSlots int
	// StoreLoadsPerSecond is the rate of loads that the store allows.
	StoreLoadsPerSecond float64
	Models              map[cardamom.ModelID]Model
}

// Service is a group of upstreams that run the same program. Engine is nil
// unless the upstreams are engines.
type Service struct {
	Name           cardamom.ServiceID
	HealthPath     string
	MaxConnections int
	Engine         *EngineSpec
}

// Limits bound callers' requests and connections.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Catalog is one published version of routes and services.
type Catalog struct {
	version  uint64
	routes   []*Route
	hosts    map[string][]*Route
	services map[cardamom.ServiceID]*Service
	limits   Limits
	// organisations is nil if requests need no key.
	organisations *Organisations
}

// NewCatalog returns the catalog of a version.
func NewCatalog(version uint64, routes []Route, services []Service, limits Limits) *Catalog {
	c := &Catalog{version: version, hosts: make(map[string][]*Route), services: make(map[cardamom.ServiceID]*Service), limits: limits}
	for i := range routes {
		host := strings.ToLower(routes[i].Host)
		c.routes = append(c.routes, &routes[i])
		c.hosts[host] = append(c.hosts[host], &routes[i])
	}
	for _, list := range c.hosts {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	for i := range services {
		c.services[services[i].Name] = &services[i]
	}
	return c
}

// Version returns the version of the catalog; versions only grow.
func (c *Catalog) Version() uint64 { return c.version }

// Routes returns all routes in the order of the configuration, with those that Match
// never returns.
func (c *Catalog) Routes() []*Route { return slices.Clone(c.routes) }

// Limits returns the limits on requests.
func (c *Catalog) Limits() Limits { return c.limits }

// Match returns the route of the host with the longest matching path prefix. A
// port in host is ignored unless a route names it.
func (c *Catalog) Match(host, path string) (*Route, bool) {
	host = strings.ToLower(host)
	list, ok := c.hosts[host]
	if !ok {
		if colon := strings.LastIndexByte(host, ':'); colon > 0 {
			list = c.hosts[host[:colon]]
		}
	}
	for _, route := range list {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return nil, false
}

// Service returns a service by name.
func (c *Catalog) Service(name cardamom.ServiceID) (*Service, bool) {
	service, ok := c.services[name]
	return service, ok
}

// Services returns all services, sorted by name.
func (c *Catalog) Services() []*Service {
	list := make([]*Service, 0, len(c.services))
	for _, service := range c.services {
		list = append(list, service)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

// String returns the kind's name for logs and metrics.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case NonIdempotent:
		return "non_idempotent"
	case Streaming:
		return "streaming"
	default:
		return "unknown"
	}
}

const (
	// The event timeout of a stream is the longest of minEventTimeout,
	// eventTimeoutTargets times the latency target and eventTimeoutGaps times the
	// target gap. Callers of the platform wait as long.
	minEventTimeout     = 2 * time.Second
	eventTimeoutTargets = 4
	eventTimeoutGaps    = 8
)

// EventTimeout returns how long callers wait for the first or the next event of a
// stream.
func (r *Route) EventTimeout() time.Duration {
	return max(minEventTimeout, eventTimeoutTargets*r.TargetLatency, eventTimeoutGaps*r.TargetGap)
}
