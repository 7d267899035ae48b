package coord

import (
	"reflect"
	"time"

	"github.com/hashicorp/go-hclog"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/demand"
	"cardamomcourse.example/cardamom/notice"
	"cardamomcourse.example/cardamom/plan"
	"cardamomcourse.example/cardamom/quota"
	"cardamomcourse.example/cardamom/site"
	"cardamomcourse.example/cardamom/syncpb"
)

const (
	// maxWantTime bounds how long a model stays wanted after an Await call for it.
	maxWantTime = 1500 * time.Millisecond
	// memberCheckInterval is the time between two checks for members that are lost.
	memberCheckInterval = 100 * time.Millisecond
	// maxRemovedUpstreams bounds the removals that are kept; a member that is
	// further behind gets the whole list.
	maxRemovedUpstreams = 512
)

// term is the state of an instance while it coordinates. Loop.term is nil while
// this instance is not the coordinator. A new coordinator starts with an empty
// term and rebuilds the state from the engines' reports.
type term struct {
	// number is the fencing token of the term.
	number uint64
	// fresh means that the deployment has had no coordinator before.
	fresh  bool
	loop   *Loop
	logger hclog.Logger
	plans  map[cardamom.ServiceID]*servicePlan
	// plain are the upstreams of services without engines, which need no plan.
	plain     map[cardamom.UpstreamID]*site.Upstream
	published map[cardamom.UpstreamID]*published
	list      list
	removed   []removedUpstream
	// change is the number of the last change to published and removed.
	change uint64
	// lastDiscarded is the change number of the last removal that was discarded; a
	// member with a lower number may have missed it and gets the whole list.
	lastDiscarded  uint64
	members        map[cardamom.InstanceID]*member
	membersVersion uint64
	memberList     []Member
	sums           *demand.Sums
	awaitCalls     map[*awaitCall]bool
	// permits has the calls for permits, for upstreams with a rate limit.
	permits *quota.Queue
	// waits are those that upstreams asked any member for.
	waits *notice.Book
	// firstMisses are the times of the first of the reports that suspected engines missed in
	// a row.
	firstMisses  map[cardamom.UpstreamID]time.Time
	ordersPaused bool
	// lastStep is when the plans last decided on orders.
	lastStep time.Time
	// pending means that orders were sent in the last step or that Await calls
	// are waiting.
	pending bool
	// lastMemberCheck is when members without recent exchanges were last removed.
	lastMemberCheck time.Time
	// instances is how many instances there are, as far as this one knows.
	instances instanceCount
}

// servicePlan is the plan of one service.
type servicePlan struct {
	*plan.Planner
	publishedChange uint64
}

// published is an upstream as it was last sent to members.
type published struct {
	upstream *site.Upstream
	change   uint64
	section  int
	digest   uint64
}

// removedUpstream is an upstream that is no longer listed.
type removedUpstream struct {
	id     cardamom.UpstreamID
	change uint64
}

// member is an instance with its last report.
type member struct {
	Member
	lastExchange time.Time
	report       demand.Report
	// ownCredit means that it grants requests of organisations by its own part of their quotas.
	ownCredit bool
}

// lastExchange returns when a member last exchanged, zero if it is new.
func (t *term) lastExchange(id cardamom.InstanceID) time.Time {
	if m, ok := t.members[id]; ok {
		return m.lastExchange
	}
	return time.Time{}
}

// awaitCall is a pending call that waits for a model or adapter.
type awaitCall struct {
	service cardamom.ServiceID
	model   cardamom.ModelID
	adapter string
	// version is the software version that the upstream has to have, empty for any.
	version string
	until   time.Time
	reply   chan *syncpb.AwaitReply
}

// beginTerm starts to coordinate.
func (l *Loop) beginTerm(fresh bool, now time.Time) {
	t := &term{
		number: uint64(l.lease.FencingToken()), fresh: fresh, loop: l, logger: l.logger,
		plans: make(map[cardamom.ServiceID]*servicePlan), plain: make(map[cardamom.UpstreamID]*site.Upstream),
		published: make(map[cardamom.UpstreamID]*published), members: make(map[cardamom.InstanceID]*member),
		sums: demand.NewSums(), awaitCalls: make(map[*awaitCall]bool),
		permits: quota.NewQueue(l.options.Limits), waits: notice.NewBook(), firstMisses: make(map[cardamom.UpstreamID]time.Time),
	}
	l.term = t
	t.instances.see(len(l.state.members), now)
	expected := max(len(l.state.members), l.state.storedInstances, 1)
	l.credits.begin(t.number, expected, newTiming(expected, l.options.ChangeTime).exchangeInterval(), now)
	by, until := l.lease.LastOrders(now, l.options.Fenced)
	l.logger.Info("lease_taken", "fence", t.number, "fresh", fresh, "ordered_by", by, "ordered_ago_ms", now.Sub(until).Milliseconds())
	for _, upstream := range l.state.upstreams {
		t.update(upstream, now)
	}
}

// endTerm stops coordinating. Pending Await and Permit calls have to ask another instance.
func (l *Loop) endTerm(reason string, now time.Time) {
	l.logger.Info("lease_ended", "fence", l.term.number, "reason", reason)
	for a := range l.term.awaitCalls {
		a.reply <- &syncpb.AwaitReply{ExpectedMs: -1}
	}
	for _, c := range l.term.permits.Calls() {
		c.Answer(quota.Permit{})
	}
	l.term = nil
	l.credits.end(now)
	l.position = position{}
}

// setCatalog passes the engine settings of a newer catalog to the plans.
func (t *term) setCatalog(catalog *site.Catalog) {
	for name, p := range t.plans {
		if service, ok := catalog.Service(name); ok && service.Engine != nil {
			p.SetSpec(service.Engine)
		}
	}
}

// planFor returns the plan of a service, nil if the service has no engines.
func (t *term) planFor(name cardamom.ServiceID, now time.Time) *servicePlan {
	if p, ok := t.plans[name]; ok {
		return p
	}
	catalog := t.loop.state.catalog
	if catalog == nil {
		return nil
	}
	service, ok := catalog.Service(name)
	if !ok || service.Engine == nil {
		return nil
	}
	p := &servicePlan{Planner: plan.New(service.Engine, t.loop.options.Profiles.For(name), t.fresh, now)}
	if known, ok := t.loop.state.storeConcurrency[name]; ok {
		p.SetStoreConcurrency(known)
	}
	t.plans[name] = p
	return p
}

// update adds or updates a listed upstream.
func (t *term) update(upstream *site.Upstream, now time.Time) {
	if p := t.planFor(upstream.Service, now); p != nil {
		delete(t.plain, upstream.ID)
		p.Update(upstream, now)
		return
	}
	if known, ok := t.plain[upstream.ID]; ok && known.StartedMs == upstream.StartedMs && known.State == cardamom.Leaving {
		return
	}
	t.plain[upstream.ID] = upstream
	t.publish(upstream)
}

// remove removes an upstream that is no longer listed.
func (t *term) remove(id cardamom.UpstreamID) {
	for _, p := range t.plans {
		p.Remove(id)
	}
	delete(t.plain, id)
	delete(t.firstMisses, id)
	if _, ok := t.published[id]; !ok {
		return
	}
	delete(t.published, id)
	t.change++
	t.removed = append(t.removed, removedUpstream{id, t.change})
	if len(t.removed) > maxRemovedUpstreams {
		t.lastDiscarded = t.removed[0].change
		t.removed = t.removed[1:]
	}
}

// publish adds a change if an upstream differs from its published state in a field
// that matters for requests.
func (t *term) publish(upstream *site.Upstream) {
	known, ok := t.published[upstream.ID]
	if ok && known.upstream.State == upstream.State && known.upstream.Address == upstream.Address &&
		known.upstream.StartedMs == upstream.StartedMs && known.upstream.Version == upstream.Version && reflect.DeepEqual(known.upstream.Loaded, upstream.Loaded) {
		return
	}
	t.change++
	t.published[upstream.ID] = &published{upstream: upstream, change: t.change, section: section(upstream.ID), digest: digest(upstream)}
	t.loop.setUpstream(upstream, "plan")
}

// stepTerm plans, sends orders and answers pending Await calls. It reports
// whether anything is pending.
func (l *Loop) stepTerm(now time.Time) bool {
	t := l.term
	t.adopt(now)
	if now.Sub(t.lastMemberCheck) >= memberCheckInterval {
		t.lastMemberCheck = now
		t.checkMembers(now)
	}
	pending := len(t.awaitCalls) > 0
	allowed := l.lease.MayOrder(now, l.options.Fenced)
	if allowed == t.ordersPaused {
		t.ordersPaused = !allowed
		l.logger.Info("orders_allowed", "allowed", allowed, "fence", t.number)
	}
	waits := t.planWaits(now)
	for name, p := range t.plans {
		p.SetWaits(waits)
		if allowed {
			for _, planned := range append(p.Resends(now), p.Decide(now)...) {
				l.sendOrder(name, planned)
				pending = true
			}
		}
		for _, upstream := range p.DueReports(now) {
			l.requestReport(name, upstream)
		}
		if concurrency := p.StoreConcurrency(); l.state.storeConcurrency[name] != concurrency {
			l.state.storeConcurrency[name] = concurrency
			l.logger.Info("loads_at_once", "service", name, "count", concurrency.Loads, "bound", concurrency.LimitReached, "fence", t.number)
		}
		for _, ended := range p.TakeEnded() {
			if ended.Displaced {
				l.logger.Info("order_displaced", "order", ended.Order.Kind, "model", ended.Order.Model, "adapter", ended.Order.Adapter, "upstream", ended.Upstream, "expect", ended.Order.ExpectedOrders, "fence", t.number)
				continue
			}
			l.logger.Info("order_done", "order", ended.Order.Kind, "model", ended.Order.Model, "adapter", ended.Order.Adapter, "upstream", ended.Upstream, "fence", t.number, "took_ms", ended.Took.Milliseconds(), "expected_ms", ended.Expected.Milliseconds())
		}
		t.publishPlan(p)
	}
	t.answerAwaitCalls(now)
	return t.permits.Step(now) || pending
}

// adopt moves upstreams into a plan once the catalog shows that their service
// has engines.
func (t *term) adopt(now time.Time) {
	for id, upstream := range t.plain {
		if p := t.planFor(upstream.Service, now); p != nil {
			delete(t.plain, id)
			p.Update(upstream, now)
		}
	}
}

func (t *term) publishPlan(p *servicePlan) {
	if p.Version() == p.publishedChange {
		return
	}
	for _, upstream := range p.ChangedSince(p.publishedChange) {
		t.publish(upstream)
	}
	p.publishedChange = p.Version()
}

// checkMembers removes members whose last exchange is too old, and sets the plans'
// request counts to the sums over the others.
func (t *term) checkMembers(now time.Time) {
	var members []Member
	memberTimeout := t.loop.timing().memberTimeout()
	for id, m := range t.members {
		if now.Sub(m.lastExchange) > memberTimeout {
			t.logger.Info("member_lost", "instance", id, "silent_ms", now.Sub(m.lastExchange).Milliseconds())
			t.sums.Replace(m.report, demand.Report{})
			delete(t.members, id)
			continue
		}
		members = append(members, m.Member)
	}
	for name, p := range t.plans {
		for _, model := range p.KnownModels() {
			t.setRequestCounts(p, demand.Key{Service: name, Model: model})
		}
	}
	t.shareCredit(now)
	sortMembers(members)
	if !reflect.DeepEqual(members, t.memberList) {
		t.memberList = members
		t.membersVersion++
		t.loop.state.members = members
		t.loop.viewChanged = true
	}
}

// setRequestCounts passes the sums of a model's requests to its plan.
func (t *term) setRequestCounts(p *servicePlan, key demand.Key) {
	waiting, running := t.sums.Model(key)
	p.SetRequestCounts(key.Model, waiting, running)
}

// answerAwaitCalls answers the calls whose model is ready or whose time is up.
func (t *term) answerAwaitCalls(now time.Time) {
	for a := range t.awaitCalls {
		reply := t.awaitReply(a, now)
		if reply.Ready || !now.Before(a.until) {
			delete(t.awaitCalls, a)
			a.reply <- reply
		}
	}
}

// awaitReply returns the answer to a call: the upstreams that are ready, or when
// one is expected to be.
func (t *term) awaitReply(a *awaitCall, now time.Time) *syncpb.AwaitReply {
	reply := &syncpb.AwaitReply{Coordinates: true, ExpectedMs: -1, Tenure: t.number, Change: t.change, UpstreamsAgeMs: now.Sub(t.loop.state.upstreamsConfirmed).Milliseconds()}
	p, ok := t.plans[a.service]
	if !ok {
		return reply
	}
	for _, upstream := range p.ReadyAtVersion(a.model, a.adapter, a.version, now) {
		reply.Ready = true
		reply.Upstreams = append(reply.Upstreams, encodeUpstream(upstream))
	}
	if wait, known := p.ReadyInAtVersion(a.model, a.adapter, a.version, now); known {
		reply.ExpectedMs = wait.Milliseconds()
	}
	return reply
}
