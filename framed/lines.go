package framed

import (
	"bytes"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"

	"github.com/rotisserie/eris"
)

// LineConn is a connection to a server whose reads fail at a line of a response's head that
// begins with a blank. net/http would join it with the line before, and its caller never sees
// that it did. Lines says when a head begins.
type LineConn struct {
	net.Conn
	mu   sync.Mutex
	scan lineScan
	// broken is why reads fail from now on, nil if they don't.
	broken error
}

// NewLineConn returns a connection that reads from and writes to base.
func NewLineConn(base net.Conn) *LineConn { return &LineConn{Conn: base} }

// Read implements net.Conn. It returns what came before the line, and ErrInvalidHead from then on.
func (c *LineConn) Read(data []byte) (int, error) {
	c.mu.Lock()
	broken := c.broken
	c.mu.Unlock()
	if broken != nil {
		return 0, broken
	}
	n, err := c.Conn.Read(data)
	c.mu.Lock()
	defer c.mu.Unlock()
	if end, ok := c.scan.read(data[:n]); !ok {
		c.broken = eris.Wrap(ErrInvalidHead, "a line begins with a blank")
		if end == 0 {
			return 0, c.broken
		}
		return end, nil
	}
	return n, err
}

// expectHead makes the connection look at the head of the response that comes next.
func (c *LineConn) expectHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.scan = lineScan{active: true, statusLine: true}
}

// Lines returns a transport that sends requests by base, whose connections are of the type
// LineConn, and makes these look at the heads of the responses.
func Lines(base http.RoundTripper) http.RoundTripper { return &lines{base: base} }

type lines struct {
	base http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (l *lines) RoundTrip(request *http.Request) (*http.Response, error) {
	hooks := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*LineConn); ok {
			c.expectHead()
		}
	}}
	return l.base.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), hooks)))
}

// statusBytes is the length of a status line up to the end of its code.
const statusBytes = len("HTTP/1.1 200")

// lineScan looks at the lines of a response's head, in whichever pieces they come.
type lineScan struct {
	// active means that the head has not ended.
	active bool
	// statusLine means that the line at hand is the first one of the head, and status is how it
	// begins.
	statusLine bool
	status     []byte
	// length is that of the line at hand, without the bytes that end it.
	length int
}

// read looks at the next bytes. It returns false and where the line begins if one begins with a
// blank.
func (s *lineScan) read(data []byte) (begins int, ok bool) {
	for n, b := range data {
		switch {
		case !s.active:
			return 0, true
		case b == '\n':
			s.endLine()
		case b == '\r':
		case s.length == 0 && !s.statusLine && (b == ' ' || b == '\t'):
			return n, false
		default:
			s.length++
			if s.statusLine && len(s.status) < statusBytes {
				s.status = append(s.status, b)
			}
		}
	}
	return 0, true
}

// endLine ends the line at hand, and the head if it is empty.
func (s *lineScan) endLine() {
	switch {
	case s.length > 0:
		s.statusLine, s.length = false, 0
	case s.statusLine:
		// An empty line before the head is none of it.
	default:
		// Another head follows that of an informational response.
		*s = lineScan{active: s.isInformational(), statusLine: true}
	}
}

// isInformational reports whether the head is that of a response before the final one.
func (s *lineScan) isInformational() bool {
	return len(s.status) == statusBytes && s.status[statusBytes-3] == '1' && !bytes.HasSuffix(s.status, []byte("101"))
}
