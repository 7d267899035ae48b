package coord

import (
	"context"
	"time"

	"cardamomcourse.example/cardamom/table"
)

// releaseLease ends the term and releases the lease for another instance. done gets the
// result of the write.
func (l *Loop) releaseLease(ctx context.Context, reason string, now time.Time, done func(err error)) {
	expect := l.lease.Version()
	l.endTerm(reason, now)
	l.lease.Invalidate()
	l.noCoordinatorSince = now
	value := l.encodeLease(l.releasedRow(now))
	l.leaseCallInFlight, l.lastLeaseCall = true, now
	go func() {
		ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
		defer cancel()
		_, err := l.options.Table.Commit(ctx, table.Put(leaseKey, expect, value))
		l.post(func(time.Time) { l.leaseCallInFlight = false })
		done(err)
	}()
}

// logNotReleased logs that the lease could not be released.
func (l *Loop) logNotReleased(err error) {
	if err != nil {
		l.logger.Warn("lease_not_released", "reason", err)
	}
}

// Leave releases the lease, so that another instance can take it at once. While the store
// doesn't answer nobody could: then the instance coordinates until it does, or until the
// process ends.
func (l *Loop) Leave(ctx context.Context) error {
	done := make(chan error, 1)
	l.post(func(now time.Time) {
		l.leaving = true
		l.lastExchange = time.Time{}
		switch {
		case l.term == nil:
			done <- nil
		case l.lease.InOutage():
			l.releaseLater = true
			done <- nil
		default:
			l.releaseLease(ctx, "leaving", now, func(err error) { done <- err })
		}
	})
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}
