package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// answer is what a client got for an attempt.
type answer struct {
	id, path string
	status   int
	sealed   bool
	body     string
	whole    bool
	err      error
	sent     time.Time
}

var nextID atomic.Uint64

// newID returns the id of a client attempt.
func newID() string { return fmt.Sprintf("%016x", 0x9c41d07be2a30000+nextID.Add(1)) }

// send sends a proper request to an instance and reads the answer.
func send(ctx context.Context, client *http.Client, method, address, path, body string, log *record) answer {
	a := answer{id: newID(), path: path, sent: time.Now()}
	log.add("send id=%s %s %s to=%s", a.id, method, path, address)
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		a.err = err
		return a
	}
	request.Host = "h.example"
	request.Header.Set("Request-Id", a.id)
	request.Header.Set("Deadline-Ms", "3000")
	request.GetBody = nil
	response, err := client.Do(request)
	if err != nil {
		a.err = err
		log.add("end id=%s error=%v", a.id, err)
		return a
	}
	defer response.Body.Close()
	read, err := io.ReadAll(response.Body)
	a.status, a.sealed, a.body, a.whole = response.StatusCode, response.Header.Get("Server-Seal") != "", string(read), err == nil
	log.add("answer id=%s status=%d sealed=%t whole=%t body=%q", a.id, a.status, a.sealed, a.whole, a.body)
	return a
}

// load sends requests from so many clients until the time is over, with pauses of so much on
// average.
func load(clients int, pause, span time.Duration, one func(client *http.Client, n int) answer) []answer {
	var mu sync.Mutex
	var all []answer
	var group sync.WaitGroup
	end := time.Now().Add(span)
	for c := range clients {
		group.Add(1)
		go func() {
			defer group.Done()
			client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for n := c; time.Now().Before(end); n += clients {
				a := one(client, n)
				mu.Lock()
				all = append(all, a)
				mu.Unlock()
				time.Sleep(time.Duration(rand.Int64N(int64(2 * pause))))
			}
		}()
	}
	group.Wait()
	return all
}

// plainConfig is a configuration with a service without models.
func plainConfig(version int) map[string]any {
	route := func(prefix, kind string, attempts int) map[string]any {
		return map[string]any{
			"name": "r" + strings.Trim(prefix, "/"), "host": "h.example", "pathPrefix": prefix, "kind": kind, "service": "app", "maxAttempts": attempts,
			"timeoutMs": 2500, "targetLatencyMs": 300, "priority": 2,
		}
	}
	return map[string]any{
		"version": version, "routes": []any{route("/safe/", "idempotent", 2), route("/once/", "non_idempotent", 1)},
		"services": []any{map[string]any{"name": "app", "healthPath": "/health", "maxConnections": 96}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 65536, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

// streamingRoute is a route of streams that can't be resumed.
func streamingRoute(prefix string, timeout time.Duration) map[string]any {
	return map[string]any{
		"name": "digest", "host": "h.example", "pathPrefix": prefix, "kind": "streaming", "service": "app", "maxAttempts": 1,
		"timeoutMs": timeout.Milliseconds(), "targetLatencyMs": 4000, "targetGapMs": 1000, "priority": 1, "resumable": false,
	}
}

// readStream sends a streaming request and reports whether its whole answer came.
func readStream(address, prompt string, timeout time.Duration, whole int, log *record) bool {
	id := newID()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/digest/1", strings.NewReader(prompt))
	if err != nil {
		return false
	}
	request.Host = "h.example"
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(timeout.Milliseconds(), 10))
	request.GetBody = nil
	began := time.Now()
	log.add("send id=%s POST /digest/1", id)
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(request)
	if err != nil {
		log.add("end id=%s after=%.1fs error=%v", id, time.Since(began).Seconds(), err)
		return false
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	events := strings.Count(string(body), "\n\n")
	log.add("end id=%s after=%.1fs status=%d events=%d of %d error=%v", id, time.Since(began).Seconds(), response.StatusCode, events, whole, err)
	return err == nil && (response.StatusCode != http.StatusOK || events == whole)
}
