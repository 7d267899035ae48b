// Package retry limits how many retries an instance sends to upstreams, so that
// all instances together stay within a common retry budget.
//
// Each request and each moment earns an instance some credit, which it spends on
// retries and which expires after half a window. A process begins without credit. So the
// retries that reach upstreams in a window were earned by requests that callers sent in
// that window or the one before it, each credit once, whichever instances got the
// requests and however often they started again. The other half of the window is for
// requests that instances read late and retries that reach upstreams late.
//
// Each of many instances earns less than a whole retry in that time. One that lacks credit
// for a retry asks some others for it: what they lend is spent there, keeps the time at
// which it was earned, and is lost if the answer is.
//
// # Usage
//
//	budget := retry.New(retry.Limits{Ratio: 0.2, Window: 10 * time.Second, Slack: 56}, rand.Float64())
//	budget.SetMembers(members, confirmed, now)
//	budget.CountRequest(service, now)
//	if missing := budget.Missing(service, now); missing > 0 {
//	    budget.Receive(service, credits, now) // what others lent with Lend
//	}
//	if budget.AllowRetry(service, now).Allowed { /* send again */ }
package retry

import (
	"math"
	"sync"
	"time"

	cardamom "cardamomcourse.example/cardamom"
)

const (
	// windowsEarned is the number of windows in which the retries of one window are
	// earned. Each of them has as many requests as the budget counts, or fewer.
	windowsEarned = 2
	// lifetimesPerWindow is how many times the lifetime of credit fits in a window. Callers
	// leave when a request isn't read for 2 s, and connections fail when bytes aren't
	// acknowledged for 2.5 s: the two together are less than the rest of a window of 10 s.
	lifetimesPerWindow = 2
	// slackShare is the fraction of the slack that is used; the rest covers requests
	// that reach an instance late.
	slackShare = 0.7
	// minMembers is the smallest number of members assumed, so that a few
	// instances that discover each other late stay within the common slack.
	minMembers = 8
	// rounding allows for the error of sums of fractions.
	rounding = 1e-9
)

// Limits are the common budget: in each window, all instances together send at
// most Ratio times the requests plus Slack as retries. The requests are those of
// the window or of the one before it, whichever has more.
type Limits struct {
	Ratio  float64
	Window time.Duration
	Slack  float64
}

// Budget holds one instance's credit by service. It is safe for concurrent use.
type Budget struct {
	mu       sync.Mutex
	limits   Limits
	services map[cardamom.ServiceID]*account
	// slack is the credit that each service has earned by the passing of time. It comes
	// in whole retries, since the fraction that one of many instances earns within a
	// window allows none; unearned is what it has of the next one.
	slack    window
	unearned float64
	// accrued is the time up to which slack is complete, zero before the first members
	// are known.
	accrued time.Time
	// members are the greatest numbers of members known in each bucket. A new
	// coordinator discovers the members one by one, and one that is cut off goes on
	// with its share until its list of members is too old.
	members window
	// current is the number of members at present, and confirmed is when the
	// coordinator last confirmed it.
	current   int
	confirmed time.Time
}

// account is the credit of one service.
type account struct {
	// earned is the credit by requests, spent the credit by requests and time that was
	// spent on retries, in the bucket in which it was earned.
	earned window
	spent  window
	// refusing means that the last retry was refused.
	refusing bool
	// askAfter is from when on other instances may be asked for credit.
	askAfter time.Time
}

// Decision is the budget's answer to a retry.
type Decision struct {
	Allowed bool
	// Changed means that the last retry of the service got the other answer.
	Changed bool
	// Credit is how many retries the service had left before this one.
	Credit float64
	// Members is the number of instances that share the budget, as assumed.
	Members int
}

// New returns a budget without any credit. The phase, which is at least 0 and less
// than 1, is the fraction of the first retry by slack that counts as earned. It is
// drawn at random, so that all instances together earn the slack evenly.
func New(limits Limits, phase float64) *Budget {
	return &Budget{limits: limits, services: make(map[cardamom.ServiceID]*account), unearned: phase}
}

// SetMembers sets the number of instances that share the budget, as the coordinator
// last confirmed it. Without a confirmation for a window, no slack is earned: the
// others may share it among themselves by then.
func (b *Budget) SetMembers(members int, confirmed, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.accrue(now)
	if members <= 0 {
		return
	}
	if b.accrued.IsZero() {
		b.accrued = now
	}
	b.current, b.confirmed = members, confirmed
	b.members.raise(float64(members))
}

// CountRequest counts a caller's request, which earns credit.
func (b *Budget) CountRequest(service cardamom.ServiceID, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.account(service, now).earned.add(b.limits.Ratio / windowsEarned)
}

// AllowRetry decides whether this instance has credit for a retry, and spends it
// if so.
func (b *Budget) AllowRetry(service cardamom.ServiceID, now time.Time) Decision {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.accrue(now)
	a := b.account(service, now)
	credit := b.credit(a)
	decision := Decision{Allowed: credit >= 1-rounding, Credit: credit, Members: b.sharing()}
	decision.Changed = a.refusing == decision.Allowed
	a.refusing = !decision.Allowed
	if decision.Allowed {
		b.spend(a)
	}
	return decision
}

// spend takes one retry's credit from the oldest buckets that have some.
func (b *Budget) spend(a *account) {
	owed := 1.0
	for i := range a.spent.oldestFirst() {
		taken := min(owed, b.slack.values[i]+a.earned.values[i]-a.spent.values[i])
		a.spent.values[i] += taken
		owed -= taken
	}
}

// account returns a service's credit, without what has expired.
func (b *Budget) account(service cardamom.ServiceID, now time.Time) *account {
	a, ok := b.services[service]
	if !ok {
		a = &account{}
		b.services[service] = a
	}
	bucket := b.bucket(now)
	a.earned.advance(bucket)
	a.spent.advance(bucket)
	return a
}

// sharing returns the number of members assumed.
func (b *Budget) sharing() int {
	return max(int(b.members.max()), minMembers)
}

// accrue adds the slack that was earned since the last call.
func (b *Budget) accrue(now time.Time) {
	from := b.accrued
	if earliest := now.Add(-b.limits.Window); from.Before(earliest) && !from.IsZero() {
		from = earliest
	}
	for !from.IsZero() && from.Before(now) {
		bucket := b.bucket(from)
		b.slack.advance(bucket)
		b.members.advance(b.membersBucket(from))
		b.members.raise(float64(b.current))
		end := time.Unix(0, (bucket+1)*b.bucketLength())
		if end.After(now) {
			end = now
		}
		if !end.After(b.confirmed.Add(b.limits.Window)) {
			rate := b.limits.Slack * slackShare / (windowsEarned * b.limits.Window.Seconds()) / float64(b.sharing())
			whole, rest := math.Modf(b.unearned + rate*end.Sub(from).Seconds())
			b.slack.add(whole)
			b.unearned = rest
		}
		from = end
	}
	b.slack.advance(b.bucket(now))
	b.members.advance(b.membersBucket(now))
	if !b.accrued.IsZero() && now.After(b.accrued) {
		b.accrued = now
	}
}

func (b *Budget) bucketLength() int64 { return int64(b.limits.Window) / lifetimesPerWindow / buckets }

// bucket returns the number of the bucket of credit, since the epoch, that a time is in.
func (b *Budget) bucket(now time.Time) int64 { return now.UnixNano() / b.bucketLength() }

// membersBucket returns the number of the bucket of members that a time is in: these
// cover a whole window.
func (b *Budget) membersBucket(now time.Time) int64 {
	return now.UnixNano() / (int64(b.limits.Window) / buckets)
}
