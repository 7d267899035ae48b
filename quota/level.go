package quota

import (
	"maps"
	"math/rand/v2"
	"time"
)

// maxLevels bounds the organisations whose levels an instance remembers.
const maxLevels = 2048

// Level is what is known of an organisation's bucket from an earlier term.
type Level struct {
	allowance Allowance
	left      float64
	at        time.Time
	untold    float64
}

// NewLevel returns a level: at most so much, in the unit of the quota, was left at a time, and an
// instance has granted an untold amount that may be missing there.
func NewLevel(allowance Allowance, left float64, at time.Time, untold float64) Level {
	return Level{allowance, left, at, untold}
}

// Allowance returns the quota.
func (v Level) Allowance() Allowance { return v.allowance }

// Left returns what was left at most, in the unit of the quota; it is negative if the bucket was
// overdrawn.
func (v Level) Left() float64 { return v.left }

// At returns when that was.
func (v Level) At() time.Time { return v.at }

// Untold returns what an instance has granted and no coordinator has confirmed, in the unit of the
// quota.
func (v Level) Untold() float64 { return v.untold }

// most returns the most that can be left at a later time.
func (v Level) most(now time.Time) float64 { return v.after(now.Sub(v.at)) }

// after returns the most that can be left after the bucket was filled for a time.
func (v Level) after(filled time.Duration) float64 {
	return min(v.left+v.allowance.perSecond*filled.Seconds(), v.allowance.burst)
}

// isLow reports whether the level is below that of a new account.
func (v Level) isLow() bool {
	return v.left-v.untold < v.allowance.burst*firstLevelPercent/100
}

// lower returns the one of two levels of an organisation that leaves less.
func lower(a, b Level) Level {
	if a.allowance.version != b.allowance.version {
		if a.allowance.version > b.allowance.version {
			return a
		}
		return b
	}
	later := a.at
	if b.at.After(later) {
		later = b.at
	}
	if a.most(later) <= b.most(later) {
		return a
	}
	return b
}

// Levels are the levels that an instance has seen in the answers of coordinators, and what it has
// granted that no coordinator has confirmed. With them the levels outlast a coordinator: each
// instance tells the next one. They are not safe for concurrent use.
type Levels struct {
	list map[string]*remembered
}

// remembered is what an instance knows of one organisation's bucket.
type remembered struct {
	seen     Level
	untold   float64
	untoldAt time.Time
}

// NewLevels returns levels of no organisation.
func NewLevels() *Levels { return &Levels{make(map[string]*remembered)} }

// See records that at most so much of a quota was left at a time.
func (s *Levels) See(allowance Allowance, left float64, at time.Time) {
	if known := s.known(allowance, at); known != nil {
		known.seen = lower(known.seen, NewLevel(allowance, left, at, 0))
	}
}

// Owe records that an amount was granted at a time and that no coordinator has confirmed it.
func (s *Levels) Owe(allowance Allowance, amount float64, at time.Time) {
	if known := s.known(allowance, at); known != nil {
		known.untold = known.owed(at) + amount
		known.untoldAt = at
	}
}

// Owed returns what was granted of an organisation's quota and is not confirmed.
func (s *Levels) Owed(organisation string, now time.Time) float64 {
	if known, ok := s.list[organisation]; ok {
		return known.owed(now)
	}
	return 0
}

// Settle records that a coordinator was told of all that was granted.
func (s *Levels) Settle() {
	for _, known := range s.list {
		known.untold = 0
	}
}

// Report returns the levels that correct the accounts of a new ledger, as of when a coordinator last
// answered. If there are more than most, it returns so many at random: other instances know the others.
func (s *Levels) Report(most int, answered, now time.Time) []Level {
	var report []Level
	for _, known := range s.list {
		level := known.seen
		if answered.After(level.at) {
			level.left, level.at = level.most(answered), answered
		}
		level.untold = known.owed(now)
		if level.isLow() {
			report = append(report, level)
		}
	}
	if len(report) > most {
		rand.Shuffle(len(report), func(i, j int) { report[i], report[j] = report[j], report[i] })
		report = report[:most]
	}
	return report
}

// known returns what is known of an organisation, nil if there are too many.
func (s *Levels) known(allowance Allowance, now time.Time) *remembered {
	known, ok := s.list[allowance.organisation]
	if ok {
		return known
	}
	if len(s.list) >= maxLevels {
		maps.DeleteFunc(s.list, func(_ string, known *remembered) bool {
			return known.owed(now) == 0 && known.seen.most(now) >= known.seen.allowance.burst
		})
	}
	if len(s.list) >= maxLevels {
		return nil
	}
	known = &remembered{seen: NewLevel(allowance, allowance.burst, now, 0)}
	s.list[allowance.organisation] = known
	return known
}

// owed returns what is not confirmed. A bucket that has had the time to be filled since shows
// nothing of it any more.
func (r *remembered) owed(now time.Time) float64 {
	if now.Sub(r.untoldAt).Seconds()*r.seen.allowance.perSecond >= r.seen.allowance.burst {
		return 0
	}
	return r.untold
}
