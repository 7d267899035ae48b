package coord

import (
	"context"
	"strings"
	"time"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/clock"
	"cardamomcourse.example/cardamom/poison"
	"cardamomcourse.example/cardamom/syncpb"
)

const (
	// maxSentParts bounds the parts in one message to another instance.
	maxSentParts = 128
	// maxStoredParts bounds the parts in the lease row.
	maxStoredParts = 32
	// maxStoredDeaths bounds the deaths of each of them: more than decide a verdict.
	maxStoredDeaths = 8
	// partsExchangeGap is the time without an exchange after which instances tell each
	// other everything they know of parts again.
	partsExchangeGap = 3 * time.Second
	// maxToldMembers bounds the members that an instance without a coordinator tells of a
	// part itself.
	maxToldMembers = 64
)

// partsChanged makes the next exchange start early, as other instances send prompts with
// the part in the meantime.
func (l *Loop) partsChanged() {
	// The caller may be the control goroutine itself.
	go l.post(func(time.Time) { l.reportSoon, l.partsNews = true, true })
}

// tellMembers tells all members what is new of parts while there is no coordinator that
// would.
func (l *Loop) tellMembers(now time.Time) {
	if !l.partsNews || l.hasCoordinator(now) || l.term != nil {
		return
	}
	l.partsNews = false
	request := &syncpb.ExchangeRequest{Member: l.wireMember(), Parts: encodeParts(l.options.Parts.News(now), now)}
	if len(request.Parts) == 0 {
		return
	}
	told := 0
	for _, m := range l.state.members {
		if m.ID == l.options.ID || told == maxToldMembers {
			continue
		}
		told++
		client := l.peers.dial(m.SyncAddress)
		go func() {
			ctx, cancel := context.WithTimeout(l.ctx, exchangeTimeout)
			defer cancel()
			reply, err := client.Exchange(ctx, request)
			if err != nil {
				l.post(func(time.Time) {
					l.logger.Info("parts_not_told", "instance", m.ID, "reason", err)
				})
				return
			}
			l.post(func(later time.Time) { l.mergeParts(reply.GetParts(), "member", later) })
		}()
	}
}

// mergeParts merges what another instance knows of parts.
func (l *Loop) mergeParts(list []*syncpb.PartEvidence, origin string, now time.Time) {
	l.logParts(l.options.Parts.Merge(decodeParts(list, now), now), origin)
}

// logParts logs the verdicts that have changed.
func (l *Loop) logParts(changes []poison.Change, origin string) {
	for _, change := range changes {
		l.logger.Warn("part_verdict", "service", change.Part().Service(), "part", change.Part().ID(), "refused", change.Refused(), "deaths", strings.Join(change.Deaths(), ","), "origin", origin)
	}
}

// partsFor returns what to tell another instance of parts: what is new, or everything
// where the last exchange with it is long ago.
func (l *Loop) partsFor(lastExchange, now time.Time) []*syncpb.PartEvidence {
	if now.Sub(lastExchange) > partsExchangeGap {
		return encodeParts(l.options.Parts.Evidence(now), now)
	}
	return encodeParts(l.options.Parts.News(now), now)
}

func encodeParts(list []poison.Evidence, now time.Time) []*syncpb.PartEvidence {
	parts := make([]*syncpb.PartEvidence, 0, min(len(list), maxSentParts))
	for _, e := range list[:min(len(list), maxSentParts)] {
		trials, tried := e.Trials()
		wire := &syncpb.PartEvidence{
			Service: string(e.Part().Service()), Part: e.Part().ID(), Survived: !e.Survived().IsZero(),
			SeenAgeMs: ageMS(e.Seen(), now), Trials: int32(trials), TriedAgeMs: ageMS(tried, now), SurvivedAgeMs: ageMS(e.Survived(), now), Settled: e.Settled(),
		}
		for _, d := range e.Deaths() {
			wire.Deaths = append(wire.Deaths, &syncpb.PartDeath{Name: d.Name(), SentAgeMs: ageMS(d.Sent(), now), AgeMs: ageMS(d.At(), now), Begun: d.Begun()})
		}
		parts = append(parts, wire)
	}
	return parts
}

func decodeParts(list []*syncpb.PartEvidence, now time.Time) []poison.Evidence {
	parts := make([]poison.Evidence, 0, len(list))
	for _, wire := range list {
		deaths := make([]poison.Death, 0, len(wire.GetDeaths()))
		for _, d := range wire.GetDeaths() {
			deaths = append(deaths, poison.NewDeath(d.GetName(), before(d.GetSentAgeMs(), now), before(d.GetAgeMs(), now), d.GetBegun()))
		}
		var survived, tried time.Time
		if wire.GetSurvived() {
			survived = before(wire.GetSurvivedAgeMs(), now)
		}
		if wire.GetTrials() > 0 {
			tried = before(wire.GetTriedAgeMs(), now)
		}
		part := poison.NewPart(cardamom.ServiceID(wire.GetService()), wire.GetPart())
		parts = append(parts, poison.NewEvidence(part, deaths, survived, before(wire.GetSeenAgeMs(), now), int(wire.GetTrials()), tried, wire.GetSettled()))
	}
	return parts
}

// ageMS returns how long ago a time was, 0 for the zero time.
func ageMS(at, now time.Time) int64 {
	if at.IsZero() {
		return 0
	}
	return max(now.Sub(at).Milliseconds(), 0)
}

// before returns the time that was so long ago.
func before(ageMS int64, now time.Time) time.Time {
	return now.Add(-time.Duration(max(ageMS, 0)) * time.Millisecond)
}

// wirePart is what the lease row has of a part that crashed upstreams. All instances may
// start again at once, and would let it crash further ones.
type wirePart struct {
	Service  string      `json:"service"`
	Part     string      `json:"part"`
	Deaths   []wireDeath `json:"deaths"`
	Survived bool        `json:"survived,omitempty"`
	Settled  bool        `json:"settled,omitempty"`
	Trials   int         `json:"trials,omitempty"`
	// SeenMS is the age of the evidence, and TriedMS that of the last trial, in milliseconds.
	SeenMS  int64 `json:"seen_ms"`
	TriedMS int64 `json:"tried_ms,omitempty"`
}

type wireDeath struct {
	Name   string `json:"name"`
	SentMS int64  `json:"sent_ms"`
	AgeMS  int64  `json:"age_ms"`
	Begun  bool   `json:"begun"`
}

// encodeStoredParts returns the parts with the most deaths.
func encodeStoredParts(list []poison.Evidence, now time.Time) []wirePart {
	var stored []wirePart
	for _, e := range list[:min(len(list), maxStoredParts)] {
		if len(e.Deaths()) == 0 {
			continue
		}
		trials, tried := e.Trials()
		wire := wirePart{
			Service: string(e.Part().Service()), Part: e.Part().ID(), Survived: !e.Survived().IsZero(), Settled: e.Settled(),
			Trials: trials, SeenMS: ageMS(e.Seen(), now), TriedMS: ageMS(tried, now),
		}
		for _, d := range e.Deaths()[:min(len(e.Deaths()), maxStoredDeaths)] {
			wire.Deaths = append(wire.Deaths, wireDeath{d.Name(), ageMS(d.Sent(), now), ageMS(d.At(), now), d.Begun()})
		}
		stored = append(stored, wire)
	}
	return stored
}

func decodeStoredParts(stored []wirePart, now time.Time) []poison.Evidence {
	parts := make([]poison.Evidence, 0, len(stored))
	for _, wire := range stored {
		oldest := wire.SeenMS
		deaths := make([]poison.Death, 0, len(wire.Deaths))
		for _, d := range wire.Deaths {
			deaths = append(deaths, poison.NewDeath(d.Name, before(d.SentMS, now), before(d.AgeMS, now), d.Begun))
			oldest = max(oldest, d.AgeMS)
		}
		var survived, tried time.Time
		if wire.Survived {
			// The row doesn't say when: before the deaths that it has.
			survived = before(oldest+1, now)
		}
		if wire.Trials > 0 {
			tried = before(wire.TriedMS, now)
		}
		part := poison.NewPart(cardamom.ServiceID(wire.Service), wire.Part)
		parts = append(parts, poison.NewEvidence(part, deaths, survived, before(wire.SeenMS, now), wire.Trials, tried, wire.Settled))
	}
	return parts
}

// mergeStoredParts merges what the lease row has of parts.
func (l *Loop) mergeStoredParts(stored []wirePart) {
	if len(stored) > 0 {
		now := clock.Now()
		l.logParts(l.options.Parts.Merge(decodeStoredParts(stored, now), now), "lease")
	}
}
