package main

import (
	"fmt"
	"net/http"
	"sort"
	"strings"
	"time"

	"cardamomcourse.example/cardamom/fakes/host"
)

const (
	// soakLate is how long after its deadline a request may still end.
	soakLate = 2 * time.Second
	// soakDrain is how long after it said that it leaves an upstream may get
	// requests. Faults of the store and pauses may delay the word.
	soakDrain = 6 * time.Second
)

// wholeStream is a stream's body.
const wholeStream = "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\nid: 3\ndata: piece 3\n\nid: 4\ndata: piece 4\n\n"

// check holds what callers got against what upstreams saw.
func (s *soak) check() {
	runs := make(map[string]int)
	for _, engine := range s.site.Engines {
		for _, run := range engine.Runs() {
			runs[run.ID]++
			s.checkRun(engine, run)
		}
		if over := engine.Over(); over > 0 {
			s.note(fmt.Sprintf("%d loads without room ordered at %s", over, engine.ID()))
		}
	}
	ids := make([]string, 0, len(s.book))
	for id := range s.book {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	for _, id := range ids {
		s.checkCaller(id, s.book[id], runs[id])
	}
	for _, instance := range s.site.Instances {
		if strings.Contains(instance.Log(), "panic") {
			s.note(instance.Name() + " panicked")
		}
	}
}

// checkRun checks one run that an upstream saw.
func (s *soak) checkRun(engine *host.Engine, run host.Run) {
	known, ok := s.book[run.ID]
	switch {
	case !ok:
		s.note(run.ID + " ran, but no caller sent it")
	case run.Body != known.body || run.Target != known.kind+"x":
		s.note(run.ID + " ran with another body or target")
	case run.Header.Get("Deadline-Ms") == "":
		s.note(run.ID + " ran without a deadline")
	}
	if left := engine.LeftAt(); !left.IsZero() && run.At.Sub(left) > soakDrain {
		s.note(fmt.Sprintf("%s reached %s %v after that said it leaves", run.ID, engine.ID(), run.At.Sub(left)))
	}
}

// checkCaller checks one request against how often it ran.
func (s *soak) checkCaller(id string, e *entry, runs int) {
	s.wire.Requests++
	once := e.kind == "/once/" || e.kind == "/stream/"
	if once && runs > 1 {
		s.note(fmt.Sprintf("%s (%s) ran %d times", id, e.kind, runs))
	}
	if e.ended.Sub(e.began) > host.AskTimeout+soakLate {
		s.note(fmt.Sprintf("%s ended after %v", id, e.ended.Sub(e.began)))
	}
	if !e.answer {
		s.wire.Outcomes["broken"]++
		return
	}
	s.wire.Outcomes[fmt.Sprint(e.got.Status)]++
	switch e.got.Status {
	case http.StatusOK:
		s.checkWhole(id, e)
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		// It says that the request has not run, whatever may be repeated.
		if runs > 0 {
			s.note(fmt.Sprintf("%s (%s) got %d, but ran", id, e.kind, e.got.Status))
		}
	case http.StatusNotFound:
		s.note(id + " got 404 for a route that is in every configuration")
	}
}

// checkWhole checks that a success is the whole answer to the request.
func (s *soak) checkWhole(id string, e *entry) {
	expected := "whole answer to " + id
	if e.kind == "/stream/" || e.kind == "/resume/" {
		expected = wholeStream
	}
	switch {
	case e.got.ID != id:
		s.note(fmt.Sprintf("%s got the answer to %q", id, e.got.ID))
	case !e.got.Sealed:
		s.note(id + " got a success that no upstream signed")
	case e.got.Whole && e.got.Body != expected:
		s.note(fmt.Sprintf("%s got %q", id, e.got.Body))
	case !e.got.Whole && !strings.HasPrefix(expected, e.got.Body):
		s.note(fmt.Sprintf("%s got %q before its response broke off", id, e.got.Body))
	}
}
