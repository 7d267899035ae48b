// Package poison refuses requests that crash the upstreams that run them: single requests,
// by their fingerprint, and all prompts with a part.
//
// A fingerprint, a hash of a request's model and body, is suspected when an upstream
// died while running a request with it. A suspected request runs on an upstream that runs no other suspected
// request, so that the next death has a single suspect. A fingerprint with two
// deaths is refused until its record expires. A request that is answered clears its
// fingerprint of all deaths so far, and from then on four deaths are needed: callers may share
// a request, such as one for a page, and upstreams that end for other causes have it in flight.
// A refused fingerprint gets a few trials: one request with it at a time is sent, at one
// instance, and clears it if it is answered.
//
// A shared part of prompts is suspected when an upstream died before a request with the
// part got the first event of its answer, and refused after three such deaths. A request
// that gets an event clears all parts of its prompt. So a part that sound prompts share is
// cleared all the time, though it stands in prompts that crash upstreams.
//
// # Usage
//
//	ledger := poison.New()
//	ledger.RecordDeath(fingerprint, "i-3/17", now)
//	if ledger.Verdict(fingerprint, now) == poison.Refused { ... }
//	ledger.RecordSurvival(fingerprint)
//	if _, ok := ledger.AskTrial(fingerprint, now); ok { ... }
//	if ledger.MayTry(fingerprint, now) && ledger.Try(fingerprint, now) { ... }
//
//	parts := poison.NewParts()
//	parts.Survived("muse-models", []string{"5c1e07a2"}, now)
//	parts.Died("muse-models", []string{"5c1e07a2", "91bd3f06"}, poison.NewDeath("i-3/17", sent, now, true), now)
//	if verdict, part := parts.Verdict("muse-models", request.SharedParts, now); verdict == poison.Refused { ... }
package poison

import (
	"fmt"
	"slices"
	"sort"
	"sync"
	"time"
)

// Fingerprint is a hash that identifies a request's model and body.
type Fingerprint uint64

// String returns the fingerprint in hexadecimal, as in logs.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

// Verdict classifies a fingerprint by the deaths recorded for it.
type Verdict uint8

// The verdicts.
const (
	Clean Verdict = iota
	Suspected
	Refused
)

const (
	// refuseAfter is the number of deaths after which a fingerprint is refused, and
	// refuseProvenAfter that for one whose requests have been answered.
	refuseAfter       = 2
	refuseProvenAfter = 4
	// maxOutlived bounds the deaths that are remembered as outlived. Older ones are no longer told
	// by anyone.
	maxOutlived = 32
	// maxAnswered bounds each of the two generations of fingerprints that were answered.
	maxAnswered = 4096
	// suspectTTL is how long a suspect is kept after the last death recorded for it: if it isn't
	// refused, and refusedTTL otherwise, which is longer than its trials take.
	suspectTTL = 10 * time.Minute
	refusedTTL = time.Hour
	// maxSuspects bounds the ledger.
	maxSuspects = 4096
)

// Ledger records deaths by fingerprint. It is safe for concurrent use.
type Ledger struct {
	mu       sync.Mutex
	suspects map[Fingerprint]Suspect
	// answered and olderAnswered are two generations of fingerprints that were answered here.
	answered      map[Fingerprint]struct{}
	olderAnswered map[Fingerprint]struct{}
	// revision grows with each death, trial and answer after a death that is new to the ledger.
	revision uint64
	onChange func()
	// cautious means that a fingerprint that was never answered is tried only after the longest
	// delay.
	cautious bool
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{suspects: make(map[Fingerprint]Suspect), answered: make(map[Fingerprint]struct{}), onChange: func() {}}
}

// OnChange sets a function that is called when this instance knows something that others lack.
func (l *Ledger) OnChange(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.onChange = f
}

// Revision returns a number that grows with each death, trial and answer after a death that is
// new to the ledger.
func (l *Ledger) Revision() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.revision
}

// RecordDeath records the death of an upstream process while it ran a request
// with the fingerprint.
func (l *Ledger) RecordDeath(fingerprint Fingerprint, death string, now time.Time) {
	l.Merge([]Suspect{NewSuspect(fingerprint, []string{death}, Expiry(now))}, now)
	l.mu.Lock()
	notify := l.onChange
	l.mu.Unlock()
	notify()
}

// RecordSurvival records that a request with the fingerprint was answered: the upstreams that
// died with it so far had another cause. It reports whether the fingerprint was refused until then.
func (l *Ledger) RecordSurvival(fingerprint Fingerprint) bool {
	l.mu.Lock()
	if _, ok := l.answered[fingerprint]; !ok && len(l.answered) >= maxAnswered {
		l.answered, l.olderAnswered = make(map[Fingerprint]struct{}), l.answered
	}
	l.answered[fingerprint] = struct{}{}
	notify, refused := func() {}, false
	if known, ok := l.suspects[fingerprint]; ok && (len(known.deaths) > 0 || !known.proven) {
		refused = known.refused()
		known = known.forget(slices.Concat(known.trials, known.deaths))
		known.next, known.proven = trial{}, true
		l.suspects[fingerprint] = known
		l.revision++
		notify = l.onChange
	}
	l.mu.Unlock()
	notify()
	return refused
}

// wasAnswered reports whether a request with the fingerprint was answered here, as far as that
// is remembered.
func (l *Ledger) wasAnswered(fingerprint Fingerprint) bool {
	_, ok := l.answered[fingerprint]
	if !ok {
		_, ok = l.olderAnswered[fingerprint]
	}
	return ok
}

// Merge adds suspects received from another instance. A death that is received
// twice counts once, and one that any instance knows to be outlived not at all. Only a
// death that is new makes a known suspect expire later.
func (l *Ledger) Merge(suspects []Suspect, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, suspect := range suspects {
		if suspect.expired(now) {
			continue
		}
		known, ok := l.suspects[suspect.fingerprint]
		if ok && known.expired(now) {
			known, ok = Suspect{}, false
		}
		if !ok && len(l.suspects) >= maxSuspects {
			l.removeExpired(now)
		}
		known.fingerprint = suspect.fingerprint
		known.proven = known.proven || suspect.proven || l.wasAnswered(suspect.fingerprint)
		before := len(known.deaths)
		known = known.forget(suspect.outlived)
		known.deaths = unexplained(known, suspect.deaths)
		added, trials := len(known.deaths) > before, len(known.trials)
		known.trials = without(append(slices.Clone(known.trials), suspect.trials...), known.outlived)
		tried := len(known.trials) > trials
		if added || tried || len(known.deaths) < before {
			l.revision++
		}
		if (added || !ok) && suspect.expires.After(known.expires) {
			known.expires = suspect.expires
		}
		if tried && suspect.tried.After(known.tried) {
			known.tried = suspect.tried
		}
		l.suspects[suspect.fingerprint] = known
		l.receive(suspect.fingerprint, suspect.granted, now)
	}
}

// Verdict returns whether a fingerprint is clean, suspected or refused.
func (l *Ledger) Verdict(fingerprint Fingerprint, now time.Time) Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.verdict(fingerprint, now)
}

func (l *Ledger) verdict(fingerprint Fingerprint, now time.Time) Verdict {
	suspect, ok := l.suspects[fingerprint]
	switch {
	case !ok || suspect.expired(now) || len(suspect.deaths) == 0:
		return Clean
	case suspect.refused():
		return Refused
	default:
		return Suspected
	}
}

// Suspects returns the unexpired suspects, those with the most deaths first.
func (l *Ledger) Suspects(now time.Time) []Suspect {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removeExpired(now)
	suspects := make([]Suspect, 0, len(l.suspects))
	for _, suspect := range l.suspects {
		suspects = append(suspects, suspect.Wanting(suspect.next.wanted(now)))
	}
	sort.Slice(suspects, func(i, j int) bool {
		if len(suspects[i].deaths) != len(suspects[j].deaths) {
			return len(suspects[i].deaths) > len(suspects[j].deaths)
		}
		return suspects[i].expires.After(suspects[j].expires)
	})
	return suspects
}

// removeExpired removes the expired suspects, and the one that expires first if
// the ledger is still full.
func (l *Ledger) removeExpired(now time.Time) {
	var first Fingerprint
	var earliest time.Time
	for fingerprint, suspect := range l.suspects {
		if suspect.expired(now) {
			delete(l.suspects, fingerprint)
			continue
		}
		if earliest.IsZero() || suspect.expires.Before(earliest) {
			first, earliest = fingerprint, suspect.expires
		}
	}
	if len(l.suspects) >= maxSuspects {
		delete(l.suspects, first)
	}
}

// unexplained returns the sorted union of a suspect's deaths and others, without those that are
// outlived. It has refuseProvenAfter at most, as further deaths don't change the verdict.
func unexplained(s Suspect, added []string) []string {
	names := without(slices.Concat(s.deaths, added), s.outlived)
	return names[:min(len(names), refuseProvenAfter)]
}

// without returns the names sorted, each once, without others.
func without(names, others []string) []string {
	names = slices.DeleteFunc(slices.Clone(names), func(name string) bool { return slices.Contains(others, name) })
	slices.Sort(names)
	return slices.Compact(names)
}

// latest returns the names with others added at the end, without the first ones if there are more
// than maxOutlived.
func latest(names, added []string) []string {
	list := slices.Clone(names)
	for _, name := range added {
		if !slices.Contains(list, name) {
			list = append(list, name)
		}
	}
	return list[max(0, len(list)-maxOutlived):]
}
