package conns

import (
	"context"
	"errors"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// userTimeout is how long written bytes may stay unacknowledged, as in a network
// partition, before the connection fails. The system also ends a connection whose peer has
// closed its window for so long; see pause.
const userTimeout = 2500 * time.Millisecond

// setUserTimeout sets TCP_USER_TIMEOUT on a connection.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	return setUserTimeoutTo(raw, userTimeout)
}

// setUserTimeoutTo sets it to a time, 0 for the system's own.
func setUserTimeoutTo(raw syscall.RawConn, timeout time.Duration) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// reusable reports whether an idle connection is open and has nothing to read.
// Bytes that arrive before the next request can't belong to its response.
func reusable(c syscall.Conn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, peekErr := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = peekErr == unix.EAGAIN
		return true
	})
	return err == nil && open
}

// State is what an address shows of the process that listens there.
type State uint8

const (
	// Listening means that a connection can be opened.
	Listening State = iota + 1
	// Refusing means that the host answers and no process listens.
	Refusing
	// Silent means that nothing answers.
	Silent
)

// Probe opens a TCP connection to the address to find out whether a process listens.
func (p *Pool) Probe(ctx context.Context, address string) State {
	c, err := p.dialer().DialContext(ctx, "tcp", address)
	switch {
	case err == nil:
		_ = c.Close()
		return Listening
	case errors.Is(err, unix.ECONNREFUSED):
		return Refusing
	default:
		return Silent
	}
}

// keepTime is how long a connection has to stay open to count as kept: a reset follows its
// acceptance at once.
const keepTime = 30 * time.Millisecond

// Keeps reports whether a connection to the address can be opened and is not closed or reset
// at once.
func (p *Pool) Keeps(ctx context.Context, address string) bool {
	c, err := p.dialer().DialContext(ctx, "tcp", address)
	if err != nil {
		return false
	}
	defer c.Close()
	if err := c.SetReadDeadline(time.Now().Add(keepTime)); err != nil {
		return false
	}
	_, err = c.Read(make([]byte, 1))
	return err == nil || errors.Is(err, os.ErrDeadlineExceeded)
}
