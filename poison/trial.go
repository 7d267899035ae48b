package poison

import (
	"slices"
	"strconv"
	"time"
)

// trialDelays are the times from the last death or trial of a refused fingerprint to its next
// trial. One that crashes every upstream ends as many more of them as there are trials.
var trialDelays = [...]time.Duration{time.Second, 5 * time.Second, 10 * time.Minute}

const (
	// maxTrialWait is how long a refused request may wait for a trial: two exchanges with the
	// coordinator.
	maxTrialWait = time.Second
	// grantTime is how long an instance may use a trial that it was granted.
	grantTime = 2 * time.Second
	// grantInterval is the least time between two grants for a fingerprint. The use of the first
	// is known by then.
	grantInterval = 2 * grantTime
	// maxTrialNews is the longest time until the next trial that callers are told to wait for.
	maxTrialNews = 10 * time.Second
)

// trial is what an instance knows of the next trial of a fingerprint.
type trial struct {
	// waiting is when a request began to wait for a trial here, zero if none does.
	waiting time.Time
	// granted names the trial that this instance may use until a time, empty if there is none.
	granted string
	until   time.Time
	// given names the trial that this instance last granted, until it was returned, and givenAt
	// is when.
	given   string
	givenAt time.Time
}

// mayUse reports whether the instance may use a trial now.
func (t trial) mayUse(now time.Time) bool { return t.granted != "" && now.Before(t.until) }

// wanted reports whether a request waits for a trial.
func (t trial) wanted(now time.Time) bool {
	return !t.waiting.IsZero() && now.Sub(t.waiting) < maxTrialWait
}

// nextTrial returns when the next trial is due, if there is one.
func (l *Ledger) nextTrial(s Suspect) (time.Time, bool) {
	if len(s.trials) >= len(trialDelays) {
		return time.Time{}, false
	}
	since := s.died()
	if s.tried.After(since) {
		since = s.tried
	}
	delay := trialDelays[len(s.trials)]
	if l.cautious && !s.proven {
		delay = trialDelays[len(trialDelays)-1]
	}
	return since.Add(delay), true
}

// SetCautious sets whether a fingerprint that was never answered is tried only after the longest
// delay. It is meant for instances without a coordinator, which learn late of each other's trials.
func (l *Ledger) SetCautious(cautious bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cautious = cautious
}

// TakeTrial grants this instance itself a trial if one is due, and uses it for a request that is
// sent now. It returns the trial's name.
func (l *Ledger) TakeTrial(fingerprint Fingerprint, now time.Time) (name string, ok bool) {
	l.mu.Lock()
	l.receive(fingerprint, l.grant(fingerprint, now), now)
	l.mu.Unlock()
	return l.Try(fingerprint, now)
}

// AskTrial asks for a trial for a request whose fingerprint is refused. It returns true if the
// request may wait until a time for MayTry to allow it: if a trial is due and no other request
// waits here.
func (l *Ledger) AskTrial(fingerprint Fingerprint, now time.Time) (until time.Time, ok bool) {
	l.mu.Lock()
	suspect, known := l.suspects[fingerprint]
	due, more := l.nextTrial(suspect)
	if !known || !more || now.Before(due) || suspect.next.wanted(now) {
		l.mu.Unlock()
		return time.Time{}, false
	}
	suspect.next.waiting = now
	l.suspects[fingerprint] = suspect
	notify := l.onChange
	l.mu.Unlock()
	notify()
	return now.Add(maxTrialWait), true
}

// MayTry reports whether a request with the fingerprint may be sent: if it isn't refused, or by
// a trial that this instance may use.
func (l *Ledger) MayTry(fingerprint Fingerprint, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.verdict(fingerprint, now) != Refused || l.suspects[fingerprint].next.mayUse(now)
}

// Try uses the trial that this instance may use, if there is one, for a request that is sent now,
// and returns its name.
func (l *Ledger) Try(fingerprint Fingerprint, now time.Time) (name string, ok bool) {
	l.mu.Lock()
	suspect, known := l.suspects[fingerprint]
	if !known || !suspect.next.mayUse(now) {
		l.mu.Unlock()
		return "", false
	}
	name = suspect.next.granted
	suspect.trials, suspect.tried = append(slices.Clone(suspect.trials), name), now
	suspect.next.granted, suspect.next.waiting = "", time.Time{}
	l.suspects[fingerprint] = suspect
	l.revision++
	notify := l.onChange
	l.mu.Unlock()
	notify()
	return name, true
}

// Return gives back a trial whose request has reached no upstream, so that another one may take
// its place.
func (l *Ledger) Return(fingerprint Fingerprint, name string) {
	l.mu.Lock()
	suspect, known := l.suspects[fingerprint]
	if !known || !slices.Contains(suspect.trials, name) {
		l.mu.Unlock()
		return
	}
	l.suspects[fingerprint] = suspect.forget([]string{name})
	l.revision++
	notify := l.onChange
	l.mu.Unlock()
	notify()
}

// Grant returns the name of a trial for another instance whose request waits for one, empty if
// none is due.
func (l *Ledger) Grant(fingerprint Fingerprint, now time.Time) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.grant(fingerprint, now)
}

func (l *Ledger) grant(fingerprint Fingerprint, now time.Time) string {
	suspect, ok := l.suspects[fingerprint]
	due, more := l.nextTrial(suspect)
	if !ok || !suspect.refused() || !more || now.Before(due) || now.Sub(suspect.next.givenAt) < grantInterval {
		return ""
	}
	suspect.next.given, suspect.next.givenAt = strconv.FormatInt(now.UnixNano(), 36), now
	l.suspects[fingerprint] = suspect
	return suspect.next.given
}

// receive records the trial that this instance was granted, if any.
func (l *Ledger) receive(fingerprint Fingerprint, name string, now time.Time) {
	if suspect, ok := l.suspects[fingerprint]; ok && name != "" {
		suspect.next.granted, suspect.next.until = name, now.Add(grantTime)
		l.suspects[fingerprint] = suspect
	}
}

// NextTrial returns the time until a request with the fingerprint may be tried again, 0 if that
// isn't worth waiting for.
func (l *Ledger) NextTrial(fingerprint Fingerprint, now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	due, more := l.nextTrial(l.suspects[fingerprint])
	if wait := max(due.Sub(now), maxTrialWait); more && wait <= maxTrialNews {
		return wait
	}
	return 0
}
