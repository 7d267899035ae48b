package coord

import "time"

// rejoin ends the time in which this instance grants its own part.
func (c *credits) rejoin(now time.Time) {
	if c.alone {
		c.ownTime += now.Sub(c.aloneSince)
		c.alone = false
	}
}

// aloneAfter returns the time without an answer after which an instance is on its own.
func (c *credits) aloneAfter() time.Duration { return c.interval + aloneMargin }

// contacted records that a coordinator answered a call that began at a time.
func (c *credits) contacted(began time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if began.After(c.contact) {
		c.contact = began
	}
	if began.After(c.aloneSince) {
		c.rejoin(began)
	}
}

// unanswered records that no coordinator answered at a time. After a while the instance is
// on its own: the coordinator has stopped to grant its part by about then.
func (c *credits) unanswered(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.alone && c.ledger == nil && now.Sub(c.contact) > c.aloneAfter() {
		c.alone, c.aloneSince = true, now
		c.part.Begin(now)
	}
}

// isAlone reports whether the instance grants its own part of the quotas.
func (c *credits) isAlone() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.alone
}

// ungranted returns for how long nobody has granted this instance's part of the quotas since its last
// exchange with a coordinator.
func (c *credits) ungranted(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	own := c.ownTime
	if c.alone {
		own += now.Sub(c.aloneSince)
	}
	return max(now.Sub(c.exchangedAt)-own, 0)
}

// earn adds an instance's part of the quotas that nobody has granted for a time, as far as the term
// lasts so long. Where no instances were expected, the ledger has granted the parts of all. One that
// comes later was cut off or has just started.
func (c *credits) earn(ungranted time.Duration, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ledger != nil && c.expected > 1 && now.Before(c.youngUntil.Add(c.interval)) {
		c.ledger.Earn(1/float64(c.count), min(ungranted, now.Sub(c.termBegan)), now)
	}
}

// shareCredit sets the part of the quotas that the coordinator grants: that of the instances
// that it hears from and that don't grant their own.
func (t *term) shareCredit(now time.Time) {
	t.instances.see(len(t.members), now)
	heardTime := 2*t.loop.timing().exchangeInterval() + heardMargin
	lent := 0
	for _, m := range t.members {
		if !m.ownCredit && now.Sub(m.lastExchange) <= heardTime {
			lent++
		}
	}
	t.loop.credits.share(lent, len(t.members), t.instances.count, now)
}

// share sets what the ledger may grant: so many instances lend their part, so many were heard in the
// term, and so many are known. Those that are expected and not heard for long may be gone.
func (c *credits) share(lent, heard, known int, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ledger == nil {
		return
	}
	c.count = max(known, 1)
	heardPart := 1.0
	if c.expected > 1 && now.Before(c.youngUntil) {
		c.count = max(known, c.expected)
		heardPart = float64(heard) / float64(c.count)
	}
	c.ledger.SetShare(float64(lent)/float64(c.count), now)
	c.ledger.SetHeard(heardPart, now)
}

// earnCredit adds a member's part of the quotas for the time in which nobody has granted it: until its
// exchange was answered, the coordinator could not know whether the member granted it itself.
func (t *term) earnCredit(m *member, ungranted time.Duration, now time.Time) {
	if m.lastExchange.IsZero() || m.ownCredit {
		t.loop.credits.earn(ungranted, now)
	}
}

// instanceCount is the greatest number of instances that was seen lately. Those that are
// gone may only be cut off and grant their own part of the quotas.
type instanceCount struct {
	count int
	at    time.Time
	// grown is when there were last more than before.
	grown time.Time
}

// see records how many instances there are now.
func (i *instanceCount) see(count int, now time.Time) {
	if count > i.count {
		i.grown = now
	}
	if count >= i.count || now.Sub(i.at) > instanceRetention {
		i.count, i.at = count, now
	}
}
