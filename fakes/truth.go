package fakes

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"cardamomcourse.example/cardamom/roster"
)

// GroundTruthWire is the JSON form of the ground truth: what the fakes loaded and
// ran.
type GroundTruthWire struct {
	// Runs counts the runs of each idempotency key.
	Runs map[string]int `json:"runs"`
	// Doubled lists the keys that ran more than once.
	Doubled []string `json:"doubled"`
	// OverReplicas lists the loads beyond the replicas allowed for the model.
	OverReplicas []string `json:"over_replicas"`
	// OverMemory lists the loads beyond an engine's memory.
	OverMemory []string `json:"over_memory"`
	// Cut lists the unloads that cut off requests in flight.
	Cut []string `json:"cut"`
	// Loads counts the loads of each model.
	Loads map[string]int `json:"loads"`
	// Deaths counts the upstreams whose process ended.
	Deaths int `json:"deaths"`
	// LoadedSeconds is how long models were loaded, summed over replicas.
	LoadedSeconds float64 `json:"loaded_seconds"`
	// BusySeconds is how long replicas were running requests, summed over replicas.
	BusySeconds float64 `json:"busy_seconds"`
}

// GroundTruth records which models were loaded and which requests ran. Only the fakes
// write to it.
type GroundTruth struct {
	mu           sync.Mutex
	replicaLimit func(model string) int
	// replicas has the start of each load by model and engine.
	replicas map[string]map[string]time.Time
	wire     GroundTruthWire
	list     *List
}

// NewGroundTruth returns an empty record. replicaLimit returns the replicas allowed for
// a model; upstreams whose connection ends are removed from the list.
func NewGroundTruth(replicaLimit func(model string) int, list *List) *GroundTruth {
	return &GroundTruth{
		replicaLimit: replicaLimit, list: list, replicas: make(map[string]map[string]time.Time),
		wire: GroundTruthWire{Runs: make(map[string]int), Loads: make(map[string]int)},
	}
}

// Load records the start of a load.
func (t *GroundTruth) Load(engine, model string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.wire.Loads[model]++
	on, ok := t.replicas[model]
	if !ok {
		on = make(map[string]time.Time)
		t.replicas[model] = on
	}
	on[engine] = now
	if limit := t.replicaLimit(model); len(on) > limit {
		t.wire.OverReplicas = append(t.wire.OverReplicas, fmt.Sprintf("%s: %d replicas, %d allowed, last on %s", model, len(on), limit, engine))
	}
}

// Unload records the end of a replica.
func (t *GroundTruth) Unload(engine, model string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unload(engine, model, now)
}

func (t *GroundTruth) unload(engine, model string, now time.Time) {
	since, ok := t.replicas[model][engine]
	if !ok {
		return
	}
	t.wire.LoadedSeconds += now.Sub(since).Seconds()
	delete(t.replicas[model], engine)
}

// Run records the start of a request with an idempotency key.
func (t *GroundTruth) Run(key string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.wire.Runs[key]++
	if t.wire.Runs[key] == 2 {
		t.wire.Doubled = append(t.wire.Doubled, key)
	}
}

// OverMemory records a load beyond an engine's memory.
func (t *GroundTruth) OverMemory(text string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.wire.OverMemory = append(t.wire.OverMemory, text)
}

// Cut records an unload that cut off requests.
func (t *GroundTruth) Cut(text string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.wire.Cut = append(t.wire.Cut, text)
}

// Busy adds time in which a replica was running requests.
func (t *GroundTruth) Busy(seconds float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.wire.BusySeconds += seconds
}

// UpstreamEnded records that an upstream ended, with the replicas loaded on it.
func (t *GroundTruth) UpstreamEnded(upstream string, now time.Time) {
	t.mu.Lock()
	t.wire.Deaths++
	for model := range t.replicas {
		t.unload(upstream, model, now)
	}
	t.mu.Unlock()
	t.list.Remove(upstream, now)
}

// Snapshot returns the record up to now.
func (t *GroundTruth) Snapshot(now time.Time) GroundTruthWire {
	t.mu.Lock()
	defer t.mu.Unlock()
	wire := t.wire
	wire.Runs = make(map[string]int, len(t.wire.Runs))
	for key, count := range t.wire.Runs {
		wire.Runs[key] = count
	}
	wire.Loads = make(map[string]int, len(t.wire.Loads))
	for model, count := range t.wire.Loads {
		wire.Loads[model] = count
	}
	for _, on := range t.replicas {
		for _, since := range on {
			wire.LoadedSeconds += now.Sub(since).Seconds()
		}
	}
	return wire
}

// EventWire is one event that a fake reports.
type EventWire struct {
	Kind     string  `json:"kind"`
	Upstream string  `json:"runner,omitempty"`
	Model    string  `json:"model,omitempty"`
	Key      string  `json:"key,omitempty"`
	Text     string  `json:"text,omitempty"`
	Seconds  float64 `json:"seconds,omitempty"`
}

// Handler returns the HTTP interface of the ground truth. An upstream attaches
// with a request that stays open for as long as the upstream runs.
func (t *GroundTruth) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /event", func(w http.ResponseWriter, r *http.Request) {
		var event EventWire
		if err := readJSON(r, &event); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		t.apply(event, time.Now())
	})
	mux.HandleFunc("POST /attach", t.attach)
	mux.HandleFunc("GET /truth", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, t.Snapshot(time.Now()))
	})
	return mux
}

func (t *GroundTruth) apply(event EventWire, now time.Time) {
	switch event.Kind {
	case "load":
		t.Load(event.Upstream, event.Model, now)
	case "unload":
		t.Unload(event.Upstream, event.Model, now)
	case "run":
		t.Run(event.Key)
	case "over-memory":
		t.OverMemory(event.Text)
	case "cut":
		t.Cut(event.Text)
	case "busy":
		t.Busy(event.Seconds)
	}
}

func (t *GroundTruth) attach(w http.ResponseWriter, r *http.Request) {
	var machine roster.MachineWire
	if err := readJSON(r, &machine); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	t.list.Add(machine, false, time.Now())
	w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(w).Flush()
	<-r.Context().Done()
	t.UpstreamEnded(machine.ID, time.Now())
}
