package plan_test

import (
	"embed"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/plan"
	"cardamomcourse.example/cardamom/site"
)

//go:embed testdata/*.json
var scripts embed.FS

func TestPlan(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "plan")
}

// script is a deployment and the events that happen to it.
type script struct {
	Load    string             `json:"load"`
	Models  map[string]int     `json:"models"`
	Engines map[string]fixture `json:"engines"`
	Steps   []step             `json:"steps"`
	// AtOnce is the number of concurrent loads that an earlier coordinator found,
	// 0 for none.
	AtOnce int `json:"at_once"`
	// Bound means that it found loads to be slowed down beyond that number.
	Bound bool `json:"bound"`
	// StoreLoads is the rate limit of the store in loads per second.
	StoreLoads float64 `json:"store_loads"`
	// Successor means that another instance was the coordinator before.
	Successor bool `json:"successor"`
	// FromStore is how long a load from the store takes; the default is 6 s.
	FromStore int64 `json:"from_store_ms"`
	// Sizes has the sizes of the models that don't have the default size of 70 MB.
	Sizes map[string]float64 `json:"sizes_mb"`
}

// fixture is the initial state of an engine: its loaded models and those on
// disk.
type fixture struct {
	Held []string `json:"held"`
	Disk []string `json:"disk"`
}

type step struct {
	At      int64    `json:"at_ms"`
	Do      string   `json:"do"`
	Engine  string   `json:"engine"`
	Model   string   `json:"model"`
	Adapter string   `json:"adapter"`
	Count   int      `json:"count"`
	Tokens  int      `json:"tokens"`
	Orders  int64    `json:"orders"`
	Busy    bool     `json:"busy"`
	Held    []string `json:"held"`
	Beat    int64    `json:"beat"`
	// PerSecond is the rate limit of the engine.
	PerSecond float64 `json:"per_s"`
	// UntilMS is until when the engine wants no requests.
	UntilMS int64  `json:"until_ms"`
	Result  string `json:"result"`
	// Moves are the expected orders, as "load MODEL[/ADAPTER] ENGINE".
	Moves []string `json:"moves"`
	// Number is the expected number of orders where any choice is right.
	Number *int `json:"number"`
	// Asks are the engines from which a report is expected to be requested.
	Asks []string `json:"asks"`
	// Ready are the engines expected to be able to run requests for the model.
	Ready []string `json:"ready"`
	// ReadyMS is the expected wait of a request for the model.
	ReadyMS *int64 `json:"ready_ms"`
}

var results = map[string]site.OrderResult{
	"accepted": site.OrderAccepted, "holds": site.OrderAlreadyDone, "conflict": site.OrderConflict, "unanswered": site.OrderUnknown,
}

var _ = Describe("the plan", func() {
	files, err := scripts.ReadDir("testdata")
	if err != nil {
		panic(err)
	}
	for _, file := range files {
		It("follows "+file.Name(), func() {
			body, err := scripts.ReadFile("testdata/" + file.Name())
			Expect(err).NotTo(HaveOccurred())
			var s script
			Expect(json.Unmarshal(body, &s)).To(Succeed())
			runScript(s)
		})
	}
})

// spec describes engines with room for two models of 70 MB and two adapters.
func spec(s script) *site.EngineSpec {
	engine := &site.EngineSpec{Slots: 8, MemoryMB: 150, AdapterSlots: 2, StoreLoadsPerSecond: 3, Models: make(map[cardamom.ModelID]site.Model)}
	fromStore := 6 * time.Second
	if s.FromStore > 0 {
		fromStore = time.Duration(s.FromStore) * time.Millisecond
	}
	for name, adapters := range s.Models {
		size, ok := s.Sizes[name]
		if !ok {
			size = 70
		}
		engine.Models[cardamom.ModelID(name)] = site.Model{
			Name: cardamom.ModelID(name), SizeMB: size, Adapters: adapters, AdapterMB: 1,
			StoreLoadTime: fromStore, DiskLoadTime: 1300 * time.Millisecond, MemoryLoadTime: 600 * time.Millisecond,
		}
	}
	if s.StoreLoads > 0 {
		engine.StoreLoadsPerSecond = s.StoreLoads
	}
	return engine
}

func held(names []string) map[cardamom.ModelID][]string {
	list := make(map[cardamom.ModelID][]string)
	for _, name := range names {
		list[cardamom.ModelID(name)] = nil
	}
	return list
}

func set(names []string) map[cardamom.ModelID]bool {
	list := make(map[cardamom.ModelID]bool)
	for _, name := range names {
		list[cardamom.ModelID(name)] = true
	}
	return list
}

func upstream(id string, f fixture, beat int64) *site.Upstream {
	return &site.Upstream{
		Upstream:  cardamom.Upstream{ID: cardamom.UpstreamID(id), Service: "s", State: cardamom.Live, Address: "127.0.0.1:1"},
		StartedMs: 1, RegistrationSeq: beat, Loaded: held(f.Held), OnDisk: set(append(f.Disk, f.Held...)),
	}
}

// onDisk returns the models on the disk of an engine: all that it has ever
// loaded.
func onDisk(s script, st step) []string {
	f := s.Engines[st.Engine]
	return append(append(append([]string(nil), f.Disk...), f.Held...), st.Held...)
}

func describe(o plan.PlannedOrder) string {
	name := string(o.Order.Model)
	if o.Order.Adapter != "" {
		name += "/" + o.Order.Adapter
	}
	return fmt.Sprintf("%s %s %s", o.Order.Kind, name, o.Upstream.ID)
}

func runScript(s script) {
	start := time.Unix(1000, 0)
	planner := plan.New(spec(s), plan.DefaultProfile, !s.Successor, start)
	for id, f := range s.Engines {
		planner.Update(upstream(id, f, 1), start)
		planner.Report(cardamom.UpstreamID(id), site.Report{Loaded: held(f.Held), OnDisk: set(append(f.Disk, f.Held...))}, start)
	}
	if s.AtOnce > 0 {
		planner.SetStoreConcurrency(plan.StoreConcurrency{Loads: s.AtOnce, LimitReached: s.Bound})
	}
	sent := make(map[string]plan.PlannedOrder)
	limits, quiet := make(map[cardamom.UpstreamID]float64), make(map[cardamom.UpstreamID]time.Time)
	for i, step := range s.Steps {
		now := start.Add(time.Duration(step.At) * time.Millisecond)
		id := cardamom.UpstreamID(step.Engine)
		switch step.Do {
		case "arrive":
			planner.Arrived(cardamom.ModelID(step.Model), step.Count, step.Tokens, now)
		case "running":
			planner.SetRequestCounts(cardamom.ModelID(step.Model), 0, step.Count)
		case "waiting":
			planner.SetRequestCounts(cardamom.ModelID(step.Model), step.Count, 0)
		case "want":
			planner.RecordWait(cardamom.ModelID(step.Model), step.Adapter, now.Add(time.Second))
		case "report":
			planner.Report(id, site.Report{AcceptedOrders: step.Orders, Busy: step.Busy, Loaded: held(step.Held), OnDisk: set(onDisk(s, step))}, now)
		case "register":
			planner.Update(upstream(step.Engine, fixture{Held: step.Held}, step.Beat), now)
		case "leave":
			leaving := upstream(step.Engine, fixture{Held: step.Held}, step.Beat)
			leaving.State = cardamom.Leaving
			planner.Update(leaving, now)
		case "answer":
			planner.Answered(sent[step.Engine], results[step.Result], now)
		case "limit":
			limits[id] = step.PerSecond
			planner.SetRateLimits(limits)
		case "quiet":
			quiet[id] = start.Add(time.Duration(step.UntilMS) * time.Millisecond)
			planner.SetWaits(quiet)
		case "gone":
			planner.Remove(id)
		case "doubt":
			planner.Suspect(id, now)
		case "silent":
			planner.ReportMissed(id)
		}
		if step.Asks != nil {
			asked := []string{}
			for _, engine := range planner.DueReports(now) {
				asked = append(asked, string(engine.ID))
			}
			Expect(asked).To(ConsistOf(step.Asks), "step %d", i)
		}
		if step.Ready != nil {
			ready := []string{}
			for _, engine := range planner.Ready(cardamom.ModelID(step.Model), step.Adapter, now) {
				ready = append(ready, string(engine.ID))
			}
			Expect(ready).To(ConsistOf(step.Ready), "step %d", i)
		}
		if step.Moves == nil && step.Number == nil && step.ReadyMS == nil {
			continue
		}
		if step.ReadyMS != nil {
			wait, known := planner.ReadyIn(cardamom.ModelID(step.Model), step.Adapter, now)
			Expect(known).To(BeTrue(), "step %d", i)
			Expect(wait.Milliseconds()).To(Equal(*step.ReadyMS), "step %d", i)
			continue
		}
		orders := []string{}
		for _, order := range append(planner.Resends(now), planner.Decide(now)...) {
			sent[string(order.Upstream.ID)] = order
			orders = append(orders, describe(order))
		}
		if step.Number != nil {
			Expect(orders).To(HaveLen(*step.Number), "step %d: %v", i, orders)
		} else {
			Expect(orders).To(ConsistOf(step.Moves), "step %d", i)
		}
	}
}
