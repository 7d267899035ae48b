package front

import (
	"bytes"
	"container/list"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"cardamomcourse.example/cardamom/memory"
)

const (
	// headLineBytes is what a line of a head takes in addition to its text: its entry in the
	// map of headers and the slices of its value.
	headLineBytes = 160
	// headByteFactor is how often the text of a head is kept while it is read.
	headByteFactor = 2
	// writePieceBytes is the size of the pieces of a response, each of which the caller has to
	// take within the time for writes. With larger ones a slow reader that reads steadily
	// would be cut off.
	writePieceBytes = 16 << 10
)

// errHeadMemory means that there is no memory for a head.
var errHeadMemory = eris.New("no memory for the head of a request")

// callerConn is the connection of a caller. It charges heads as they are read and bounds each
// write.
type callerConn struct {
	*net.TCPConn
	callers *callers
	address string
	opened  time.Time
	// place is the place among the connections without a whole head. The callers' lock
	// protects it.
	place  *list.Element
	charge *memory.Charge

	mu sync.Mutex
	// inHead means that no whole head has been read since the last response.
	inHead bool
	// headSince is when the first byte of the head was read, zero before.
	headSince time.Time
	// head is the memory of the head, nil if none of it has been read.
	head   *memory.Charge
	closed bool
	// counted means that the reason for closing the connection was counted.
	counted bool
}

// Read implements net.Conn.
func (c *callerConn) Read(data []byte) (int, error) {
	n, err := c.TCPConn.Read(data)
	if n > 0 && !c.chargeHead(data[:n]) {
		c.countAs(closedHead)
		// net/http closes the connection after such an error without an answer.
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: errHeadMemory}
	}
	return n, err
}

// chargeHead charges a part of a head, and reports whether there is memory for it.
func (c *callerConn) chargeHead(data []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.inHead || c.closed {
		return true
	}
	now := time.Now()
	if c.head == nil {
		c.headSince = now
		c.head = c.callers.account.Open(now, c.interrupt)
	}
	return c.head.Grow(int64(headByteFactor*len(data)+headLineBytes*bytes.Count(data, []byte{'\n'})), now)
}

// countAs counts the reason for closing the connection, the first one if there are several.
func (c *callerConn) countAs(reason string) {
	c.mu.Lock()
	counted := c.counted
	c.counted = true
	c.mu.Unlock()
	if !counted {
		c.callers.count(reason)
	}
}

// closeAs closes the connection for a reason.
func (c *callerConn) closeAs(reason string) {
	c.countAs(reason)
	_ = c.Close()
}

// interrupt ends a head that is shed. Only the socket is closed, as the caller may hold locks; a
// deadline would not do, since net/http sets its own.
func (c *callerConn) interrupt() { _ = c.TCPConn.Close() }

// beginHead notes that the next bytes are the head of a request.
func (c *callerConn) beginHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.head != nil {
		c.head.Release()
	}
	c.head, c.headSince, c.inHead = nil, time.Time{}, true
}

// endHead notes that a head is whole, and reports false if it was shed before. It stays charged
// until the response has ended.
func (c *callerConn) endHead() bool {
	c.mu.Lock()
	first := c.inHead
	c.inHead, c.headSince = false, time.Time{}
	kept := c.head == nil || c.head.Complete()
	c.mu.Unlock()
	if first {
		c.callers.mu.Lock()
		c.callers.settle(c)
		c.callers.mu.Unlock()
	}
	return kept
}

// headSlow reports whether a head has been incomplete for longer than a time.
func (c *callerConn) headSlow(limit time.Duration, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inHead && !c.headSince.IsZero() && now.Sub(c.headSince) > limit
}

// Write implements net.Conn. It fails if the caller takes nothing for too long.
func (c *callerConn) Write(data []byte) (int, error) {
	written := 0
	for {
		piece := data[written:min(len(data), written+writePieceBytes)]
		_ = c.SetWriteDeadline(time.Now().Add(c.callers.limits.writeStall))
		n, err := c.TCPConn.Write(piece)
		written += n
		if errors.Is(err, os.ErrDeadlineExceeded) {
			c.countAs(closedWrite)
		}
		if err != nil || written == len(data) {
			return written, err
		}
	}
}

// ReadFrom implements io.ReaderFrom, so that what net/http copies is bounded like other writes.
func (c *callerConn) ReadFrom(source io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{c}, source)
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.mu.Lock()
	partial := false
	if !c.closed {
		c.closed = true
		c.charge.Release()
		if c.head != nil {
			partial = c.inHead
			c.head.Release()
		}
	}
	c.mu.Unlock()
	if partial {
		// Malformed heads and those above maxHeaderBytes, which net/http refuses, count too.
		c.countAs(closedPartial)
	}
	c.callers.mu.Lock()
	c.callers.forget(c)
	c.callers.mu.Unlock()
	return c.TCPConn.Close()
}
