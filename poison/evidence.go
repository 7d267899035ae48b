package poison

import (
	"slices"
	"time"

	cardamom "cardamomcourse.example/cardamom"
)

// Part identifies a shared part of the prompts that a service gets.
type Part struct {
	service cardamom.ServiceID
	id      string
}

// NewPart returns the part with the identifier that callers use for it.
func NewPart(service cardamom.ServiceID, id string) Part { return Part{service, id} }

// Service returns the service whose prompts have the part.
func (p Part) Service() cardamom.ServiceID { return p.service }

// ID returns the identifier that callers use for the part.
func (p Part) ID() string { return p.id }

// Death is the death of an upstream process while it had a request with the part that
// had got no whole event of its answer.
type Death struct {
	name  string
	sent  time.Time
	at    time.Time
	begun bool
}

// NewDeath returns a death. The name identifies the upstream and its process, sent is
// when the request was sent to it, at is when it was noticed that the process had ended,
// and begun means that the answer had begun.
func NewDeath(name string, sent, at time.Time, begun bool) Death {
	return Death{name, sent, at, begun}
}

// Name identifies the upstream and its process.
func (d Death) Name() string { return d.name }

// Sent returns when the request was sent to the upstream.
func (d Death) Sent() time.Time { return d.sent }

// At returns when the death was noticed.
func (d Death) At() time.Time { return d.at }

// Begun reports whether the answer had begun.
func (d Death) Begun() bool { return d.begun }

// Evidence is what instances know of a part that may crash upstreams.
type Evidence struct {
	part Part
	// deaths are those since a request with the part last survived, in order of time.
	deaths []Death
	// survived is when a request with the part was last known to survive the beginning of
	// its answer, zero if none did.
	survived time.Time
	// seen is when the part last crashed an upstream or was refused.
	seen time.Time
	// trials is how many requests were let through after the part was refused, and tried
	// when the last of them was.
	trials int
	tried  time.Time
	// settled means that the part is refused until a request with it survives.
	settled bool
}

// NewEvidence returns evidence received from another instance.
func NewEvidence(part Part, deaths []Death, survived, seen time.Time, trials int, tried time.Time, settled bool) Evidence {
	return Evidence{part, deaths, survived, seen, trials, tried, settled}
}

// Part returns the part.
func (e Evidence) Part() Part { return e.part }

// Deaths returns the deaths since a request with the part last survived.
func (e Evidence) Deaths() []Death { return e.deaths }

// Survived returns when a request with the part last survived, zero if none did.
func (e Evidence) Survived() time.Time { return e.survived }

// Seen returns when the part last crashed an upstream or was refused.
func (e Evidence) Seen() time.Time { return e.seen }

// Trials returns how many requests were let through after the part was refused, and when
// the last of them was.
func (e Evidence) Trials() (int, time.Time) { return e.trials, e.tried }

// Settled reports whether the part is refused until a request with it survives.
func (e Evidence) Settled() bool { return e.settled }

const (
	// begunPoints and waitingPoints are what a death counts, by whether the answer had begun.
	// An engine that crashes on a part has begun to answer. Where no answer had, the last
	// bytes were lost, and all requests count alike.
	begunPoints   = 2
	waitingPoints = 1
	// refusalPoints are three deaths while an answer had begun.
	refusalPoints = 3 * begunPoints
	// deathGap is the least time between two deaths that count, unless the request of the
	// second was sent after the first. Engines that end together have another cause than a
	// part, and share its requests by chance.
	deathGap = 100 * time.Millisecond
	// provenRefusalPoints and provenDeathGap replace them for a part that requests have
	// survived. Its deaths are nearly always those of another part that stood in the same
	// prompts.
	provenRefusalPoints = 4 * begunPoints
	provenDeathGap      = 250 * time.Millisecond
	// maxExplainedDeaths is how many upstreams may end with a part before it no longer counts
	// that other parts explain it.
	maxExplainedDeaths = 5
	// provenOthers is how many requests without such a part have survived since its first
	// death. When all of a service fails, its shared parts have no survivors either.
	provenOthers = 8
	// survivalTolerance is how much later than known another instance's survival has to be
	// to be a new one: with each exchange, its time seems later by the time that the call took.
	survivalTolerance = 500 * time.Millisecond
)

// proven reports whether requests with the part have survived.
func (e *Evidence) proven() bool { return !e.survived.IsZero() }

// points returns what the deaths count that no other refused part explains. begun has the
// deaths for which some request's answer had begun.
func (e *Evidence) points(explained func(Death) bool, begun map[string]bool) int {
	points := 0
	var last time.Time
	for _, d := range e.deaths {
		if explained(d) || !last.IsZero() && !e.apart(last, d) {
			continue
		}
		last = d.at
		if d.begun || !begun[d.name] {
			points += begunPoints
		} else {
			points += waitingPoints
		}
	}
	return points
}

// alwaysDies reports whether the part is refused whatever else explains its deaths: so many
// upstreams ended with it, at as many moments as a verdict needs, and requests survive without
// it, none with it.
func (e *Evidence) alwaysDies(begun map[string]bool, others int) bool {
	needed := refusalPoints
	if e.proven() {
		needed = provenRefusalPoints
	}
	return len(e.deaths) >= maxExplainedDeaths && others >= provenOthers && e.points(nothing, begun) >= needed
}

// nothing explains no death.
func nothing(Death) bool { return false }

// begunDeaths returns how many of the deaths came after the answer had begun.
func (e *Evidence) begunDeaths() int {
	count := 0
	for _, d := range e.deaths {
		if d.begun {
			count++
		}
	}
	return count
}

// apart reports whether a death counts beside one that was noticed at a time before it.
func (e *Evidence) apart(last time.Time, d Death) bool {
	if e.proven() {
		return d.at.Sub(last) >= provenDeathGap
	}
	return d.sent.After(last) || d.at.Sub(last) >= deathGap
}

// judge returns the verdict on the part. others is how many requests without it have
// survived since its first death.
func (e *Evidence) judge(explained func(Death) bool, begun map[string]bool, others int) Verdict {
	points := e.points(explained, begun)
	switch {
	case e.proven() && points >= provenRefusalPoints && others >= provenOthers, !e.proven() && points >= refusalPoints:
		return Refused
	case e.proven() && points > begunPoints, !e.proven() && e.points(nothing, begun) >= begunPoints:
		// What refused parts explain is suspected as well until it survives.
		return Suspected
	default:
		return Clean
	}
}

// learn adds what another instance knows, and reports whether that was new.
func (e *Evidence) learn(other Evidence) bool {
	before, count := *e, len(e.deaths)
	if other.seen.After(e.seen) {
		e.seen = other.seen
	}
	if other.trials > e.trials {
		e.trials, e.tried = other.trials, other.tried
	}
	if other.survived.After(e.survived.Add(survivalTolerance)) {
		e.survived, e.settled = other.survived, false
		e.deaths = slices.DeleteFunc(slices.Clone(e.deaths), func(d Death) bool { return !d.at.After(e.survived) })
	}
	added := false
	for _, d := range other.deaths {
		if d.at.After(e.survived) && len(e.deaths) < maxDeaths && !slices.ContainsFunc(e.deaths, func(known Death) bool { return known.name == d.name && (known.begun || !d.begun) }) {
			e.deaths = slices.DeleteFunc(e.deaths, func(known Death) bool { return known.name == d.name })
			e.deaths = append(e.deaths, d)
			added = true
		}
	}
	slices.SortStableFunc(e.deaths, func(a, b Death) int { return a.at.Compare(b.at) })
	// One that doesn't know of a survival has settled on older deaths.
	if other.settled && len(e.deaths) > 0 && !e.survived.After(other.survived.Add(survivalTolerance)) {
		e.settled = true
	}
	return added || len(e.deaths) != count || e.trials != before.trials || e.proven() != before.proven() || e.settled != before.settled
}
