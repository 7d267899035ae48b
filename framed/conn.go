package framed

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// Conn is a connection on which a broken connection never reads as one that ended in order.
//
// The system reports the error of a connection once. If a write gets it, later reads return
// io.EOF, as if the peer had closed its side. Read therefore fails if a write or another read
// got the error before. Only one goroutine may write at a time.
type Conn struct {
	net.Conn
	// writing is held during writes.
	writing sync.Mutex
	mu      sync.Mutex
	// broken is the first error that shows that the connection broke, nil if none did.
	broken error
}

// NewConn returns a connection that reads from and writes to base.
func NewConn(base net.Conn) *Conn { return &Conn{Conn: base} }

// Read implements net.Conn. It returns io.EOF only if the peer has closed its side in order.
func (c *Conn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.record(err)
	if errors.Is(err, io.EOF) {
		return n, c.endError()
	}
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(data []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(data)
	c.record(err)
	return n, err
}

// WriteBuffers writes the buffers with as few system calls as possible.
func (c *Conn) WriteBuffers(buffers net.Buffers) (int64, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := buffers.WriteTo(c.Conn)
	c.record(err)
	return n, err
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	base, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, eris.Errorf("connection of type %T has no descriptor", c.Conn)
	}
	return base.SyscallConn()
}

// record keeps the first error that shows that the connection broke.
func (c *Conn) record(err error) {
	if !isBreak(err) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.broken == nil {
		c.broken = err
	}
}

// endError returns the error for a read at the end of the connection: io.EOF, or why the
// connection broke. It ends the write that may have got the error and not have returned yet;
// after the end of an answer no more of its request is needed.
func (c *Conn) endError() error {
	_ = c.SetWriteDeadline(time.Unix(1, 0))
	c.writing.Lock()
	defer c.writing.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.broken != nil {
		return c.broken
	}
	return io.EOF
}

// isBreak reports whether the error of a read or write shows that the connection broke. A write
// after the peer has closed its side in order fails with EPIPE, also if the peer resets the
// connection then.
func isBreak(err error) bool {
	switch {
	case err == nil, errors.Is(err, io.EOF), errors.Is(err, syscall.EPIPE):
		return false
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, net.ErrClosed):
		return false
	default:
		return true
	}
}
