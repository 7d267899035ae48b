package entry

import "sync"

const (
	// retryRatio is how many tokens each first attempt adds. A retry costs one.
	retryRatio = 0.1
	// maxRetryTokens is the capacity of the budget in retries.
	maxRetryTokens = 20
)

// budget limits retries to a share of the first attempts, so that retries can't
// amplify an overload.
type budget struct {
	mu     sync.Mutex
	tokens float64
}

func newBudget() *budget { return &budget{tokens: maxRetryTokens} }

// deposit counts a first attempt.
func (b *budget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+retryRatio, maxRetryTokens)
}

// withdraw takes a token for a retry and reports whether there was one.
func (b *budget) withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
