package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	// longTimeout is the timeout of the route, and the time that its clients wait.
	longTimeout = 110 * time.Second
	// longEvents events with longGap between them make a stream of 75 s.
	longEvents = 150
	longGap    = 500 * time.Millisecond
	// hupAfter is how long after the streams have begun the settings change.
	hupAfter = 20 * time.Second
)

// longStream plays streams of 75 s on a route that allows 110 s. While they run, the settings of
// one of two instances change, and it gets SIGHUP. Nothing else happens.
func longStream(log *record, trouble bool) (outcome, error) {
	folder, err := os.MkdirTemp("", "standin2")
	if err != nil {
		return outcome{}, err
	}
	defer os.RemoveAll(folder)
	platform, err := startStore()
	if err != nil {
		return outcome{}, err
	}
	config := plainConfig(3)
	config["routes"] = append(config["routes"].([]any), streamingRoute("/digest/", longTimeout))
	platform.put("op", "config", config)
	for n := range 2 {
		if err := startStreamer(platform, fmt.Sprintf("i-%08x", 0x7f3a91c2+n), log); err != nil {
			return outcome{}, err
		}
	}
	fronts, err := startFronts(2, platform.address, folder)
	defer func() {
		for _, f := range fronts {
			f.stop()
		}
	}()
	if err != nil {
		return outcome{}, err
	}
	time.Sleep(3 * time.Second)
	var group sync.WaitGroup
	var mu sync.Mutex
	cut := 0
	first := fronts[0]
	for range 6 {
		group.Add(1)
		go func() {
			defer group.Done()
			if whole := readStream(first.entry, "prompt", longTimeout, longEvents, log); !whole {
				mu.Lock()
				cut++
				mu.Unlock()
			}
		}()
	}
	time.Sleep(hupAfter)
	if trouble {
		log.add("SIGHUP to %s", first.name)
		if err := first.command.Process.Signal(syscall.SIGHUP); err != nil {
			return outcome{}, err
		}
	}
	group.Wait()
	log.add("streams cut=%d of 6", cut)
	if trouble && cut > 0 {
		return outcome{broken: fmt.Sprintf("LOST: %d of 6 streams that were sent before the SIGHUP ended without a complete answer after it, before their deadline and the route's timeout", cut)}, nil
	}
	return outcome{}, nil
}

// startStreamer starts a sound runner that answers with a long stream.
func startStreamer(s *store, id string, log *record) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	u := &runner{id: id, service: "app", address: listener.Addr().String(), born: time.Now().UnixMilli(), ended: make(chan struct{})}
	handler := func(w http.ResponseWriter, r *http.Request) {
		request := r.Header.Get("Request-Id")
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Request-Id", request)
		if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		log.add("run id=%s runner=%s deadline=%s", request, id, r.Header.Get("Deadline-Ms"))
		w.Header().Set("Server-Seal", "seal."+id)
		w.Header().Set("Content-Type", "text/event-stream")
		for n := 1; n <= longEvents; n++ {
			if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", n, n); err != nil {
				return
			}
			_ = http.NewResponseController(w).Flush()
			select {
			case <-time.After(longGap):
			case <-r.Context().Done():
				log.add("run id=%s ended by its caller", request)
				return
			}
		}
	}
	go func() { _ = http.Serve(listener, http.HandlerFunc(handler)) }()
	go u.heartbeats(s)
	return nil
}
