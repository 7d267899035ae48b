package admit

import "time"

// Policy is how requests are ordered and whether hopeless ones are refused.
type Policy struct {
	key    func(ticket Ticket) time.Time
	refuse bool
}

// Deadline refuses what can't finish in time and orders by priority and age.
func Deadline() Policy {
	return Policy{refuse: true, key: func(t Ticket) time.Time {
		return t.Arrived.Add(time.Duration(t.Priority) * ageStep)
	}}
}

// FIFO serves in order of arrival and refuses nothing; a baseline.
func FIFO() Policy {
	return Policy{key: func(t Ticket) time.Time { return t.Arrived }}
}

// EDF serves the earliest deadline first and refuses nothing; a baseline.
func EDF() Policy {
	return Policy{key: func(t Ticket) time.Time { return t.Deadline }}
}

// Lookup returns the policy of a name, Deadline for an unknown one.
func Lookup(name string) Policy {
	switch name {
	case "fifo":
		return FIFO()
	case "edf":
		return EDF()
	default:
		return Deadline()
	}
}
