package host

import (
	"net"
	"sync"
)

// sockets are the listener and the connections of an upstream. It can stand still as a paused
// process does: the kernel goes on to accept connections and bytes for it.
type sockets struct {
	net.Listener
	mu sync.Mutex
	// moving is closed while the upstream does not stand still.
	moving chan struct{}
	// most is how many connections are kept open, 0 for no limit.
	most int
	open int
}

func newSockets(listener net.Listener) *sockets {
	moving := make(chan struct{})
	close(moving)
	return &sockets{Listener: listener, moving: moving}
}

// StandStill makes the upstream stop to accept connections, to read and to write, until GoOn
// is called.
func (u *Upstream) StandStill() {
	u.sockets.mu.Lock()
	defer u.sockets.mu.Unlock()
	if u.sockets.isMoving() {
		u.sockets.moving = make(chan struct{})
	}
}

// GoOn ends StandStill.
func (u *Upstream) GoOn() {
	u.sockets.mu.Lock()
	defer u.sockets.mu.Unlock()
	if !u.sockets.isMoving() {
		close(u.sockets.moving)
	}
}

// LimitConnections makes the upstream reset new connections while so many are open, 0 for no
// limit.
func (u *Upstream) LimitConnections(most int) {
	u.sockets.mu.Lock()
	defer u.sockets.mu.Unlock()
	u.sockets.most = most
}

// isMoving reports whether the upstream does not stand still. s.mu must be held.
func (s *sockets) isMoving() bool {
	select {
	case <-s.moving:
		return true
	default:
		return false
	}
}

// await waits until the upstream does not stand still.
func (s *sockets) await() {
	s.mu.Lock()
	moving := s.moving
	s.mu.Unlock()
	<-moving
}

// Accept implements net.Listener.
func (s *sockets) Accept() (net.Conn, error) {
	for {
		s.await()
		c, err := s.Listener.Accept()
		if err != nil {
			return nil, err
		}
		s.await()
		s.mu.Lock()
		full := s.most > 0 && s.open >= s.most
		if !full {
			s.open++
		}
		s.mu.Unlock()
		if !full {
			return &heldConn{Conn: c, sockets: s}, nil
		}
		reset(c)
	}
}

// heldConn is a connection of an upstream that may stand still.
type heldConn struct {
	net.Conn
	sockets *sockets
	once    sync.Once
}

// Read implements net.Conn.
func (c *heldConn) Read(data []byte) (int, error) {
	c.sockets.await()
	n, err := c.Conn.Read(data)
	c.sockets.await()
	return n, err
}

// Write implements net.Conn.
func (c *heldConn) Write(data []byte) (int, error) {
	c.sockets.await()
	return c.Conn.Write(data)
}

// Close implements net.Conn.
func (c *heldConn) Close() error {
	c.once.Do(func() {
		c.sockets.mu.Lock()
		defer c.sockets.mu.Unlock()
		c.sockets.open--
	})
	return c.Conn.Close()
}

// SetLinger implements lingerer.
func (c *heldConn) SetLinger(seconds int) error {
	if l, ok := c.Conn.(lingerer); ok {
		return l.SetLinger(seconds)
	}
	return nil
}
