package front

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleSlack is added to the operator's idle time, since callers use connections
// up to a part of it.
const idleSlack = time.Second

// idlers are callers' connections without a request. The operator's idle time
// changes while connections are open, which http.Server's does not.
type idlers struct {
	mu    sync.Mutex
	since map[net.Conn]time.Time
}

func newIdlers() *idlers { return &idlers{since: make(map[net.Conn]time.Time)} }

// note takes a connection's new state. It is an http.Server.ConnState.
func (i *idlers) note(c net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if state == http.StateIdle {
		i.since[c] = time.Now()
		return
	}
	delete(i.since, c)
}

// sweep closes connections that have been idle longer than the limit; 0 is none.
func (i *idlers) sweep(limit time.Duration, now time.Time) int {
	if limit <= 0 {
		return 0
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	closed := 0
	for c, since := range i.since {
		if now.Sub(since) > limit+idleSlack {
			_ = c.Close()
			delete(i.since, c)
			closed++
		}
	}
	return closed
}
