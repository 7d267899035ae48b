// Package meter counts the bytes sent and received over connections.
//
// # Usage
//
//	counted := &meter.Meter{}
//	transport := &http.Transport{DialContext: counted.DialContext}
//	fmt.Println(counted.Sent(), counted.Received())
package meter

import (
	"context"
	"net"
	"sync/atomic"
	"time"
)

// dialTimeout is the timeout of a TCP connect.
const dialTimeout = time.Second

// Meter counts the bytes sent and received over its connections. It is safe for concurrent use.
type Meter struct {
	sent     atomic.Int64
	received atomic.Int64
}

// Sent returns how many bytes were written.
func (m *Meter) Sent() int64 { return m.sent.Load() }

// Received returns how many bytes were read.
func (m *Meter) Received() int64 { return m.received.Load() }

// DialContext connects as net.Dialer does and counts the connection's bytes.
func (m *Meter) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &meteredConn{Conn: conn, meter: m}, nil
}

type meteredConn struct {
	net.Conn
	meter *Meter
}

// Read implements net.Conn.
func (c *meteredConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.meter.received.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *meteredConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.meter.sent.Add(int64(n))
	return n, err
}
