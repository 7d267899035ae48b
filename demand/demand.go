// Package demand counts, between two reports to the coordinator (the instance that
// plans which engine loads which model), the requests that an instance receives and
// those that it has in flight at upstreams.
//
// # Usage
//
//	counter := demand.New()
//	counter.Arrived(key, 1460)
//	counter.Begin(upstream, key, "letters")
//	counter.End(upstream, key)
//	report := counter.Take()
package demand

import (
	"sync"

	cardamom "cardamomcourse.example/cardamom"
)

// Key identifies a model of a service.
type Key struct {
	Service cardamom.ServiceID
	Model   cardamom.ModelID
}

// Model has the counts of one model. Waiting and Running are current values, the
// others count since the last report.
type Model struct {
	Arrivals int
	// Tokens is the total size of the prompts.
	Tokens  int
	Waiting int
	Running int
}

// Upstream has the counts of one upstream. Running is a current value, the
// others count since the last report.
type Upstream struct {
	Running  int
	Failures int
	// Adapters has the adapters that were used, as MODEL/ADAPTER.
	Adapters map[string]bool
}

// Report has the counts since the last report, and the current ones.
type Report struct {
	Models    map[Key]Model
	Upstreams map[cardamom.UpstreamID]Upstream
}

// Counter counts requests by model and upstream. It is safe for concurrent use.
type Counter struct {
	mu        sync.Mutex
	models    map[Key]*Model
	upstreams map[cardamom.UpstreamID]*Upstream
	onStart   func(key Key)
}

// New returns an empty counter.
func New() *Counter {
	return &Counter{models: make(map[Key]*Model), upstreams: make(map[cardamom.UpstreamID]*Upstream)}
}

// OnStart sets the function to call when a model gets its first request in flight. It
// must be set before requests are counted.
func (c *Counter) OnStart(onStart func(key Key)) { c.onStart = onStart }

func (c *Counter) model(key Key) *Model {
	m, ok := c.models[key]
	if !ok {
		m = &Model{}
		c.models[key] = m
	}
	return m
}

func (c *Counter) upstream(id cardamom.UpstreamID) *Upstream {
	u, ok := c.upstreams[id]
	if !ok {
		u = &Upstream{}
		c.upstreams[id] = u
	}
	return u
}

// Arrived counts a request for a model whose prompt has the given number of
// tokens.
func (c *Counter) Arrived(key Key, tokens int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.model(key)
	m.Arrivals++
	m.Tokens += tokens
}

// Waiting adds change to the number of requests that wait for a model.
func (c *Counter) Waiting(key Key, change int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.model(key).Waiting += change
}

// Begin counts a request that is sent to an upstream.
func (c *Counter) Begin(id cardamom.UpstreamID, key Key, adapter string) {
	if c.begin(id, key, adapter) && c.onStart != nil {
		c.onStart(key)
	}
}

// begin counts a request and reports whether it is the only one of its model in
// flight.
func (c *Counter) begin(id cardamom.UpstreamID, key Key, adapter string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	u := c.upstream(id)
	u.Running++
	if key.Model == "" {
		return false
	}
	m := c.model(key)
	m.Running++
	if adapter != "" {
		if u.Adapters == nil {
			u.Adapters = make(map[string]bool)
		}
		u.Adapters[string(key.Model)+"/"+adapter] = true
	}
	return m.Running == 1
}

// End counts the end of a request at an upstream.
func (c *Counter) End(id cardamom.UpstreamID, key Key) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.upstream(id).Running--
	if key.Model != "" {
		c.model(key).Running--
	}
}

// Failed counts a failure that is attributed to the upstream.
func (c *Counter) Failed(id cardamom.UpstreamID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.upstream(id).Failures++
}

// Running returns how many requests are in flight at an upstream.
func (c *Counter) Running(id cardamom.UpstreamID) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if u, ok := c.upstreams[id]; ok {
		return u.Running
	}
	return 0
}

// Take returns the report since the last call and starts the next one.
func (c *Counter) Take() Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	report := Report{Models: make(map[Key]Model, len(c.models)), Upstreams: make(map[cardamom.UpstreamID]Upstream, len(c.upstreams))}
	for key, m := range c.models {
		report.Models[key] = *m
		if m.Waiting == 0 && m.Running == 0 {
			delete(c.models, key)
			continue
		}
		m.Arrivals, m.Tokens = 0, 0
	}
	for id, u := range c.upstreams {
		report.Upstreams[id] = *u
		if u.Running == 0 {
			delete(c.upstreams, id)
			continue
		}
		u.Failures, u.Adapters = 0, nil
	}
	return report
}

// Restore adds to the next report the arrivals of one that could not be sent.
func (c *Counter) Restore(report Report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, m := range report.Models {
		if m.Arrivals > 0 {
			current := c.model(key)
			current.Arrivals += m.Arrivals
			current.Tokens += m.Tokens
		}
	}
}
