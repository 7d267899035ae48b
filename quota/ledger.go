package quota

import (
	"sync"
	"time"
)

const (
	// ledgerRetention is how long the coordinator keeps the account of an organisation
	// without requests. A full bucket refills in the burst's time, usually a second.
	ledgerRetention = time.Minute
	// minPromisedShare is the least share by which refused requests are told when to come
	// back: a smaller one lasts for a moment only.
	minPromisedShare = 0.25
	// firstLevelPercent is the percentage of the burst that a new account has. No instance
	// has credit for about as long before another one coordinates.
	firstLevelPercent = 50
	// smallPercent is the percentage of what a quota allows in a second up to which an amount is
	// small, and smallSharePercent that of the rate that small amounts may take past requests
	// that wait. Quotas are kept to a tenth.
	smallPercent      = 2
	smallSharePercent = 5
	// maxPromised bounds how far ahead refused requests are told to come back.
	maxPromised = maxRetryAfter
)

// Allowance is the quota of an organisation as of a version of the catalog.
type Allowance struct {
	organisation string
	version      uint64
	perSecond    float64
	burst        float64
}

// NewAllowance returns an allowance of so much a second and at once, in the unit of the
// quota.
func NewAllowance(organisation string, version uint64, perSecond, burst float64) Allowance {
	return Allowance{organisation, version, perSecond, burst}
}

// Organisation returns the organisation's name.
func (a Allowance) Organisation() string { return a.organisation }

// Version returns the version of the catalog.
func (a Allowance) Version() uint64 { return a.version }

// PerSecond returns the rate in the unit of the quota a second.
func (a Allowance) PerSecond() float64 { return a.perSecond }

// Burst returns what may be used at once.
func (a Allowance) Burst() float64 { return a.burst }

// Ledger has the coordinator's token buckets of organisations. A new ledger's buckets are
// half empty, or emptier if instances know of a lower level from the ledger before it (Learn).
// A request is granted as
// soon as its bucket isn't overdrawn, whatever its size, so that no size is starved. Requests
// with a small amount, such as look-ups, pass those that wait, up to a twentieth of the rate:
// they can't wait as long, and the others would hardly notice. So the
// sum of what is granted in a time is at most the rate for that time, the burst, one
// request and a tenth of what the rate is for a second. It is safe for concurrent use.
type Ledger struct {
	mu    sync.Mutex
	share float64
	// heard is the part of the instances that were heard, of 1: the part of the first level that
	// accounts have.
	heard    float64
	accounts map[string]*account
	pruned   time.Time
}

// account is the token bucket of one organisation.
type account struct {
	allowance Allowance
	level     float64
	// small is what small amounts may take while the bucket is overdrawn.
	small  float64
	filled time.Time
	// promised is the time up to which refused requests were told to come back.
	promised time.Time
	asked    time.Time
	// began is when the account began, with the level first: half of the burst, as far as
	// instances were heard, and most if that is less. At most so much was left by the levels of
	// the ledger before it, less what instances had not told that one.
	began  time.Time
	first  float64
	half   float64
	most   float64
	untold float64
	// spilled is what the bucket has earned since and had no room for.
	spilled float64
}

// NewLedger returns a ledger without accounts.
func NewLedger() *Ledger { return &Ledger{share: 1, heard: 1, accounts: make(map[string]*account)} }

// SetHeard sets the part of the instances that have told their levels, from 0 to 1. The others may
// know of lower ones.
func (l *Ledger) SetHeard(heard float64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	heard = min(max(heard, 0), 1)
	if heard == l.heard {
		return
	}
	l.heard = heard
	for _, a := range l.accounts {
		l.fill(a, now)
		a.begin(heard)
	}
}

// SetShare sets the part of each rate that the ledger may grant, from 0 to 1. The rest
// belongs to instances that grant their own part.
func (l *Ledger) SetShare(share float64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if share == l.share {
		return
	}
	for _, a := range l.accounts {
		l.fill(a, now)
	}
	l.share = min(max(share, 0), 1)
}

// Ask grants an amount from a time on that is no later than the request's patience, or
// returns what is left in the bucket and when the request may come back. Requests that are
// refused are told different times, one after the other.
func (l *Ledger) Ask(allowance Allowance, amount float64, patience time.Duration, now time.Time) (granted bool, left float64, wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(allowance, now)
	if a.level >= 0 || a.takeSmall(amount) {
		a.level -= amount
		return true, a.level, 0
	}
	rate := max(a.allowance.perSecond*max(l.share, minPromisedShare), 1)
	refill := time.Duration(-a.level / rate * float64(time.Second))
	if refill <= patience {
		// The request is the last of those that wait for the bucket to be filled.
		a.level -= amount
		return true, a.level, refill
	}
	refilled := now.Add(refill)
	if a.promised.Before(refilled) {
		a.promised = refilled
	}
	wait = min(a.promised.Sub(now), maxPromised)
	a.promised = now.Add(min(wait+time.Duration(amount/rate*float64(time.Second)), maxPromised))
	return false, a.level, wait
}

// Debit takes an amount that was granted elsewhere, and returns what is left: nothing more may be
// granted while it is negative.
func (l *Ledger) Debit(allowance Allowance, amount float64, now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(allowance, now)
	a.level -= amount
	return a.level
}

// Learn corrects the accounts by levels that an instance knows from the ledger before. After gap
// without a ledger the instances granted their own parts.
func (l *Ledger) Learn(levels []Level, gap time.Duration, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, level := range levels {
		a := l.account(level.allowance, now)
		a.learn(level, gap)
		a.begin(l.heard)
	}
}

// Earn adds what a part of each rate, from 0 to 1, has earned for a time until now.
func (l *Ledger) Earn(part float64, earned time.Duration, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range l.accounts {
		l.fill(a, now)
		a.earn(a.allowance.perSecond * part * min(earned, now.Sub(a.began)).Seconds())
	}
}

// Levels returns the levels of all accounts.
func (l *Ledger) Levels(now time.Time) []Level {
	l.mu.Lock()
	defer l.mu.Unlock()
	levels := make([]Level, 0, len(l.accounts))
	for _, a := range l.accounts {
		l.fill(a, now)
		levels = append(levels, NewLevel(a.allowance, a.level, now, 0))
	}
	return levels
}

// learn records what a level says of the ledger before. After gap without a ledger the instances
// granted their own parts.
func (a *account) learn(level Level, gap time.Duration) {
	if !level.at.After(a.began) {
		a.most = min(a.most, level.after(min(a.began.Sub(level.at), gap)))
	}
	a.untold += level.untold
}

// begin makes the account as if it had begun with what is known of the ledger before by now.
func (a *account) begin(heard float64) {
	first := min(a.half*heard, a.most-a.untold)
	change := first - a.first
	a.first = first
	if change >= 0 {
		a.raise(change)
		return
	}
	// A bucket that has overflowed since would have overflowed by so much less.
	a.level += min(a.spilled+change, 0)
	a.spilled = max(a.spilled+change, 0)
}

// account returns an organisation's account as of now, under the newest allowance.
func (l *Ledger) account(allowance Allowance, now time.Time) *account {
	l.prune(now)
	a, ok := l.accounts[allowance.organisation]
	if !ok {
		half := allowance.burst * firstLevelPercent / 100
		a = &account{allowance: allowance, filled: now, began: now, half: half, most: allowance.burst}
		a.begin(l.heard)
		l.accounts[allowance.organisation] = a
	}
	l.fill(a, now)
	if allowance.version > a.allowance.version {
		a.allowance = allowance
		a.level = min(a.level, allowance.burst)
	}
	a.asked = now
	return a
}

// fill adds what an account has earned since it was last filled.
func (l *Ledger) fill(a *account, now time.Time) {
	if !now.After(a.filled) {
		return
	}
	a.earn(a.allowance.perSecond * l.share * now.Sub(a.filled).Seconds())
	a.filled = now
}

// earn adds what an account has earned.
func (a *account) earn(amount float64) {
	a.raise(amount)
	a.small = min(a.small+amount*smallSharePercent/100, a.allowance.perSecond*smallSharePercent/100)
}

// raise adds an amount as far as the bucket has room.
func (a *account) raise(amount float64) {
	a.spilled += max(a.level+amount-a.allowance.burst, 0)
	a.level = min(a.level+amount, a.allowance.burst)
}

// takeSmall reports whether an amount is small and may pass requests that wait.
func (a *account) takeSmall(amount float64) bool {
	if amount > a.allowance.perSecond*smallPercent/100 || amount > a.small {
		return false
	}
	a.small -= amount
	return true
}

// prune drops the accounts of organisations without requests. Their buckets would be full,
// and start empty.
func (l *Ledger) prune(now time.Time) {
	if now.Sub(l.pruned) < ledgerRetention {
		return
	}
	l.pruned = now
	for name, a := range l.accounts {
		if now.Sub(a.asked) > ledgerRetention {
			delete(l.accounts, name)
		}
	}
}
