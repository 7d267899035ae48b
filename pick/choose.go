package pick

import (
	"slices"
	"time"

	cardamom "cardamomcourse.example/cardamom"
)

// holdPercent is the percentage of the target for the first event until which this
// event must be expected for a prompt to be held back. The rest allows for waits that
// are longer than expected.
const holdPercent = 50

// soonestMargin is how much later than at the best candidate a prompt may be read. A cached
// part of a prompt saves about as much.
const soonestMargin = 150 * time.Millisecond

// Request is what the choice of an upstream depends on besides the candidates.
type Request struct {
	// Prefix identifies the part of the prompt that other requests may share.
	Prefix string
	// Tokens is the size of the prompt, 0 if the request has none.
	Tokens int
	// Window is how many prompt tokens may be sent to one engine at a time, 0 if that
	// is not limited.
	Window int
	// Age is the time since the request arrived, Target the time from then in which its
	// first event is due.
	Age    time.Duration
	Target time.Duration
	// Remaining is how much longer the caller waits for the next event.
	Remaining time.Duration
}

// Action is what to do with a request.
type Action uint8

// The actions.
const (
	// Absent means that there is no candidate.
	Absent Action = iota
	// Send means that the request is to be sent to the chosen upstream.
	Send
	// SendAgain means the same for an upstream that failed or rejected the request
	// before, because there is no other.
	SendAgain
	// Hold means that the prompt is to be held back for a moment, since all engines
	// just got as many prompts as they read without long gaps in their streams.
	Hold
	// Full means that no upstream has a free slot.
	Full
	// TooSlow means that no upstream would send the first event in time.
	TooSlow
)

// Choice is the action for a request, and the upstream to send it to.
type Choice struct {
	Action   Action
	Upstream cardamom.UpstreamID
}

// Choose decides what to do with a request, given the upstreams that could run it.
//
// It answers bursts of prompts for models with few replicas: a request that no upstream
// would serve in time is not sent, and prompts that come together are spread over
// engines and time as far as their target allows.
//
// Upstreams with a rate limit are used only if no other serves the request.
func Choose(r Request, candidates []Candidate) Choice {
	var free, limited []Candidate
	for _, c := range candidates {
		if c.RateLimited {
			limited = append(limited, c)
		} else {
			free = append(free, c)
		}
	}
	choice := choose(r, free)
	if len(limited) == 0 || choice.Action == Send || choice.Action == SendAgain || choice.Action == Hold {
		return choice
	}
	return choose(r, limited)
}

// choose decides among upstreams of which none is to be preferred.
func choose(r Request, candidates []Candidate) Choice {
	if len(candidates) == 0 {
		return Choice{Action: Absent}
	}
	var fresh, avoided []Candidate
	for _, c := range candidates {
		switch {
		case c.Expected > r.Remaining:
		case c.Avoided:
			avoided = append(avoided, c)
		default:
			fresh = append(fresh, c)
		}
	}
	action, usable := Send, fresh
	if len(usable) == 0 {
		action, usable = SendAgain, avoided
	}
	if len(usable) == 0 {
		return Choice{Action: TooSlow}
	}
	if open := withinWindow(r, usable); len(open) > 0 {
		usable = open
	} else if r.Age+soonest(usable) < r.Target*holdPercent/100 {
		return Choice{Action: Hold}
	}
	id, ok := Best(usable, r.Prefix)
	if !ok {
		return Choice{Action: Full}
	}
	return Choice{action, id}
}

// soonest returns the least time to a first event that is expected of a candidate.
func soonest(candidates []Candidate) time.Duration {
	least := candidates[0].Expected
	for _, c := range candidates[1:] {
		least = min(least, c.Expected)
	}
	return least
}

// Soonest returns the candidates without those that are expected to read a prompt much later than
// another that could be sent it now. It leaves the choice between the two kinds to Choose.
func Soonest(candidates []Candidate) []Candidate {
	var ready []Candidate
	for _, c := range candidates {
		if c.isReady() {
			ready = append(ready, c)
		}
	}
	if len(ready) == 0 {
		return candidates
	}
	latest := soonest(ready) + soonestMargin
	return slices.DeleteFunc(slices.Clone(candidates), func(c Candidate) bool { return c.isReady() && c.Expected > latest })
}

// isReady reports whether nothing but the time to the first event speaks against the candidate.
func (c Candidate) isReady() bool { return !c.Full() && !c.Avoided && !c.Suspended && !c.RateLimited }

// withinWindow returns the candidates that may be sent the request's prompt now. One
// prompt at a time is always allowed.
func withinWindow(r Request, candidates []Candidate) []Candidate {
	if r.Window <= 0 || r.Tokens <= 0 {
		return candidates
	}
	var open []Candidate
	for _, c := range candidates {
		if c.RecentTokens == 0 || c.RecentTokens+r.Tokens <= r.Window {
			open = append(open, c)
		}
	}
	return open
}
