package coord

import (
	"time"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/poison"
	"cardamomcourse.example/cardamom/syncpb"
)

// wireSuspect is a request that upstreams died of.
type wireSuspect struct {
	Fingerprint uint64   `json:"fingerprint"`
	Deaths      []string `json:"deaths"`
	Survived    []string `json:"survived,omitempty"`
	Proven      bool     `json:"proven,omitempty"`
	ExpiresInMS int64    `json:"expires_in_ms,omitempty"`
	Trials      []string `json:"trials,omitempty"`
	TriedAgeMS  int64    `json:"tried_age_ms,omitempty"`
}

const (
	// maxStoredSuspects bounds the suspects in the lease row, which is written at each
	// renewal, and maxStoredOutlived the deaths of each that were outlived.
	maxStoredSuspects = 64
	maxStoredOutlived = 2
)

// suspectsFor returns what to tell a member of suspected requests, with the trials that it may
// use of those that it asks for.
func (l *Loop) suspectsFor(member cardamom.InstanceID, told []*syncpb.Suspect, now time.Time) []*syncpb.Suspect {
	granted := make(map[uint64]string)
	for _, wire := range told {
		if !wire.GetTrialWanted() {
			continue
		}
		fingerprint := poison.Fingerprint(wire.GetFingerprint())
		if name := l.state.ledger.Grant(fingerprint, now); name != "" {
			granted[wire.GetFingerprint()] = name
			l.logger.Info("trial_granted", "instance", member, "fingerprint", fingerprint, "trial", name)
		}
	}
	list := encodeSuspects(l.state.ledger.Suspects(now), now)
	for _, wire := range list {
		wire.TrialGranted = granted[wire.GetFingerprint()]
	}
	return list
}

func encodeSuspects(suspects []poison.Suspect, now time.Time) []*syncpb.Suspect {
	list := make([]*syncpb.Suspect, 0, len(suspects))
	for _, suspect := range suspects {
		wire := &syncpb.Suspect{
			Fingerprint: uint64(suspect.Fingerprint()), Deaths: suspect.Deaths(), Survived: suspect.Outlived(), Proven: suspect.Proven(),
			ExpiresInMs: suspect.Expires().Sub(now).Milliseconds(), TrialWanted: suspect.Wanted(),
		}
		if trials, tried := suspect.Trials(); len(trials) > 0 {
			wire.Trials, wire.TriedAgeMs = trials, now.Sub(tried).Milliseconds()
		}
		list = append(list, wire)
	}
	return list
}

func decodeSuspects(list []*syncpb.Suspect, now time.Time) []poison.Suspect {
	suspects := make([]poison.Suspect, 0, len(list))
	for _, wire := range list {
		suspect := poison.NewSuspect(poison.Fingerprint(wire.GetFingerprint()), wire.GetDeaths(), suspectExpiry(wire.GetExpiresInMs(), now))
		suspect = suspect.Outliving(wire.GetSurvived(), wire.GetProven()).Tried(wire.GetTrials(), before(wire.GetTriedAgeMs(), now))
		suspects = append(suspects, suspect.Wanting(wire.GetTrialWanted()).Granting(wire.GetTrialGranted()))
	}
	return suspects
}

// suspectExpiry returns when a suspect expires that another instance, or the lease row, tells of.
func suspectExpiry(remainingMS int64, now time.Time) time.Time {
	if remainingMS <= 0 {
		return poison.Expiry(now)
	}
	return now.Add(time.Duration(remainingMS) * time.Millisecond)
}

// encodeStoredSuspects returns the suspects with the most deaths.
func encodeStoredSuspects(suspects []poison.Suspect, now time.Time) []wireSuspect {
	stored := make([]wireSuspect, 0, min(len(suspects), maxStoredSuspects))
	for _, suspect := range suspects[:min(len(suspects), maxStoredSuspects)] {
		outlived := suspect.Outlived()
		outlived = outlived[max(0, len(outlived)-maxStoredOutlived):]
		row := wireSuspect{
			Fingerprint: uint64(suspect.Fingerprint()), Deaths: suspect.Deaths(), Survived: outlived, Proven: suspect.Proven(),
			ExpiresInMS: suspect.Expires().Sub(now).Milliseconds(),
		}
		if trials, tried := suspect.Trials(); len(trials) > 0 {
			row.Trials, row.TriedAgeMS = trials, now.Sub(tried).Milliseconds()
		}
		stored = append(stored, row)
	}
	return stored
}

func decodeStoredSuspects(stored []wireSuspect, now time.Time) []poison.Suspect {
	suspects := make([]poison.Suspect, 0, len(stored))
	for _, wire := range stored {
		suspect := poison.NewSuspect(poison.Fingerprint(wire.Fingerprint), wire.Deaths, suspectExpiry(wire.ExpiresInMS, now))
		suspects = append(suspects, suspect.Outliving(wire.Survived, wire.Proven).Tried(wire.Trials, before(wire.TriedAgeMS, now)))
	}
	return suspects
}
