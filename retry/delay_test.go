package retry_test

import (
	"sort"
	"testing"
	"time"

	"pgregory.net/rapid"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/retry"
)

const (
	// maxRequestDelay is how long callers keep a request open that an instance doesn't read.
	maxRequestDelay = 2 * time.Second
	// maxRetryDelay is how long bytes may be on their way before their connection fails.
	maxRetryDelay = 2500 * time.Millisecond
)

// delayedEvent is a request that an instance receives late, or the arrival of a retry.
type delayedEvent struct {
	received time.Time
	instance int
}

// TestWindowsWithDelays checks that instances stay within the limits as callers and
// upstreams count, where requests reach instances late, retries reach upstreams late,
// and traffic begins, stops and moves between two services.
func TestWindowsWithDelays(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const tick = 50 * time.Millisecond
		instances := rapid.IntRange(1, 12).Draw(t, "instances")
		began := time.Unix(1000, 0)
		budgets := make([]*retry.Budget, instances)
		for i := range budgets {
			budgets[i] = retry.New(limits, float64(i)/float64(instances))
		}
		groups := map[bool]*group{true: {}, false: {}}
		name := map[bool]string{true: "s", false: "other"}
		pending := map[bool][]delayedEvent{}
		now, due, next := began, 0.0, 0
		for range rapid.IntRange(1, 12).Draw(t, "phases") {
			rate := rapid.SampledFrom([]float64{0, 5, 100, 400}).Draw(t, "rate")
			service := rapid.Bool().Draw(t, "service")
			retrying := rapid.Bool().Draw(t, "retrying")
			requestDelay := time.Duration(rapid.Int64Range(0, int64(maxRequestDelay)).Draw(t, "request delay"))
			retryDelay := time.Duration(rapid.Int64Range(0, int64(maxRetryDelay)).Draw(t, "retry delay"))
			if rapid.IntRange(0, 3).Draw(t, "start again") == 0 {
				for i := range budgets {
					budgets[i] = retry.New(limits, rapid.Float64Range(0, 0.999).Draw(t, "phase"))
				}
			}
			end := now.Add(time.Duration(rapid.IntRange(1, 120).Draw(t, "ticks")) * tick)
			for ; now.Before(end); now = now.Add(tick) {
				for _, b := range budgets {
					b.SetMembers(instances, now, now)
				}
				for due += rate * tick.Seconds(); due >= 1; due-- {
					next++
					groups[service].requests = append(groups[service].requests, now)
					pending[service] = append(pending[service], delayedEvent{now.Add(requestDelay), next % instances})
				}
				for s, events := range pending {
					rest := events[:0]
					for _, e := range events {
						if e.received.After(now) {
							rest = append(rest, e)
							continue
						}
						budgets[e.instance].CountRequest(cardamom.ServiceID(name[s]), now)
					}
					pending[s] = rest
				}
				if !retrying {
					continue
				}
				for _, b := range budgets {
					for s, g := range groups {
						for b.AllowRetry(cardamom.ServiceID(name[s]), now).Allowed {
							g.retries = append(g.retries, now.Add(retryDelay))
						}
					}
				}
			}
		}
		for s, g := range groups {
			sort.Slice(g.retries, func(a, b int) bool { return g.retries[a].Before(g.retries[b]) })
			for _, start := range g.retries {
				if sent, allowed := within(g.retries, start.Add(limits.Window-1), limits.Window), g.allowed(start); float64(sent) > allowed {
					t.Fatalf("%s: %d retries in the window from %v on, %.1f allowed", name[s], sent, start.Sub(began), allowed)
				}
			}
		}
	})
}
