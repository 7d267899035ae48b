package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	contact = 3 * time.Second
	// killAfter is how long after a crash all processes are killed, restartAfter how long they
	// are down, crashTime how long a runner is down.
	killAfter    = 200 * time.Millisecond
	restartAfter = 500 * time.Millisecond
	crashTime    = 2 * time.Second
	returns      = 9
	// allowedReturns is how many later retries the rule allows.
	allowedReturns = 3
)

// crashing sends a request that crashes the runners that run it again and again, while all
// processes are killed soon after each crash.
func crashing(trouble bool) []string {
	s := newSite(3)
	defer s.close()
	s.store.put("op", "config", map[string]any{
		"version": 3,
		"routes": []map[string]any{{
			"name": "label-fetch", "host": host, "pathPrefix": "/label/", "kind": "non_idempotent", "service": "ledger-app",
			"timeoutMs": 2500, "targetLatencyMs": 150, "priority": 2, "maxAttempts": 1,
		}},
		"services": []map[string]any{{"name": "ledger-app", "healthPath": "/health", "maxConnections": 110}},
		"limits":   limits,
	})
	var mu sync.Mutex
	var crashes []time.Time
	for n := range 5 {
		r := newRunner(fmt.Sprintf("i-%d", n+1), "ledger-app", map[string]any{"slots": 6})
		r.handle = func(c *link, q *asked) bool {
			r.ran(q)
			if string(q.body) != "bad" {
				r.answer(c, q, 200, "Content-Type: text/plain\r\n", "label of "+q.id)
				return true
			}
			mu.Lock()
			crashes = append(crashes, time.Now())
			mu.Unlock()
			log.addf("runner %s crashes", r.id)
			r.crash(crashTime)
			return false
		}
		r.serve(s.store)
	}
	s.startAll()
	time.Sleep(time.Second)
	started := time.Now()
	var late []string
	for n := range returns {
		// The processes have been in touch for contactMs.
		time.Sleep(time.Until(started.Add(contact + 500*time.Millisecond)))
		sent := time.Now()
		mu.Lock()
		before := len(crashes)
		afterThird := before >= 3 && sent.Sub(crashes[2]) > contact
		mu.Unlock()
		q := request{id: fmt.Sprintf("bad-%02d", n), method: "POST", path: "/label/household", body: "bad", deadline: 2500 * time.Millisecond}
		send(s.fronts[n%len(s.fronts)].entry, q)
		mu.Lock()
		crashed := len(crashes) > before
		mu.Unlock()
		if crashed && afterThird {
			late = append(late, q.id)
		}
		if !trouble || !crashed {
			continue
		}
		time.Sleep(killAfter)
		for _, f := range s.fronts {
			f.signal(syscall.SIGKILL)
			<-f.ended()
		}
		time.Sleep(restartAfter)
		s.startAll()
		started = time.Now()
	}
	log.addf("%d crashes, %d of them by requests sent later than %v after the third", len(crashes), len(late), contact)
	fmt.Println(len(crashes), "crashes,", len(late), "by requests sent later than", contact, "after the third")
	if len(late) > allowedReturns {
		return []string{fmt.Sprintf("BUDGET: a request that crashes runners reached runners again in %d retries sent later than %v after it had crashed the third: %v", len(late), contact, late)}
	}
	return nil
}
