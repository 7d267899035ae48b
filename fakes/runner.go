package fakes

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/engine"
	"cardamomcourse.example/cardamom/pause"
	"cardamomcourse.example/cardamom/roster"
)

// RunnerOptions describe a model engine.
type RunnerOptions struct {
	ID         string
	Service    string
	DataCentre string
	Address    string
	Weights    string
	// Listed is the address on the list if it is another, such as a proxy's.
	Listed   string
	MemoryMB int
	Slots    int
	Fencing  bool
	// DiskMBPerSec and MemoryMBPerSec are the speeds of the local tiers.
	DiskMBPerSec   float64
	MemoryMBPerSec float64
	// CacheMB is how much of checkpoints the local disk keeps.
	CacheMB int
	// Prefill is the time to the first token, Interval that between tokens.
	Prefill  time.Duration
	Interval time.Duration
	// Resumable tells that streams can be resumed for a while.
	Resumable bool
	// ReportLag is how old the reported load is.
	ReportLag time.Duration
	// Crash is called by a request that kills the engine.
	Crash func() `json:"-"`
}

// OrdersKept is how many accepted orders a report lists.
const OrdersKept = 32

// seated is a model on a runner.
type seated struct {
	wire    engine.LoadedWire
	running int
	waiting int
	// busy is since when requests have been in progress.
	busy   time.Time
	until  time.Time
	cancel context.CancelFunc
	ended  context.Context
}

// Runner is a model engine.
type Runner struct {
	options RunnerOptions
	boot    uint64
	side    *side
	server  *Server
	ctx     context.Context
	cancel  context.CancelFunc
	slots   chan struct{}

	mu      sync.Mutex
	fence   uint64
	models  map[string]*seated
	cached  map[string]int
	sizes   map[string]int
	recency []string
	orders  []string
	seen    map[string]bool
	lagged  []lagged
	streams map[string]bool
}

// lagged is the load at an earlier time.
type lagged struct {
	at   time.Time
	load map[string][2]int
}

// StartRunner starts a runner and puts it on the list.
func StartRunner(options RunnerOptions) (*Runner, error) {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Runner{
		options: options, boot: bootNumber(time.Now()), side: newSide(options.Weights), ctx: ctx, cancel: cancel,
		slots: make(chan struct{}, options.Slots), models: make(map[string]*seated),
		cached: make(map[string]int), sizes: make(map[string]int), seen: make(map[string]bool), streams: make(map[string]bool),
	}
	server, err := serve(options.Address, r.handler())
	if err != nil {
		cancel()
		return nil, err
	}
	r.server = server
	machine := roster.MachineWire{ID: options.ID, Service: options.Service, DataCentre: options.DataCentre, Address: listedAs(options.Listed, server)}
	if err := r.side.attach(ctx, machine); err != nil {
		r.Close()
		return nil, err
	}
	return r, nil
}

// Address returns the runner's host:port.
func (r *Runner) Address() string { return r.server.Address() }

// Close ends the runner as a crash would.
func (r *Runner) Close() {
	r.cancel()
	r.server.Close()
}

func (r *Runner) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /engine/report", r.report)
	mux.HandleFunc("POST /engine/orders", r.order)
	mux.HandleFunc("POST /v1/completions", r.completion)
	mux.HandleFunc("POST /v1/chat/completions", r.completion)
	return mux
}

func (r *Runner) report(w http.ResponseWriter, _ *http.Request) {
	r.mu.Lock()
	wire := engine.ReportWire{
		Incarnation: r.boot, Fence: r.fence, Fencing: r.options.Fencing, MemoryMB: r.options.MemoryMB,
		Slots: r.options.Slots, Cached: make(map[string]int, len(r.cached)), Orders: append([]string(nil), r.orders...),
	}
	for model, tier := range r.cached {
		wire.Cached[model] = tier
	}
	now := time.Now()
	load := r.load(now)
	for model, s := range r.models {
		loaded := s.wire
		loaded.Running, loaded.Waiting = load[model][0], load[model][1]
		if !loaded.Ready {
			loaded.ReadyInMS = max(s.until.Sub(now).Milliseconds(), 1)
		}
		wire.Loaded = append(wire.Loaded, loaded)
	}
	r.mu.Unlock()
	writeJSON(w, wire)
}

// load returns the load as it was a report lag ago, and notes the present one.
func (r *Runner) load(now time.Time) map[string][2]int {
	present := make(map[string][2]int, len(r.models))
	for model, s := range r.models {
		present[model] = [2]int{s.running, s.waiting}
	}
	r.lagged = append(r.lagged, lagged{at: now, load: present})
	shown := r.lagged[0].load
	for len(r.lagged) > 1 && now.Sub(r.lagged[1].at) >= r.options.ReportLag {
		r.lagged = r.lagged[1:]
		shown = r.lagged[0].load
	}
	return shown
}

func (r *Runner) order(w http.ResponseWriter, request *http.Request) {
	var order engine.OrderWire
	if err := readJSON(request, &order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(r.take(order))
}

// take carries out an order and returns the HTTP status of the answer.
func (r *Runner) take(order engine.OrderWire) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.options.Fencing && order.Fence < r.fence {
		return http.StatusPreconditionFailed
	}
	r.fence = max(r.fence, order.Fence)
	if r.seen[order.ID] {
		return http.StatusOK
	}
	switch order.Kind {
	case engine.OrderLoad.String():
		if _, held := r.models[order.Model]; held {
			return http.StatusConflict
		}
		if base := order.Base; base != "" {
			if s, ok := r.models[base]; !ok || !s.wire.Ready {
				return http.StatusConflict
			}
		}
		r.startLoad(order)
	case engine.OrderUnload.String():
		r.unload(order.Model)
	}
	r.accept(order.ID)
	return http.StatusAccepted
}

func (r *Runner) accept(id string) {
	r.seen[id] = true
	r.orders = append(r.orders, id)
	if len(r.orders) > OrdersKept {
		r.orders = r.orders[1:]
	}
}

func (r *Runner) startLoad(order engine.OrderWire) {
	used := order.MemoryMB
	for _, s := range r.models {
		used += s.wire.MemoryMB
	}
	ctx, cancel := context.WithCancel(r.ctx)
	s := &seated{
		wire:   engine.LoadedWire{Model: order.Model, OrderID: order.ID, MemoryMB: order.MemoryMB},
		cancel: cancel, ended: ctx, until: time.Now().Add(r.estimate(order)),
	}
	r.models[order.Model] = s
	if used > r.options.MemoryMB {
		r.side.tell(EventWire{Kind: "over-memory", Text: r.options.ID + " loads " + order.Model + ": " + itoa(used) + " MB of " + itoa(r.options.MemoryMB)})
	}
	r.side.tell(EventWire{Kind: "load", Runner: r.options.ID, Model: order.Model})
	go r.transfer(ctx, s, order)
}

// estimate returns how long a load will take from its nearest tier.
func (r *Runner) estimate(order engine.OrderWire) time.Duration {
	speed := r.options.DiskMBPerSec
	if r.cached[order.Model] == int(cardamom.TierMemory) {
		speed = r.options.MemoryMBPerSec
	}
	return time.Duration(float64(order.CheckpointMB) / speed * float64(time.Second))
}

// transfer brings a checkpoint from its nearest tier and makes the model ready.
func (r *Runner) transfer(ctx context.Context, s *seated, order engine.OrderWire) {
	r.mu.Lock()
	tier, cached := r.cached[order.Model]
	r.mu.Unlock()
	speed := r.options.DiskMBPerSec
	if cached && tier == int(cardamom.TierMemory) {
		speed = r.options.MemoryMBPerSec
	}
	if !cached {
		if err := r.side.fetch(ctx, order.CheckpointMB); err != nil {
			r.failLoad(s, order.Model)
			return
		}
	}
	if !pause.For(ctx, time.Duration(float64(order.CheckpointMB)/speed*float64(time.Second))) {
		r.failLoad(s, order.Model)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s.wire.Ready = true
	r.keep(order.Model, order.CheckpointMB)
}

func (r *Runner) failLoad(s *seated, model string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.models[model] == s {
		delete(r.models, model)
		r.side.tell(EventWire{Kind: "unload", Runner: r.options.ID, Model: model})
	}
}

// keep caches a checkpoint on disk and drops the oldest beyond the cache's size.
func (r *Runner) keep(model string, mb int) {
	if _, cached := r.cached[model]; !cached {
		r.recency = append(r.recency, model)
	}
	r.cached[model] = int(cardamom.TierDisk)
	r.sizes[model] = mb
	total := 0
	for _, size := range r.sizes {
		total += size
	}
	for total > r.options.CacheMB && len(r.recency) > 1 {
		oldest := r.recency[0]
		r.recency = r.recency[1:]
		total -= r.sizes[oldest]
		delete(r.sizes, oldest)
		delete(r.cached, oldest)
	}
}

func (r *Runner) unload(model string) {
	s, ok := r.models[model]
	if !ok {
		return
	}
	if s.running+s.waiting > 0 {
		r.side.tell(EventWire{Kind: "cut", Text: r.options.ID + " unloads " + model + " with requests in progress"})
	}
	s.cancel()
	delete(r.models, model)
	r.side.tell(EventWire{Kind: "unload", Runner: r.options.ID, Model: model})
}

func itoa(n int) string { return strconv.Itoa(n) }
