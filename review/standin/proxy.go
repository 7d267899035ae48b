package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// path carries connections to an address and can be cut: then it is silent in both
// directions, and what was sent meanwhile is lost with its connection.
type path struct {
	mu      sync.Mutex
	cut     bool
	address string
	target  string
	open    map[net.Conn]bool
}

// newPath returns a path to the target.
func newPath(target string) *path {
	listener := listen()
	p := &path{address: listener.Addr().String(), target: target, open: make(map[net.Conn]bool)}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go p.carry(c)
		}
	}()
	return p
}

func (p *path) isCut() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cut
}

// setCut cuts the path or heals it. Connections from the time of the cut are reset as it heals.
func (p *path) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	healed := p.cut && !cut
	p.cut = cut
	if healed {
		for c := range p.open {
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}
	}
}

func (p *path) carry(c net.Conn) {
	p.mu.Lock()
	p.open[c] = true
	p.mu.Unlock()
	defer func() {
		_ = c.Close()
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.open, c)
	}()
	for p.isCut() {
		time.Sleep(20 * time.Millisecond)
	}
	target, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer target.Close()
	go func() {
		p.copy(c, target)
		_ = c.Close()
	}()
	p.copy(target, c)
}

// copy forwards bytes and drops them while the path is cut.
func (p *path) copy(to io.Writer, from io.Reader) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		if p.isCut() {
			// The connection stays open and silent until the path heals.
			for p.isCut() {
				time.Sleep(20 * time.Millisecond)
			}
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}
