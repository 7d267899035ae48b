package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// heartbeat is the time between two registrations of a runner.
	heartbeat = 1200 * time.Millisecond
	// events and eventPause are those of a stream.
	events     = 9
	eventPause = 12 * time.Millisecond
)

// run is one request that a runner began to work on.
type run struct {
	id, runner, tenant string
	at                 time.Time
}

// runner is a sound model runner that has its models in memory all the time.
type runner struct {
	id, service, address string
	slots                int
	models               []string
	born                 int64
	store                *store
	places               chan struct{}

	mu    sync.Mutex
	runs  []run
	beats int
	seq   int64
	// adapters are those that are loaded.
	adapters map[string]bool
	orders   []order
}

func startRunner(s *store, id, service string, slots int, models []string) (*runner, error) {
	r := &runner{id: id, service: service, slots: slots, models: models, born: time.Now().UnixMilli(), store: s, places: make(chan struct{}, slots), adapters: make(map[string]bool)}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r.address = listener.Addr().String()
	go func() { _ = http.Serve(listener, http.HandlerFunc(r.serve)) }()
	r.register()
	go func() {
		for range time.Tick(heartbeat) {
			r.register()
		}
	}()
	return r, nil
}

// loaded returns what a runner says that it holds. The caller holds the lock.
func (r *runner) loaded() []map[string]any {
	list := []map[string]any{}
	for _, model := range r.models {
		list = append(list, map[string]any{"name": model, "version": 1, "adapters": slices.Sorted(maps.Keys(r.adapters))})
	}
	return list
}

func (r *runner) register() {
	r.mu.Lock()
	r.beats++
	beats, loaded := r.beats, r.loaded()
	r.mu.Unlock()
	r.store.put("servers", r.id, map[string]any{
		"service": r.service, "address": r.address, "zone": "z1", "version": "v1", "slots": r.slots, "state": "ready",
		"coldRemainingMs": 0, "seq": beats, "born": r.born, "models": loaded,
	})
}

func (r *runner) serve(w http.ResponseWriter, q *http.Request) {
	if expected := q.Header.Get("Expect-Instance"); expected != "" && expected != r.id {
		w.Header().Set("Request-Id", q.Header.Get("Request-Id"))
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch q.Method + " " + q.URL.Path {
	case "GET /report":
		r.mu.Lock()
		seq, loaded := r.seq, r.loaded()
		r.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{"stage": "hybrid", "models": loaded, "busy": false, "seq": seq, "born": r.born, "queued": 0, "running": len(r.places), "coming": []string{}})
	case "POST /order":
		r.take(w, q)
	case "GET /health":
		w.Header().Set("Instance", r.id)
	default:
		r.work(w, q)
	}
}

func (r *runner) work(w http.ResponseWriter, q *http.Request) {
	_, _ = io.Copy(io.Discard, q.Body)
	id := q.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if _, adapter, named := strings.Cut(q.Header.Get("Model"), "/"); named {
		r.mu.Lock()
		present := r.adapters[adapter]
		r.mu.Unlock()
		if !present {
			w.Header().Set("Not-Run", "1")
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
	}
	select {
	case r.places <- struct{}{}:
	default:
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-r.places }()
	r.mu.Lock()
	r.runs = append(r.runs, run{id: id, runner: r.id, tenant: strings.Join(q.Header.Values("Tenant"), ","), at: time.Now()})
	r.mu.Unlock()
	w.Header().Set("Server-Seal", "seal."+r.id)
	w.Header().Set("Content-Type", "text/event-stream")
	for n := 1; n <= events; n++ {
		select {
		case <-time.After(eventPause):
		case <-q.Context().Done():
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", n, n)
		w.(http.Flusher).Flush()
	}
}
