package demand

import cardamom "cardamomcourse.example/cardamom"

// Sums are the sums of the last reports of all instances. They are kept up to date with
// each report, so that a request that starts counts at once and a report costs no more
// the more instances there are.
type Sums struct {
	models    map[Key]Model
	upstreams map[cardamom.UpstreamID]Upstream
}

// NewSums returns the sums of no reports.
func NewSums() *Sums {
	return &Sums{models: make(map[Key]Model), upstreams: make(map[cardamom.UpstreamID]Upstream)}
}

// Replace replaces the last report of an instance by its next one and returns the
// models of both. Either may be empty.
func (s *Sums) Replace(before, after Report) map[Key]bool {
	touched := make(map[Key]bool, len(before.Models)+len(after.Models))
	s.add(before, -1, touched)
	s.add(after, 1, touched)
	for key := range touched {
		if s.models[key] == (Model{}) {
			delete(s.models, key)
		}
	}
	for id := range before.Upstreams {
		if u := s.upstreams[id]; u.Running == 0 && u.Failures == 0 {
			delete(s.upstreams, id)
		}
	}
	return touched
}

// add adds a report's current counts times sign and marks its models as touched.
func (s *Sums) add(report Report, sign int, touched map[Key]bool) {
	for key, m := range report.Models {
		sum := s.models[key]
		s.models[key] = Model{Waiting: sum.Waiting + sign*m.Waiting, Running: sum.Running + sign*m.Running}
		touched[key] = true
	}
	for id, u := range report.Upstreams {
		sum := s.upstreams[id]
		s.upstreams[id] = Upstream{Running: sum.Running + sign*u.Running, Failures: sum.Failures + sign*u.Failures}
	}
}

// Model returns how many requests for a model wait and how many are in flight.
func (s *Sums) Model(key Key) (waiting, running int) {
	m := s.models[key]
	return m.Waiting, m.Running
}

// Others returns the requests in flight and the failures at each upstream, without those
// of the instance with the given last report.
func (s *Sums) Others(own Report) map[cardamom.UpstreamID]Upstream {
	others := make(map[cardamom.UpstreamID]Upstream, len(s.upstreams))
	for id, sum := range s.upstreams {
		mine := own.Upstreams[id]
		u := Upstream{Running: sum.Running - mine.Running, Failures: sum.Failures - mine.Failures}
		if u.Running > 0 || u.Failures > 0 {
			others[id] = u
		}
	}
	return others
}
