package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// heartbeat is the time between two writes of a runner's entry.
const heartbeat = 1200 * time.Millisecond

// runner is a runner of a service without models.
type runner struct {
	id, service, address string
	work                 time.Duration
	born                 int64
	server               *http.Server
	ended                chan struct{}

	mu      sync.Mutex
	running int
	seq     int64
}

func startRunner(s *store, id, service, address string, work time.Duration, log *record) (*runner, error) {
	u := &runner{id: id, service: service, work: work, born: time.Now().UnixMilli(), ended: make(chan struct{})}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	u.address = listener.Addr().String()
	u.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { u.serve(w, r, log) })}
	go func() { _ = u.server.Serve(listener) }()
	go u.heartbeats(s)
	return u, nil
}

// heartbeats writes the runner's entry until the runner ends.
func (u *runner) heartbeats(s *store) {
	for {
		u.register(s)
		select {
		case <-time.After(heartbeat):
		case <-u.ended:
			return
		}
	}
}

// crash ends the runner and all its connections. Its entry stays until the platform removes it.
func (u *runner) crash() {
	close(u.ended)
	_ = u.server.Close()
}

func (u *runner) register(s *store) {
	u.mu.Lock()
	u.seq++
	seq := u.seq
	u.mu.Unlock()
	s.put("servers", u.id, map[string]any{
		"service": u.service, "address": u.address, "zone": "here", "version": "v1", "slots": 6, "state": "ready", "coldRemainingMs": 0, "seq": seq, "born": u.born,
	})
}

func (u *runner) serve(w http.ResponseWriter, r *http.Request, log *record) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	_, _ = io.Copy(io.Discard, r.Body)
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != u.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	u.count(1)
	defer u.count(-1)
	log.add("run id=%s runner=%s", id, u.id)
	time.Sleep(u.work)
	w.Header().Set("Server-Seal", "seal."+u.id)
	_, _ = fmt.Fprintf(w, "answer to %s", id)
}

func (u *runner) count(change int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running += change
}

// inFlight returns how many requests the runner works on.
func (u *runner) inFlight() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.running
}
