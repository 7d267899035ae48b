package host

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// LinkFault is how a link between two processes misbehaves.
type LinkFault uint8

// The faults of a link.
const (
	// Passing passes bytes on.
	Passing LinkFault = iota
	// Delayed passes bytes on after linkDelay.
	Delayed
	// Refusing resets each connection, open ones too.
	Refusing
	// Silent passes nothing and closes nothing.
	Silent
	// OneWay passes requests on and holds responses back.
	OneWay
)

const (
	// linkDelay is the delay of each read on a delayed link.
	linkDelay = 40 * time.Millisecond
	// linkLook is the time between two looks whether a held link passes again.
	linkLook = 5 * time.Millisecond
	// linkBuffer is the size in bytes of one read.
	linkBuffer = 16 << 10
)

// Link passes TCP connections to a target and injects faults between them. It
// is safe for concurrent use.
type Link struct {
	mu       sync.Mutex
	target   string
	listener net.Listener
	fault    LinkFault
	open     map[net.Conn]bool
	closed   chan struct{}
}

// NewLink listens on loopback before the target.
func NewLink(target string) (*Link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "listen for a link")
	}
	l := &Link{target: target, listener: listener, open: make(map[net.Conn]bool), closed: make(chan struct{})}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go l.serve(c)
		}
	}()
	return l, nil
}

// Address returns the host:port that the link listens on.
func (l *Link) Address() string { return l.listener.Addr().String() }

// SetFault sets how the link misbehaves from now on.
func (l *Link) SetFault(fault LinkFault) {
	l.mu.Lock()
	l.fault = fault
	var broken []net.Conn
	if fault == Refusing {
		for c := range l.open {
			broken = append(broken, c)
		}
	}
	l.mu.Unlock()
	for _, c := range broken {
		reset(c)
	}
}

// Close ends the link and its connections.
func (l *Link) Close() {
	close(l.closed)
	_ = l.listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		_ = c.Close()
	}
}

func (l *Link) current() LinkFault {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fault
}

func (l *Link) serve(c net.Conn) {
	if l.current() == Refusing {
		reset(c)
		return
	}
	up, err := net.Dial("tcp", l.target)
	if err != nil {
		reset(c)
		return
	}
	l.mu.Lock()
	l.open[c], l.open[up] = true, true
	l.mu.Unlock()
	done := make(chan struct{}, 2)
	go func() { l.copy(up, c, false); done <- struct{}{} }()
	go func() { l.copy(c, up, true); done <- struct{}{} }()
	<-done
	<-done
	l.mu.Lock()
	delete(l.open, c)
	delete(l.open, up)
	l.mu.Unlock()
	_ = c.Close()
	_ = up.Close()
}

// copy passes bytes on until one side ends; the other is then closed alike.
func (l *Link) copy(to, from net.Conn, response bool) {
	buffer := make([]byte, linkBuffer)
	for {
		n, err := from.Read(buffer)
		if !l.hold(response) {
			return
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				_ = from.Close()
				return
			}
		}
		if err != nil && !errors.Is(err, io.EOF) {
			// A connection that was reset must not look as if it had ended.
			reset(to)
			return
		}
		if err != nil {
			if half, ok := to.(*net.TCPConn); ok {
				_ = half.CloseWrite()
			}
			return
		}
	}
}

// hold waits as the fault in force asks. It tells whether to go on.
func (l *Link) hold(response bool) bool {
	for {
		switch l.current() {
		case Delayed:
			time.Sleep(linkDelay)
			return true
		case Silent:
		case OneWay:
			if !response {
				return true
			}
		default:
			return true
		}
		select {
		case <-l.closed:
			return false
		case <-time.After(linkLook):
		}
	}
}

// reset closes a connection so that its peer gets a reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
