package poison

import (
	"slices"
	"strings"
	"time"
)

// record is the evidence on a part with the verdict.
type record struct {
	Evidence
	verdict Verdict
	// together are the parts that all the deaths have in common and that no request has
	// survived. Any of them may be the cause, so prompts are refused that have all.
	together []string
	// isolated means that requests with the part are sent alone while it is suspected.
	isolated bool
	// changed is when this instance last learned something of the part, or last told others
	// that it is still seen.
	changed time.Time
	// survivalsBefore is how many requests of the service had survived before the first of
	// the deaths.
	survivalsBefore int
}

// coveredBy reports whether a prompt has all parts that may be the cause.
func (r *record) coveredBy(parts []string) bool {
	for _, id := range r.together {
		if !slices.Contains(parts, id) {
			return false
		}
	}
	return true
}

// settlingDeaths is how many deaths after the beginning of an answer a verdict needs to stay.
const settlingDeaths = refusalPoints / begunPoints

// judge decides on all parts anew. A death that has a refused part speaks against no
// other part, so the parts with the fewest deaths go first: a part that sound prompts
// share has the deaths of other parts besides.
func (p *Parts) judge(now time.Time) []Change {
	list := make([]*record, 0, len(p.records))
	begun := make(map[string]bool)
	for _, r := range p.records {
		list = append(list, r)
		for _, d := range r.deaths {
			begun[d.name] = begun[d.name] || d.begun
		}
	}
	slices.SortFunc(list, compareSuspicion)
	explained := make(map[string]*record)
	var changes []Change
	for _, r := range list {
		before, wasSettled := r.verdict, r.settled
		others := p.survivals[r.part.service] - r.survivalsBefore
		r.verdict = r.judge(func(d Death) bool {
			by, ok := explained[d.name]
			return ok && !slices.Contains(by.together, r.part.id)
		}, begun, others)
		r.settle(list, begun, others)
		if r.settled && !wasSettled {
			r.changed = now
		}
		r.isolated = r.isolate(begun)
		if r.verdict == Refused {
			for _, d := range r.deaths {
				explained[d.name] = r
			}
		}
		if (before == Refused) != (r.verdict == Refused) {
			changes = append(changes, Change{evidence: r.Evidence, refused: r.verdict == Refused})
		}
	}
	return changes
}

// settle finishes the verdict with what is known of the other parts. One on strong evidence
// that holds without a look at them stays until a request with the part survives, also if
// another part turns out to explain some of the deaths. So does one on a part that always dies.
func (r *record) settle(list []*record, begun map[string]bool, others int) {
	switch {
	case len(r.deaths) == 0:
		r.settled = false
	case r.settled:
		r.verdict, r.together = Refused, []string{r.part.id}
	case r.alwaysDies(begun, others):
		r.verdict, r.settled, r.together = Refused, true, []string{r.part.id}
	case r.verdict == Refused:
		r.together = []string{r.part.id}
		ambiguous := !r.proven() && r.compare(list, begun)
		if ambiguous && others == 0 {
			r.verdict = Suspected
		}
		r.settled = !ambiguous && len(r.together) == 1 && r.begunDeaths() >= settlingDeaths
	}
}

// compare finds the parts that no request has survived and that all the deaths have in
// common. It reports whether the deaths don't suffice for a verdict without those of which
// another such part may as well be the cause, one that has fewer deaths and at least two
// of these: then it takes a request that survives without the part to tell.
func (r *record) compare(list []*record, begun map[string]bool) bool {
	alternative := make(map[string]bool)
	for _, other := range list {
		if other == r || other.part.service != r.part.service || other.proven() {
			continue
		}
		common, asStrong := r.commonDeaths(other)
		switch {
		case common == len(r.deaths):
			r.together = append(r.together, other.part.id)
		case len(asStrong) >= 2 && len(other.deaths) < len(r.deaths):
			for _, name := range asStrong {
				alternative[name] = true
			}
		}
	}
	return r.points(func(d Death) bool { return alternative[d.name] }, begun) < refusalPoints
}

// commonDeaths returns how many of the deaths the other part has, and the names of those
// for which its evidence is as strong.
func (r *record) commonDeaths(other *record) (common int, asStrong []string) {
	for _, d := range r.deaths {
		at := slices.IndexFunc(other.deaths, func(o Death) bool { return o.name == d.name })
		if at < 0 {
			continue
		}
		common++
		if other.deaths[at].begun || !d.begun {
			asStrong = append(asStrong, d.name)
		}
	}
	return common, asStrong
}

// compareSuspicion orders parts that no request has survived before those that some have,
// and those with few deaths before those with more.
func compareSuspicion(a, b *record) int {
	switch {
	case a.proven() != b.proven():
		if b.proven() {
			return -1
		}
		return 1
	case len(a.deaths) != len(b.deaths):
		return len(a.deaths) - len(b.deaths)
	case a.part.service != b.part.service:
		return strings.Compare(string(a.part.service), string(b.part.service))
	default:
		return strings.Compare(a.part.id, b.part.id)
	}
}
