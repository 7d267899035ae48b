package site

import "time"

// Wait is what an answer of an upstream that turns a request away states of the time for
// which the upstream wants no more requests from this instance.
type Wait struct {
	// Named means that the answer names the time For.
	Named bool
	For   time.Duration
	// Invalid is what the answer names instead of a valid time. Such an answer states
	// nothing.
	Invalid string
}
