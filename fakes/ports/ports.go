// Package ports chooses the loopback ports on which started processes listen.
//
// A port is chosen before the process listens on it, and stays free while the process
// is restarted, so that another process that chooses ports could take it meanwhile.
// Each process that uses this package therefore has blocks of ports of its own: it
// listens on the first port of a block for as long as it runs.
//
// # Usage
//
//	address, err := ports.Free()
//	// start a process that listens on address
package ports

import (
	"math/rand/v2"
	"net"
	"strconv"
	"sync"

	"github.com/rotisserie/eris"
)

// The ports are below the kernel's ephemeral port range. Otherwise the kernel could give
// a port to an outgoing connection after the port was chosen and before the process
// listens on it.
const (
	firstPort     = 10000
	portsPerBlock = 500
	blockCount    = 40
)

// Pool chooses ports from blocks that it has reserved.
type Pool struct {
	mu sync.Mutex
	// locks are the listeners on the first ports of the blocks.
	locks  []net.Listener
	blocks []int
	// next is the number of ports that were tried since all blocks were last used up.
	next int
}

// process is the pool of this process.
var process Pool

// Free returns a loopback address that nothing listens on and that no other process
// chooses as long as this one runs.
func Free() (string, error) { return process.Free() }

// Free returns a loopback address from the pool's blocks that nothing listens on. A
// further block is reserved once all ports of the others were chosen; if there is none
// left, they are chosen anew.
func (p *Pool) Free() (string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for tried := 0; tried <= len(p.blocks)*portsPerBlock; tried++ {
		if p.next == len(p.blocks)*(portsPerBlock-1) {
			if !p.reserve() && len(p.blocks) > 0 {
				p.next = 0
			}
		}
		if len(p.blocks) == 0 {
			return "", eris.Errorf("all %d blocks of ports from %d on are in use", blockCount, firstPort)
		}
		block, offset := p.next/(portsPerBlock-1), p.next%(portsPerBlock-1)
		p.next++
		address := loopback(p.blocks[block] + 1 + offset)
		if listener, err := net.Listen("tcp", address); err == nil {
			return address, listener.Close()
		}
	}
	return "", eris.Errorf("no port is free in %d blocks of %d", len(p.blocks), portsPerBlock)
}

// reserve adds a block that no other pool has, and reports whether there is one.
func (p *Pool) reserve() bool {
	for _, n := range rand.Perm(blockCount) {
		first := firstPort + n*portsPerBlock
		if lock, err := net.Listen("tcp", loopback(first)); err == nil {
			p.locks, p.blocks = append(p.locks, lock), append(p.blocks, first)
			return true
		}
	}
	return false
}

// Close gives the blocks back.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, lock := range p.locks {
		_ = lock.Close()
	}
	p.locks, p.blocks, p.next = nil, nil, 0
}

func loopback(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)) }
