package main

import (
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/fakes"
	"cardamomcourse.example/cardamom/fakes/caller"
)

const (
	// lateTolerance is how long after its deadline an answer still counts as in time.
	lateTolerance = 100 * time.Millisecond
	// coldThreshold is the time to the first token above which a request counts as
	// a cold start: a request that waits for a load.
	coldThreshold = 100 * time.Millisecond
	// histogramMaxMicros is the longest time that is recorded.
	histogramMaxMicros = 600_000_000
	// histogramDigits is the precision of recorded times in significant digits.
	histogramDigits = 3
	// maxViolations bounds the list of violations.
	maxViolations = 50
)

// series has the results of the requests of one loadWire of a scenario.
type series struct {
	Count      int            `json:"count"`
	Outcomes   map[string]int `json:"outcomes"`
	Reasons    map[string]int `json:"reasons"`
	FirstP50   float64        `json:"first_p50_ms"`
	FirstP95   float64        `json:"first_p95_ms"`
	FirstP99   float64        `json:"first_p99_ms"`
	TotalP99   float64        `json:"total_p99_ms"`
	GapP95     float64        `json:"gap_p95_ms"`
	ByInstance map[string]int `json:"by_instance"`
	Cold       int            `json:"cold"`
	Late       int            `json:"late"`
	Cut        int            `json:"cut"`     // incomplete answers reported as served
	Crossed    int            `json:"crossed"` // answers to another request
	NoOutcome  int            `json:"no_outcome"`

	first *hdrhistogram.Histogram
	total *hdrhistogram.Histogram
	gaps  *hdrhistogram.Histogram
}

// report is the result of an experiment.
type report struct {
	mu          sync.Mutex
	Seed        uint64             `json:"seed"`
	Seconds     float64            `json:"seconds"`
	Series      map[string]*series `json:"series"`
	Resends     int                `json:"resends"`
	Keys        int                `json:"keys"`
	TableReads  int64              `json:"table_reads"`
	TableWrites int64              `json:"table_writes"`
	Loads       int                `json:"loads"`
	Deaths      int                `json:"upstream_deaths"`
	LoadedS     float64            `json:"loaded_seconds"`
	Violations  []string           `json:"violations"`

	// outcomes has, by key, the outcomes of all attempts of the request with the key.
	outcomes map[string][]cardamom.Outcome
}

func newReport(seed uint64) *report {
	return &report{Seed: seed, Series: make(map[string]*series), outcomes: make(map[string][]cardamom.Outcome)}
}

func newSeries() *series {
	return &series{
		Outcomes: make(map[string]int), ByInstance: make(map[string]int), Reasons: make(map[string]int), first: newHistogram(), total: newHistogram(), gaps: newHistogram(),
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, histogramMaxMicros, histogramDigits)
}

func (r *report) add(name string, request caller.Request, result caller.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.Series[name]
	if !ok {
		s = newSeries()
		r.Series[name] = s
	}
	s.Count++
	s.Outcomes[result.Outcome.String()]++
	s.ByInstance[result.Instance+" "+result.Outcome.String()]++
	if result.Reason != "" {
		s.Reasons[truncate(result.Reason)]++
	}
	r.checkResult(s, request, result)
	if result.Outcome == cardamom.Served {
		if result.FirstToken > coldThreshold {
			s.Cold++
		}
		_ = s.first.RecordValue(result.FirstToken.Microseconds())
		_ = s.total.RecordValue(result.Total.Microseconds())
		for _, gap := range result.Gaps {
			_ = s.gaps.RecordValue(gap.Microseconds())
		}
	}
	r.recordOutcome(request, result)
}

// maxReasonLength is the length in bytes at which reasons are truncated, so that
// reasons that differ only beyond that length are counted together.
const maxReasonLength = 60

func truncate(text string) string {
	if len(text) > maxReasonLength {
		return text[:maxReasonLength]
	}
	return text
}

func (r *report) addResend(request caller.Request, result caller.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Resends++
	r.recordOutcome(request, result)
	if result.WrongContent || result.Outcome == cardamom.Served && !result.Complete {
		r.addViolation("resend of %s got a cut or crossed answer", request.Key)
	}
}

func (r *report) recordOutcome(request caller.Request, result caller.Result) {
	if request.Key != "" {
		r.outcomes[request.Key] = append(r.outcomes[request.Key], result.Outcome)
	}
}

func (r *report) checkResult(s *series, request caller.Request, result caller.Result) {
	name := request.Model + request.Service + " " + request.Key
	if result.WrongContent {
		s.Crossed++
		r.addViolation("%s: crossed answer", name)
	}
	if result.Outcome == cardamom.Served && !result.Complete {
		s.Cut++
		r.addViolation("%s: cut answer reported as served", name)
	}
	if result.Outcome == cardamom.OutcomeUnknown {
		s.NoOutcome++
	}
	if result.Outcome != cardamom.OutcomeUnknown && result.Total > request.Deadline+lateTolerance {
		s.Late++
		r.addViolation("%s: %s after %v, deadline %v", name, result.Outcome, result.Total, request.Deadline)
	}
}

func (r *report) addViolation(format string, args ...any) {
	if len(r.Violations) < maxViolations {
		r.Violations = append(r.Violations, fmt.Sprintf(format, args...))
	}
}

// check compares the outcomes that callers got with what upstreams recorded.
func (r *report) check(truth fakes.GroundTruthWire) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, loads := range truth.Loads {
		r.Loads += loads
	}
	r.Deaths, r.LoadedS, r.Keys = truth.Deaths, truth.LoadedSeconds, len(r.outcomes)
	for _, key := range truth.Doubled {
		r.addViolation("key %s ran %d times", key, truth.Runs[key])
	}
	for _, text := range truth.OverReplicas {
		r.addViolation("over replicas: %s", text)
	}
	for _, text := range truth.OverMemory {
		r.addViolation("over memory: %s", text)
	}
	for _, text := range truth.Cut {
		r.addViolation("cut: %s", text)
	}
	for key, outcomes := range r.outcomes {
		r.checkKey(key, outcomes, truth.Runs[key])
	}
	for _, s := range r.Series {
		s.summarize()
	}
}

// checkKey checks one request with a key: that it did not run if the outcome of each
// attempt is not-run, and that it ran if an attempt was reported as served.
func (r *report) checkKey(key string, outcomes []cardamom.Outcome, runs int) {
	allNotRun, served := true, false
	for _, outcome := range outcomes {
		allNotRun = allNotRun && outcome == cardamom.NotRun
		served = served || outcome == cardamom.Served
	}
	if allNotRun && runs > 0 {
		r.addViolation("key %s got not-run, but ran", key)
	}
	if served && runs == 0 {
		r.addViolation("key %s got served, but did not run", key)
	}
}

func (s *series) summarize() {
	s.FirstP50 = quantile(s.first, 50)
	s.FirstP95 = quantile(s.first, 95)
	s.FirstP99 = quantile(s.first, 99)
	s.TotalP99 = quantile(s.total, 99)
	s.GapP95 = quantile(s.gaps, 95)
}

func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}
