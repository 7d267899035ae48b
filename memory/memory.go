// Package memory is the account of the memory that callers make a process use: the heads
// and bodies of requests, the buffers of connections and the responses on their way.
//
// Whoever buffers something opens a charge and grows it before the buffer grows. A charge
// that would exceed the account first sheds the oldest incomplete ones, those of the
// slowest callers, and is refused if that does not suffice. A share of the account is kept
// for small charges, which are those of ordinary requests.
//
// The account reads no clock and starts nothing: callers pass the present time, and shedding
// is a call to a function that they gave.
//
// # Usage
//
//	account := memory.New(40 << 20)
//	charge := account.Open(now, interruptRead)
//	defer charge.Release()
//	if !charge.Grow(4096, now) {
//		// refuse the request
//	}
//	charge.Complete() // the body is whole, so it isn't shed any more
package memory

import (
	"container/list"
	"sync"
	"time"
)

const (
	// SmallBytes is the size up to which a charge may use the reserve.
	SmallBytes = 64 << 10
	// reservePercent is the percentage of the account that is kept for small charges.
	reservePercent = 25
	// sheddableAge is the age from which an incomplete charge may be shed. Most bodies
	// arrive whole within it.
	sheddableAge = 200 * time.Millisecond
)

// Account is the memory of one process. It is safe for concurrent use.
type Account struct {
	mu      sync.Mutex
	limit   int64
	reserve int64
	used    int64
	// incomplete are the charges that may be shed, the oldest first.
	incomplete *list.List
	shed       int64
	refused    int64
}

// New returns an empty account of a size in bytes.
func New(limit int64) *Account {
	return &Account{limit: limit, reserve: limit * reservePercent / 100, incomplete: list.New()}
}

// Charge is what one request or connection uses of an account. Its methods are safe for
// concurrent use.
type Charge struct {
	account *Account
	opened  time.Time
	// onShed interrupts whoever fills the buffer.
	onShed func()
	// place is the charge's place among the incomplete ones, nil if it isn't one.
	place *list.Element
	size  int64
	shed  bool
}

// Open returns an empty charge, which is incomplete until Complete is called. onShed is called,
// at most once and without waiting for it to have an effect, if the charge is shed.
func (a *Account) Open(now time.Time, onShed func()) *Charge {
	a.mu.Lock()
	defer a.mu.Unlock()
	c := &Charge{account: a, opened: now, onShed: onShed}
	c.place = a.incomplete.PushBack(c)
	return c
}

// Hold returns a charge of so many bytes that can't be refused or shed, such as that of a
// connection.
func (a *Account) Hold(bytes int64) *Charge {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.used += bytes
	return &Charge{account: a, size: bytes}
}

// Grow adds bytes to the charge, and reports whether the account admits them. A charge that
// was shed does not grow.
func (c *Charge) Grow(bytes int64, now time.Time) bool {
	a := c.account
	a.mu.Lock()
	if c.shed {
		a.mu.Unlock()
		return false
	}
	victims, ok := a.admit(c, bytes, now)
	if ok {
		c.size += bytes
		a.used += bytes
	} else {
		a.refused++
	}
	for _, victim := range victims {
		a.remove(victim)
	}
	a.mu.Unlock()
	for _, victim := range victims {
		victim.onShed()
	}
	return ok
}

// admit returns whether a charge may grow, and the charges to shed for it.
func (a *Account) admit(c *Charge, bytes int64, now time.Time) ([]*Charge, bool) {
	limit := a.limit
	if c.size+bytes > SmallBytes {
		limit -= a.reserve
	}
	excess := a.used + bytes - limit
	if excess <= 0 || a.used-c.size <= a.reserve/2 {
		// In calm conditions a single request is admitted, whatever its size: the limit on
		// bodies bounds it.
		return nil, true
	}
	var victims []*Charge
	for place := a.incomplete.Front(); place != nil && excess > 0; place = place.Next() {
		victim := place.Value.(*Charge)
		if now.Sub(victim.opened) < sheddableAge {
			break
		}
		if victim != c && victim.size > 0 {
			victims = append(victims, victim)
			excess -= victim.size
		}
	}
	if excess > 0 {
		return nil, false
	}
	return victims, true
}

// remove sheds a charge.
func (a *Account) remove(c *Charge) {
	a.incomplete.Remove(c.place)
	a.used -= c.size
	c.place, c.size, c.shed = nil, 0, true
	a.shed++
}

// Add adds bytes, or subtracts them if they are negative, whether or not the account has room.
func (c *Charge) Add(bytes int64) {
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	if c.shed {
		return
	}
	c.size += bytes
	c.account.used += bytes
}

// Complete marks what is charged as whole: it stays charged and isn't shed any more. It reports
// false if it was shed before.
func (c *Charge) Complete() bool {
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	if c.place != nil {
		c.account.incomplete.Remove(c.place)
		c.place = nil
	}
	return !c.shed
}

// Release ends the charge. Further calls do nothing.
func (c *Charge) Release() {
	c.Complete()
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	c.account.used -= c.size
	c.size = 0
}

// Shed reports whether the charge was shed.
func (c *Charge) Shed() bool {
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	return c.shed
}

// Used returns how many bytes are charged.
func (a *Account) Used() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.used
}

// Counts returns how many charges were shed and how many were refused to grow.
func (a *Account) Counts() (shed, refused int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.shed, a.refused
}
