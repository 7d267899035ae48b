package front

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleSlack is added to the configured idle timeout, since callers reuse a
// connection until it has been idle for a fraction of that timeout.
const idleSlack = time.Second

// idleConns tracks callers' idle connections. The configured idle timeout can
// change while connections are open, http.Server.IdleTimeout can't.
type idleConns struct {
	mu    sync.Mutex
	since map[net.Conn]time.Time
}

func newIdleConns() *idleConns { return &idleConns{since: make(map[net.Conn]time.Time)} }

// track records a connection's new state. It is an http.Server.ConnState hook.
func (i *idleConns) track(c net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if state == http.StateIdle {
		i.since[c] = time.Now()
		return
	}
	delete(i.since, c)
}

// sweep closes connections idle for longer than limit and returns their number.
// A limit of 0 disables it.
func (i *idleConns) sweep(limit time.Duration, now time.Time) int {
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
