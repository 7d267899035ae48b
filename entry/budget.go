package entry

import "sync"

const (
	// retryShare is how many retries each first try earns.
	retryShare = 0.1
	// retryReserve is how many retries may be saved up.
	retryReserve = 20
)

// budget bounds retries to a share of first tries, so that retries can't
// multiply an overload.
type budget struct {
	mu      sync.Mutex
	savings float64
}

func newBudget() *budget { return &budget{savings: retryReserve} }

// earn counts a first try.
func (b *budget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.savings = min(b.savings+retryShare, retryReserve)
}

// spend tells whether a retry is within the budget.
func (b *budget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.savings < 1 {
		return false
	}
	b.savings--
	return true
}
