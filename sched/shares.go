package sched

import "time"

const (
	// shareDecrease is the factor of the shares of less urgent requests when the first event of
	// a request comes late, shareIncrease what is added when one comes in time. Together they
	// let about one in ten be late before the others get half.
	shareDecrease = 0.7
	shareIncrease = 0.02
	// minShare is the least share, so that no requests starve.
	minShare = 0.05
	// patienceDecrease, patienceIncrease and minPatience do the same for the time that a request
	// that first asks may be expected to wait, by refusals after a wait.
	patienceDecrease = 0.7
	patienceIncrease = 0.04
	minPatience      = 0.2
)

// shares limit how much of the time an engine may read the prompts of less urgent requests
// while more urgent ones come late. An engine that always has less urgent prompts to read has no
// moment at which a more urgent one can begin at once.
type shares struct {
	// levels are by urgency; a level without an entry isn't limited.
	levels map[int]*share
}

type share struct {
	share float64
	// next is when the next prompt of the level may be sent.
	next time.Time
	// patience is the part of the usual time that is left to a request that first asks.
	patience float64
}

func newShares() shares { return shares{levels: make(map[int]*share)} }

// begin returns when a prompt of an urgency may be sent at the earliest.
func (s shares) begin(urgency int) time.Time {
	if level, ok := s.levels[urgency]; ok && level.share < 1 {
		return level.next
	}
	return time.Time{}
}

// sent records that a prompt is sent.
func (s shares) sent(urgency int, start time.Time, cost time.Duration) {
	level := s.level(urgency)
	level.next = start.Add(time.Duration(float64(cost) / level.share))
}

// level returns the level of an urgency.
func (s shares) level(urgency int) *share {
	level, ok := s.levels[urgency]
	if !ok {
		level = &share{share: 1, patience: 1}
		s.levels[urgency] = level
	}
	return level
}

// waitedInVain records that a request was refused after it had waited, so that others like it
// are refused at once. That is for the least urgent ones: others wait for too long because less
// urgent prompts are being read.
func (s shares) waitedInVain(urgency int) {
	for other := range s.levels {
		if other > urgency {
			return
		}
	}
	level := s.level(urgency)
	level.patience = max(level.patience*patienceDecrease, minPatience)
}

// patience returns the part of the usual time that is left to a request that first asks.
func (s shares) patience(urgency int) float64 {
	if level, ok := s.levels[urgency]; ok {
		return level.patience
	}
	return 1
}

// observe records whether a request of an urgency was in time.
func (s shares) observe(urgency int, late bool) {
	for other, level := range s.levels {
		switch {
		case other == urgency && !late:
			level.patience = min(level.patience+patienceIncrease, 1)
		case other <= urgency:
		case late:
			level.share = max(level.share*shareDecrease, minShare)
		default:
			level.share = min(level.share+shareIncrease, 1)
		}
	}
}
