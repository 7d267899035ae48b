package framed

import (
	"errors"
	"net"
)

// UploadConn is a connection whose writes fail for nobody but its reader. A server may answer
// before it has read a whole request and close its side. net/http gives the answer up if a write
// fails before the answer is read; what is read tells whether it is whole.
type UploadConn struct {
	net.Conn
}

// NewUploadConn returns a connection that reads from and writes to base, whose reads fail if a
// write got the connection's error, as those of Conn do.
func NewUploadConn(base *Conn) *UploadConn { return &UploadConn{base} }

// Write implements net.Conn. It fails only on a connection that this side has closed.
func (c *UploadConn) Write(data []byte) (int, error) {
	if n, err := c.Conn.Write(data); errors.Is(err, net.ErrClosed) {
		return n, err
	}
	return len(data), nil
}
