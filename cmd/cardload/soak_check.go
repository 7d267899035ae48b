package main

import (
	"fmt"
	"net/http"
	"slices"
	"sort"
	"strings"
	"time"

	"cardamomcourse.example/cardamom/fakes/host"
)

const (
	// soakLateTolerance is how long after its deadline a request may end.
	soakLateTolerance = 2 * time.Second
	// soakDrainTimeout is how long an upstream may get requests after it announced
	// that it leaves. Store faults and pauses of instances delay the announcement on
	// its way to the instances.
	soakDrainTimeout = 6 * time.Second
	// soakResumeTime is how long after a link has resumed the orders that it held back
	// arrive: the platform's bound for that is 300 ms.
	soakResumeTime = 300 * time.Millisecond
)

// wholeStream is the complete body of a stream.
const wholeStream = "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\nid: 3\ndata: piece 3\n\nid: 4\ndata: piece 4\n\n"

// check compares the responses that callers got with the runs that upstreams
// recorded.
func (s *soak) check() {
	runs := make(map[string]int)
	for _, upstream := range s.site.Upstreams {
		for _, run := range upstream.Runs() {
			runs[run.ID]++
			s.checkRun(upstream, run)
		}
		if over := upstream.OverfullLoads(); over > 0 {
			s.addViolation(fmt.Sprintf("%d loads ordered at %s without free memory", over, upstream.ID()))
		}
	}
	ids := make([]string, 0, len(s.sent))
	for id := range s.sent {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	for _, id := range ids {
		s.checkResponse(id, s.sent[id], runs[id])
	}
	s.checkOrganisations()
	s.checkOrders()
	s.checkLimits()
	s.checkBudget()
	s.checkParts()
	s.checkNotices()
	s.checkVersions()
	s.checkPartitions()
	s.checkServed()
	for _, instance := range s.site.Instances {
		if strings.Contains(instance.Log(), "panic") {
			s.addViolation(instance.Name() + " panicked")
		}
	}
}

// checkOrders checks that no two instances sent orders with the same fencing token, and,
// where engines don't check tokens, that holders neither overlap nor take turns. The
// platform doesn't count the turns of orders that a silent link held back, as no sender
// can take these back.
func (s *soak) checkOrders() {
	type arrival struct {
		host.ReceivedOrder
		heldBack bool
	}
	var all []arrival
	for _, upstream := range s.site.Upstreams {
		for _, order := range upstream.Received() {
			all = append(all, arrival{order, upstream.Link().ResumedWithin(soakResumeTime, order.At)})
		}
	}
	slices.SortFunc(all, func(a, b arrival) int { return a.At.Compare(b.At) })
	holders := make(map[uint64]string)
	highest := uint64(0)
	for _, order := range all {
		if known, ok := holders[order.Token]; ok && known != order.Holder {
			s.addViolation(fmt.Sprintf("%s and %s sent orders with the token %d", known, order.Holder, order.Token))
		}
		holders[order.Token] = order.Holder
		if s.unfenced && order.Token < highest && !order.heldBack {
			s.addViolation(fmt.Sprintf("%s sent an order with the token %d after %s one with %d", order.Holder, order.Token, holders[highest], highest))
		}
		highest = max(highest, order.Token)
	}
}

// checkConfiguration checks that all instances have the newest configuration.
func (s *soak) checkConfiguration() {
	for _, instance := range s.site.Instances {
		text, err := s.site.Metrics(instance)
		if err != nil {
			s.addViolation(fmt.Sprintf("%s has no metrics: %v", instance.Name(), err))
			continue
		}
		if expected := fmt.Sprintf("catalog_version %d\n", s.version); !strings.Contains(text, expected) {
			s.addViolation(fmt.Sprintf("%s does not have configuration %d", instance.Name(), s.version))
		}
	}
}

// checkServed checks that at the end callers are served again: the platform asks for a
// quarter at least.
func (s *soak) checkServed() {
	sent, served := 0, 0
	for _, e := range s.sent {
		if age := s.ended.Sub(e.began); age <= 0 || age > soakServedTime || e.part != "" || e.isHot || e.invalidKey {
			continue
		}
		sent++
		if e.answered && e.response.Status == http.StatusOK {
			served++
		}
	}
	if served*4 < sent {
		s.addViolation(fmt.Sprintf("%d of the last %d requests were served", served, sent))
	}
}

// checkRun checks one run that an upstream recorded.
func (s *soak) checkRun(upstream *host.Upstream, run host.Run) {
	sent, ok := s.sent[run.ID]
	switch {
	case !ok:
		s.addViolation(run.ID + " ran, but no caller sent it")
	case run.Body != sent.body || run.Target != sent.kind+"x":
		s.addViolation(run.ID + " ran with another body or target")
	case run.Header.Get("Deadline-Ms") == "":
		s.addViolation(run.ID + " ran without a deadline")
	}
	if left := upstream.DrainingSince(); !left.IsZero() && run.At.Sub(left) > soakDrainTimeout {
		s.addViolation(fmt.Sprintf("%s reached %s %v after the upstream announced that it leaves", run.ID, upstream.ID(), run.At.Sub(left)))
	}
}

// checkResponse checks the response to one request, given how often it ran.
func (s *soak) checkResponse(id string, e *sentRequest, runs int) {
	s.wire.Requests++
	once := e.kind == "/once/" || e.kind == "/stream/"
	if once && runs > 1 {
		s.addViolation(fmt.Sprintf("%s (%s) ran %d times", id, e.kind, runs))
	}
	if e.ended.Sub(e.began) > host.RequestTimeout+soakLateTolerance {
		s.addViolation(fmt.Sprintf("%s ended after %v", id, e.ended.Sub(e.began)))
	}
	if !e.answered {
		s.wire.Outcomes["broken"]++
		return
	}
	s.wire.Outcomes[fmt.Sprint(e.response.Status)]++
	switch status := e.response.Status; {
	case status == http.StatusOK:
		s.checkWhole(id, e)
	case isPromise(status):
		// A refusal means that the request has not run, also for requests that may be
		// repeated.
		if runs > 0 {
			s.addViolation(fmt.Sprintf("%s (%s) got %d, but ran", id, e.kind, e.response.Status))
		}
	case status == http.StatusNotFound:
		s.addViolation(id + " got 404 for a route that is in every configuration")
	}
}

// isPromise reports whether a status says that a request has not run and never will.
func isPromise(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// checkWhole checks that a success is the complete answer to its own request.
func (s *soak) checkWhole(id string, e *sentRequest) {
	expected := "whole answer to " + id
	if e.kind == "/stream/" || e.kind == "/resume/" {
		expected = wholeStream
	}
	body := versionMark.ReplaceAllString(e.response.Body, "")
	if e.takenUp != nil {
		expected = strings.TrimPrefix(expected, versionMark.ReplaceAllString(e.takenUp.has, ""))
	}
	switch {
	case e.response.ID != id:
		s.addViolation(fmt.Sprintf("%s got the answer to %q", id, e.response.ID))
	case !e.response.Sealed:
		s.addViolation(id + " got a success that no upstream signed")
	case e.response.Complete && body != expected:
		s.addViolation(fmt.Sprintf("%s got %q", id, e.response.Body))
	case !e.response.Complete && !strings.HasPrefix(expected, body):
		s.addViolation(fmt.Sprintf("%s got %q before its response broke off", id, e.response.Body))
	}
}
