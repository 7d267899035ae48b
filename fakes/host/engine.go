package host

import (
	"cmp"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// streamEvents is how many events a stream has.
	streamEvents = 4
	// slowPause is the pause of Slow, longer than upstreams usually take.
	slowPause = 700 * time.Millisecond
	// tricklePause is the time between two bytes of Trickle.
	tricklePause = 20 * time.Millisecond
)

// Run is one request that an upstream began to run.
type Run struct {
	ID     string
	Target string
	Body   string
	Header http.Header
	At     time.Time
}

// ReceivedOrder is an order that arrived at an engine.
type ReceivedOrder struct {
	At     time.Time
	Holder string
	Token  uint64
}

// UpstreamSpec describes an upstream.
type UpstreamSpec struct {
	ID         string
	Service    string
	DataCentre string
	// Models are the models in memory at the start.
	Models []string
	// Disk are further models whose checkpoints are on the local disk.
	Disk  []string
	Slots int
	// LoadTime is how long a load takes.
	LoadTime time.Duration
	// MaxModels is how many models fit in memory, 0 for no limit.
	MaxModels int
	// Unfenced makes the engine accept orders with an older fencing token.
	Unfenced bool
	// Version is the version of its software: its registration has it and its events end
	// with it. Empty registers version v1 and leaves the events as they are.
	Version string
	// EventPause is the pause between two events of a stream.
	EventPause time.Duration
	// WithLink puts a Link, a fault-injecting TCP proxy, in front of the upstream.
	WithLink bool
	// Capacity limits the requests at a time; the zero value doesn't.
	Capacity Capacity
}

// Upstream is a fake model engine or plain service. It is safe for concurrent
// use.
type Upstream struct {
	mu        sync.Mutex
	closeOnce sync.Once
	spec      UpstreamSpec
	store     *Store
	server    *httptest.Server
	sockets   *sockets
	// places has an entry for each running request, waiting counts those that wait for one.
	places     chan struct{}
	waiting    atomic.Int64
	repetition Repetition
	// next are the behaviours for the next requests, before those of the script.
	next   []Behaviour
	script *[]Behaviour
	runs   []Run
	// rateLimit are the values of the header that names a rate limit; empty for none.
	rateLimit []string
	// leavesFrom is when the upstream began to say in its answers that it leaves.
	leavesFrom time.Time
	// retryAfter are the values of the header with which requests are turned away; empty to
	// run them.
	retryAfter []string
	turned     []Turned
	// arrivals are the requests that arrived, also those that were refused.
	arrivals []Arrival
	// resident has the loaded adapters of each model in memory.
	resident map[string][]string
	disk     map[string]bool
	// orders counts the accepted orders.
	orders int64
	fence  uint64
	// received are the orders that arrived, also those that were refused.
	received []ReceivedOrder
	// busy means that a load is in progress.
	busy          bool
	heartbeats    int64
	startedMS     int64
	state         string
	loads         int
	closed        chan struct{}
	link          *Link
	overfullLoads int
	disconnects   int
	drainingSince time.Time
	// crashing are the parts of prompts that crash the upstream.
	crashing []string
	// crashes are the parts that the upstream crashed on, and crashedAt is when it last did.
	crashes   []string
	crashedAt time.Time
}

// NewUpstream starts an upstream and registers it in the store unless that is nil.
func NewUpstream(store *Store, spec UpstreamSpec) *Upstream {
	u := &Upstream{
		spec: spec, store: store, resident: make(map[string][]string), disk: make(map[string]bool),
		startedMS: time.Now().UnixMilli(), state: "ready", closed: make(chan struct{}),
	}
	for _, model := range spec.Models {
		u.resident[model] = []string{}
		u.disk[model] = true
	}
	for _, model := range spec.Disk {
		u.disk[model] = true
	}
	u.server = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// A ServeMux would clean paths and redirect.
		switch r.Method + " " + r.RequestURI {
		case "GET /report":
			writeLate(r)
			u.report(w, r)
		case "POST /order":
			writeLate(r)
			u.order(w, r)
		default:
			u.serve(w, r)
		}
	}))
	u.server.Config.ConnContext = withLate
	u.sockets = newSockets(u.server.Listener)
	u.server.Listener = u.sockets
	if spec.Capacity.Running > 0 {
		u.places = make(chan struct{}, spec.Capacity.Running)
	}
	u.server.Start()
	if spec.WithLink {
		link, err := NewLink(strings.TrimPrefix(u.server.URL, "http://"))
		if err != nil {
			panic(err)
		}
		u.link = link
	}
	u.Register()
	return u
}

// Address returns the host:port at which the upstream is reached.
func (u *Upstream) Address() string {
	if u.link != nil {
		return u.link.Address()
	}
	return strings.TrimPrefix(u.server.URL, "http://")
}

// Version returns the version of the upstream's software, empty if it has none.
func (u *Upstream) Version() string { return u.spec.Version }

// ID returns the upstream's ID.
func (u *Upstream) ID() string { return u.spec.ID }

// Link returns the link in front of the upstream, nil if there is none.
func (u *Upstream) Link() *Link { return u.link }

// OverfullLoads returns how many accepted loads exceeded MaxModels.
func (u *Upstream) OverfullLoads() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.overfullLoads
}

// Received returns the orders that arrived, also those that were refused.
func (u *Upstream) Received() []ReceivedOrder {
	u.mu.Lock()
	defer u.mu.Unlock()
	return slices.Clone(u.received)
}

// DrainingSince returns when the upstream began to drain, zero if it has not.
func (u *Upstream) DrainingSince() time.Time {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.drainingSince
}

// Close stops the upstream and its link at once.
func (u *Upstream) Close() {
	if u.link != nil {
		u.link.Close()
	}
	u.stop()
}

// stop breaks the upstream's connections and stops it.
func (u *Upstream) stop() {
	u.closeOnce.Do(func() {
		u.GoOn()
		close(u.closed)
		u.server.CloseClientConnections()
		u.server.Close()
	})
}

// scriptMu guards the scripts that upstreams share.
var scriptMu sync.Mutex

// Runs returns the requests that the upstream began to run.
func (u *Upstream) Runs() []Run {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]Run(nil), u.runs...)
}

// Loads returns how many loads of models the upstream has accepted.
func (u *Upstream) Loads() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.loads
}

// Drain makes the upstream register as draining.
func (u *Upstream) Drain() {
	u.mu.Lock()
	u.state = "draining"
	u.drainingSince = time.Now()
	u.mu.Unlock()
	u.Register()
}

// Register writes the upstream's registration to the store as a new heartbeat.
func (u *Upstream) Register() {
	if u.store == nil {
		return
	}
	u.mu.Lock()
	if len(u.crashes) > 0 {
		u.mu.Unlock()
		return
	}
	u.heartbeats++
	value, err := json.Marshal(map[string]any{
		"service": u.spec.Service, "address": u.Address(), "zone": u.spec.DataCentre, "version": cmp.Or(u.spec.Version, "v1"), "slots": u.spec.Slots,
		"state": u.state, "coldRemainingMs": 0, "seq": u.heartbeats, "born": u.startedMS, "models": u.models(), "atHand": u.localModels(),
	})
	u.mu.Unlock()
	if err == nil {
		u.store.Put("servers", u.spec.ID, value)
	}
}

func (u *Upstream) models() []map[string]any {
	list := []map[string]any{}
	for model, adapters := range u.resident {
		list = append(list, map[string]any{"name": model, "version": 1, "adapters": adapters})
	}
	return list
}

func (u *Upstream) localModels() map[string]any {
	disk := []string{}
	for model := range u.disk {
		disk = append(disk, model)
	}
	return map[string]any{"resident": []string{}, "onDisk": disk}
}

func (u *Upstream) report(w http.ResponseWriter, _ *http.Request) {
	u.mu.Lock()
	defer u.mu.Unlock()
	writeJSON(w, map[string]any{"models": u.models(), "atHand": u.localModels(), "busy": u.busy, "seq": u.orders, "coming": []string{}})
}

func (u *Upstream) order(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Operation    string `json:"operation"`
		Model        string `json:"model"`
		Adapter      string `json:"adapter"`
		Expect       *int64 `json:"expect"`
		Holder       string `json:"holder"`
		FencingToken uint64 `json:"fencingToken"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil || body.Holder == "" || body.FencingToken == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.received = append(u.received, ReceivedOrder{At: time.Now(), Holder: body.Holder, Token: body.FencingToken})
	switch {
	case r.Header.Get("Expect-Instance") != u.spec.ID:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case body.FencingToken < u.fence && !u.spec.Unfenced:
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	case u.busy && body.Adapter == "", body.Expect != nil && *body.Expect != u.orders:
		w.WriteHeader(http.StatusConflict)
		return
	}
	u.fence = max(u.fence, body.FencingToken)
	u.orders++
	if body.Adapter != "" {
		u.resident[body.Model] = append(u.resident[body.Model], body.Adapter)
		w.WriteHeader(http.StatusAccepted)
		return
	}
	if body.Operation == "unload" {
		delete(u.resident, body.Model)
		w.WriteHeader(http.StatusAccepted)
		return
	}
	if _, ok := u.resident[body.Model]; !ok && u.spec.MaxModels > 0 && len(u.resident) >= u.spec.MaxModels {
		u.overfullLoads++
	}
	u.busy = true
	u.loads++
	time.AfterFunc(u.spec.LoadTime, func() {
		u.mu.Lock()
		u.busy = false
		u.resident[body.Model] = []string{}
		u.disk[body.Model] = true
		u.mu.Unlock()
	})
	w.WriteHeader(http.StatusAccepted)
}
