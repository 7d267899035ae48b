package retry_test

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cardamomcourse.example/cardamom/retry"
)

//go:embed testdata/windows.json
var windowScripts []byte

// windowScript is what happens to a group of instances that share a budget.
type windowScript struct {
	Name      string       `json:"name"`
	Instances int          `json:"instances"`
	ForS      float64      `json:"for_s"`
	Steps     []windowStep `json:"steps"`
}

// windowStep changes what it names from its time on.
type windowStep struct {
	AtS          float64  `json:"at_s"`
	RequestsPerS *float64 `json:"requests_per_s"`
	// Serving is how many instances get requests, the last ones if it is negative.
	Serving *int `json:"serving"`
	// Members is the number of members that the coordinator lists.
	Members *int `json:"members"`
	// Cut is how many instances, from the first on, get no list from the coordinator.
	Cut *int `json:"cut"`
	// StartAgain is how many instances start again: those that have run for longest.
	StartAgain int `json:"start_again"`
	// Retrying means that each instance sends all the retries that it may.
	Retrying *bool `json:"retrying"`
	// RequestDelayS is how long after their callers sent them instances read requests.
	RequestDelayS *float64 `json:"request_delay_s"`
	// RetryDelayS is how long after they were sent retries reach upstreams.
	RetryDelayS *float64 `json:"retry_delay_s"`
}

// group plays a script.
type group struct {
	random    *rand.Rand
	processes []*process
	rate      float64
	first     int
	last      int
	members   int
	cut       int
	retrying  bool
	due       float64
	next      int
	// requestDelay and retryDelay are the delays at present, unread the requests that
	// callers have sent and instances have not read.
	requestDelay time.Duration
	retryDelay   time.Duration
	unread       []delayedEvent
	// requests are the times at which callers sent them, retries those at which they
	// reached upstreams.
	requests []time.Time
	retries  []time.Time
}

// process is one run of an instance.
type process struct {
	budget  *retry.Budget
	started time.Time
}

func (g *group) apply(step windowStep, now time.Time) {
	if step.RequestsPerS != nil {
		g.rate = *step.RequestsPerS
	}
	if step.Serving != nil {
		g.first, g.last = 0, *step.Serving
		if *step.Serving < 0 {
			g.first, g.last = len(g.processes)+*step.Serving, len(g.processes)
		}
	}
	if step.Members != nil {
		g.members = *step.Members
	}
	if step.Cut != nil {
		g.cut = *step.Cut
	}
	if step.Retrying != nil {
		g.retrying = *step.Retrying
	}
	if step.RequestDelayS != nil {
		g.requestDelay = time.Duration(*step.RequestDelayS * float64(time.Second))
	}
	if step.RetryDelayS != nil {
		g.retryDelay = time.Duration(*step.RetryDelayS * float64(time.Second))
	}
	order := make([]int, len(g.processes))
	for i := range order {
		order[i] = i
	}
	sort.SliceStable(order, func(a, b int) bool { return g.processes[order[a]].started.Before(g.processes[order[b]].started) })
	for _, i := range order[:step.StartAgain] {
		g.processes[i] = &process{budget: retry.New(limits, g.random.Float64()), started: now}
	}
}

// play advances the group by one tick.
func (g *group) play(tick time.Duration, now time.Time) {
	for _, p := range g.processes[g.cut:] {
		p.budget.SetMembers(g.members, now, now)
	}
	g.due += g.rate * tick.Seconds()
	for ; g.due >= 1; g.due-- {
		g.next++
		g.unread = append(g.unread, delayedEvent{now.Add(g.requestDelay), g.first + g.next%(g.last-g.first)})
		g.requests = append(g.requests, now)
	}
	g.unread = slices.DeleteFunc(g.unread, func(e delayedEvent) bool {
		if e.received.After(now) {
			return false
		}
		g.processes[e.instance].budget.CountRequest("s", now)
		return true
	})
	if !g.retrying {
		return
	}
	for _, p := range g.processes[g.first:g.last] {
		for p.budget.AllowRetry("s", now).Allowed {
			g.retries = append(g.retries, now.Add(g.retryDelay))
		}
	}
}

// allowed returns the limit for the window that begins at start. Requests are those of
// that window, of the one before or of the one half a window before, whichever has most.
func (g *group) allowed(start time.Time) float64 {
	most := 0
	for _, shift := range []time.Duration{0, limits.Window / 2, limits.Window} {
		most = max(most, within(g.requests, start.Add(limits.Window-shift), limits.Window))
	}
	return limits.Ratio*float64(most) + limits.Slack
}

var _ = Describe("instances that share a budget", func() {
	var scripts []windowScript
	if err := json.Unmarshal(windowScripts, &scripts); err != nil {
		panic(err)
	}
	for _, script := range scripts {
		It(script.Name, func() {
			const tick = 20 * time.Millisecond
			began := time.Unix(1000, 0)
			g := &group{random: rand.New(rand.NewPCG(1, 1))}
			for range script.Instances {
				g.processes = append(g.processes, &process{budget: retry.New(limits, g.random.Float64()), started: began})
			}
			steps := script.Steps
			for now := began; now.Sub(began).Seconds() < script.ForS; now = now.Add(tick) {
				for len(steps) > 0 && now.Sub(began).Seconds() >= steps[0].AtS {
					g.apply(steps[0], now)
					steps = steps[1:]
				}
				g.play(tick, now)
			}
			Expect(steps).To(BeEmpty())
			Expect(g.retries).NotTo(BeEmpty())
			for _, start := range g.retries {
				sent := within(g.retries, start.Add(limits.Window-1), limits.Window)
				Expect(float64(sent)).To(BeNumerically("<=", g.allowed(start)), fmt.Sprintf("in the window from %v on", start.Sub(began)))
			}
		})
	}
})
