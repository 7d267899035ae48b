package main

import (
	"time"

	"cardamomcourse.example/cardamom/fakes/host"
)

// sentRequest is a request and its response as the caller saw them.
type sentRequest struct {
	kind     string
	address  string
	body     string
	response host.Response
	err      error
	began    time.Time
	ended    time.Time
	answered bool
	// part is the part of the prompt that crashes engines, empty for a sound request.
	part string
	// takenUp is set if the caller came back for the rest of a stream.
	takenUp *takenUp
	// keys are the keys that the request had. isHot means that its organisation exceeds its
	// limit, and invalidKey that its key was not in force, so that nobody needs to serve it.
	keys       []string
	isHot      bool
	invalidKey bool
}

// recordSent records that a caller sends a request.
func (s *soak) recordSent(id string, e *sentRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent[id] = e
}

// recordAnswer records what the caller of a request got.
func (s *soak) recordAnswer(e *sentRequest, response host.Response, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e.response, e.err, e.ended, e.answered = response, err, time.Now(), err == nil
}
