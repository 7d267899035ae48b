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
	// lateBy is how far past its deadline an answer counts as late.
	lateBy = 100 * time.Millisecond
	// coldAfter is the time to the first token from which on a request counts as cold.
	coldAfter = 100 * time.Millisecond
	// histogramMax is the longest time in microseconds that is recorded.
	histogramMax = 600_000_000
	// histogramDigits is the precision of recorded times.
	histogramDigits = 3
	// violationsKept bounds the violations that are listed.
	violationsKept = 50
)

// series is the results of one load.
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
	Cut        int            `json:"cut"`
	Crossed    int            `json:"crossed"`
	NoWord     int            `json:"no_outcome"`

	first *hdrhistogram.Histogram
	total *hdrhistogram.Histogram
	gaps  *hdrhistogram.Histogram
}

// report is what an experiment has shown.
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

	ends map[string][]cardamom.Outcome
}

func newReport(seed uint64) *report {
	return &report{Seed: seed, Series: make(map[string]*series), ends: make(map[string][]cardamom.Outcome)}
}

func newSeries() *series {
	return &series{
		Outcomes: make(map[string]int), ByInstance: make(map[string]int), Reasons: make(map[string]int), first: newHistogram(), total: newHistogram(), gaps: newHistogram(),
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, histogramMax, histogramDigits)
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
		s.Reasons[shorten(result.Reason)]++
	}
	r.judgeOne(s, request, result)
	if result.Outcome == cardamom.Served {
		if result.First > coldAfter {
			s.Cold++
		}
		_ = s.first.RecordValue(result.First.Microseconds())
		_ = s.total.RecordValue(result.Total.Microseconds())
		for _, gap := range result.Gaps {
			_ = s.gaps.RecordValue(gap.Microseconds())
		}
	}
	r.end(request, result)
}

// reasonLength bounds the reasons that are counted apart.
const reasonLength = 60

func shorten(text string) string {
	if len(text) > reasonLength {
		return text[:reasonLength]
	}
	return text
}

func (r *report) resent(request caller.Request, result caller.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Resends++
	r.end(request, result)
	if result.Crossed || result.Outcome == cardamom.Served && !result.Whole {
		r.violate("resend of %s got a cut or crossed answer", request.Key)
	}
}

func (r *report) end(request caller.Request, result caller.Result) {
	if request.Key != "" {
		r.ends[request.Key] = append(r.ends[request.Key], result.Outcome)
	}
}

func (r *report) judgeOne(s *series, request caller.Request, result caller.Result) {
	name := request.Model + request.Service + " " + request.Key
	if result.Crossed {
		s.Crossed++
		r.violate("%s: crossed answer", name)
	}
	if result.Outcome == cardamom.Served && !result.Whole {
		s.Cut++
		r.violate("%s: cut answer told as served", name)
	}
	if result.Outcome == cardamom.OutcomeUnknown {
		s.NoWord++
	}
	if result.Outcome != cardamom.OutcomeUnknown && result.Total > request.Deadline+lateBy {
		s.Late++
		r.violate("%s: %s after %v, deadline %v", name, result.Outcome, result.Total, request.Deadline)
	}
}

func (r *report) violate(format string, args ...any) {
	if len(r.Violations) < violationsKept {
		r.Violations = append(r.Violations, fmt.Sprintf(format, args...))
	}
}

// judge holds what callers were told against the truth.
func (r *report) judge(truth fakes.TruthWire) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, loads := range truth.Loads {
		r.Loads += loads
	}
	r.Deaths, r.LoadedS, r.Keys = truth.Deaths, truth.LoadedSeconds, len(r.ends)
	for _, key := range truth.Doubled {
		r.violate("key %s ran %d times", key, truth.Runs[key])
	}
	for _, text := range truth.OverReplicas {
		r.violate("over replicas: %s", text)
	}
	for _, text := range truth.OverMemory {
		r.violate("over memory: %s", text)
	}
	for _, text := range truth.Cut {
		r.violate("cut: %s", text)
	}
	for key, ends := range r.ends {
		r.judgeKey(key, ends, truth.Runs[key])
	}
	for _, s := range r.Series {
		s.summarize()
	}
}

// judgeKey checks that a key whose every send was told not-run has not run,
// and that one told as served has.
func (r *report) judgeKey(key string, ends []cardamom.Outcome, runs int) {
	allNotRun, served := true, false
	for _, outcome := range ends {
		allNotRun = allNotRun && outcome == cardamom.NotRun
		served = served || outcome == cardamom.Served
	}
	if allNotRun && runs > 0 {
		r.violate("key %s was told not-run and ran", key)
	}
	if served && runs == 0 {
		r.violate("key %s was told served and did not run", key)
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
