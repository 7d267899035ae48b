package host

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"
)

// Behaviours of an upstream.
const (
	// Answer runs the request and sends a complete answer.
	Answer Behaviour = "answer"
	// CloseEarly runs it and closes the connection without sending a byte.
	CloseEarly Behaviour = "break"
	// Cut runs it and closes the connection in the middle of an event.
	Cut Behaviour = "cut"
	// Full refuses it with 503 and the Not-Run header.
	Full Behaviour = "full"
	// UnmarkedRefusal does not run it and answers 503 without the Not-Run header.
	UnmarkedRefusal Behaviour = "unfounded"
	// InternalError runs it and answers 500.
	InternalError Behaviour = "err"
	// WrongID runs it and answers with another request's id.
	WrongID Behaviour = "stray"
	// Malformed runs it and sends bytes that are not an HTTP response.
	Malformed Behaviour = "noise"
	// ExtraResponse runs it and sends a second response after the answer.
	ExtraResponse Behaviour = "extra"
	// Unframed runs it, answers without a Content-Length and closes the connection.
	Unframed Behaviour = "unframed"
	// Misdirected answers 421: the upstream doesn't have the model, or the request
	// is meant for another upstream.
	Misdirected Behaviour = "misdirected"
	// Hang runs it and never answers.
	Hang Behaviour = "hang"
)

// streamEvents is how many events a stream has.
const streamEvents = 4

// Run is one request that an upstream began to run.
type Run struct {
	ID     string
	Target string
	Body   string
	Header http.Header
	At     time.Time
}

// UpstreamSpec describes an upstream.
type UpstreamSpec struct {
	ID         string
	Service    string
	DataCentre string
	Models     []string
	Disk       []string
	Slots      int
	// LoadTime is how long a load takes.
	LoadTime time.Duration
	// MaxModels is how many models fit in memory, 0 for no limit.
	MaxModels int
	// WithLink puts a fault-injecting link in front of the upstream.
	WithLink bool
}

// Upstream is a fake upstream, a model engine or a plain service. It is safe for
// concurrent use.
type Upstream struct {
	mu            sync.Mutex
	closeOnce     sync.Once
	spec          UpstreamSpec
	store         *Store
	server        *httptest.Server
	next          []Behaviour
	script        *[]Behaviour
	runs          []Run
	resident      map[string][]string
	disk          map[string]bool
	orders        int64
	fence         uint64
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
}

// NewUpstream starts an upstream and registers it in the store unless that is nil.
func NewUpstream(store *Store, spec UpstreamSpec) *Upstream {
	e := &Upstream{
		spec: spec, store: store, resident: make(map[string][]string), disk: make(map[string]bool),
		startedMS: time.Now().UnixMilli(), state: "ready", closed: make(chan struct{}),
	}
	for _, model := range spec.Models {
		e.resident[model] = []string{}
		e.disk[model] = true
	}
	for _, model := range spec.Disk {
		e.disk[model] = true
	}
	e.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// A ServeMux would clean paths and redirect.
		switch r.Method + " " + r.RequestURI {
		case "GET /report":
			e.report(w, r)
		case "POST /order":
			e.order(w, r)
		default:
			e.serve(w, r)
		}
	}))
	if spec.WithLink {
		link, err := NewLink(strings.TrimPrefix(e.server.URL, "http://"))
		if err != nil {
			panic(err)
		}
		e.link = link
	}
	e.Register()
	return e
}

// Address returns the host:port at which the upstream is reached.
func (e *Upstream) Address() string {
	if e.link != nil {
		return e.link.Address()
	}
	return strings.TrimPrefix(e.server.URL, "http://")
}

// ID returns the upstream's id.
func (e *Upstream) ID() string { return e.spec.ID }

// Link returns the link in front of the upstream, nil if there is none.
func (e *Upstream) Link() *Link { return e.link }

// OverfullLoads returns how many loads were ordered when memory was full.
func (e *Upstream) OverfullLoads() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.overfullLoads
}

// DrainingSince returns when the upstream began to drain, zero if it has not.
func (e *Upstream) DrainingSince() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.drainingSince
}

// Close stops the upstream at once, as a crash would.
func (e *Upstream) Close() {
	e.closeOnce.Do(func() {
		close(e.closed)
		if e.link != nil {
			e.link.Close()
		}
		e.server.CloseClientConnections()
		e.server.Close()
	})
}

// scriptMu guards the scripts that upstreams share.
var scriptMu sync.Mutex

// Runs returns the requests that the upstream began to run.
func (e *Upstream) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Run(nil), e.runs...)
}

// Loads returns how many loads were ordered.
func (e *Upstream) Loads() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.loads
}

// Drain makes the upstream register as draining.
func (e *Upstream) Drain() {
	e.mu.Lock()
	e.state = "draining"
	e.drainingSince = time.Now()
	e.mu.Unlock()
	e.Register()
}

// Register writes the upstream's registration to the store as a new heartbeat.
func (e *Upstream) Register() {
	if e.store == nil {
		return
	}
	e.mu.Lock()
	e.heartbeats++
	value, err := json.Marshal(map[string]any{
		"service": e.spec.Service, "address": e.Address(), "zone": e.spec.DataCentre, "version": "v1", "slots": e.spec.Slots,
		"state": e.state, "seq": e.heartbeats, "born": e.startedMS, "models": e.models(), "atHand": e.localModels(),
	})
	e.mu.Unlock()
	if err == nil {
		e.store.Put("servers", e.spec.ID, value)
	}
}

func (e *Upstream) models() []map[string]any {
	list := []map[string]any{}
	for model, adapters := range e.resident {
		list = append(list, map[string]any{"name": model, "version": 1, "adapters": adapters})
	}
	return list
}

func (e *Upstream) localModels() map[string]any {
	disk := []string{}
	for model := range e.disk {
		disk = append(disk, model)
	}
	return map[string]any{"resident": []string{}, "onDisk": disk}
}

func (e *Upstream) report(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, map[string]any{"models": e.models(), "atHand": e.localModels(), "busy": e.busy, "seq": e.orders, "coming": []string{}})
}

func (e *Upstream) order(w http.ResponseWriter, r *http.Request) {
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
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case r.Header.Get("Expect-Instance") != e.spec.ID:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case body.FencingToken < e.fence:
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	case e.busy && body.Adapter == "", body.Expect != nil && *body.Expect != e.orders:
		w.WriteHeader(http.StatusConflict)
		return
	}
	e.fence = body.FencingToken
	e.orders++
	if body.Adapter != "" {
		e.resident[body.Model] = append(e.resident[body.Model], body.Adapter)
		w.WriteHeader(http.StatusAccepted)
		return
	}
	if body.Operation == "unload" {
		delete(e.resident, body.Model)
		w.WriteHeader(http.StatusAccepted)
		return
	}
	if _, ok := e.resident[body.Model]; !ok && e.spec.MaxModels > 0 && len(e.resident) >= e.spec.MaxModels {
		e.overfullLoads++
	}
	e.busy = true
	e.loads++
	time.AfterFunc(e.spec.LoadTime, func() {
		e.mu.Lock()
		e.busy = false
		e.resident[body.Model] = []string{}
		e.disk[body.Model] = true
		e.mu.Unlock()
	})
	w.WriteHeader(http.StatusAccepted)
}
