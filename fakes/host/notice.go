package host

import (
	"net/http"
	"time"
)

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

// AskToWait makes the upstream turn requests away with the given values of Retry-After
// until StopAsking is called.
func (u *Upstream) AskToWait(values ...string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.retryAfter = values
}

// StopAsking makes the upstream run requests again.
func (u *Upstream) StopAsking() { u.AskToWait() }

// turnAway answers that the request has not run, and when to come back.
func turnAway(w http.ResponseWriter, values []string) {
	w.Header()["Retry-After"] = values
	w.Header().Set("Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}
