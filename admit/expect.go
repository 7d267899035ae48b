package admit

import "time"

// QueueState is the state of a queue as a new request finds it.
type QueueState struct {
	// Ahead is how many waiting requests are served before the new one.
	Ahead int
	// Running is how many requests are in service now.
	Running int
	// Limit is how many requests may be in service at once, 0 if no replica is ready.
	Limit int
	// ServiceTime is the average service time of a request, 0 if unknown.
	ServiceTime time.Duration
	// ReadyIn is the expected time until a replica is ready, 0 if one is.
	ReadyIn time.Duration
}

// ExpectedLatency returns the expected time until the request is finished.
func ExpectedLatency(state QueueState) time.Duration {
	limit := max(state.Limit, 1)
	ahead := state.Ahead + state.Running
	rounds := 0.0
	if ahead >= limit {
		rounds = float64(ahead-limit+1) / float64(limit)
	}
	queueing := time.Duration(rounds * float64(state.ServiceTime))
	return state.ReadyIn + queueing + state.ServiceTime
}
