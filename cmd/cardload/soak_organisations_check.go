package main

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"cardamomcourse.example/cardamom/fakes/host"
)

const (
	// soakQuotaFactor and soakQuotaSlack are what may run in a window beyond the rate and the
	// burst. The operators' 72,000 tokens are some eight long prompts; here eight of the
	// largest requests count.
	soakQuotaFactor = 1.1
	soakQuotaSlack  = 8 * soakPlainTokens
	// soakCalmTime is the time at the end over which an organisation that exceeds its limit
	// has to get a part of it.
	soakCalmTime = 3 * time.Second
	// soakFewRequests is the number of requests up to which no share of them is judged.
	soakFewRequests = 10
)

// holding is a time in which a key named an organisation; to is zero if it still does.
type holding struct {
	organisation string
	from, to     time.Time
}

// limitChange is an organisation as of a publication.
type limitChange struct {
	host.Organisation
	from time.Time
}

// organisationRecord is what was published, sent and run in a soak with organisations.
type organisationRecord struct {
	sent     map[string]*sentRequest
	arrivals []host.Arrival
	runs     []host.Run
	// ended is when callers were told to stop.
	ended time.Time
	// keys has the times of each key in order. limits has the changes of each organisation.
	keys   map[string][]holding
	limits map[string][]limitChange
}

// newOrganisationRecord returns a record of what was published, without arrivals and runs.
func newOrganisationRecord(published []host.Publication, sent map[string]*sentRequest, ended time.Time) (*organisationRecord, error) {
	r := &organisationRecord{sent: sent, ended: ended, keys: make(map[string][]holding), limits: make(map[string][]limitChange)}
	for n, publication := range published {
		list, err := publication.Organisations()
		if err != nil {
			return nil, err
		}
		var until time.Time
		if n+1 < len(published) {
			until = published[n+1].At
		}
		for _, organisation := range list {
			r.limits[organisation.Name] = append(r.limits[organisation.Name], limitChange{organisation, publication.At})
			for _, key := range organisation.Keys {
				r.hold(key, holding{organisation.Name, publication.At, until})
			}
		}
	}
	return r, nil
}

// hold adds a time of a key, joined to the one before it if there is no gap.
func (r *organisationRecord) hold(key string, next holding) {
	times := r.keys[key]
	if n := len(times); n > 0 && times[n-1].to.Equal(next.from) && times[n-1].organisation == next.organisation {
		times[n-1].to = next.to
		return
	}
	r.keys[key] = append(times, next)
}

// violations returns what must not have happened.
func (r *organisationRecord) violations() []string {
	return slices.Concat(r.forwardedKeys(), r.wrongRuns(), r.exceededQuotas(), r.falseRefusals(), r.unserved(), r.starved())
}

// forwardedKeys checks that no upstream got a key.
func (r *organisationRecord) forwardedKeys() []string {
	var found []string
	for _, arrival := range r.arrivals {
		if len(arrival.Keys) > 0 {
			found = append(found, arrival.ID+" reached an upstream with a key")
		}
	}
	return found
}

// wrongRuns checks that requests ran for the holder of their key, and none with a key that
// never was or was taken away longer than soakKeyMaxAge before the request was sent.
func (r *organisationRecord) wrongRuns() []string {
	var found []string
	for _, run := range r.runs {
		e, ok := r.sent[run.ID]
		if !ok {
			continue
		}
		holder, isHeld := r.holder(e, run.At)
		switch {
		case e.kind == "/open/":
			if len(run.Header.Values("Tenant")) > 0 {
				found = append(found, fmt.Sprintf("%s ran for %q on the anonymous route", run.ID, run.Organisation()))
			}
		case len(e.keys) != 1:
			found = append(found, fmt.Sprintf("%s ran with %d keys", run.ID, len(e.keys)))
		case holder == "":
			found = append(found, run.ID+" ran with a key that never was")
		case !isHeld:
			found = append(found, fmt.Sprintf("%s ran with a key of %s that was taken away longer than %v before it was sent", run.ID, holder, soakKeyMaxAge))
		case run.Organisation() != holder:
			found = append(found, fmt.Sprintf("%s ran for %q with a key of %s", run.ID, run.Organisation(), holder))
		}
	}
	return found
}

// holder returns the organisation that ever held the key of a request that ran at a time, and
// whether it held it from soakKeyMaxAge before the request was sent to the run.
func (r *organisationRecord) holder(e *sentRequest, ran time.Time) (name string, isHeld bool) {
	if len(e.keys) != 1 {
		return "", false
	}
	for _, h := range r.keys[e.keys[0]] {
		if name = h.organisation; !h.from.After(ran) && (h.to.IsZero() || !e.began.Add(-soakKeyMaxAge).After(h.to)) {
			return name, true
		}
	}
	return name, false
}

// isValid reports whether a request had to be known: its key was in force from soakInForce
// before it was sent to its end.
func (r *organisationRecord) isValid(e *sentRequest) bool {
	if e.kind == "/open/" {
		return true
	}
	return len(e.keys) == 1 && slices.ContainsFunc(r.keys[e.keys[0]], func(h holding) bool {
		return !h.from.After(e.began.Add(-soakInForce)) && (h.to.IsZero() || h.to.After(e.ended))
	})
}

// counted is a request that ran, and what it counts.
type counted struct {
	sent, ran time.Time
	amount    float64
}

// countedRuns returns the requests of each organisation that ran, ordered by the time at which
// they were sent. A request that ran several times counts once, as of its first run.
func (r *organisationRecord) countedRuns() map[string][]counted {
	first := make(map[string]host.Run)
	for _, run := range r.runs {
		if known, ok := first[run.ID]; !ok || run.At.Before(known.At) {
			first[run.ID] = run
		}
	}
	all := make(map[string][]counted)
	for id, run := range first {
		e, ok := r.sent[id]
		if !ok || e.kind == "/open/" {
			continue
		}
		if name, _ := r.holder(e, run.At); name != "" {
			all[name] = append(all[name], counted{e.began, run.At, amountOf(run, r.limits[name][0].Organisation)})
		}
	}
	for _, list := range all {
		slices.SortFunc(list, func(a, b counted) int { return a.sent.Compare(b.sent) })
	}
	return all
}

// amountOf returns what a run counts in the unit of an organisation's quota.
func amountOf(run host.Run, organisation host.Organisation) float64 {
	if organisation.Unit != "tokens" {
		return 1
	}
	if tokens, ok := run.Tokens(); ok {
		return float64(tokens)
	}
	return organisation.PlainTokens
}

// exceededQuotas checks that in no window more of an organisation was both sent and run than
// its quota allows.
func (r *organisationRecord) exceededQuotas() []string {
	var found []string
	for name, list := range r.countedRuns() {
		for n, start := range list {
			end := start.sent.Add(soakQuotaWindow)
			allowed, isLimited := r.allowed(name, start.sent, end)
			if !isLimited {
				continue
			}
			sum := 0.0
			for _, c := range list[n:] {
				if c.ran.Before(end) {
					sum += c.amount
				}
			}
			if sum > allowed {
				found = append(found, fmt.Sprintf("%.0f of %s ran in %v; %.0f allowed", sum, name, soakQuotaWindow, allowed))
				break
			}
		}
	}
	return found
}

// allowed returns what may run of an organisation in a window, by the highest limit that an
// instance may have known there: a lower one binds a window after it could be known, and an
// instance that knows an older configuration than soakKeyMaxAge serves no keys.
func (r *organisationRecord) allowed(name string, start, end time.Time) (most float64, isLimited bool) {
	from := start.Add(-soakKeyMaxAge - soakQuotaWindow)
	changes := r.limits[name]
	for n, change := range changes {
		if change.from.After(end) || n+1 < len(changes) && changes[n+1].from.Before(from) {
			continue
		}
		if change.PerSecond == 0 {
			return 0, false
		}
		most = max(most, (change.PerSecond*soakQuotaWindow.Seconds()+change.Burst)*soakQuotaFactor+soakQuotaSlack)
	}
	return most, true
}

// falseRefusals checks that no request with a key in force got 401.
func (r *organisationRecord) falseRefusals() []string {
	var found []string
	for id, e := range r.sent {
		if e.answered && e.response.Status == http.StatusUnauthorized && r.isValid(e) {
			found = append(found, fmt.Sprintf("%s got 401 (%s) though its key was in force", id, e.response.Body))
		}
	}
	return found
}

// unserved checks that at the end nine in ten plain requests of each organisation inside its
// limits are served. Requests for models may wait for a load.
func (r *organisationRecord) unserved() []string {
	sent, served := make(map[string]int), make(map[string]int)
	for _, e := range r.sent {
		if age := r.ended.Sub(e.began); age <= 0 || age > soakServedTime || e.isHot || e.service() != "plain" || !r.isValid(e) {
			continue
		}
		name, _ := r.holder(e, e.ended)
		if e.kind == "/open/" {
			name = "the anonymous route"
		}
		sent[name]++
		if e.answered && e.response.Status == http.StatusOK {
			served[name]++
		}
	}
	var found []string
	for name, count := range sent {
		if count > soakFewRequests && 10*served[name] < 9*count {
			found = append(found, fmt.Sprintf("%d of the last %d plain requests of %s were served", served[name], count, name))
		}
	}
	return found
}

// starved checks that at the end an organisation that exceeds its limit gets half of it.
func (r *organisationRecord) starved() []string {
	from := r.ended.Add(-soakCalmTime)
	if !slices.ContainsFunc(r.sentHot(), func(at time.Time) bool { return at.Before(from) }) {
		return nil
	}
	changes := r.limits[hotOrganisation]
	limit, sum := changes[len(changes)-1].PerSecond*soakCalmTime.Seconds(), 0.0
	for _, c := range r.countedRuns()[hotOrganisation] {
		if c.sent.After(from) {
			sum += c.amount
		}
	}
	if 2*sum < limit {
		return []string{fmt.Sprintf("%.0f of %s ran in the last %v; its limit is %.0f", sum, hotOrganisation, soakCalmTime, limit)}
	}
	return nil
}

// sentHot returns when requests of the organisation that exceeds its limit were sent.
func (r *organisationRecord) sentHot() []time.Time {
	var times []time.Time
	for _, e := range r.sent {
		if e.isHot {
			times = append(times, e.began)
		}
	}
	return times
}
