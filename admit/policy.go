package admit

import "time"

// Policy sets the order of waiting requests and whether those that can't finish
// in time are refused.
type Policy struct {
	sortKey    func(r Request) time.Time
	refuseLate bool
}

// Deadline refuses requests that can't finish in time and orders by priority and age.
func Deadline() Policy {
	return Policy{refuseLate: true, sortKey: func(r Request) time.Time {
		return r.Arrived.Add(time.Duration(r.Priority) * priorityDelay)
	}}
}

// FIFO serves in order of arrival and refuses nothing. It is a baseline for comparison.
func FIFO() Policy {
	return Policy{sortKey: func(r Request) time.Time { return r.Arrived }}
}

// EDF serves the earliest deadline first and refuses nothing. It is a baseline for
// comparison.
func EDF() Policy {
	return Policy{sortKey: func(r Request) time.Time { return r.Deadline }}
}

// PolicyByName returns the policy with the given name, or Deadline() if the name is
// unknown.
func PolicyByName(name string) Policy {
	switch name {
	case "fifo":
		return FIFO()
	case "edf":
		return EDF()
	default:
		return Deadline()
	}
}
