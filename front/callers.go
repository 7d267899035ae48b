package front

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"cardamomcourse.example/cardamom/memory"
	"cardamomcourse.example/cardamom/metric"
)

const (
	// connectionBytes is what an open connection takes: the two buffers of net/http and the
	// stack of its goroutine.
	connectionBytes = 16 << 10
	// evictableAge is the age from which a connection without a whole head may be closed for
	// a new one.
	evictableAge = 200 * time.Millisecond
	// headSlack is added to the configured time for a head, since its first byte is noticed
	// later than it was sent.
	headSlack = time.Second
)

// Reasons for which the connections of callers are closed or refused, in metrics.
const (
	closedTotal   = "connections_full"
	closedAddress = "address_full"
	closedEvicted = "connection_evicted"
	closedHead    = "head_memory"
	closedSlow    = "head_stalled"
	closedWrite   = "write_stalled"
	closedPartial = "head_unfinished"
)

// callers are the open connections of callers and their bounds.
type callers struct {
	limits  callerLimits
	account *memory.Account
	metrics *metric.Tally

	mu        sync.Mutex
	open      map[*callerConn]struct{}
	addresses map[string]int
	// headless are the connections without a whole head so far, the oldest first.
	headless *list.List
}

func newCallers(limits callerLimits, account *memory.Account, metrics *metric.Tally) *callers {
	return &callers{
		limits: limits, account: account, metrics: metrics,
		open: make(map[*callerConn]struct{}), addresses: make(map[string]int), headless: list.New(),
	}
}

// count counts a closed or refused connection.
func (c *callers) count(reason string) {
	c.metrics.Add(`caller_connections_closed_total{reason="`+reason+`"}`, 1)
}

// add registers a connection. It returns nil if there is no room for it.
func (c *callers) add(raw *net.TCPConn, now time.Time) *callerConn {
	address, _, err := net.SplitHostPort(raw.RemoteAddr().String())
	if err != nil {
		address = raw.RemoteAddr().String()
	}
	c.mu.Lock()
	if c.addresses[address] >= c.limits.perAddress {
		c.mu.Unlock()
		c.count(closedAddress)
		return nil
	}
	var evicted *callerConn
	if len(c.open) >= c.limits.connections {
		if evicted = c.evictable(now); evicted == nil {
			c.mu.Unlock()
			c.count(closedTotal)
			return nil
		}
		c.forget(evicted)
	}
	conn := &callerConn{TCPConn: raw, callers: c, address: address, opened: now, inHead: true, charge: c.account.Hold(connectionBytes)}
	c.open[conn] = struct{}{}
	c.addresses[address]++
	conn.place = c.headless.PushBack(conn)
	c.mu.Unlock()
	if evicted != nil {
		evicted.closeAs(closedEvicted)
	}
	return conn
}

// evictable returns the oldest connection without a whole head, nil if none is old enough.
func (c *callers) evictable(now time.Time) *callerConn {
	place := c.headless.Front()
	if place == nil {
		return nil
	}
	conn := place.Value.(*callerConn)
	if now.Sub(conn.opened) < evictableAge {
		return nil
	}
	return conn
}

// forget removes a connection from the count. It is called with the lock held.
func (c *callers) forget(conn *callerConn) {
	if _, ok := c.open[conn]; !ok {
		return
	}
	delete(c.open, conn)
	if c.addresses[conn.address]--; c.addresses[conn.address] == 0 {
		delete(c.addresses, conn.address)
	}
	c.settle(conn)
}

// settle records that a connection has had a whole head. It is called with the lock held.
func (c *callers) settle(conn *callerConn) {
	if conn.place != nil {
		c.headless.Remove(conn.place)
		conn.place = nil
	}
}

// sweep closes connections whose head is not whole within a time after its first byte, and
// returns their number. Without a time, net/http's own bound applies.
func (c *callers) sweep(limit time.Duration, now time.Time) int {
	if limit <= 0 {
		limit = headerTimeout
	}
	c.mu.Lock()
	var slow []*callerConn
	for conn := range c.open {
		if conn.headSlow(limit+headSlack, now) {
			slow = append(slow, conn)
		}
	}
	c.mu.Unlock()
	for _, conn := range slow {
		conn.closeAs(closedSlow)
	}
	return len(slow)
}

// len returns the number of open connections.
func (c *callers) len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

// track follows the states of a connection. It is an http.Server.ConnState hook.
func (c *callers) track(conn net.Conn, state http.ConnState) {
	if caller, ok := conn.(*callerConn); ok && state == http.StateIdle {
		caller.beginHead()
	}
}

// callerKey is the key of a request's connection in its context.
type callerKey struct{}

// withConn is an http.Server.ConnContext hook, for handler.
func (c *callers) withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, callerKey{}, conn)
}

// handler returns a handler that notes that the head of a request is whole.
func (c *callers) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conn, ok := r.Context().Value(callerKey{}).(*callerConn); ok && !conn.endHead() {
			// The connection is closed already, so the caller would not get the response.
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// callerListener accepts the connections of callers within their bounds.
type callerListener struct {
	net.Listener
	callers *callers
}

// Accept implements net.Listener. It closes connections for which there is no room.
func (l callerListener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tcp, ok := raw.(*net.TCPConn)
		if !ok {
			_ = raw.Close()
			return nil, eris.Errorf("connection is a %T", raw)
		}
		if conn := l.callers.add(tcp, time.Now()); conn != nil {
			return conn, nil
		}
		_ = tcp.Close()
	}
}

// bound makes a server of callers follow their connections. Its listener has to be a
// callerListener.
func (c *callers) bound(server *http.Server) *http.Server {
	track := server.ConnState
	server.Handler, server.ConnContext = c.handler(server.Handler), c.withConn
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		if track != nil {
			track(conn, state)
		}
		c.track(conn, state)
	}
	return server
}

// registerCallerGauges registers gauges of what callers take, and of what was refused for lack of
// memory.
func (i *Instance) registerCallerGauges() {
	i.metrics.Gauge("caller_connections", func() float64 { return float64(i.callers.len()) })
	i.metrics.Gauge("memory_charged_bytes", func() float64 { return float64(i.account.Used()) })
	i.metrics.Gauge("memory_shed_total", func() float64 { shed, _ := i.account.Counts(); return float64(shed) })
	i.metrics.Gauge("memory_refused_total", func() float64 { _, refused := i.account.Counts(); return float64(refused) })
}
