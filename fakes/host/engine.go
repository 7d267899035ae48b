package host

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"
)

// Behaviour is how an upstream treats one request.
type Behaviour string

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
	close(e.hung)
	if e.link != nil {
		e.link.Close()
	}
	e.server.CloseClientConnections()
	e.server.Close()
}

// Next sets how the next requests are treated; later ones are answered.
func (e *Engine) Next(behaviours ...Behaviour) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.next = append(e.next, behaviours...)
}

// sharing guards scripts that several upstreams take behaviours from.
var sharing sync.Mutex

// Share makes the upstream take behaviours from a script that others share.
func (e *Engine) Share(script *[]Behaviour) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.shared = script
}

// take returns how the next request is treated.
func (e *Engine) take() Behaviour {
	if len(e.next) > 0 {
		behaviour := e.next[0]
		e.next = e.next[1:]
		return behaviour
	}
	sharing.Lock()
	defer sharing.Unlock()
	if e.shared == nil || len(*e.shared) == 0 {
		return Answer
	}
	behaviour := (*e.shared)[0]
	*e.shared = (*e.shared)[1:]
	return behaviour
}

// Left returns how many callers closed the connection of a hanging request.
func (e *Engine) Left() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.left
}

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

// serve treats a request as the next behaviour says.
func (e *Engine) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	e.mu.Lock()
	behaviour := e.take()
	model, _, _ := strings.Cut(r.Header.Get("Model"), "/")
	if _, ok := e.held[model]; model != "" && !ok || r.Header.Get("Expect-Instance") != e.spec.ID {
		behaviour = Misdirected
	}
	if behaviour != Full && behaviour != Misdirected && behaviour != Unfounded {
		e.runs = append(e.runs, Run{ID: r.Header.Get("Request-Id"), Target: r.RequestURI, Body: string(body), Header: r.Header.Clone(), At: time.Now()})
	}
	e.mu.Unlock()
	e.treat(behaviour, w, r)
}

func (e *Engine) treat(behaviour Behaviour, w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	switch behaviour {
	case Break:
		panic(http.ErrAbortHandler)
	case Hang:
		select {
		case <-e.hung:
		case <-r.Context().Done():
			e.mu.Lock()
			e.left++
			e.mu.Unlock()
		}
		panic(http.ErrAbortHandler)
	case Full:
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case Misdirected:
		w.Header().Set("Instance", e.spec.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case Unfounded:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case Noise, Extra, Unframed:
		e.raw(behaviour, w, r)
		return
	case Stray:
		id = "another"
	}
	w.Header().Set("Request-Id", id)
	w.Header().Set("Server-Seal", "seal."+e.spec.ID)
	if behaviour == Err {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if r.Header.Get("Model") != "" {
		e.stream(behaviour, w, r.Header.Get("Last-Event-Id"))
		return
	}
	_, _ = io.WriteString(w, "whole answer to "+id)
}

// events returns the events after the one that the caller has.
func events(resume string) string {
	after := 0
	if _, err := fmt.Sscan(resume, &after); err != nil {
		after = 0
	}
	var all strings.Builder
	for n := after + 1; n <= streamEvents; n++ {
		fmt.Fprintf(&all, "id: %d\ndata: piece %d\n\n", n, n)
	}
	return all.String()
}

// stream sends the events after the one that the caller has.
func (e *Engine) stream(behaviour Behaviour, w http.ResponseWriter, resume string) {
	w.Header().Set("Content-Type", "text/event-stream")
	after := 0
	if _, err := fmt.Sscan(resume, &after); err != nil {
		after = 0
	}
	for n := after + 1; n <= streamEvents; n++ {
		if behaviour == Cut && n == after+3 {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: par", n)
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", n, n)
		w.(http.Flusher).Flush()
	}
}

// raw writes bytes that net/http would not.
func (e *Engine) raw(behaviour Behaviour, w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	connection, buffered, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer connection.Close()
	body := "whole answer to " + id
	if r.Header.Get("Model") != "" {
		body = events(r.Header.Get("Last-Event-Id"))
	}
	head := "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nServer-Seal: seal." + e.spec.ID + "\r\n"
	framed := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	switch behaviour {
	case Noise:
		_, _ = buffered.WriteString("no response at all\r\n\r\n")
	case Extra:
		_, _ = buffered.WriteString(framed + framed)
	default:
		_, _ = buffered.WriteString(head + "\r\n" + body)
	}
	_ = buffered.Flush()
	if behaviour == Extra {
		// The connection stays open, so that the second response is met later.
		_, _ = connection.Read(make([]byte, 1))
	}
}
