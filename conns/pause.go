package conns

import (
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"cardamomcourse.example/cardamom/framed"
)

// pauseCheckInterval is the time between two looks at a connection on which a body is being
// sent: several in the user timeout, which would end the connection.
const pauseCheckInterval = 500 * time.Millisecond

// sendState is what the system tells of the bytes that are to be sent on a connection.
type sendState struct {
	// unsent and unacknowledged mean that there are such bytes.
	unsent         bool
	unacknowledged bool
	// probing means that a probe of the peer's closed window has no answer yet.
	probing bool
}

// pause decides whether a peer that takes no bytes pauses reading or is gone.
//
// TCP_USER_TIMEOUT ends both connections. A peer that pauses reading has closed its window and
// acknowledges each probe of it; a peer behind a partition acknowledges nothing.
type pause struct {
	// silentSince is when a probe was first seen without an answer, zero if none is.
	silentSince time.Time
}

// decide returns whether the peer pauses, and whether it has been silent for so long while it
// did that the connection is lost.
func (p *pause) decide(state sendState, now time.Time) (pauses, lost bool) {
	pauses = state.unsent && !state.unacknowledged
	switch {
	case !pauses || !state.probing:
		p.silentSince = time.Time{}
	case p.silentSince.IsZero():
		p.silentSince = now
	}
	return pauses, !p.silentSince.IsZero() && now.Sub(p.silentSince) >= userTimeout
}

// sending looks after a connection while a large body is sent on it: while the peer pauses
// reading, the user timeout is off.
type sending struct {
	conn  net.Conn
	raw   syscall.RawConn
	mu    sync.Mutex
	timer *time.Timer
	pause pause
	// patient means that the user timeout is off.
	patient bool
	// written means that the whole body was handed to the system.
	written bool
	ended   bool
}

// lookAfter starts to look after a connection. The result is nil if it can't.
func lookAfter(c *framed.Conn) *sending {
	raw, err := c.SyscallConn()
	if err != nil {
		return nil
	}
	s := &sending{conn: c, raw: raw}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timer = time.AfterFunc(pauseCheckInterval, func() { s.look(time.Now()) })
	return s
}

// look adapts the user timeout to what the peer does.
func (s *sending) look(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return
	}
	state, err := s.state()
	if err != nil {
		return
	}
	pauses, lost := s.pause.decide(state, now)
	if lost {
		_ = s.conn.SetDeadline(time.Unix(1, 0))
		return
	}
	s.setPatient(pauses)
	if !s.written || state.unsent || state.unacknowledged {
		s.timer.Reset(pauseCheckInterval)
	}
}

// state asks the system for the state of the connection.
func (s *sending) state() (sendState, error) {
	var info *unix.TCPInfo
	var failed error
	err := s.raw.Control(func(fd uintptr) { info, failed = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	if err == nil {
		err = failed
	}
	if err != nil {
		return sendState{}, err
	}
	return sendState{unsent: info.Notsent_bytes > 0, unacknowledged: info.Unacked > 0, probing: info.Probes > 0}, nil
}

// setPatient switches the user timeout off or on.
func (s *sending) setPatient(patient bool) {
	if patient == s.patient {
		return
	}
	timeout := userTimeout
	if patient {
		timeout = 0
	}
	if setUserTimeoutTo(s.raw, timeout) == nil {
		s.patient = patient
	}
}

// wrote records that the whole body was handed to the system.
func (s *sending) wrote() {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.written = true
}

// end stops looking after the connection.
func (s *sending) end() {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	s.timer.Stop()
	s.setPatient(false)
}
