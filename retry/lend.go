package retry

import (
	"time"

	cardamom "cardamomcourse.example/cardamom"
)

// lendPause is for how long a service asks no other instance for credit after those asked
// had too little.
const lendPause = 250 * time.Millisecond

// Credit is credit that one instance gives to another.
type Credit struct {
	amount float64
	earned time.Time
}

// NewCredit returns an amount of credit, in retries, that was earned no earlier than a time.
func NewCredit(amount float64, earned time.Time) Credit { return Credit{amount, earned} }

// Amount returns the credit in retries.
func (c Credit) Amount() float64 { return c.amount }

// Earned returns the time from which on it was earned.
func (c Credit) Earned() time.Time { return c.earned }

// Missing returns how much credit a service lacks for its next retry, to be asked of other
// instances, and 0 if it lacks none or others just had too little.
//
// It answers requests that fail evenly over many instances: each of them earns less than a
// whole retry in the time that credit lasts, though all together earn many.
func (b *Budget) Missing(service cardamom.ServiceID, now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.accrue(now)
	a := b.account(service, now)
	if now.Before(a.askAfter) {
		return 0
	}
	return max(1-b.credit(a), 0)
}

// Lend gives up to so much of a service's credit to another instance, the oldest first. What
// is lent is spent here, whether or not it arrives.
func (b *Budget) Lend(service cardamom.ServiceID, most float64, now time.Time) []Credit {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.accrue(now)
	a := b.account(service, now)
	var lent []Credit
	for i, age := range a.spent.oldestFirst() {
		if age == buckets-1 {
			// It would expire on its way.
			continue
		}
		amount := min(most, b.slack.values[i]+a.earned.values[i]-a.spent.values[i])
		if amount <= rounding {
			continue
		}
		most -= amount
		a.spent.values[i] += amount
		lent = append(lent, Credit{amount, time.Unix(0, (a.spent.bucket-int64(age))*b.bucketLength())})
	}
	return lent
}

// Receive adds the credit that other instances lent to a service, and reports whether it
// suffices for a retry.
func (b *Budget) Receive(service cardamom.ServiceID, credits []Credit, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.accrue(now)
	a := b.account(service, now)
	for _, c := range credits {
		a.earned.addAt(b.bucket(c.earned), c.amount)
	}
	if b.credit(a) < 1-rounding {
		a.askAfter = now.Add(lendPause)
		return false
	}
	return true
}

// credit returns how many retries an account can pay for.
func (b *Budget) credit(a *account) float64 { return b.slack.sum() + a.earned.sum() - a.spent.sum() }
