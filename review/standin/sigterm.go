package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	// readPerMS is how many prompt tokens a runner reads in a millisecond, one prompt after
	// the other.
	readPerMS = 40.8
	// auditTokens is the size of a prompt.
	auditTokens   = 45900
	auditDeadline = 20 * time.Second
	audits        = 16
	auditPause    = 300 * time.Millisecond
	noticeTime    = 5 * time.Millisecond
)

// reader is a model runner that reads one prompt at a time.
type reader struct {
	*engine
	reading sync.Mutex
	// began is when it began to read the prompt of each request.
	began map[string]time.Time
}

func newReader(s *store, id, model string) *reader {
	r := &reader{engine: newEngine(id, model, 64, 192), began: make(map[string]time.Time)}
	r.handle = r.serveAudit
	r.serve(s)
	return r
}

func (r *reader) serveAudit(c *link, q *asked) bool {
	if r.serveControl(c, q) {
		return true
	}
	if !r.holds(q) {
		r.answer(c, q, 421, "Not-Run: 1\r\n", "")
		return true
	}
	log.addf("runner %s gets %s", r.id, q.id)
	if !r.read(q) {
		log.addf("runner %s: the connection of %s has ended before its first token", r.id, q.id)
		return false
	}
	r.ran(q)
	_, whole := stream(r.runner, c, q, 13, 25*time.Millisecond)
	return whole
}

// read waits for the prompts before it and reads the prompt of a request. It reports whether
// the connection lasted.
func (r *reader) read(q *asked) bool {
	r.reading.Lock()
	defer r.reading.Unlock()
	// All connections of a process end at once; that takes a moment to notice.
	if !work(q, noticeTime) {
		return false
	}
	r.mu.Lock()
	r.began[q.id] = time.Now()
	r.mu.Unlock()
	log.addf("runner %s begins to read the prompt of %s", r.id, q.id)
	return work(q, time.Duration(auditTokens/readPerMS)*time.Millisecond)
}

// sigterm stops a process while requests that it has passed on wait at their runner.
func sigterm(trouble bool) []string {
	s := newSite(2)
	defer s.close()
	models := []string{"muse-a", "muse-b", "muse-c"}
	s.store.put("op", "config", map[string]any{
		"version": 3,
		"routes": []map[string]any{{
			"name": "io-audit", "host": host, "pathPrefix": "/audit/", "kind": "streaming", "resumable": true, "service": "muse-models",
			"timeoutMs": 20000, "targetLatencyMs": 4000, "targetGapMs": 300, "priority": 1, "maxAttempts": 1, "sticky": true,
		}},
		"services": []map[string]any{engineService(models, 64)},
		"limits":   limits,
	})
	var runners []*reader
	for n, model := range models {
		runners = append(runners, newReader(s.store, fmt.Sprintf("i-%d", n+1), model))
	}
	s.startAll()
	time.Sleep(3 * time.Second)
	leaving := s.fronts[0]
	var mu sync.Mutex
	answers := make(map[string]response)
	var group sync.WaitGroup
	for n := range audits {
		q := request{
			id: fmt.Sprintf("audit-%02d", n), method: "POST", path: "/audit/order", body: "an order", deadline: auditDeadline,
			header: map[string]string{"Model": "muse-a", "Token-Count": fmt.Sprintf("%d,52", auditTokens), "Prompt-Prefix": fmt.Sprintf("5c1e07a2:6300,%08x:39600", n)},
		}
		group.Go(func() {
			got := send(leaving.entry, q)
			mu.Lock()
			defer mu.Unlock()
			answers[q.id] = got
		})
		time.Sleep(auditPause)
	}
	stopped := time.Now()
	if trouble {
		leaving.signal(syscall.SIGTERM)
	}
	group.Wait()
	if trouble {
		select {
		case <-leaving.ended():
			log.addf("%s has ended", leaving.name)
		case <-time.After(graceS * time.Second):
			leaving.signal(syscall.SIGKILL)
		}
	}
	var broken []string
	for id, got := range answers {
		if got.complete {
			continue
		}
		runners[0].mu.Lock()
		began, read := runners[0].began[id]
		runners[0].mu.Unlock()
		if read && began.Before(stopped.Add(graceS*time.Second)) {
			// The runner was at work on it.
			continue
		}
		broken = append(broken, fmt.Sprintf("LOST: %s was passed on, its runner had not begun to work on it, and its connection ended without an answer (status %d, %v)", id, got.status, got.err))
	}
	return broken
}
