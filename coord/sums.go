package coord

import cardamom "cardamomcourse.example/cardamom"

// modelKey identifies a model of a service.
type modelKey struct {
	service cardamom.ServiceID
	model   cardamom.ModelID
}

// requestCount is how many requests for a model wait and how many are in flight.
type requestCount struct {
	waiting int
	running int
}

// memberReport is what a member last reported of its requests.
type memberReport struct {
	models    map[modelKey]requestCount
	upstreams map[cardamom.UpstreamID]UpstreamStats
}

// requestSums are the sums of the members' reports. They are kept up to date with
// each report, so that a request that starts counts at once and a report costs no more
// the more members there are.
type requestSums struct {
	models    map[modelKey]requestCount
	upstreams map[cardamom.UpstreamID]UpstreamStats
}

func newRequestSums() requestSums {
	return requestSums{models: make(map[modelKey]requestCount), upstreams: make(map[cardamom.UpstreamID]UpstreamStats)}
}

// replace replaces a member's report by its next one and returns the models of both.
func (s *requestSums) replace(before, after memberReport) map[modelKey]bool {
	touched := make(map[modelKey]bool, len(before.models)+len(after.models))
	s.add(before, -1, touched)
	s.add(after, 1, touched)
	for key := range touched {
		if s.models[key] == (requestCount{}) {
			delete(s.models, key)
		}
	}
	for id := range before.upstreams {
		if s.upstreams[id] == (UpstreamStats{}) {
			delete(s.upstreams, id)
		}
	}
	return touched
}

// add adds a report's counts times sign and marks its models as touched.
func (s *requestSums) add(report memberReport, sign int, touched map[modelKey]bool) {
	for key, c := range report.models {
		sum := s.models[key]
		s.models[key] = requestCount{sum.waiting + sign*c.waiting, sum.running + sign*c.running}
		touched[key] = true
	}
	for id, u := range report.upstreams {
		sum := s.upstreams[id]
		s.upstreams[id] = UpstreamStats{sum.Running + sign*u.Running, sum.Failures + sign*u.Failures}
	}
}
