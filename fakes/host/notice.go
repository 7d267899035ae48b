package host

import "time"

// leavingHeader is in all answers of an upstream that leaves.
const leavingHeader = "Server-Leaving"

// SayLeaving makes the upstream say in all its answers from now on that it leaves.
func (u *Upstream) SayLeaving() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.leavesFrom.IsZero() {
		u.leavesFrom = time.Now()
	}
}

// LeavesFrom returns when the upstream began to say so, zero if it has not.
func (u *Upstream) LeavesFrom() time.Time {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.leavesFrom
}
