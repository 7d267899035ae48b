package coord

import (
	"reflect"
	"time"

	"github.com/hashicorp/go-hclog"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/plan"
	"cardamomcourse.example/cardamom/site"
	"cardamomcourse.example/cardamom/syncpb"
)

const (
	// memberTime is how long an instance is a member after its last exchange.
	memberTime = 2200 * time.Millisecond
	// wantTime is how long a model is wanted after the last call for it.
	wantTime = 1500 * time.Millisecond
	// sumEvery is the time between two sums of the members' demand.
	sumEvery = 100 * time.Millisecond
	// maxGone bounds the remembered departures; an instance that is further
	// behind gets the whole list.
	maxGone = 512
)

// tenure is what an instance keeps while it coordinates. It is rebuilt from the
// engines' reports by whoever takes over.
type tenure struct {
	number    uint64
	fresh     bool
	loop      *Loop
	logger    hclog.Logger
	worlds    map[cardamom.ServiceID]*world
	plain     map[cardamom.UpstreamID]*site.Upstream
	published map[cardamom.UpstreamID]*published
	gones     []departure
	change    uint64
	oldest    uint64
	members   map[cardamom.InstanceID]*member
	membersAt uint64
	memberSet []Member
	loads     map[cardamom.UpstreamID]Others
	awaits    map[*await]bool
	pausedOn  bool
	// stepped is when the plan was last looked at, busy whether it waits for
	// something, summed when demand was last summed.
	stepped time.Time
	busy    bool
	summed  time.Time
}

// world is the plan of one service.
type world struct {
	*plan.World
	seen uint64
}

// published is an upstream as members were told of it.
type published struct {
	upstream *site.Upstream
	change   uint64
}

// departure is an upstream that is no longer listed.
type departure struct {
	id     cardamom.UpstreamID
	change uint64
}

// member is an instance with its last report.
type member struct {
	Member
	heard     time.Time
	models    map[modelKey]count
	upstreams map[cardamom.UpstreamID]Others
}

type modelKey struct {
	service cardamom.ServiceID
	model   cardamom.ModelID
}

type count struct {
	waiting int
	running int
}

// await is one call that waits for a model or adapter.
type await struct {
	service cardamom.ServiceID
	model   cardamom.ModelID
	adapter string
	until   time.Time
	reply   chan *syncpb.AwaitReply
}

// beginTenure starts to coordinate.
func (l *Loop) beginTenure(fresh bool, now time.Time) {
	t := &tenure{
		number: uint64(l.lease.Fence()), fresh: fresh, loop: l, logger: l.logger,
		worlds: make(map[cardamom.ServiceID]*world), plain: make(map[cardamom.UpstreamID]*site.Upstream),
		published: make(map[cardamom.UpstreamID]*published), members: make(map[cardamom.InstanceID]*member),
		loads: make(map[cardamom.UpstreamID]Others), awaits: make(map[*await]bool),
	}
	l.tenure = t
	l.logger.Info("lease_taken", "fence", t.number, "fresh", fresh)
	for _, upstream := range l.picture.upstreams {
		t.update(upstream, now)
	}
}

// endTenure stops to coordinate. Calls that wait are told to ask elsewhere.
func (l *Loop) endTenure(reason string) {
	l.logger.Info("lease_ended", "fence", l.tenure.number, "reason", reason)
	for a := range l.tenure.awaits {
		a.reply <- &syncpb.AwaitReply{ExpectedMs: -1}
	}
	l.tenure = nil
	l.position = position{}
}

// setCatalog takes a newer catalog.
func (t *tenure) setCatalog(catalog *site.Catalog) {
	for name, w := range t.worlds {
		if service, ok := catalog.Service(name); ok && service.Engine != nil {
			w.SetSpec(service.Engine)
		}
	}
}

// world returns the plan of an upstream's service, nil for a plain service.
func (t *tenure) world(name cardamom.ServiceID, now time.Time) *world {
	if w, ok := t.worlds[name]; ok {
		return w
	}
	catalog := t.loop.picture.catalog
	if catalog == nil {
		return nil
	}
	service, ok := catalog.Service(name)
	if !ok || service.Engine == nil {
		return nil
	}
	w := &world{World: plan.New(service.Engine, t.loop.options.Profiles.For(name), t.fresh, now)}
	if known, ok := t.loop.picture.atOnce[name]; ok {
		w.Told(known)
	}
	t.worlds[name] = w
	return w
}

// update takes an upstream as it is listed.
func (t *tenure) update(upstream *site.Upstream, now time.Time) {
	if w := t.world(upstream.Service, now); w != nil {
		delete(t.plain, upstream.ID)
		w.Update(upstream, now)
		return
	}
	if known, ok := t.plain[upstream.ID]; ok && known.Born == upstream.Born && known.State == cardamom.Leaving {
		return
	}
	t.plain[upstream.ID] = upstream
	t.publish(upstream)
}

// gone takes that an upstream is no longer listed.
func (t *tenure) gone(id cardamom.UpstreamID) {
	for _, w := range t.worlds {
		w.Gone(id)
	}
	delete(t.plain, id)
	if _, ok := t.published[id]; !ok {
		return
	}
	delete(t.published, id)
	t.change++
	t.gones = append(t.gones, departure{id, t.change})
	if len(t.gones) > maxGone {
		t.oldest = t.gones[0].change
		t.gones = t.gones[1:]
	}
}

// publish numbers an upstream's change if requests can see it.
func (t *tenure) publish(upstream *site.Upstream) {
	known, ok := t.published[upstream.ID]
	if ok && known.upstream.State == upstream.State && known.upstream.Address == upstream.Address &&
		known.upstream.Born == upstream.Born && reflect.DeepEqual(known.upstream.Held, upstream.Held) {
		return
	}
	t.change++
	t.published[upstream.ID] = &published{upstream: upstream, change: t.change}
	t.loop.setUpstream(upstream, "plan")
}

// stepTenure plans, sends orders and answers waiting calls. It tells whether
// anything is pending.
func (l *Loop) stepTenure(now time.Time) bool {
	t := l.tenure
	t.adopt(now)
	if now.Sub(t.summed) >= sumEvery {
		t.summed = now
		t.countDemand(now)
	}
	pending := len(t.awaits) > 0
	allowed := l.lease.MayOrder(now, l.options.Fenced)
	if allowed == t.pausedOn {
		t.pausedOn = !allowed
		l.logger.Info("orders_allowed", "allowed", allowed, "fence", t.number)
	}
	for name, w := range t.worlds {
		if allowed {
			for _, move := range append(w.Again(now), w.Decide(now)...) {
				l.order(name, move)
				pending = true
			}
		}
		for _, upstream := range w.Asks(now) {
			l.ask(name, upstream)
		}
		if atOnce := w.AtOnce(); l.picture.atOnce[name] != atOnce {
			l.picture.atOnce[name] = atOnce
			l.logger.Info("loads_at_once", "service", name, "count", atOnce.Loads, "bound", atOnce.Bound, "fence", t.number)
		}
		for _, done := range w.Done() {
			l.logger.Info("order_done", "order", done.Order.Kind, "model", done.Order.Model, "upstream", done.Upstream, "fence", t.number, "took_ms", done.Took.Milliseconds(), "expected_ms", done.Expected.Milliseconds())
		}
		t.publishWorld(w)
	}
	t.answerAwaits(now)
	return pending
}

// adopt moves upstreams into a plan once the catalog tells that their service
// has engines.
func (t *tenure) adopt(now time.Time) {
	for id, upstream := range t.plain {
		if w := t.world(upstream.Service, now); w != nil {
			delete(t.plain, id)
			w.Update(upstream, now)
		}
	}
}

func (t *tenure) publishWorld(w *world) {
	if w.Changes() == w.seen {
		return
	}
	for _, upstream := range w.Changed(w.seen) {
		t.publish(upstream)
	}
	w.seen = w.Changes()
}

// countDemand drops members that fell silent and sums what the others told.
func (t *tenure) countDemand(now time.Time) {
	sums := make(map[modelKey]count)
	loads := make(map[cardamom.UpstreamID]Others)
	var set []Member
	for id, m := range t.members {
		if now.Sub(m.heard) > memberTime {
			t.logger.Info("member_lost", "instance", id, "silent_ms", now.Sub(m.heard).Milliseconds())
			delete(t.members, id)
			continue
		}
		set = append(set, m.Member)
		for key, c := range m.models {
			sum := sums[key]
			sums[key] = count{sum.waiting + c.waiting, sum.running + c.running}
		}
		for upstream, others := range m.upstreams {
			sum := loads[upstream]
			loads[upstream] = Others{sum.Running + others.Running, sum.Failures + others.Failures}
		}
	}
	t.loads = loads
	for name, w := range t.worlds {
		for _, model := range w.Known() {
			c := sums[modelKey{name, model}]
			w.Running(model, c.waiting, c.running)
		}
	}
	sortMembers(set)
	if !reflect.DeepEqual(set, t.memberSet) {
		t.memberSet = set
		t.membersAt++
		t.loop.picture.members = set
		t.loop.changed = true
	}
}

// answerAwaits answers the calls whose model is ready or whose time is up.
func (t *tenure) answerAwaits(now time.Time) {
	for a := range t.awaits {
		reply := t.awaitReply(a, now)
		if reply.Ready || !now.Before(a.until) {
			delete(t.awaits, a)
			a.reply <- reply
		}
	}
}

// awaitReply tells whether requests can be sent, or when.
func (t *tenure) awaitReply(a *await, now time.Time) *syncpb.AwaitReply {
	reply := &syncpb.AwaitReply{Coordinates: true, ExpectedMs: -1, Tenure: t.number, Change: t.change, UpstreamsAgeMs: now.Sub(t.loop.picture.learned).Milliseconds()}
	w, ok := t.worlds[a.service]
	if !ok {
		return reply
	}
	for _, upstream := range w.Ready(a.model, a.adapter, now) {
		reply.Ready = true
		reply.Upstreams = append(reply.Upstreams, encodeUpstream(upstream))
	}
	if wait, known := w.ReadyIn(a.model, a.adapter, now); known {
		reply.ExpectedMs = wait.Milliseconds()
	}
	return reply
}
