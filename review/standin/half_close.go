package main

import (
	"fmt"
	"net"
	"time"
)

const (
	// lookups is how many clients there are, one in leavesEvery leaves, leaveAfter it has sent.
	lookups     = 40
	leavesEvery = 4
	leaveAfter  = 40 * time.Millisecond
	lookupTime  = 200 * time.Millisecond
)

// halfClose sends requests of clients, some of which leave: they close their side of the connection and
// read what still comes.
func halfClose(trouble bool) []string {
	s := newSite(2)
	defer s.close()
	s.store.put("op", "config", map[string]any{
		"version": 3,
		"routes": []map[string]any{{
			"name": "sub-check", "host": host, "pathPrefix": "/check/", "kind": "idempotent", "service": "ledger-app",
			"timeoutMs": 2500, "targetLatencyMs": 150, "priority": 2, "maxAttempts": 2,
		}},
		"services": []map[string]any{{"name": "ledger-app", "healthPath": "/health", "maxConnections": 110}},
		"limits":   limits,
	})
	for n := range 3 {
		r := newRunner(fmt.Sprintf("i-%d", n+1), "ledger-app", map[string]any{"slots": 6})
		r.handle = func(c *link, q *asked) bool {
			r.ran(q)
			if !work(q, lookupTime) {
				return false
			}
			r.answer(c, q, 200, "Content-Type: text/plain\r\n", "status of "+q.id)
			return true
		}
		r.serve(s.store)
	}
	s.startAll()
	time.Sleep(2 * time.Second)
	var broken []string
	for n := range lookups {
		q := request{id: fmt.Sprintf("check-%02d", n), method: "GET", path: "/check/household", deadline: 2500 * time.Millisecond}
		if trouble && n%leavesEvery == 0 {
			q.afterSend = func(c net.Conn) {
				time.Sleep(leaveAfter)
				log.addf("client closes its side for %s", q.id)
				_ = c.(*net.TCPConn).CloseWrite()
			}
		}
		got := send(s.fronts[n%len(s.fronts)].entry, q)
		if got.complete && got.status < 300 && !got.sealed {
			broken = append(broken, fmt.Sprintf("MIXED: the client of %s gets %d without Server-Seal, body %q", q.id, got.status, got.body))
		}
	}
	return broken
}
