package admit

import "time"

// Load is what a request meets at a queue.
type Load struct {
	// Ahead is how many requests are served before it.
	Ahead int
	// Running is how many requests are in service now.
	Running int
	// Limit is how many requests may be in service at once, 0 if no replica is ready.
	Limit int
	// Service is the expected time of one request in service, 0 if unknown.
	Service time.Duration
	// ReadyIn is the expected time until a replica is ready, 0 if one is.
	ReadyIn time.Duration
}

// Expect returns the time until the request is expected to be finished.
func Expect(load Load) time.Duration {
	limit := max(load.Limit, 1)
	before := load.Ahead + load.Running
	rounds := 0.0
	if before >= limit {
		rounds = float64(before-limit+1) / float64(limit)
	}
	queueing := time.Duration(rounds * float64(load.Service))
	return load.ReadyIn + queueing + load.Service
}
