package host

import (
	"net/http"
	"slices"
	"strconv"
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

// Turned is a request that an upstream turned away, and the wait that it named.
type Turned struct {
	ID   string
	At   time.Time
	Wait time.Duration
}

// TurnedAway returns the requests that the upstream turned away with a valid wait.
func (u *Upstream) TurnedAway() []Turned {
	u.mu.Lock()
	defer u.mu.Unlock()
	return slices.Clone(u.turned)
}

// StopAsking makes the upstream run requests again.
func (u *Upstream) StopAsking() { u.AskToWait() }

// recordTurned records a request that is turned away. u.mu must be held.
func (u *Upstream) recordTurned(id string) {
	if seconds, err := strconv.ParseFloat(u.retryAfter[0], 64); err == nil {
		u.turned = append(u.turned, Turned{id, time.Now(), time.Duration(seconds * float64(time.Second))})
	}
}

// turnAway answers that the request has not run, and when to come back.
func turnAway(w http.ResponseWriter, values []string) {
	w.Header()["Retry-After"] = values
	w.Header().Set("Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}
