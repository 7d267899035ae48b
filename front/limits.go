package front

import (
	"syscall"
	"time"
)

const (
	// Defaults of the settings of callers, which are explained at the fields of
	// callersWire.
	defaultMemoryPercent  = 40
	defaultAddressPercent = 75
	defaultBodyStallMS    = 30000
	defaultWriteStallMS   = 30000

	// otherFiles is the number of descriptors that are kept for listeners, other instances,
	// the store and log files.
	otherFiles = 64
	// filesPerCaller is the number of descriptors that a caller may need: its connection and
	// one to an upstream.
	filesPerCaller = 2
	// leastConnections is the number of connections that callers may always have.
	leastConnections = 16
)

// callersWire are the settings that bound callers.
type callersWire struct {
	// MemoryPercent is the share of memory_mb that heads, bodies, responses and connections of
	// callers may take.
	MemoryPercent float64 `json:"memory_percent"`
	// Connections is the number of connections of callers, 0 for a number that follows from
	// the descriptors and the memory of the process.
	Connections int `json:"connections"`
	// AddressPercent is the share of the connections that one address may have.
	AddressPercent float64 `json:"address_percent"`
	// BodyStallMS is how long a body may stand still.
	BodyStallMS float64 `json:"body_stall_ms"`
	// WriteStallMS is how long a caller may take nothing of its response.
	WriteStallMS float64 `json:"write_stall_ms"`
}

// callerLimits are the bounds on callers.
type callerLimits struct {
	// memory is the size of the account in bytes.
	memory      int64
	connections int
	perAddress  int
	bodyStall   time.Duration
	writeStall  time.Duration
}

// newCallerLimits returns the bounds for a process with so much memory and so many descriptors.
func newCallerLimits(wire callersWire, memoryBytes int64, files uint64) callerLimits {
	l := callerLimits{
		memory:    int64(float64(memoryBytes) * wire.MemoryPercent / 100),
		bodyStall: milliseconds(wire.BodyStallMS), writeStall: milliseconds(wire.WriteStallMS),
	}
	// Connections alone take at most half of the account.
	l.connections = int(l.memory / 2 / connectionBytes)
	if files > 0 {
		// Unlimited descriptors are a number that doesn't fit into an int.
		l.connections = min(l.connections, (int(min(files, 1<<24))-otherFiles)/filesPerCaller)
	}
	if wire.Connections > 0 {
		l.connections = wire.Connections
	}
	l.connections = max(l.connections, leastConnections)
	l.perAddress = max(1, int(float64(l.connections)*wire.AddressPercent/100))
	return l
}

// openFiles returns the number of descriptors that the process may have, 0 if unknown.
func openFiles() uint64 {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil {
		return 0
	}
	return limit.Cur
}
