package coord

import (
	"errors"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"cardamomcourse.example/cardamom/clock"
	"cardamomcourse.example/cardamom/lease"
	"cardamomcourse.example/cardamom/table"
)

const (
	// leaseKey is the key of the lease row.
	leaseKey = "coordinator"
	// leaseReadInterval is the time between two reads of the lease by a standby
	// that has no coordinator.
	leaseReadInterval = 350 * time.Millisecond
	// idleLeaseReadInterval is the time between two reads of the lease by an
	// instance that has no coordinator and is not a standby.
	idleLeaseReadInterval = 2 * time.Second
	// maxIdleFailures bounds by how many times that interval such an instance's reads are
	// further apart after failed ones.
	maxIdleFailures = 3
	// deathWriteInterval is the least time between two calls for the lease of which the second
	// only stores the death of an upstream.
	deathWriteInterval = 100 * time.Millisecond
	// maxWriteTime is longer than any write of the lease takes before it fails.
	maxWriteTime = 1500 * time.Millisecond
	// minStandbys is the least number of standbys, the instances that are the first
	// to take the lease.
	minStandbys = 4
	// standbyPercent is the percentage of the members that are standbys beyond
	// minStandbys, since instances with a takeover delay wait before they take the
	// lease.
	standbyPercent = 10
)

// stepLease reads, takes or renews the lease if that is due.
func (l *Loop) stepLease(now time.Time) {
	if l.term != nil && !l.lease.Held() {
		l.endTerm("lease lost", now)
	}
	if l.leaseCallInFlight || l.leaving && (l.term == nil || !l.releaseLater) {
		return
	}
	if l.term != nil && l.shouldYield() {
		l.releaseLease(l.ctx, "partitioned", now, l.logNotReleased)
		return
	}
	switch l.lease.Next(now) {
	case lease.Take:
		switch {
		case !l.mayTake(now):
		case now.Sub(l.lastLeaseRead) < 2*leaseReadInterval:
			l.writeLease(now)
		case now.Sub(l.lastLeaseCall) >= l.freeLeaseBackoff():
			// The row may have been renewed since it was read.
			l.readLease(now)
		}
	case lease.Renew:
		if now.Sub(l.lastLeaseCall) >= leaseReadInterval {
			l.writeLease(now)
		}
	case lease.Nothing:
		if l.lease.Held() && l.deaths() != l.leaseDeaths && now.Sub(l.lastLeaseCall) >= deathWriteInterval {
			l.writeLease(now)
			return
		}
		if !l.lease.Held() && !l.hasCoordinator(now) && now.Sub(l.lastLeaseCall) >= l.leaseReadBackoff() {
			l.readLease(now)
		}
	}
}

// leaseReadBackoff returns the time between two reads of the lease. Where there
// are many members only the standbys read it often; the others read it rarely.
func (l *Loop) leaseReadBackoff() time.Duration {
	if l.readsOften() {
		return min(leaseReadInterval<<min(l.leaseFailures, 4), l.timing().maxBackoff())
	}
	return idleLeaseReadInterval * time.Duration(1+min(l.leaseFailures, maxIdleFailures))
}

// freeLeaseBackoff is leaseReadBackoff while the lease is free, so that a standby takes it
// soon after the store answers again.
func (l *Loop) freeLeaseBackoff() time.Duration {
	if l.readsOften() {
		return leaseReadInterval << min(l.leaseFailures, 1)
	}
	return l.leaseReadBackoff()
}

// readsOften reports whether this instance is one of those that read the lease often while
// there is no coordinator.
func (l *Loop) readsOften() bool {
	return len(l.state.members) <= minStandbys || l.isStandby(l.state.members)
}

// weak reports whether this instance leaves the lease to others.
func (l *Loop) weak() bool { return l.options.TakeoverDelay > 0 }

// mayTake reports whether this instance may take a lease now that is free for it. A weak
// instance waits from the time at which the lease became free, since stronger ones could not
// take it before either.
func (l *Loop) mayTake(now time.Time) bool {
	if l.lease.MayRegain(now) {
		return true
	}
	if l.hasCoordinator(now) || l.shouldYield() {
		return false
	}
	delay := l.options.TakeoverDelay
	return !l.weak() || now.Sub(l.noCoordinatorSince) >= delay && now.Sub(l.lease.FreeSince()) >= delay
}

// isStandby reports whether this instance is a standby, by the hash of its name. Weak
// instances are standbys only if all members are weak.
func (l *Loop) isStandby(members []Member) bool {
	preferred := slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.Weak })
	switch {
	case len(preferred) == 0:
		preferred = members
	case l.weak():
		return false
	}
	before := 0
	own := xxhash.Sum64String(string(l.options.ID))
	for _, m := range preferred {
		if xxhash.Sum64String(string(m.ID)) < own {
			before++
		}
	}
	return before < len(members)*standbyPercent/100+minStandbys
}

// hasCoordinator reports whether a coordinator with fresh platform data answered
// recently.
func (l *Loop) hasCoordinator(now time.Time) bool {
	return !l.position.stale && now.Sub(l.lastAnswered) < l.timing().coordinatorTimeout()
}

func (l *Loop) readLease(now time.Time) {
	l.lastLeaseCall = now
	l.fetchLease(l.observe)
}

// fetchLease reads the row and passes it to handle, with the incarnation of the store.
func (l *Loop) fetchLease(handle func(row lease.Row, incarnation uint64, now time.Time)) {
	l.leaseCallInFlight = true
	go func() {
		row, err := l.options.Table.Get(l.ctx, leaseKey)
		l.post(func(now time.Time) {
			l.leaseCallInFlight = false
			if err != nil {
				l.leaseFailures++
				return
			}
			l.leaseFailures = 0
			l.lastLeaseRead = now
			handle(l.decodeLease(row), row.Incarnation(), now)
		})
	}()
}

// observe records the row as it was read from an incarnation of the store.
func (l *Loop) observe(row lease.Row, incarnation uint64, now time.Time) {
	storeMS, clockIncarnation, _ := l.options.Clock(now)
	if clockIncarnation != incarnation {
		storeMS = 0
	}
	before := l.lease.Incarnation()
	if l.lease.Observe(row, incarnation, storeMS, now) {
		l.logger.Warn("lease_restored", "before", before, "incarnation", incarnation, "row_version", row.Version, "regains", l.lease.MayRegain(now))
		if l.term != nil {
			l.endTerm("store restored", now)
		}
	}
	l.followHolder(row)
}

// followHolder makes the lease's holder the coordinator of this instance if it took
// the lease after the coordinator that this instance has exchanged with. That one may
// have lost the store, and then still answers but neither plans nor learns that it
// was replaced.
func (l *Loop) followHolder(row lease.Row) {
	followed := l.position
	if l.term != nil || followed.coordinator == "" || followed.coordinator == row.Address ||
		row.Incarnation != l.lease.Incarnation() || row.Released || row.Address == "" || row.Holder == l.options.ID || row.Version <= followed.term {
		return
	}
	l.logger.Info("coordinator_replaced", "address", followed.coordinator, "holder", row.Holder, "fence", followed.term)
	l.minTerm = max(l.minTerm, followed.term+1)
	l.position = position{coordinator: row.Address}
	l.lastExchange = time.Time{}
}

func (l *Loop) writeLease(now time.Time) {
	l.leaseCallInFlight, l.lastLeaseCall = true, now
	expect := l.lease.Version()
	began := clock.Now()
	l.leaseDeaths = l.deaths()
	row := l.ownRow(began)
	l.leaseAttempts.Begin(row, began)
	value := l.encodeLease(row)
	go func() {
		version, err := l.options.Table.Commit(l.ctx, table.Put(leaseKey, expect, value))
		l.post(func(now time.Time) { l.leaseWritten(version, err, began, now) })
	}()
}

// deaths returns a number that grows with each death of an upstream, and each trial of a request
// that upstreams died of, that this instance learns of.
func (l *Loop) deaths() uint64 { return l.state.ledger.Revision() + l.options.Parts.Revision() }

// suspectsChanged makes the next exchange start early, so that a death or a trial is in the lease
// row soon: all instances may be killed at once, and nobody else has seen it.
func (l *Loop) suspectsChanged() {
	go l.post(func(time.Time) { l.reportSoon = true })
}

// leaseWritten handles the result of a write of the lease.
func (l *Loop) leaseWritten(version uint64, err error, began, now time.Time) {
	l.leaseCallInFlight = false
	switch {
	case err == nil:
		// In a store that can be restored, a row that is missing may have been lost.
		fresh := l.lease.Version() == 0 && l.lease.Incarnation() == 0
		if !l.lease.RecordWrite(version, l.options.SyncAddress, began) {
			l.verifyLeaseWrite()
			return
		}
		l.leaseAttempts.Clear()
		if l.term != nil && l.releaseLater {
			// The store is back.
			l.releaseLater = false
			l.releaseLease(l.ctx, "leaving", now, l.logNotReleased)
			return
		}
		if l.term == nil && !l.leaving {
			if fresh {
				l.state.history.Start(began)
			}
			l.beginTerm(fresh, now)
		}
	case errors.Is(err, table.ErrConflict):
		l.logger.Info("lease_conflict", "expected", l.lease.Version())
		l.leaseAttempts.Clear()
		l.lease.Invalidate()
		l.lastLeaseCall = time.Time{}
	case errors.Is(err, table.ErrOutcomeUnknown):
		// The write may have succeeded; reading the row shows it.
		l.lease.RecordOutage(outageTime(began, now))
		l.verifyLeaseWrite()
	default:
		l.leaseAttempts.Failed()
		l.lease.RecordOutage(outageTime(began, now))
		l.logger.Warn("lease_not_written", "reason", err, "valid", l.lease.Valid(now))
	}
}

// outageTime returns when a write that began at a time and failed has failed. One that took
// longer than any call takes was in flight while this instance was frozen, so that another
// one may have taken the lease since.
func outageTime(began, now time.Time) time.Time {
	if latest := began.Add(maxWriteTime); now.After(latest) {
		return latest
	}
	return now
}

// verifyLeaseWrite reads the row after a write that got no answer.
func (l *Loop) verifyLeaseWrite() { l.fetchLease(l.leaseVerified) }

// leaseVerified handles the row as it was read after a write that got no answer. A write of this
// instance succeeded if the row names it and has a newer version. It may be an earlier one than
// the last, and others count the lease from the time in the row.
func (l *Loop) leaseVerified(found lease.Row, incarnation uint64, now time.Time) {
	if l.lease.Held() && incarnation == l.lease.Incarnation() && found.Incarnation == incarnation &&
		found.Holder == l.options.ID && !found.Released && found.Version > l.lease.Version() {
		if began, ok := l.leaseAttempts.Began(found); ok {
			l.lease.RecordWrite(found.Version, l.options.SyncAddress, began)
			l.leaseAttempts.Clear()
			return
		}
	}
	l.observe(found, incarnation, now)
}
