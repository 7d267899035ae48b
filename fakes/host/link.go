package host

import (
	"context"
	"errors"
	"io"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// LinkFault is the fault of a link between two processes.
type LinkFault uint8

// Faults of a link.
const (
	// NoLinkFault forwards bytes without a fault.
	NoLinkFault LinkFault = iota
	// Delayed forwards bytes after linkDelay.
	Delayed
	// Resetting resets each connection, including open ones.
	Resetting
	// Silent forwards nothing and closes nothing.
	Silent
	// OneWay forwards requests and holds responses back.
	OneWay
	// Hanging forwards bytes on open connections, and new ones from the address that is cut
	// off are never accepted.
	Hanging
)

const (
	// linkDelay is the delay after each read on a delayed link.
	linkDelay = 40 * time.Millisecond
	// linkPoll is the interval at which a blocked link checks its fault again.
	linkPoll = 5 * time.Millisecond
	// linkBufferBytes is the maximum size of one read.
	linkBufferBytes = 16 << 10
)

// Link forwards TCP connections to a target and injects faults. It is safe for
// concurrent use.
type Link struct {
	mu       sync.Mutex
	target   string
	listener net.Listener
	fault    LinkFault
	// cut are the faults for connections from an address, in place of fault.
	cut map[string]LinkFault
	// resumed are the times at which the link went on after it was silent.
	resumed   []time.Time
	open      map[net.Conn]bool
	closed    chan struct{}
	closeOnce sync.Once
}

// NewLink returns a link that listens on loopback and forwards to the target.
func NewLink(target string) (*Link, error) {
	// Multipath TCP has no filters.
	config := net.ListenConfig{}
	config.SetMultipathTCP(false)
	listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "listen for link")
	}
	l := &Link{target: target, listener: listener, cut: make(map[string]LinkFault), open: make(map[net.Conn]bool), closed: make(chan struct{})}
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

// ResumedWithin reports whether the link went on after a silence within the span before
// a time: what it had held back arrived then.
func (l *Link) ResumedWithin(span time.Duration, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.ContainsFunc(l.resumed, func(at time.Time) bool { return !now.Before(at) && now.Sub(at) < span })
}

// SetFault replaces the link's fault.
func (l *Link) SetFault(fault LinkFault) {
	l.mu.Lock()
	if l.fault == Silent && fault != Silent {
		l.resumed = append(l.resumed, time.Now())
	}
	l.fault = fault
	var broken []net.Conn
	if fault == Resetting {
		for c := range l.open {
			broken = append(broken, c)
		}
	}
	l.mu.Unlock()
	for _, c := range broken {
		reset(c)
	}
}

// Cut replaces the fault for connections from an address, which a process binds its
// connections to. NoLinkFault ends it. New connections hang while it is Silent or Hanging.
func (l *Link) Cut(source string, fault LinkFault) error {
	l.mu.Lock()
	delete(l.cut, source)
	if fault != NoLinkFault {
		l.cut[source] = fault
	}
	var hanging []string
	for address, cut := range l.cut {
		if cut == Silent || cut == Hanging {
			hanging = append(hanging, address)
		}
	}
	filtered := dropNew(l.listener, hanging)
	var broken []net.Conn
	if fault == Resetting {
		for c := range l.open {
			if sourceOf(c) == source {
				broken = append(broken, c)
			}
		}
	}
	l.mu.Unlock()
	for _, c := range broken {
		reset(c)
	}
	return filtered
}

// sourceOf returns the address from which a connection was made.
func sourceOf(c net.Conn) string {
	source, _, err := net.SplitHostPort(c.RemoteAddr().String())
	if err != nil {
		return ""
	}
	return source
}

// Close stops the link and closes its connections.
func (l *Link) Close() {
	l.closeOnce.Do(func() { close(l.closed) })
	_ = l.listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		_ = c.Close()
	}
}

// current returns the fault for connections from an address.
func (l *Link) current(source string) LinkFault {
	l.mu.Lock()
	defer l.mu.Unlock()
	if fault, ok := l.cut[source]; ok {
		return fault
	}
	return l.fault
}

func (l *Link) serve(c net.Conn) {
	source := sourceOf(c)
	if l.current(source) == Resetting {
		reset(c)
		return
	}
	upstream, err := net.Dial("tcp", l.target)
	if err != nil {
		reset(c)
		return
	}
	l.mu.Lock()
	l.open[c], l.open[upstream] = true, true
	l.mu.Unlock()
	done := make(chan struct{}, 2)
	go func() { l.copy(upstream, c, source, false); done <- struct{}{} }()
	go func() { l.copy(c, upstream, source, true); done <- struct{}{} }()
	<-done
	<-done
	l.mu.Lock()
	delete(l.open, c)
	delete(l.open, upstream)
	l.mu.Unlock()
	_ = c.Close()
	_ = upstream.Close()
}

// copy forwards bytes until from is half-closed or reset, and then half-closes or
// resets to as well.
func (l *Link) copy(to, from net.Conn, source string, response bool) {
	buffer := make([]byte, linkBufferBytes)
	for {
		n, err := from.Read(buffer)
		if !l.wait(source, response) {
			return
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				_ = from.Close()
				return
			}
		}
		if err != nil && !errors.Is(err, io.EOF) {
			// The other side must not take a reset for a regular end.
			reset(to)
			return
		}
		if err != nil {
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		}
	}
}

// wait delays or blocks as the current fault requires. It reports whether the link
// is still open.
func (l *Link) wait(source string, response bool) bool {
	for {
		switch l.current(source) {
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
		case <-time.After(linkPoll):
		}
	}
}

// reset closes a connection so that its peer gets a TCP reset.
func reset(c net.Conn) {
	if l, ok := c.(lingerer); ok {
		_ = l.SetLinger(0)
	}
	_ = c.Close()
}

// lingerer is a connection whose Close can be made to reset it.
type lingerer interface{ SetLinger(seconds int) error }
