package quota

import (
	"sync"
	"time"
)

const (
	// partRetention is how long an instance keeps what it earned of a quota without using
	// it. All instances together may use that much more than the rate at once.
	partRetention = time.Second
	// returnRetention is how long returned credit may be used again. A longer time would
	// move credit from one window of the quota into the next.
	returnRetention = 700 * time.Millisecond
	// maxReturned bounds the credits that are kept.
	maxReturned = 256
)

// Source is who answered a question for credit.
type Source uint8

// The sources.
const (
	// Unanswered means that no coordinator answered.
	Unanswered Source = iota
	// Coordinator means that the coordinator's ledger decided.
	Coordinator
	// Own means that the instance decided by its own part of the quota.
	Own
	// Returned means that credit of a request that did not run was used again.
	Returned
	// Local means that a small amount was granted before the coordinator was told.
	Local
)

// String returns the source's name in logs and metrics.
func (s Source) String() string {
	switch s {
	case Coordinator:
		return "coordinator"
	case Own:
		return "own"
	case Returned:
		return "returned"
	case Local:
		return "local"
	default:
		return "unanswered"
	}
}

// Grant is credit that was granted for a request.
type Grant struct {
	organisation string
	amount       float64
	at           time.Time
}

// NewGrant returns a grant of an amount at a time.
func NewGrant(organisation string, amount float64, at time.Time) Grant {
	return Grant{organisation, amount, at}
}

// Part is an instance's own part of organisations' quotas, for while no coordinator answers,
// and the credit that was returned to it. It is safe for concurrent use.
//
// While an instance is on its own it earns its part of each rate: the rate divided by the
// number of instances. A request takes all that was earned and is granted with the
// probability that this is of its amount. So on average all instances together grant what
// they earn, though a single one of many earns less than one request.
type Part struct {
	mu       sync.Mutex
	draw     func() float64
	since    time.Time
	earned   map[string]time.Time
	returned []Grant
}

// NewPart returns a part. draw returns a random number from 0 to 1.
func NewPart(draw func() float64) *Part {
	return &Part{draw: draw, earned: make(map[string]time.Time)}
}

// Begin records that the instance is on its own from a time on.
func (p *Part) Begin(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.since = now
	clear(p.earned)
}

// Allow reports whether the instance, one of so many, may grant an amount of its own part.
func (p *Part) Allow(allowance Allowance, amount float64, members int, now time.Time) bool {
	if members <= 0 {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	from, ok := p.earned[allowance.organisation]
	if !ok {
		from = p.since
	}
	p.earned[allowance.organisation] = now
	earned := allowance.perSecond / float64(members) * min(now.Sub(from), partRetention).Seconds()
	if earned < amount {
		return p.draw()*amount < earned
	}
	// What is left over stays earned.
	p.earned[allowance.organisation] = now.Add(-time.Duration((earned - amount) / allowance.perSecond * float64(members) * float64(time.Second)))
	return true
}

// Return keeps the credit of a request that no upstream ran, for the next request of the
// same organisation.
func (p *Part) Return(grant Grant, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire(now)
	if len(p.returned) < maxReturned && now.Sub(grant.at) < returnRetention {
		p.returned = append(p.returned, grant)
	}
}

// Take returns credit that was returned and suffices for an amount.
func (p *Part) Take(organisation string, amount float64, now time.Time) (Grant, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire(now)
	for i, g := range p.returned {
		if g.organisation == organisation && g.amount >= amount {
			p.returned = append(p.returned[:i], p.returned[i+1:]...)
			return g, true
		}
	}
	return Grant{}, false
}

// expire drops returned credit that is too old.
func (p *Part) expire(now time.Time) {
	kept := p.returned[:0]
	for _, g := range p.returned {
		if now.Sub(g.at) < returnRetention {
			kept = append(kept, g)
		}
	}
	p.returned = kept
}
