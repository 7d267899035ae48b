package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"
)

// foreignEntry plays another writer that has an entry of its own among those of the runners,
// with fields missing. At its address stands a sound HTTP server that is no runner: it answers
// 404 to paths that it doesn't have, and names the request that it answers.
func foreignEntry(log *record, trouble bool) (outcome, error) {
	folder, err := os.MkdirTemp("", "standin2")
	if err != nil {
		return outcome{}, err
	}
	defer os.RemoveAll(folder)
	platform, err := startStore()
	if err != nil {
		return outcome{}, err
	}
	platform.put("op", "config", plainConfig(3))
	for n := range 3 {
		if _, err := startRunner(platform, fmt.Sprintf("i-%08x", 0x7f3a91c2+n), "app", "127.0.0.1:0", 30*time.Millisecond, log); err != nil {
			return outcome{}, err
		}
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return outcome{}, err
	}
	var foreign atomic.Int64
	go func() {
		_ = http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			foreign.Add(1)
			log.add("other server got %s %s id=%s", r.Method, r.URL.Path, r.Header.Get("Request-Id"))
			if id := r.Header.Get("Request-Id"); id != "" {
				w.Header().Set("Request-Id", id)
			}
			http.NotFound(w, r)
		}))
	}()
	fronts, err := startFronts(2, platform.address, folder)
	defer func() {
		for _, f := range fronts {
			f.stop()
		}
	}()
	if err != nil {
		return outcome{}, err
	}
	one := func(client *http.Client, n int) answer {
		path, method := "/safe/", http.MethodGet
		if n%2 == 1 {
			path, method = "/once/", http.MethodPost
		}
		return send(context.Background(), client, method, fronts[n/2%len(fronts)].entry, fmt.Sprintf("%s%d", path, n), "", log)
	}
	_ = load(4, 50*time.Millisecond, 4*time.Second, one)
	if trouble {
		// No zone, version, slots, coldRemainingMs and seq.
		platform.put("servers", "metrics-agent-1", map[string]any{"service": "app", "address": listener.Addr().String(), "state": "ready"})
		log.add("entry written: service, address and state")
	}
	time.Sleep(3 * time.Second)
	answers := load(6, 40*time.Millisecond, 15*time.Second, one)
	refused, failed := 0, 0
	for _, a := range answers {
		switch {
		case a.status >= 300 && a.status < 500 && !a.sealed && a.status != 408 && a.status != 421 && a.status != 429:
			refused++
		case a.status != http.StatusOK:
			failed++
		}
	}
	log.add("requests=%d ended with 3xx or 4xx of the system=%d other failures=%d requests at the other server=%d", len(answers), refused, failed, foreign.Load())
	if most := 5 + len(answers)/500; refused > most {
		return outcome{broken: fmt.Sprintf("DENIED: %d of %d proper requests ended with a 3xx or 4xx without a runner's signature, more than %d; the server that is no runner got %d requests", refused, len(answers), most, foreign.Load())}, nil
	}
	return outcome{}, nil
}
