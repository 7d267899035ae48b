package site

// RateLimit is what an answer of an upstream states of its rate limit: how many
// requests a second it takes from all instances together.
type RateLimit struct {
	// Named means that the answer names the limit PerSecond.
	Named     bool
	PerSecond float64
	// Invalid is what the answer names instead of a valid limit. Such an answer states
	// nothing.
	Invalid string
}
