package coord

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/lease"
	"cardamomcourse.example/cardamom/plan"
	"cardamomcourse.example/cardamom/steady"
	"cardamomcourse.example/cardamom/table"
)

const (
	// leaseKey is the row of the coordinator's lease.
	leaseKey = "coordinator"
	// leaseRead is the time between two reads of the lease by an instance that
	// has no word from a coordinator.
	leaseRead = 350 * time.Millisecond
	// leaseLook is that time for instances that do not stand by.
	leaseLook = 2 * time.Second
	// standbys is how many instances stand by at least, standbyShare how many
	// percent of the others do, since some are reluctant.
	standbys     = 4
	standbyShare = 10
	// silentAfter is that age where there are few instances.
	silentAfter = 1200 * time.Millisecond
)

// wireLease is the lease row's value.
type wireLease struct {
	Holder   string `json:"holder"`
	Address  string `json:"address"`
	Released bool   `json:"released"`
	Renewed  int64  `json:"renewed_ms"`
	// AtOnce is how many loads from the store of a service's models run beside
	// each other at full speed. It takes slow loads to find out, so it lasts.
	AtOnce map[string]wireAtOnce `json:"at_once,omitempty"`
}

type wireAtOnce struct {
	Loads int  `json:"loads"`
	Bound bool `json:"bound"`
}

func (l *Loop) decodeLease(row table.Row) lease.Row {
	var wire wireLease
	if row.Version() == 0 || json.Unmarshal(row.Value(), &wire) != nil {
		return lease.Row{Version: row.Version(), Released: row.Version() != 0}
	}
	for service, atOnce := range wire.AtOnce {
		if atOnce.Loads > 0 && l.tenure == nil {
			l.picture.atOnce[cardamom.ServiceID(service)] = plan.AtOnce{Loads: atOnce.Loads, Bound: atOnce.Bound}
		}
	}
	return lease.Row{Version: row.Version(), Holder: cardamom.InstanceID(wire.Holder), Address: wire.Address, Released: wire.Released, Renewed: wire.Renewed}
}

func (l *Loop) encodeLease(row lease.Row) []byte {
	atOnce := make(map[string]wireAtOnce, len(l.picture.atOnce))
	for service, known := range l.picture.atOnce {
		atOnce[string(service)] = wireAtOnce{known.Loads, known.Bound}
	}
	value, err := json.Marshal(wireLease{Holder: string(row.Holder), Address: row.Address, Released: row.Released, Renewed: row.Renewed, AtOnce: atOnce})
	if err != nil {
		return nil
	}
	return value
}

// stepLease reads, takes or renews the lease if that is due.
func (l *Loop) stepLease(now time.Time) {
	if l.tenure != nil && !l.lease.Held() {
		l.endTenure("lease lost")
	}
	if l.leasing || l.leaving {
		return
	}
	switch l.lease.Next(now) {
	case lease.Take:
		switch {
		case l.heard(now) || now.Sub(l.began) < l.options.Reluctance:
		case now.Sub(l.leaseSeen) < 2*leaseRead:
			l.writeLease(now)
		case now.Sub(l.leaseAt) >= leaseRead:
			// The row may have been renewed since it was read.
			l.readLease(now)
		}
	case lease.Renew:
		if now.Sub(l.leaseAt) >= leaseRead {
			l.writeLease(now)
		}
	case lease.Nothing:
		if !l.lease.Held() && !l.heard(now) && now.Sub(l.leaseAt) >= l.leasePause() {
			l.readLease(now)
		}
	}
}

// leasePause returns the time between two reads of the lease. Where there are
// many instances only some stand by to take it; the others look now and then.
func (l *Loop) leasePause() time.Duration {
	members := l.picture.members
	if len(members) <= standbys || l.options.Reluctance == 0 && l.standby(members) {
		return min(leaseRead<<min(l.leaseFailures, 4), longestRetry)
	}
	return leaseLook
}

// standby tells whether this instance is one of those that take the lease first.
func (l *Loop) standby(members []Member) bool {
	before := 0
	own := xxhash.Sum64String(string(l.options.ID))
	for _, m := range members {
		if xxhash.Sum64String(string(m.ID)) < own {
			before++
		}
	}
	return before < len(members)*standbyShare/100+standbys
}

// heard tells whether a coordinator with fresh word from the platform answered
// lately.
func (l *Loop) heard(now time.Time) bool {
	return !l.position.stale && now.Sub(l.answered) < l.silence()
}

// silence returns the age of the last exchange from which the coordinator may
// be lost.
func (l *Loop) silence() time.Duration { return max(silentAfter, 2*l.tellPause()+tellTimeout) }

func (l *Loop) readLease(now time.Time) {
	l.leaseAt = now
	l.fetchLease(l.observe)
}

// fetchLease reads the row and gives it to take.
func (l *Loop) fetchLease(take func(row lease.Row, now time.Time)) {
	l.leasing = true
	go func() {
		row, err := l.options.Table.Get(l.ctx, leaseKey)
		l.post(func(now time.Time) {
			l.leasing = false
			if err != nil {
				l.leaseFailures++
				return
			}
			l.leaseFailures = 0
			l.leaseSeen = now
			take(l.decodeLease(row), now)
		})
	}()
}

// observe takes the row as it was read.
func (l *Loop) observe(row lease.Row, now time.Time) {
	clock, _ := l.options.Clock(now)
	l.lease.Observe(row, clock, now)
}

func (l *Loop) writeLease(now time.Time) {
	l.leasing, l.leaseAt = true, now
	expect := l.lease.Version()
	began := steady.Now()
	clock, _ := l.options.Clock(began)
	value := l.encodeLease(lease.Row{Holder: l.options.ID, Address: l.options.Sync, Renewed: clock})
	go func() {
		version, err := l.options.Table.Commit(l.ctx, table.Put(leaseKey, expect, value))
		l.post(func(now time.Time) { l.leaseWritten(version, err, began, now) })
	}()
}

// leaseWritten takes the result of a write of the lease.
func (l *Loop) leaseWritten(version uint64, err error, began, now time.Time) {
	l.leasing = false
	switch {
	case err == nil:
		fresh := l.lease.Version() == 0
		l.lease.Written(version, l.options.Sync, began)
		if l.tenure == nil && !l.leaving {
			l.beginTenure(fresh, now)
		}
	case errors.Is(err, table.ErrConflict):
		l.logger.Info("lease_conflict", "expected", l.lease.Version())
		l.lease.Conflict()
		l.leaseAt = time.Time{}
	case errors.Is(err, table.ErrUnknown):
		// The write may have been done: the row tells.
		l.lease.Unreachable(now)
		l.recheck(began)
	default:
		l.lease.Unreachable(now)
		l.logger.Warn("lease_not_written", "reason", err, "valid", l.lease.Valid(now))
	}
}

// recheck reads the lease row after a write without an answer. If the row is
// this instance's and newer, the write was done.
func (l *Loop) recheck(began time.Time) {
	l.fetchLease(func(found lease.Row, now time.Time) {
		if l.lease.Held() && found.Holder == l.options.ID && !found.Released && found.Version > l.lease.Version() {
			l.lease.Written(found.Version, l.options.Sync, began)
			return
		}
		l.observe(found, now)
	})
}

// Leave gives up the lease, so that another instance takes it at once.
func (l *Loop) Leave(ctx context.Context) error {
	done := make(chan error, 1)
	l.post(func(time.Time) {
		l.leaving = true
		l.tellAt = time.Time{}
		if l.tenure == nil {
			done <- nil
			return
		}
		expect := l.lease.Version()
		l.endTenure("leaving")
		l.lease.Conflict()
		value := l.encodeLease(lease.Row{Holder: l.options.ID, Address: l.options.Sync, Released: true})
		go func() {
			_, err := l.options.Table.Commit(ctx, table.Put(leaseKey, expect, value))
			done <- err
		}()
	})
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}
