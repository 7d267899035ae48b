package host

import (
	"net/http"
	"time"
)

// Capacity is how many requests an upstream runs and lets wait at a time.
type Capacity struct {
	// Running is how many run at once, 0 for no limit.
	Running int
	// Waiting is how many more wait. The upstream refuses those beyond.
	Waiting int
	// Work is how long a plain request runs.
	Work time.Duration
}

// admission is what came of a request's wait for a place.
type admission uint8

const (
	admitted admission = iota
	turnedAway
	// abandoned means that the client was gone before there was a place.
	abandoned
)

// admit waits for a place for a request, which leave frees if it is admitted.
func (u *Upstream) admit(r *http.Request) admission {
	if u.places == nil {
		return admitted
	}
	select {
	case u.places <- struct{}{}:
		return admitted
	default:
	}
	if u.waiting.Add(1) > int64(u.spec.Capacity.Waiting) {
		u.waiting.Add(-1)
		return turnedAway
	}
	defer u.waiting.Add(-1)
	select {
	case u.places <- struct{}{}:
		return admitted
	case <-u.closed:
	case <-r.Context().Done():
	}
	return abandoned
}

// leave frees the place of a request that was admitted.
func (u *Upstream) leave() {
	if u.places != nil {
		<-u.places
	}
}

// work waits for the time that a plain request runs, and reports whether its client stayed.
func (u *Upstream) work(r *http.Request) bool {
	if u.spec.Capacity.Work == 0 {
		return true
	}
	timer := time.NewTimer(u.spec.Capacity.Work)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-u.closed:
	case <-r.Context().Done():
	}
	return false
}
