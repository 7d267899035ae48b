package fakes

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"cardamomcourse.example/cardamom/roster"
)

// TruthWire is what really happened.
type TruthWire struct {
	// Runs counts how often each key was run.
	Runs map[string]int `json:"runs"`
	// Doubled are the keys that ran more than once.
	Doubled []string `json:"doubled"`
	// OverReplicas are the loads above the decided replicas of their model.
	OverReplicas []string `json:"over_replicas"`
	// OverMemory are the loads beyond an upstream's memory.
	OverMemory []string `json:"over_memory"`
	// Cut are the unloads that cut off requests in progress.
	Cut []string `json:"cut"`
	// Loads counts the loads of each model.
	Loads map[string]int `json:"loads"`
	// Deaths counts the upstreams that ended.
	Deaths int `json:"deaths"`
	// LoadedSeconds is the time that models were loaded, summed over replicas.
	LoadedSeconds float64 `json:"loaded_seconds"`
	// BusySeconds is the time that requests were in progress on replicas.
	BusySeconds float64 `json:"busy_seconds"`
}

// Truth keeps what was loaded and what ran. Only stand-ins write to it.
type Truth struct {
	mu       sync.Mutex
	quota    func(model string) int
	replicas map[string]map[string]time.Time
	wire     TruthWire
	list     *List
}

// NewTruth returns an empty truth. The quota gives the decided replicas of a
// model; the list loses upstreams whose connection ends.
func NewTruth(quota func(model string) int, list *List) *Truth {
	return &Truth{
		quota: quota, list: list, replicas: make(map[string]map[string]time.Time),
		wire: TruthWire{Runs: make(map[string]int), Loads: make(map[string]int)},
	}
}

// Load notes the start of a load.
func (t *Truth) Load(runner, model string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.wire.Loads[model]++
	on, ok := t.replicas[model]
	if !ok {
		on = make(map[string]time.Time)
		t.replicas[model] = on
	}
	on[runner] = now
	if quota := t.quota(model); len(on) > quota {
		t.wire.OverReplicas = append(t.wire.OverReplicas, fmt.Sprintf("%s: %d replicas, %d decided, last on %s", model, len(on), quota, runner))
	}
}

// Unload notes the end of a replica.
func (t *Truth) Unload(runner, model string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unload(runner, model, now)
}

func (t *Truth) unload(runner, model string, now time.Time) {
	since, ok := t.replicas[model][runner]
	if !ok {
		return
	}
	t.wire.LoadedSeconds += now.Sub(since).Seconds()
	delete(t.replicas[model], runner)
}

// Run notes that a request with a key starts.
func (t *Truth) Run(key string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.wire.Runs[key]++
	if t.wire.Runs[key] == 2 {
		t.wire.Doubled = append(t.wire.Doubled, key)
	}
}

// OverMemory notes a load beyond a runner's memory.
func (t *Truth) OverMemory(text string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.wire.OverMemory = append(t.wire.OverMemory, text)
}

// Cut notes an unload that cut off requests.
func (t *Truth) Cut(text string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.wire.Cut = append(t.wire.Cut, text)
}

// Busy adds time that a request was in progress.
func (t *Truth) Busy(seconds float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.wire.BusySeconds += seconds
}

// Died notes that a runner ended with all that was loaded on it.
func (t *Truth) Died(runner string, now time.Time) {
	t.mu.Lock()
	t.wire.Deaths++
	for model := range t.replicas {
		t.unload(runner, model, now)
	}
	t.mu.Unlock()
	t.list.Remove(runner, now)
}

// Snapshot returns what has happened so far.
func (t *Truth) Snapshot(now time.Time) TruthWire {
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

// EventWire is one event of a stand-in.
type EventWire struct {
	Kind    string  `json:"kind"`
	Runner  string  `json:"runner,omitempty"`
	Model   string  `json:"model,omitempty"`
	Key     string  `json:"key,omitempty"`
	Text    string  `json:"text,omitempty"`
	Seconds float64 `json:"seconds,omitempty"`
}

// Handler returns the truth's HTTP interface. An upstream attaches with a
// request that lasts as long as it does.
func (t *Truth) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /event", func(w http.ResponseWriter, r *http.Request) {
		var event EventWire
		if err := readJSON(r, &event); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		t.take(event, time.Now())
	})
	mux.HandleFunc("POST /attach", t.attach)
	mux.HandleFunc("GET /truth", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, t.Snapshot(time.Now()))
	})
	return mux
}

func (t *Truth) take(event EventWire, now time.Time) {
	switch event.Kind {
	case "load":
		t.Load(event.Runner, event.Model, now)
	case "unload":
		t.Unload(event.Runner, event.Model, now)
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

func (t *Truth) attach(w http.ResponseWriter, r *http.Request) {
	var machine roster.MachineWire
	if err := readJSON(r, &machine); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	t.list.Add(machine, false, time.Now())
	w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(w).Flush()
	<-r.Context().Done()
	t.Died(machine.ID, time.Now())
}
