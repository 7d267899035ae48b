package poison

import (
	"slices"
	"time"
)

// Suspect is a fingerprint with the upstream processes that died while running
// it, each named by its upstream and its incarnation or start time.
type Suspect struct {
	fingerprint Fingerprint
	// deaths are those since a request with the fingerprint was last answered, outlived some of
	// those before, the latest last.
	deaths   []string
	outlived []string
	// proven means that requests with the fingerprint have been answered.
	proven  bool
	expires time.Time
	// trials name the requests that were sent although the fingerprint was refused, since one was
	// last answered. tried is when the last of them was.
	trials []string
	tried  time.Time
	// wanted means that a request waits for a trial at the instance that tells of the suspect, and
	// granted names the trial that the instance it is told to may use.
	wanted  bool
	granted string
	// next is this instance's own knowledge of the next trial.
	next trial
}

// NewSuspect returns a suspect received from another instance.
func NewSuspect(fingerprint Fingerprint, deaths []string, expires time.Time) Suspect {
	return Suspect{fingerprint: fingerprint, deaths: deaths, expires: expires}
}

// Outliving returns the suspect with the deaths before a request with its fingerprint was last
// answered, and whether any was.
func (s Suspect) Outliving(outlived []string, proven bool) Suspect {
	s.outlived, s.proven = outlived, proven
	return s
}

// Tried returns the suspect with the trials since a request with its fingerprint was last
// answered, and when the last of them was.
func (s Suspect) Tried(trials []string, tried time.Time) Suspect {
	s.trials, s.tried = trials, tried
	return s
}

// Wanting returns the suspect as told by an instance where a request waits for a trial, or not.
func (s Suspect) Wanting(wanted bool) Suspect {
	s.wanted = wanted
	return s
}

// Granting returns the suspect as told to an instance that may use a trial, none if the name is
// empty.
func (s Suspect) Granting(trial string) Suspect {
	s.granted = trial
	return s
}

// Fingerprint returns the request's fingerprint.
func (s Suspect) Fingerprint() Fingerprint { return s.fingerprint }

// Deaths returns the upstream processes that died since a request with the fingerprint was last
// answered, sorted.
func (s Suspect) Deaths() []string { return s.deaths }

// Outlived returns upstream processes that died before that.
func (s Suspect) Outlived() []string { return s.outlived }

// Proven reports whether requests with the fingerprint have been answered.
func (s Suspect) Proven() bool { return s.proven }

// Expires returns when the suspect is removed at the latest.
func (s Suspect) Expires() time.Time { return s.expires }

// Trials returns the trials since a request with the fingerprint was last answered, and when the
// last of them was.
func (s Suspect) Trials() ([]string, time.Time) { return s.trials, s.tried }

// Wanted reports whether a request waits for a trial at the instance that tells of the suspect.
func (s Suspect) Wanted() bool { return s.wanted }

// died returns when the last of the deaths was noticed.
func (s Suspect) died() time.Time { return s.expires.Add(-refusedTTL) }

// expired reports whether the suspect is to be removed.
func (s Suspect) expired(now time.Time) bool {
	return !s.expires.After(now) || !s.refused() && now.Sub(s.died()) >= suspectTTL
}

// refused reports whether requests with the fingerprint are refused.
func (s Suspect) refused() bool {
	return len(s.deaths) >= refuseProvenAfter || len(s.deaths) >= refuseAfter && !s.proven
}

// Expiry returns when a suspect expires at the latest whose last death was noticed at a time.
func Expiry(died time.Time) time.Time { return died.Add(refusedTTL) }

// forget returns the suspect without deaths and trials that no longer count.
func (s Suspect) forget(names []string) Suspect {
	s.outlived = latest(s.outlived, names)
	s.deaths, s.trials = without(s.deaths, s.outlived), without(s.trials, s.outlived)
	if len(s.trials) == 0 {
		s.tried = time.Time{}
	}
	if slices.Contains(s.outlived, s.next.given) {
		s.next.given, s.next.givenAt = "", time.Time{}
	}
	return s
}
