package poison

import (
	"slices"
	"sync"
	"time"

	cardamom "cardamomcourse.example/cardamom"
)

const (
	// partRetention is how long a part is remembered after it last crashed an upstream or
	// was refused.
	partRetention = time.Hour
	// seenInterval is the time between two notices to others that a part is still refused.
	seenInterval = 10 * time.Minute
	// newsTime is how long others are told of a change: several exchanges.
	newsTime = 5 * time.Second
	// survivalNewsTime is how long after the last death others are told that requests with
	// the part survive.
	survivalNewsTime = 10 * time.Second
	// maxParts bounds the parts with evidence, maxDeaths the deaths of each.
	maxParts  = 2048
	maxDeaths = 32
	// maxSurvivors bounds each of the two generations of parts that requests have survived.
	maxSurvivors = 8192
	// maxTrials is how many requests are let through after a part was refused: with the
	// deaths that decided it they crash five upstreams at most.
	maxTrials = 2
	// maxTriedDeaths is the number of deaths from which none is let through.
	maxTriedDeaths = 5
	// firstTrialDelay is how long after it was last tried a refused part gets its first
	// trial. The second takes trialDelayFactor times as long.
	firstTrialDelay  = 5 * time.Minute
	trialDelayFactor = 4
)

// Change is a verdict on a part that has changed.
type Change struct {
	evidence Evidence
	refused  bool
}

// Part returns the part.
func (c Change) Part() Part { return c.evidence.part }

// Refused reports whether prompts with the part are refused from now on.
func (c Change) Refused() bool { return c.refused }

// Deaths returns the names of the deaths that decided it.
func (c Change) Deaths() []string {
	names := make([]string, 0, len(c.evidence.deaths))
	for _, d := range c.evidence.deaths {
		names = append(names, d.name)
	}
	return names
}

// Parts decides which shared parts of prompts crash upstreams. It is safe for concurrent
// use.
type Parts struct {
	mu      sync.Mutex
	records map[Part]*record
	// survivors and olderSurvivors are two generations of parts, with the time at which a
	// request with the part last survived.
	survivors      map[Part]time.Time
	olderSurvivors map[Part]time.Time
	// survivals counts by service the requests that survived.
	survivals map[cardamom.ServiceID]int
	// running are the parts of suspected requests in flight at this instance.
	running map[Part]bool
	// sound are the parts that the operator declares sound.
	sound map[Part]bool
	// tries means that this instance may let requests through for trial.
	tries    bool
	onChange func()
	// revision grows with each death that is new to the ledger.
	revision uint64
}

// NewParts returns a ledger without evidence.
func NewParts() *Parts {
	return &Parts{
		records: make(map[Part]*record), survivors: make(map[Part]time.Time), olderSurvivors: make(map[Part]time.Time),
		survivals: make(map[cardamom.ServiceID]int), running: make(map[Part]bool), onChange: func() {},
	}
}

// OnChange sets a function that is called when this instance has evidence that others lack.
func (p *Parts) OnChange(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.onChange = f
}

// Revision returns a number that grows with each death that is new to the ledger.
func (p *Parts) Revision() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.revision
}

// AllowTrials sets whether this instance lets requests through for trial. One instance
// does at a time, so that all together keep to the number of trials.
func (p *Parts) AllowTrials(allowed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tries = allowed
}

// SetSound sets the parts that the operator declares sound: they are never refused.
func (p *Parts) SetSound(parts []Part) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sound = make(map[Part]bool, len(parts))
	for _, part := range parts {
		p.sound[part] = true
	}
}

// Died records the death of an upstream process while it had a request with the parts
// that had got no whole event of its answer.
func (p *Parts) Died(service cardamom.ServiceID, parts []string, death Death, now time.Time) []Change {
	if len(parts) == 0 {
		return nil
	}
	p.mu.Lock()
	for _, id := range parts {
		p.merge(Evidence{part: Part{service, id}, deaths: []Death{death}, seen: now}, now)
	}
	changes, notify := p.judge(now), p.onChange
	p.mu.Unlock()
	notify()
	return changes
}

// Survived records that a request with the parts got the first event of its answer, or the
// whole of it.
func (p *Parts) Survived(service cardamom.ServiceID, parts []string, now time.Time) []Change {
	if len(parts) == 0 {
		return nil
	}
	p.mu.Lock()
	p.survivals[service]++
	cleared := false
	for _, id := range parts {
		part := Part{service, id}
		p.remember(part, now)
		if r, ok := p.records[part]; ok {
			cleared = cleared || len(r.deaths) > 0
			if len(r.deaths) > 0 || now.Sub(r.seen) < survivalNewsTime {
				r.changed = now
			}
			r.survived, r.deaths = now, nil
		}
	}
	if !cleared && !p.waits() {
		p.mu.Unlock()
		return nil
	}
	changes, notify := p.judge(now), p.onChange
	p.mu.Unlock()
	if cleared || len(changes) > 0 {
		notify()
	}
	return changes
}

// waits reports whether the verdict on a part waits for requests without it to survive.
func (p *Parts) waits() bool {
	for _, r := range p.records {
		if r.verdict != Refused && len(r.deaths)*begunPoints >= refusalPoints {
			return true
		}
	}
	return false
}

// remember keeps when a request with a part last survived.
func (p *Parts) remember(part Part, now time.Time) {
	if _, ok := p.survivors[part]; !ok && len(p.survivors) >= maxSurvivors {
		p.survivors, p.olderSurvivors = make(map[Part]time.Time), p.survivors
	}
	p.survivors[part] = now
}

// lastSurvival returns when a request with a part last survived here, as far as that is
// remembered.
func (p *Parts) lastSurvival(part Part) time.Time {
	if at, ok := p.survivors[part]; ok {
		return at
	}
	return p.olderSurvivors[part]
}

// Merge adds evidence of other instances.
func (p *Parts) Merge(list []Evidence, now time.Time) []Change {
	if len(list) == 0 {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range list {
		p.merge(e, now)
	}
	return p.judge(now)
}

func (p *Parts) merge(e Evidence, now time.Time) {
	if now.Sub(e.seen) >= partRetention {
		return
	}
	r, ok := p.records[e.part]
	if !ok {
		if len(p.records) >= maxParts {
			p.evict(now)
		}
		r = &record{Evidence: Evidence{part: e.part, survived: p.lastSurvival(e.part)}}
		p.records[e.part] = r
	}
	if len(r.deaths) == 0 {
		r.survivalsBefore = p.survivals[e.part.service]
	}
	before := len(r.deaths)
	if r.learn(e) || !ok {
		r.changed = now
	}
	if len(r.deaths) > before {
		p.revision++
	}
}

// evict removes the expired records, or the one with the weakest evidence, of these the
// one that was seen first.
func (p *Parts) evict(now time.Time) {
	var weakest *record
	for part, r := range p.records {
		if now.Sub(r.seen) >= partRetention {
			delete(p.records, part)
			continue
		}
		if weakest == nil || len(r.deaths) < len(weakest.deaths) || len(r.deaths) == len(weakest.deaths) && r.seen.Before(weakest.seen) {
			weakest = r
		}
	}
	if len(p.records) >= maxParts {
		delete(p.records, weakest.part)
	}
}

// Verdict returns the verdict on a prompt with the parts, and the part that decided it.
func (p *Parts) Verdict(service cardamom.ServiceID, parts []string, now time.Time) (Verdict, string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	verdict, decisive, isolated := Clean, "", false
	for _, id := range parts {
		r, ok := p.records[Part{service, id}]
		if !ok || p.sound[r.part] {
			continue
		}
		if now.Sub(r.seen) >= partRetention {
			delete(p.records, r.part)
			continue
		}
		found := r.verdict
		if found == Refused && !r.coveredBy(parts) {
			found = Suspected
		}
		if found > verdict || found == verdict && r.isolated && !isolated {
			verdict, decisive, isolated = found, id, r.isolated
		}
	}
	if verdict == Refused {
		r := p.records[Part{service, decisive}]
		r.seen = now
		if now.Sub(r.changed) >= seenInterval {
			r.changed = now
		}
	}
	return verdict, decisive
}

// TryRefused reports whether a request with a refused part is let through, to find out
// whether the verdict is wrong.
func (p *Parts) TryRefused(service cardamom.ServiceID, id string, now time.Time) bool {
	p.mu.Lock()
	r, ok := p.records[Part{service, id}]
	if !ok || !p.tries || r.verdict != Refused || r.trials >= maxTrials || len(r.deaths) >= maxTriedDeaths {
		p.mu.Unlock()
		return false
	}
	delay, since := firstTrialDelay, r.deaths[len(r.deaths)-1].at
	for range r.trials {
		delay *= trialDelayFactor
	}
	if r.tried.After(since) {
		since = r.tried
	}
	if now.Sub(since) < delay {
		p.mu.Unlock()
		return false
	}
	r.trials, r.tried, r.changed = r.trials+1, now, now
	notify := p.onChange
	p.mu.Unlock()
	notify()
	return true
}

// Evidence returns the evidence on all parts, those with the most deaths first.
func (p *Parts) Evidence(now time.Time) []Evidence { return p.changedSince(now, time.Time{}) }

// News returns the evidence that has changed a short time ago.
func (p *Parts) News(now time.Time) []Evidence { return p.changedSince(now, now.Add(-newsTime)) }

// changedSince returns the evidence that has changed since a time.
func (p *Parts) changedSince(now, since time.Time) []Evidence {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []Evidence
	for part, r := range p.records {
		if now.Sub(r.seen) >= partRetention {
			delete(p.records, part)
			continue
		}
		if r.changed.Before(since) {
			continue
		}
		e := r.Evidence
		e.deaths = slices.Clone(e.deaths)
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b Evidence) int {
		if len(a.deaths) != len(b.deaths) {
			return len(b.deaths) - len(a.deaths)
		}
		return b.seen.Compare(a.seen)
	})
	return list
}

// Counts returns how many parts are suspected and how many refused.
func (p *Parts) Counts() (suspected, refused int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.records {
		switch r.verdict {
		case Suspected:
			suspected++
		case Refused:
			refused++
		default:
		}
	}
	return suspected, refused
}
