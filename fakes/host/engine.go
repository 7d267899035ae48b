package host

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"
)

// The behaviours of an upstream.
const (
	// Answer runs the request and answers whole.
	Answer Behaviour = "answer"
	// Break runs it and closes the connection before any byte.
	Break Behaviour = "break"
	// Cut runs it and closes the connection in the middle of an event.
	Cut Behaviour = "cut"
	// Full states that it was not run.
	Full Behaviour = "full"
	// Unfounded answers 503 without stating that it was not run.
	Unfounded Behaviour = "unfounded"
	// Err runs it and answers 500.
	Err Behaviour = "err"
	// Stray answers another request's id.
	Stray Behaviour = "stray"
	// Noise sends bytes that are no response.
	Noise Behaviour = "noise"
	// Extra answers and sends a second response behind it.
	Extra Behaviour = "extra"
	// Unframed answers without a length and closes the connection.
	Unframed Behaviour = "unframed"
	// Misdirected says that it does not have what the request needs.
	Misdirected Behaviour = "misdirected"
	// Hang never answers.
	Hang Behaviour = "hang"
)

// streamEvents is how many events a stream has.
const streamEvents = 4

// Run is one request that an upstream began to work on.
type Run struct {
	ID     string
	Target string
	Body   string
	Header http.Header
	At     time.Time
}

// EngineSpec describes an upstream.
type EngineSpec struct {
	ID      string
	Service string
	Centre  string
	Models  []string
	Disk    []string
	Slots   int
	// LoadTime is how long a load takes.
	LoadTime time.Duration
	// Places is how many models fit; 0 is no bound.
	Places int
	// Linked puts a link with faults before the upstream.
	Linked bool
}

// Engine is an upstream of the platform. It is safe for concurrent use.
type Engine struct {
	mu     sync.Mutex
	ending sync.Once
	spec   EngineSpec
	store  *Store
	server *httptest.Server
	next   []Behaviour
	shared *[]Behaviour
	runs   []Run
	held   map[string][]string
	disk   map[string]bool
	orders int64
	fence  uint64
	busy   bool
	beat   int64
	born   int64
	state  string
	loads  int
	hung   chan struct{}
	link   *Link
	over   int
	left   int
	leftAt time.Time
}

// NewEngine starts an upstream and registers it unless store is nil.
func NewEngine(store *Store, spec EngineSpec) *Engine {
	e := &Engine{
		spec: spec, store: store, held: make(map[string][]string), disk: make(map[string]bool),
		born: time.Now().UnixMilli(), state: "ready", hung: make(chan struct{}),
	}
	for _, model := range spec.Models {
		e.held[model] = []string{}
		e.disk[model] = true
	}
	for _, model := range spec.Disk {
		e.disk[model] = true
	}
	e.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// No mux, which would clean paths and redirect.
		switch r.Method + " " + r.RequestURI {
		case "GET /report":
			e.report(w, r)
		case "POST /order":
			e.order(w, r)
		default:
			e.serve(w, r)
		}
	}))
	if spec.Linked {
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
func (e *Engine) Address() string {
	if e.link != nil {
		return e.link.Address()
	}
	return strings.TrimPrefix(e.server.URL, "http://")
}

// ID returns the upstream's name.
func (e *Engine) ID() string { return e.spec.ID }

// Link returns the link before the upstream, nil if there is none.
func (e *Engine) Link() *Link { return e.link }

// Over returns how many loads were ordered for which there was no room.
func (e *Engine) Over() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.over
}

// LeftAt returns when the upstream said that it leaves, zero if it has not.
func (e *Engine) LeftAt() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leftAt
}

// Close ends the upstream as a crash does.
func (e *Engine) Close() {
	e.ending.Do(func() {
		close(e.hung)
		if e.link != nil {
			e.link.Close()
		}
		e.server.CloseClientConnections()
		e.server.Close()
	})
}

// sharing guards scripts that several upstreams take behaviours from.
var sharing sync.Mutex

// Runs returns what the upstream began to work on.
func (e *Engine) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Run(nil), e.runs...)
}

// Loads returns how many models were loaded by order.
func (e *Engine) Loads() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.loads
}

// Leave makes the upstream say that it is leaving.
func (e *Engine) Leave() {
	e.mu.Lock()
	e.state = "draining"
	e.leftAt = time.Now()
	e.mu.Unlock()
	e.Register()
}

// Register writes the upstream's registration.
func (e *Engine) Register() {
	if e.store == nil {
		return
	}
	e.mu.Lock()
	e.beat++
	value, err := json.Marshal(map[string]any{
		"service": e.spec.Service, "address": e.Address(), "zone": e.spec.Centre, "version": "v1", "slots": e.spec.Slots,
		"state": e.state, "seq": e.beat, "born": e.born, "models": e.models(), "atHand": e.atHand(),
	})
	e.mu.Unlock()
	if err == nil {
		e.store.Put("servers", e.spec.ID, value)
	}
}

func (e *Engine) models() []map[string]any {
	list := []map[string]any{}
	for model, adapters := range e.held {
		list = append(list, map[string]any{"name": model, "version": 1, "adapters": adapters})
	}
	return list
}

func (e *Engine) atHand() map[string]any {
	disk := []string{}
	for model := range e.disk {
		disk = append(disk, model)
	}
	return map[string]any{"resident": []string{}, "onDisk": disk}
}

func (e *Engine) report(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	answer(w, map[string]any{"models": e.models(), "atHand": e.atHand(), "busy": e.busy, "seq": e.orders, "coming": []string{}})
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
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
		e.held[body.Model] = append(e.held[body.Model], body.Adapter)
		w.WriteHeader(http.StatusAccepted)
		return
	}
	if body.Operation == "unload" {
		delete(e.held, body.Model)
		w.WriteHeader(http.StatusAccepted)
		return
	}
	if _, ok := e.held[body.Model]; !ok && e.spec.Places > 0 && len(e.held) >= e.spec.Places {
		e.over++
	}
	e.busy = true
	e.loads++
	time.AfterFunc(e.spec.LoadTime, func() {
		e.mu.Lock()
		e.busy = false
		e.held[body.Model] = []string{}
		e.disk[body.Model] = true
		e.mu.Unlock()
	})
	w.WriteHeader(http.StatusAccepted)
}
