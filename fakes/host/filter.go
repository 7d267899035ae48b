package host

import (
	"encoding/binary"
	"net"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

const (
	// sourceOffset is where a socket filter finds the source address of a packet: 12 bytes
	// from the start of the IP header, which is at the offset SKF_NET_OFF.
	sourceOffset = 0xfff00000 + 12
	// acceptAll is the result of a filter that keeps the whole packet.
	acceptAll = 0xffffffff
)

// dropNew makes a listener drop the packets of new connections from the addresses, so that
// connecting hangs there. Open connections are not affected.
func dropNew(listener net.Listener, sources []string) error {
	tcp, ok := listener.(*net.TCPListener)
	if !ok {
		return eris.Errorf("listener %v is not TCP", listener.Addr())
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return eris.Wrap(err, "get socket of listener")
	}
	program := []unix.SockFilter{{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_ABS, K: sourceOffset}}
	for _, source := range sources {
		ip := net.ParseIP(source).To4()
		if ip == nil {
			return eris.Errorf("source %q is no IPv4 address", source)
		}
		program = append(program,
			unix.SockFilter{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, Jf: 1, K: binary.BigEndian.Uint32(ip)},
			unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: 0},
		)
	}
	program = append(program, unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: acceptAll})
	var failed error
	err = raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: uint16(len(program)), Filter: &program[0]})
	})
	if err == nil {
		err = failed
	}
	return eris.Wrap(err, "attach filter to listener")
}
