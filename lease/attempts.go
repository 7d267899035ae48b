package lease

import (
	"slices"
	"time"
)

// maxAttempts bounds the writes that are remembered. An instance makes about one a second.
const maxAttempts = 64

// attempt is a write of the row. renewed is the time in the row that it writes.
type attempt struct {
	renewed int64
	began   time.Time
}

// Attempts are the writes with which an instance tried to renew its lease and that may still be
// done: all expect the same version of the row, so that any one of them may be the one that
// changed it. The zero value has none.
type Attempts struct {
	list []attempt
}

// Begin records that a write of the row has begun.
func (a *Attempts) Begin(row Row, began time.Time) {
	if len(a.list) >= maxAttempts {
		// The first stays, as the row may show it without its time.
		a.list = slices.Delete(a.list, 1, 2)
	}
	a.list = append(a.list, attempt{row.Renewed, began})
}

// Failed records that the last write was not done and never will be.
func (a *Attempts) Failed() {
	if len(a.list) > 0 {
		a.list = a.list[:len(a.list)-1]
	}
}

// Clear records that none of the writes will be done any more.
func (a *Attempts) Clear() { a.list = nil }

// Began returns when the write began that the row shows: the one with the row's time, or else
// the first. It returns false if there was none.
func (a *Attempts) Began(row Row) (time.Time, bool) {
	for _, known := range a.list {
		if row.Renewed != 0 && known.renewed == row.Renewed {
			return known.began, true
		}
	}
	if len(a.list) == 0 {
		return time.Time{}, false
	}
	return a.list[0].began, true
}
