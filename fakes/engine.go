package fakes

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/engine"
	"cardamomcourse.example/cardamom/roster"
	"cardamomcourse.example/cardamom/sleep"
)

// EngineOptions configure a model engine.
type EngineOptions struct {
	ID         string
	Service    string
	DataCentre string
	Address    string
	// Weights is the host:port of the platform's weight store and ground truth.
	Weights string
	// Listed is the address on the list if it differs from Address, such as a
	// proxy's.
	Listed   string
	MemoryMB int
	Slots    int
	Fencing  bool
	// DiskMBPerSec and MemoryMBPerSec are the load speeds from local disk and memory.
	DiskMBPerSec   float64
	MemoryMBPerSec float64
	// CacheMB is the space for checkpoints on the local disk.
	CacheMB int
	// Prefill is the time to the first token, Interval the time between tokens.
	Prefill  time.Duration
	Interval time.Duration
	// Resumable allows interrupted streams to be resumed.
	Resumable bool
	// ReportLag is the age of the request counts in a report.
	ReportLag time.Duration
	// Crash is called for a request whose prompt contains the crash text. It ends
	// the engine's process. If it is nil, such a request runs normally.
	Crash func() `json:"-"`
}

// OrdersKept is how many accepted orders a report lists.
const OrdersKept = 32

// loadedModel is a model that an engine has loaded or is loading.
type loadedModel struct {
	wire    engine.LoadedWire
	running int
	waiting int
	// busySince is when the number of running requests last rose from zero.
	busySince time.Time
	readyAt   time.Time
	cancel    context.CancelFunc
	// ctx ends when the model is unloaded or the engine stops.
	ctx context.Context
}

// Engine is a fake model engine.
type Engine struct {
	options     EngineOptions
	incarnation uint64
	platform    *platformClient
	server      *Server
	ctx         context.Context
	cancel      context.CancelFunc
	slots       chan struct{}

	mu     sync.Mutex
	fence  uint64
	models map[string]*loadedModel
	// cacheTiers has the tier (memory or disk) of each model's local checkpoint.
	cacheTiers map[string]int
	// checkpointMB has the size of each model's local checkpoint.
	checkpointMB map[string]int
	// cacheOrder has the models with a local checkpoint, the oldest first.
	cacheOrder []string
	// orders has the IDs of the last OrdersKept accepted orders.
	orders []string
	// seenOrders has the IDs of all accepted orders.
	seenOrders  map[string]bool
	loadHistory []loadSample
	// streams has the request IDs of the streams that can be resumed here.
	streams map[string]bool
}

// loadSample has the numbers of running and waiting requests, in this order, of
// each model at one time.
type loadSample struct {
	at   time.Time
	load map[string][2]int
}

// StartEngine starts an engine and puts it on the platform's list of machines.
func StartEngine(options EngineOptions) (*Engine, error) {
	ctx, cancel := context.WithCancel(context.Background())
	e := &Engine{
		options: options, incarnation: newIncarnation(time.Now()), platform: newPlatformClient(options.Weights), ctx: ctx, cancel: cancel,
		slots: make(chan struct{}, options.Slots), models: make(map[string]*loadedModel),
		cacheTiers: make(map[string]int), checkpointMB: make(map[string]int), seenOrders: make(map[string]bool), streams: make(map[string]bool),
	}
	server, err := serve(options.Address, e.handler())
	if err != nil {
		cancel()
		return nil, err
	}
	e.server = server
	machine := roster.MachineWire{ID: options.ID, Service: options.Service, DataCentre: options.DataCentre, Address: listedAddress(options.Listed, server)}
	if err := e.platform.attach(ctx, machine); err != nil {
		e.Close()
		return nil, err
	}
	return e, nil
}

// Address returns the engine's host:port.
func (e *Engine) Address() string { return e.server.Address() }

// Close stops the engine at once, as a crash would.
func (e *Engine) Close() {
	e.cancel()
	e.server.Close()
}

func (e *Engine) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /engine/report", e.report)
	mux.HandleFunc("POST /engine/orders", e.handleOrder)
	mux.HandleFunc("POST /v1/completions", e.handleCompletion)
	mux.HandleFunc("POST /v1/chat/completions", e.handleCompletion)
	return mux
}

func (e *Engine) report(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	wire := engine.ReportWire{
		Incarnation: e.incarnation, Fence: e.fence, Fencing: e.options.Fencing, MemoryMB: e.options.MemoryMB,
		Slots: e.options.Slots, Cached: make(map[string]int, len(e.cacheTiers)), Orders: append([]string(nil), e.orders...),
	}
	for model, tier := range e.cacheTiers {
		wire.Cached[model] = tier
	}
	now := time.Now()
	load := e.laggedLoad(now)
	for model, m := range e.models {
		loaded := m.wire
		loaded.Running, loaded.Waiting = load[model][0], load[model][1]
		if !loaded.Ready {
			loaded.ReadyInMS = max(m.readyAt.Sub(now).Milliseconds(), 1)
		}
		wire.Loaded = append(wire.Loaded, loaded)
	}
	e.mu.Unlock()
	writeJSON(w, wire)
}

// laggedLoad records the current numbers of requests and returns the numbers from
// ReportLag ago.
func (e *Engine) laggedLoad(now time.Time) map[string][2]int {
	current := make(map[string][2]int, len(e.models))
	for model, m := range e.models {
		current[model] = [2]int{m.running, m.waiting}
	}
	e.loadHistory = append(e.loadHistory, loadSample{at: now, load: current})
	reported := e.loadHistory[0].load
	for len(e.loadHistory) > 1 && now.Sub(e.loadHistory[1].at) >= e.options.ReportLag {
		e.loadHistory = e.loadHistory[1:]
		reported = e.loadHistory[0].load
	}
	return reported
}

func (e *Engine) handleOrder(w http.ResponseWriter, request *http.Request) {
	var order engine.OrderWire
	if err := readJSON(request, &order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(e.execute(order))
}

// execute carries out an order and returns the HTTP status of the response.
func (e *Engine) execute(order engine.OrderWire) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.options.Fencing && order.Fence < e.fence {
		return http.StatusPreconditionFailed
	}
	e.fence = max(e.fence, order.Fence)
	if e.seenOrders[order.ID] {
		return http.StatusOK
	}
	switch order.Kind {
	case engine.OrderLoad.String():
		if _, loaded := e.models[order.Model]; loaded {
			return http.StatusConflict
		}
		if base := order.Base; base != "" {
			if m, ok := e.models[base]; !ok || !m.wire.Ready {
				return http.StatusConflict
			}
		}
		e.startLoad(order)
	case engine.OrderUnload.String():
		e.unload(order.Model)
	}
	e.recordOrder(order.ID)
	return http.StatusAccepted
}

func (e *Engine) recordOrder(id string) {
	e.seenOrders[id] = true
	e.orders = append(e.orders, id)
	if len(e.orders) > OrdersKept {
		e.orders = e.orders[1:]
	}
}

func (e *Engine) startLoad(order engine.OrderWire) {
	used := order.MemoryMB
	for _, m := range e.models {
		used += m.wire.MemoryMB
	}
	ctx, cancel := context.WithCancel(e.ctx)
	m := &loadedModel{
		wire:   engine.LoadedWire{Model: order.Model, OrderID: order.ID, MemoryMB: order.MemoryMB},
		cancel: cancel, ctx: ctx, readyAt: time.Now().Add(e.estimateLoad(order)),
	}
	e.models[order.Model] = m
	if used > e.options.MemoryMB {
		e.platform.sendEvent(EventWire{Kind: "over-memory", Text: e.options.ID + " loads " + order.Model + ": " + itoa(used) + " MB of " + itoa(e.options.MemoryMB)})
	}
	e.platform.sendEvent(EventWire{Kind: "load", Upstream: e.options.ID, Model: order.Model})
	go e.transfer(ctx, m, order)
}

// estimateLoad returns how long a load takes from local memory or disk.
func (e *Engine) estimateLoad(order engine.OrderWire) time.Duration {
	speed := e.options.DiskMBPerSec
	if e.cacheTiers[order.Model] == int(cardamom.TierMemory) {
		speed = e.options.MemoryMBPerSec
	}
	return time.Duration(float64(order.CheckpointMB) / speed * float64(time.Second))
}

// transfer loads a checkpoint from memory, disk or the weight store and then
// marks the model ready.
func (e *Engine) transfer(ctx context.Context, m *loadedModel, order engine.OrderWire) {
	e.mu.Lock()
	tier, cached := e.cacheTiers[order.Model]
	e.mu.Unlock()
	speed := e.options.DiskMBPerSec
	if cached && tier == int(cardamom.TierMemory) {
		speed = e.options.MemoryMBPerSec
	}
	if !cached {
		if err := e.platform.fetch(ctx, order.CheckpointMB); err != nil {
			e.failLoad(m, order.Model)
			return
		}
	}
	if !sleep.For(ctx, time.Duration(float64(order.CheckpointMB)/speed*float64(time.Second))) {
		e.failLoad(m, order.Model)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	m.wire.Ready = true
	e.cacheOnDisk(order.Model, order.CheckpointMB)
}

func (e *Engine) failLoad(m *loadedModel, model string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.models[model] == m {
		delete(e.models, model)
		e.platform.sendEvent(EventWire{Kind: "unload", Upstream: e.options.ID, Model: model})
	}
}

// cacheOnDisk caches a checkpoint on disk and removes the oldest checkpoints while
// the cache exceeds its size.
func (e *Engine) cacheOnDisk(model string, mb int) {
	if _, cached := e.cacheTiers[model]; !cached {
		e.cacheOrder = append(e.cacheOrder, model)
	}
	e.cacheTiers[model] = int(cardamom.TierDisk)
	e.checkpointMB[model] = mb
	total := 0
	for _, size := range e.checkpointMB {
		total += size
	}
	for total > e.options.CacheMB && len(e.cacheOrder) > 1 {
		oldest := e.cacheOrder[0]
		e.cacheOrder = e.cacheOrder[1:]
		total -= e.checkpointMB[oldest]
		delete(e.checkpointMB, oldest)
		delete(e.cacheTiers, oldest)
	}
}

func (e *Engine) unload(model string) {
	m, ok := e.models[model]
	if !ok {
		return
	}
	if m.running+m.waiting > 0 {
		e.platform.sendEvent(EventWire{Kind: "cut", Text: e.options.ID + " unloads " + model + " with requests in flight"})
	}
	m.cancel()
	delete(e.models, model)
	e.platform.sendEvent(EventWire{Kind: "unload", Upstream: e.options.ID, Model: model})
}

func itoa(n int) string { return strconv.Itoa(n) }
