// Package metric holds counters, gauges and histograms: requests by outcome, and
// the durations of their stages. It writes them as text for the metrics endpoint.
//
// # Usage
//
//	metrics := metric.New()
//	metrics.CountRequest("streaming", "served", "answered")
//	metrics.ObserveDuration("first_event", 140*time.Millisecond)
//	metrics.Write(w) // one "name{labels} value" a line
package metric

import (
	"fmt"
	"io"
	"sort"
	"strconv"
	"sync"
	"time"
)

// bucketBounds are the inclusive upper bounds of the histogram buckets.
var bucketBounds = []time.Duration{
	2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond,
	100 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond,
	1500 * time.Millisecond, 3 * time.Second, 6 * time.Second, 12 * time.Second, 25 * time.Second,
}

// maxCounters limits the number of counters. Values of further names are added to
// other_total.
const maxCounters = 512

// histogram counts durations by bucket. The last bucket has no upper bound.
type histogram struct {
	buckets []int64
	sum     time.Duration
	count   int64
}

// Tally is a set of counters, gauges and histograms. It is safe for concurrent use.
type Tally struct {
	mu         sync.Mutex
	counters   map[string]int64
	histograms map[string]*histogram
	gauges     map[string]func() float64
}

// New returns an empty tally.
func New() *Tally {
	return &Tally{counters: make(map[string]int64), histograms: make(map[string]*histogram), gauges: make(map[string]func() float64)}
}

// CountRequest counts a finished request by kind, outcome and reason.
func (t *Tally) CountRequest(kind, outcome, reason string) {
	t.Add(fmt.Sprintf("requests_total{kind=%q,outcome=%q,reason=%q}", kind, outcome, reason), 1)
}

// CountResponse counts a finished request by kind and by the framing of the
// upstream's last response. cut means that the response ended inside an event.
func (t *Tally) CountResponse(kind, framing string, cut bool) {
	t.Add(fmt.Sprintf("responses_total{kind=%q,framing=%q,cut=%q}", kind, framing, strconv.FormatBool(cut)), 1)
}

// CountResumption counts a stream that goes on, by what resumed it.
func (t *Tally) CountResumption(by string) {
	t.Add(fmt.Sprintf("streams_resumed_total{by=%q}", by), 1)
}

// CountHop counts a request that was sent through another instance.
func (t *Tally) CountHop(answered bool) {
	t.Add(fmt.Sprintf("hops_total{answered=%q}", strconv.FormatBool(answered)), 1)
}

// CountRetry counts a retry by service and by whether the budget allowed it.
func (t *Tally) CountRetry(service string, allowed bool) {
	t.Add(fmt.Sprintf("retries_total{service=%q,allowed=%q}", service, strconv.FormatBool(allowed)), 1)
}

// CountBorrowing counts the times that other instances were asked for credit of the retry
// budget, by whether they lent enough.
func (t *Tally) CountBorrowing(enough bool) {
	t.Add(fmt.Sprintf("retry_credit_asked_total{enough=%q}", strconv.FormatBool(enough)), 1)
}

// CountRejection counts an upstream's answer that it has not run the request, by whether the
// answer names the request and whether its connection had an earlier one.
func (t *Tally) CountRejection(named, reused bool) {
	t.Add(fmt.Sprintf("rejections_total{named=%q,reused=%q}", strconv.FormatBool(named), strconv.FormatBool(reused)), 1)
}

// CountForeign counts a response that is not the answer to the request at hand, by kind: late (a
// copy of the answer before it), unnamed (a refusal that may be such a copy), malformed (no
// valid header) or other.
func (t *Tally) CountForeign(kind string) {
	t.Add(fmt.Sprintf("foreign_responses_total{kind=%q}", kind), 1)
}

// CountPermit counts the answer to a request for a permit: granted, refused, later, alone
// (by this instance's own share) or unanswered.
func (t *Tally) CountPermit(answer string) {
	t.Add(fmt.Sprintf("permits_total{answer=%q}", answer), 1)
}

// CountReservation counts the answer of a scheduler: send, wait, late or none (decided on
// locally). own means that this instance is the scheduler.
func (t *Tally) CountReservation(answer string, own bool) {
	t.Add(fmt.Sprintf("reservations_total{answer=%q,own=%q}", answer, strconv.FormatBool(own)), 1)
}

// CountRateLimit counts a change of the rate limit of an upstream by its kind.
func (t *Tally) CountRateLimit(change string) {
	t.Add(fmt.Sprintf("rate_limit_changes_total{change=%q}", change), 1)
}

// CountPartVerdict counts a change of the verdict on a part of prompts.
func (t *Tally) CountPartVerdict(refused bool) {
	t.Add(fmt.Sprintf("part_verdicts_total{refused=%q}", strconv.FormatBool(refused)), 1)
}

// CountNotice counts what an upstream newly says of itself, by kind.
func (t *Tally) CountNotice(kind string) {
	t.Add(fmt.Sprintf("upstream_notices_total{kind=%q}", kind), 1)
}

// CountLate counts a response that missed its targets by kind and cause.
func (t *Tally) CountLate(kind, cause string) {
	t.Add(fmt.Sprintf("late_total{kind=%q,cause=%q}", kind, cause), 1)
}

// Add adds value to the counter of that name.
func (t *Tally) Add(name string, value int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.counters[name]; !ok && len(t.counters) >= maxCounters {
		name = "other_total"
	}
	t.counters[name] += value
}

// ObserveDuration adds a duration to the histogram of a stage.
func (t *Tally) ObserveDuration(stage string, duration time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h, ok := t.histograms[stage]
	if !ok {
		h = &histogram{buckets: make([]int64, len(bucketBounds)+1)}
		t.histograms[stage] = h
	}
	h.buckets[sort.Search(len(bucketBounds), func(i int) bool { return duration <= bucketBounds[i] })]++
	h.sum += duration
	h.count++
}

// Gauge registers a gauge. The function is called at each Write.
func (t *Tally) Gauge(name string, value func() float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.gauges[name] = value
}

// Write writes all metrics as text, one per line, in lexical order.
func (t *Tally) Write(out io.Writer) error {
	for _, line := range t.lines() {
		if _, err := fmt.Fprintln(out, line); err != nil {
			return err
		}
	}
	return nil
}

func (t *Tally) lines() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var lines []string
	for name, value := range t.counters {
		lines = append(lines, fmt.Sprintf("%s %d", name, value))
	}
	for name, value := range t.gauges {
		lines = append(lines, fmt.Sprintf("%s %g", name, value()))
	}
	for stage, h := range t.histograms {
		cumulative := int64(0)
		for i, count := range h.buckets {
			cumulative += count
			bound := "+Inf"
			if i < len(bucketBounds) {
				bound = fmt.Sprintf("%g", bucketBounds[i].Seconds())
			}
			lines = append(lines, fmt.Sprintf("stage_seconds_bucket{stage=%q,le=%q} %d", stage, bound, cumulative))
		}
		lines = append(lines, fmt.Sprintf("stage_seconds_sum{stage=%q} %g", stage, h.sum.Seconds()), fmt.Sprintf("stage_seconds_count{stage=%q} %d", stage, h.count))
	}
	sort.Strings(lines)
	return lines
}

// CountCredit counts an answer on credit of an organisation's quota, by who answered.
func (t *Tally) CountCredit(source string, granted bool) {
	t.Add(fmt.Sprintf("quota_answers_total{source=%q,granted=%q}", source, strconv.FormatBool(granted)), 1)
}
