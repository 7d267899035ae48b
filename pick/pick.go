// Package pick chooses the upstream for a request.
//
// The load it answers: few copies of a model, prompts that share parts, and
// upstreams that fail part of their requests.
//
// # Usage
//
//	best, ok := pick.Best(candidates, ask.Shared)
package pick

import (
	"time"

	"github.com/cespare/xxhash/v2"

	cardamom "cardamomcourse.example/cardamom"
)

const (
	// failWeight is how many requests in progress a failure rate of 1 equals.
	failWeight = 16.0
	// otherFailWeight is that for a failure that another instance told of.
	otherFailWeight = 0.7
	// farWeight is how many a distance to another data centre equals.
	farWeight = 0.6
	// sharedWeight is how many requests longer the queue of the upstream that
	// keeps the prompt's shared parts may be.
	sharedWeight = 4.0
	// waitWeight is how many a second until the first event equals, beyond the
	// usual time that a prompt takes to be read.
	waitWeight = 12.0
	usualWait  = 300 * time.Millisecond
	// suspendedWeight puts unreachable upstreams behind all others.
	suspendedWeight = 1000.0
)

// Candidate is an upstream that could run a request.
type Candidate struct {
	ID      cardamom.UpstreamID
	Running int
	// Limit is how many requests it may have in progress; 0 is no limit.
	Limit       int
	FailureRate float64
	// OtherFailures is how many failures other instances told of lately.
	OtherFailures int
	Suspended     bool
	Near          bool
	// Expected is how long the first event is expected to take.
	Expected time.Duration
}

// Full tells whether the candidate takes no further request now.
func (c Candidate) Full() bool { return c.Limit > 0 && c.Running >= c.Limit }

// Best returns the candidate for a prompt that starts with the shared parts,
// and false if none is free.
func Best(candidates []Candidate, shared string) (cardamom.UpstreamID, bool) {
	home := home(candidates, shared)
	best, least := cardamom.UpstreamID(""), 0.0
	for _, c := range candidates {
		if c.Full() {
			continue
		}
		score := float64(c.Running) + failWeight*c.FailureRate + otherFailWeight*float64(c.OtherFailures)
		score += waitWeight * max(c.Expected-usualWait, 0).Seconds()
		if !c.Near {
			score += farWeight
		}
		if c.ID == home {
			score -= sharedWeight
		}
		if c.Suspended {
			score += suspendedWeight
		}
		if best == "" || score < least {
			best, least = c.ID, score
		}
	}
	return best, best != ""
}

// home returns the candidate that all instances prefer for the shared parts.
func home(candidates []Candidate, shared string) cardamom.UpstreamID {
	if shared == "" || len(candidates) < 2 {
		return ""
	}
	var best cardamom.UpstreamID
	var highest uint64
	for _, c := range candidates {
		if weight := xxhash.Sum64String(shared + "|" + string(c.ID)); best == "" || weight > highest {
			best, highest = c.ID, weight
		}
	}
	return best
}
