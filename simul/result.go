package simul

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cardamomcourse.example/cardamom/site"
)

// maxMillis is the longest time that the histograms hold, in milliseconds.
const maxMillis = 600_000

// windowLength is the length of the windows of a result.
const windowLength = 2 * time.Second

// Result is what the callers of a play got, by kind of request and by the time at which
// they asked.
type Result struct {
	Kinds []*KindResult
	// Windows are those of windowLength from the first request on.
	Windows []*Window
	// OverLimit is the greatest number of requests beyond what the rate limit of an engine
	// allows within its window, 0 if there was none.
	OverLimit float64
	// AfterLeave is how many requests reached an engine from an instance that had long passed
	// on that it leaves.
	AfterLeave int
	// InWait is the greatest number of requests beyond those allowed that reached an engine
	// from an instance within a wait that it had asked for.
	InWait int
}

// Window is what the requests of a span of time got.
type Window struct {
	Asked    int
	InTarget int
}

// Share returns the part of the requests that were served within their targets.
func (w Window) Share() float64 { return float64(w.InTarget) / float64(max(w.Asked, 1)) }

// window returns the window of a request that was asked at a time after the first.
func (r *Result) window(at time.Duration) *Window {
	n := int(at / windowLength)
	for len(r.Windows) <= n {
		r.Windows = append(r.Windows, &Window{})
	}
	return r.Windows[n]
}

// KindResult is what the callers of one kind got.
type KindResult struct {
	Name string
	// Asked is how many requests there were, InTarget how many were served within
	// their targets.
	Asked    int
	InTarget int
	// LateFirst and LateGap are how many were served with a late first event, or else
	// with a longer gap than the target.
	LateFirst int
	LateGap   int
	// NotServed has the requests without a whole response, by reason.
	NotServed map[string]int
	// Returned counts the returns after refusals.
	Returned int
	first    *hdrhistogram.Histogram
	gaps     *hdrhistogram.Histogram
}

func newKindResult(name string) *KindResult {
	return &KindResult{Name: name, NotServed: make(map[string]int), first: hdrhistogram.New(1, maxMillis, 3), gaps: hdrhistogram.New(1, maxMillis, 3)}
}

// served records a whole response: the time from the caller's first attempt to the
// first event, and the longest gap between two events. It reports whether both are
// within their targets.
func (r *KindResult) served(first, gap time.Duration, route *site.Route) bool {
	_ = r.first.RecordValue(min(first.Milliseconds(), maxMillis))
	_ = r.gaps.RecordValue(min(gap.Milliseconds(), maxMillis))
	switch {
	case first > route.TargetLatency:
		r.LateFirst++
	case route.TargetGap > 0 && gap > route.TargetGap:
		r.LateGap++
	default:
		r.InTarget++
		return true
	}
	return false
}

func (r *KindResult) notServed(reason string) { r.NotServed[reason]++ }

// Lost is how many requests got no whole response.
func (r *KindResult) Lost() int {
	sum := 0
	for _, n := range r.NotServed {
		sum += n
	}
	return sum
}

// Share returns the part of the requests that were served within their targets.
func (r *KindResult) Share() float64 { return float64(r.InTarget) / float64(max(r.Asked, 1)) }

// Kind returns the result of the kind with the name, nil if there is none.
func (r *Result) Kind(name string) *KindResult {
	for _, k := range r.Kinds {
		if k.Name == name {
			return k
		}
	}
	return nil
}

// Print writes the result as tables. Times are in milliseconds.
func (r *Result) Print(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "kind\tasked\tin target\tlate first\tlate gap\tlost\treturns\tfirst p50\tp99\tgap p50\tp99\treasons")
	for _, k := range r.Kinds {
		reasons := ""
		for _, reason := range slices.Sorted(maps.Keys(k.NotServed)) {
			reasons += fmt.Sprintf("%s %d ", reason, k.NotServed[reason])
		}
		_, _ = fmt.Fprintf(table, "%s\t%d\t%.4f\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\n", k.Name, k.Asked, k.Share(), k.LateFirst, k.LateGap, k.Lost(), k.Returned,
			k.first.ValueAtQuantile(50), k.first.ValueAtQuantile(99), k.gaps.ValueAtQuantile(50), k.gaps.ValueAtQuantile(99), reasons)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	var shares []string
	for _, w := range r.Windows {
		shares = append(shares, fmt.Sprintf("%.2f", w.Share()))
	}
	_, err := fmt.Fprintf(out, "in target by %s: %s\nbeyond a rate limit: %.0f\nafter a leave: %d\nin a wait: %d\n", windowLength, strings.Join(shares, " "), r.OverLimit, r.AfterLeave, r.InWait)
	return err
}
