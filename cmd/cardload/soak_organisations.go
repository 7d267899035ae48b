package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"cardamomcourse.example/cardamom/fakes/host"
	"cardamomcourse.example/cardamom/sleep"
)

const (
	// soakKeyMaxAge is the instances' setting keys.max_age_ms.
	soakKeyMaxAge = 5 * time.Second
	// soakInForce is the instances' setting configuration_in_force_ms, its default.
	soakInForce = 2 * time.Second
	// soakQuotaWindow is the time over which the quotas of organisations are checked.
	soakQuotaWindow = 8 * time.Second
	// soakPlainTokens is what a request without tokens counts.
	soakPlainTokens = 200
	// soakHotRate is the limit in tokens a second of the organisation that exceeds it, and
	// soakHotLowered the one that it gets later.
	soakHotRate    = 1800
	soakHotLowered = 900
	// soakHotPause is the mean pause between two requests of that organisation: some six
	// times its limit.
	soakHotPause = 14 * time.Millisecond
	// soakAmpleRate is a limit in tokens a second above what all callers of a soak send.
	soakAmpleRate = 200000

	// soakUnseenTime is for how long instances don't learn that keys were taken away, longer
	// than their configuration counts.
	soakUnseenTime = soakKeyMaxAge + 3*time.Second

	hotOrganisation = "hot"
)

// organisationFaults are the faults that need organisations.
var organisationFaults = []string{"revocation", "store_revocation", "paused_revocation", "hot_organisation"}

// organisations are the organisations of a soak and their keys, as last published.
type organisations struct {
	list []host.Organisation
	// gone are keys that were taken away. made is the number of keys that there ever were.
	gone []string
	made int
	// isHot means that one organisation exceeds its limit.
	isHot bool
}

// needsOrganisations reports whether a soak with the faults has organisations.
func needsOrganisations(faults []soakFault) bool {
	return slices.ContainsFunc(faults, func(fault soakFault) bool { return slices.Contains(organisationFaults, fault.name) })
}

// newOrganisations returns organisations without a limit, with an ample one, and with one that
// the fault hot_organisation exceeds.
func newOrganisations() *organisations {
	o := &organisations{list: []host.Organisation{
		{Name: "free"},
		{Name: "ample", Unit: "tokens", PlainTokens: soakPlainTokens, PerSecond: soakAmpleRate, Burst: soakAmpleRate},
		{Name: hotOrganisation, Priority: 1, Unit: "tokens", PlainTokens: soakPlainTokens, PerSecond: soakHotRate, Burst: soakHotRate},
	}}
	for n := range o.list {
		for range 3 {
			o.addKey(n)
		}
	}
	return o
}

// addKey adds a key to an organisation.
func (o *organisations) addKey(n int) {
	o.made++
	o.list[n].Keys = append(o.list[n].Keys, fmt.Sprintf("key-%d", o.made))
}

// revoke takes away one key of an organisation that keeps to its limits, and adds another.
func (o *organisations) revoke(random *rand.Rand) {
	n := random.IntN(len(o.list) - 1)
	keys := slices.Clone(o.list[n].Keys)
	at := random.IntN(len(keys))
	o.gone = append(o.gone, keys[at])
	o.list[n].Keys = slices.Delete(keys, at, at+1)
	o.addKey(n)
}

// choose draws the keys of a request and what its caller claims in the header that is for
// upstreams. One in six requests has a key that was taken away, one in twelve a key that
// never was, two keys or a false claim.
func (o *organisations) choose(random *rand.Rand) (keys []string, claim string) {
	organisation := o.list[random.IntN(len(o.list)-1)]
	key := organisation.Keys[random.IntN(len(organisation.Keys))]
	switch random.IntN(36) {
	case 0:
		return []string{"never-" + key}, ""
	case 1:
		return []string{key, o.list[0].Keys[0]}, ""
	case 2:
		return []string{key}, o.list[random.IntN(len(o.list))].Name
	case 3, 4:
		if len(o.gone) > 0 {
			key = o.gone[random.IntN(len(o.gone))]
		}
	case 5, 6, 7, 8:
		// Only keys that were taken away lately may be unknown to be so.
		if len(o.gone) > 0 {
			key = o.gone[max(0, len(o.gone)-1-random.IntN(3))]
		}
	}
	return []string{key}, ""
}

// identify gives a request the keys of its caller, and makes one in sixteen plain requests go
// to the anonymous route. Without organisations it does nothing.
func (s *soak) identify(request *host.Request, e *sentRequest, random *rand.Rand) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.organisations == nil {
		return
	}
	request.Keys, request.Organisation = s.organisations.choose(random)
	if request.Model == "" && random.IntN(16) == 0 {
		e.kind, request.Path = "/open/", "/open/x"
	}
	e.keys = request.Keys
}

// identifyValid gives a request a key that is in force, if there are organisations.
func (s *soak) identifyValid(request *host.Request, e *sentRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.organisations != nil {
		request.Keys = s.organisations.list[0].Keys[:1]
		e.keys = request.Keys
	}
}

// revokeKeys takes some keys away.
func revokeKeys(s *soak, random *rand.Rand, _ time.Duration) func() {
	s.mu.Lock()
	for range 1 + random.IntN(2) {
		s.organisations.revoke(random)
	}
	s.mu.Unlock()
	s.publishConfig()
	return nil
}

// revokeUnseen takes keys away while no instance reaches the store, for longer than the
// configuration that they have counts.
func revokeUnseen(s *soak, random *rand.Rand, span time.Duration) func() {
	s.storeLink.SetFault(host.Silent)
	revokeKeys(s, random, span)
	return func() {
		time.Sleep(soakUnseenTime - span)
		s.storeLink.SetFault(host.NoLinkFault)
	}
}

// revokePaused takes keys away while an instance is paused, for longer than its configuration
// counts. Requests that are sent to it meanwhile arrive when it goes on.
func revokePaused(s *soak, random *rand.Rand, span time.Duration) func() {
	resume := pauseInstance(s, random, span)
	revokeKeys(s, random, span)
	if resume == nil {
		return nil
	}
	return func() {
		time.Sleep(soakUnseenTime - span)
		resume()
	}
}

// exceedLimit makes an organisation send several times its limit until the soak ends. A
// further fault of this kind lowers the limit.
func exceedLimit(s *soak, random *rand.Rand, _ time.Duration) func() {
	s.mu.Lock()
	isHot := s.organisations.isHot
	s.organisations.isHot = true
	hot := &s.organisations.list[len(s.organisations.list)-1]
	if isHot {
		hot.PerSecond, hot.Burst = soakHotLowered, soakHotLowered
	}
	key := hot.Keys[0]
	s.mu.Unlock()
	if isHot {
		s.publishConfig()
		return nil
	}
	s.partCallers.Go(func() {
		for n := 0; sleep.For(s.partCtx, time.Duration(random.Int64N(int64(2*soakHotPause)))); n++ {
			s.sendHot(key, n, random)
		}
	})
	return nil
}

// sendHot sends a request of the organisation that exceeds its limit to any instance.
func (s *soak) sendHot(key string, n int, random *rand.Rand) {
	kind := []string{"/safe/", "/once/", "/stream/", "/resume/"}[random.IntN(4)]
	address := s.site.Instances[random.IntN(len(s.site.Instances))].EntryAddress
	request := host.Request{ID: fmt.Sprintf("s%d-hot-%d", s.seed, n), Path: kind + "x", Address: address, Keys: []string{key}}
	request.Body = "body of " + request.ID
	if kind == "/stream/" || kind == "/resume/" {
		request.Model = soakModels[random.IntN(len(soakModels))]
	}
	e := &sentRequest{kind: kind, address: address, body: request.Body, began: time.Now(), keys: request.Keys, isHot: true}
	s.recordSent(request.ID, e)
	s.partCallers.Go(func() {
		response, err := s.site.Send(context.Background(), request)
		s.recordAnswer(e, response, err)
	})
}

// awaitRevoked waits until no request may run with a key that was taken away, and a second
// more in which callers send such requests.
func (s *soak) awaitRevoked(ctx context.Context) {
	if s.organisations == nil {
		return
	}
	published := s.site.Store.Publications()
	sleep.For(ctx, time.Until(published[len(published)-1].At.Add(soakKeyMaxAge+soakServedTime)))
}

// checkOrganisations checks what ran for organisations.
func (s *soak) checkOrganisations() {
	if s.organisations == nil {
		return
	}
	record, err := newOrganisationRecord(s.site.Store.Publications(), s.sent, s.ended)
	if err != nil {
		s.addViolation(err.Error())
		return
	}
	for _, upstream := range s.site.Upstreams {
		record.arrivals = append(record.arrivals, upstream.Arrivals()...)
		record.runs = append(record.runs, upstream.Runs()...)
	}
	for _, e := range s.sent {
		e.invalidKey = !record.isValid(e)
	}
	for _, violation := range record.violations() {
		s.addViolation(violation)
	}
}
