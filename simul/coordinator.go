package simul

import (
	"time"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/demand"
	"cardamomcourse.example/cardamom/notice"
	"cardamomcourse.example/cardamom/plan"
	"cardamomcourse.example/cardamom/quota"
	"cardamomcourse.example/cardamom/site"
)

const (
	// service is the name of the only service of a play.
	service cardamom.ServiceID = "models"
	// hop is the time of a message between instances, or to an engine.
	hop = time.Millisecond
	// lookInterval is the time between two looks at the plan.
	lookInterval = 15 * time.Millisecond
	// listingDelay is how long it takes until the coordinator knows that an engine
	// started, drains or is gone.
	listingDelay = 700 * time.Millisecond
)

// coordinator plans the loads. It is reached by messages that take a hop each way.
type coordinator struct {
	play    *play
	planner *plan.Planner
	sums    *demand.Sums
	reports map[int]demand.Report
	waiting []waiter
	limits  *quota.Book
	permits *quota.Queue
	notices *notice.Book
	// waits are those that engines asked any instance for.
	waits *notice.Book
}

// waiter is an instance that waits for a model.
type waiter struct {
	model cardamom.ModelID
	// answer is called when the model is ready, or with the time until it is expected.
	answer func(now time.Time, upstreams []*site.Upstream, expected time.Duration, known bool) (done bool)
}

func newCoordinator(p *play, spec *site.EngineSpec) *coordinator {
	c := &coordinator{play: p, planner: plan.New(spec, p.profile, true, p.events.now), sums: demand.NewSums(), reports: make(map[int]demand.Report)}
	c.startLimits()
	p.events.after(lookInterval, c.look)
	return c
}

// startLimits begins without any limits, permits and notices.
func (c *coordinator) startLimits() {
	c.notices, c.waits = notice.NewBook(), notice.NewBook()
	c.limits = quota.NewBook()
	c.permits = quota.NewQueue(c.limits)
}

// listed passes an engine's state to the plan once the platform lists it.
func (c *coordinator) listed(e *engine, after time.Duration) {
	c.play.events.after(after, func(now time.Time) {
		if e.gone {
			c.planner.Remove(e.ID)
			return
		}
		upstream := e.Upstream
		c.planner.Update(&upstream, now)
	})
}

// exchange records an instance's report and returns the engines that changed since its
// last one, and what others have in flight.
func (c *coordinator) exchange(instance int, report demand.Report, since uint64, now time.Time) ([]*site.Upstream, uint64, map[cardamom.UpstreamID]demand.Upstream) {
	for key, m := range report.Models {
		if m.Arrivals > 0 {
			c.planner.Arrived(key.Model, m.Arrivals, m.Tokens, now)
		}
	}
	for key := range c.sums.Replace(c.reports[instance], report) {
		waiting, running := c.sums.Model(key)
		c.planner.SetRequestCounts(key.Model, waiting, running)
	}
	c.reports[instance] = report
	return c.planner.ChangedSince(since), c.planner.Version(), c.sums.Others(report)
}

// need records that requests wait for a model.
func (c *coordinator) need(model cardamom.ModelID, remaining time.Duration, w waiter, now time.Time) {
	c.planner.RecordWait(model, "", now.Add(min(remaining, 1500*time.Millisecond)))
	c.waiting = append(c.waiting, w)
}

// look lets the plan decide, sends its orders and answers those that wait.
func (c *coordinator) look(now time.Time) {
	for _, model := range c.planner.KnownModels() {
		waiting, running := c.sums.Model(demand.Key{Service: service, Model: model})
		c.planner.SetRequestCounts(model, waiting, running)
	}
	for _, o := range append(c.planner.Resends(now), c.planner.Decide(now)...) {
		c.send(o)
	}
	for _, upstream := range c.planner.DueReports(now) {
		c.requestReport(upstream.ID)
	}
	var still []waiter
	for _, w := range c.waiting {
		ready := c.planner.Ready(w.model, "", now)
		expected, known := c.planner.ReadyIn(w.model, "", now)
		if !w.answer(now, ready, expected, known) {
			still = append(still, w)
		}
	}
	c.waiting = still
	c.stepLimits(now)
	c.stepWaits(now)
	c.play.events.after(lookInterval, c.look)
}

func (c *coordinator) send(o plan.PlannedOrder) {
	e := c.play.engines[o.Upstream.ID]
	c.play.events.after(hop, func(now time.Time) {
		result := e.order(o.Order, now)
		c.play.events.after(hop, func(now time.Time) { c.planner.Answered(o, result, now) })
	})
}

func (c *coordinator) requestReport(id cardamom.UpstreamID) {
	e := c.play.engines[id]
	c.play.events.after(2*hop, func(now time.Time) {
		if e.down {
			c.planner.ReportMissed(id)
			return
		}
		c.planner.Report(id, e.reportNow(now), now)
	})
}
