// Package pick decides whether a request is sent now, and to which upstream.
//
// It is designed for few replicas of a model, prompts that share a prefix or come in
// bursts, and upstreams that fail part of their requests.
//
// # Usage
//
//	choice := pick.Choose(pick.Request{Prefix: info.SharedPrefix, Remaining: remaining}, candidates)
//	switch choice.Action {
//	case pick.Send:
//	    // send it to choice.Upstream
//	case pick.Hold:
//	    // ask again a moment later
//	}
package pick

import (
	"time"

	"github.com/cespare/xxhash/v2"

	cardamom "cardamomcourse.example/cardamom"
)

const (
	// failureRateWeight is how many requests in flight a failure rate of 1 counts
	// as.
	failureRateWeight = 16.0
	// otherFailureWeight is how many requests in flight a failure reported by
	// another instance counts as.
	otherFailureWeight = 0.7
	// otherDataCentreWeight is how many requests in flight a location in another data
	// centre counts as.
	otherDataCentreWeight = 0.6
	// prefixWeight is how many more requests in flight the upstream that is
	// preferred for the prefix of the prompt may have.
	prefixWeight = 4.0
	// firstEventWeight is how many requests in flight each second until the first
	// event counts as, beyond usualFirstEvent.
	firstEventWeight = 12.0
	// usualFirstEvent is the usual time to read a prompt.
	usualFirstEvent = 300 * time.Millisecond
	// suspendedWeight ranks unreachable upstreams behind all others.
	suspendedWeight = 1000.0
)

// Candidate is an upstream that could run a request.
type Candidate struct {
	ID      cardamom.UpstreamID
	Running int
	// Limit is how many requests it may have in flight; 0 means no limit.
	Limit       int
	FailureRate float64
	// OtherFailures is how many recent failures other instances reported.
	OtherFailures  int
	Suspended      bool
	SameDataCentre bool
	// Expected is how long the first event is expected to take.
	Expected time.Duration
	// RecentTokens are the prompt tokens that this instance sent to it just now.
	RecentTokens int
	// RateLimited means that it names a rate limit, so that it may look idle though it
	// takes no more.
	RateLimited bool
	// Avoided means that it failed or rejected the request before.
	Avoided bool
}

// Full reports whether the candidate can run no further request now.
func (c Candidate) Full() bool { return c.Limit > 0 && c.Running >= c.Limit }

// Best returns the candidate for a prompt with the given prefix, and false if
// all are full.
func Best(candidates []Candidate, prefix string) (cardamom.UpstreamID, bool) {
	preferredID := preferred(candidates, prefix)
	best, least := cardamom.UpstreamID(""), 0.0
	for _, c := range candidates {
		if c.Full() {
			continue
		}
		score := float64(c.Running) + failureRateWeight*c.FailureRate + otherFailureWeight*float64(c.OtherFailures)
		score += firstEventWeight * max(c.Expected-usualFirstEvent, 0).Seconds()
		if !c.SameDataCentre {
			score += otherDataCentreWeight
		}
		if c.ID == preferredID {
			score -= prefixWeight
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

// preferred returns the candidate that all instances prefer for the prefix, by
// rendezvous hashing.
func preferred(candidates []Candidate, prefix string) cardamom.UpstreamID {
	if prefix == "" || len(candidates) < 2 {
		return ""
	}
	var best cardamom.UpstreamID
	var highest uint64
	for _, c := range candidates {
		if weight := xxhash.Sum64String(prefix + "|" + string(c.ID)); best == "" || weight > highest {
			best, highest = c.ID, weight
		}
	}
	return best
}
