package coord

import (
	"context"
	"strings"
	"time"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/syncpb"
)

const (
	// answerTimeout bounds how long a call waits for the control goroutine.
	answerTimeout = 2 * time.Second
)

// Server answers other instances' calls. It implements syncpb.Sync.
type Server struct {
	loop *Loop
}

var _ syncpb.Sync = (*Server)(nil)

// NewServer returns the server of a loop.
func NewServer(loop *Loop) *Server { return &Server{loop: loop} }

// Exchange implements syncpb.Sync.
func (s *Server) Exchange(ctx context.Context, request *syncpb.ExchangeRequest) (*syncpb.ExchangeReply, error) {
	reply := make(chan *syncpb.ExchangeReply, 1)
	s.loop.post(func(now time.Time) { reply <- s.loop.exchange(request, now) })
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	select {
	case answer := <-reply:
		return answer, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Await implements syncpb.Sync.
func (s *Server) Await(ctx context.Context, request *syncpb.AwaitRequest) (*syncpb.AwaitReply, error) {
	return s.loop.await(ctx, request)
}

// exchange records a member's report and returns what changed since its last
// exchange, or the coordinator's address if this instance does not coordinate.
func (l *Loop) exchange(request *syncpb.ExchangeRequest, now time.Time) *syncpb.ExchangeReply {
	l.mergeParts(request.GetParts(), "member", now)
	l.mergeLeaves(request.GetLeaving(), now)
	t := l.term
	if t == nil {
		_, address := l.lease.Holder()
		if l.position.coordinator != "" && l.hasCoordinator(now) {
			address = l.position.coordinator
		}
		reply := &syncpb.ExchangeReply{Coordinator: address, Parts: encodeParts(l.options.Parts.Evidence(now), now)}
		if request.GetNeedState() {
			l.addState(reply, now)
		}
		return reply
	}
	parts := l.partsFor(t.lastExchange(cardamom.InstanceID(request.GetMember().GetInstance())), now)
	t.recordReport(request, now)
	t.mergeWaits(request.GetWaits(), now)
	l.credits.learn(decodeLevels(request.GetLevels(), now), now)
	l.logLimits(l.options.Limits.Merge(decodeLimits(request.GetLimits(), now)), "member")
	reply := &syncpb.ExchangeReply{
		Coordinates: true, Tenure: t.number, Change: t.change, Parts: parts,
		History: encodeHistory(l.state.history.Account(now), now), UpstreamsAgeMs: now.Sub(l.state.upstreamsConfirmed).Milliseconds(), CatalogAgeMs: now.Sub(l.state.catalogConfirmed).Milliseconds(),
		Unlisted: l.state.upstreamsConfirmed.IsZero(),
	}
	if l.state.catalog != nil {
		reply.Catalog = l.state.catalog.Version()
		if request.GetNeedDocument() && request.GetCatalog() < reply.Catalog {
			reply.Document = l.packedDocument()
		}
	}
	t.changedList(reply, request, now)
	reply.MembersVersion = t.membersVersion
	if request.GetMembers() != t.membersVersion || request.GetTenure() != t.number && len(request.GetDigests()) == 0 {
		reply.Members = encodeMembers(t.memberList)
	}
	sender := t.members[cardamom.InstanceID(request.GetMember().GetInstance())]
	for id, others := range t.sums.Others(sender.report) {
		reply.Loads = append(reply.Loads, &syncpb.Load{Upstream: string(id), Running: int32(others.Running), Failures: int32(others.Failures)})
	}
	reply.Suspects = l.suspectsFor(cardamom.InstanceID(request.GetMember().GetInstance()), request.GetSuspects(), time.Now())
	reply.Limits = encodeLimits(l.options.Limits.Limits(), now)
	return reply
}

// recordReport records a member's report.
func (t *term) recordReport(request *syncpb.ExchangeRequest, now time.Time) {
	id := cardamom.InstanceID(request.GetMember().GetInstance())
	m, ok := t.members[id]
	if !ok {
		m = &member{}
		t.members[id] = m
		t.logger.Info("member_found", "instance", id, "address", request.GetMember().GetEntryAddress())
	}
	t.earnCredit(m, time.Duration(request.GetUngrantedMs())*time.Millisecond, now)
	m.Member, m.lastExchange, m.ownCredit = decodeMember(request.GetMember()), now, request.GetOwnCredit()
	report := decodeReport(request)
	for key, d := range report.Models {
		if p, ok := t.plans[key.Service]; ok && d.Arrivals > 0 {
			p.Arrived(key.Model, d.Arrivals, d.Tokens, now)
		}
	}
	for id, load := range report.Upstreams {
		for name := range load.Adapters {
			model, adapter, _ := strings.Cut(name, "/")
			for _, p := range t.plans {
				p.AdapterUsed(id, cardamom.ModelID(model), adapter, now)
			}
		}
	}
	for key := range t.sums.Replace(m.report, report) {
		if p, ok := t.plans[key.Service]; ok {
			t.setRequestCounts(p, key)
		}
	}
	m.report = report
	wall := time.Now()
	t.loop.state.ledger.Merge(decodeSuspects(request.GetSuspects(), wall), wall)
}

// await registers a need for a model and waits until the model is ready or the
// call's time is up. If this instance is not the coordinator, it replies at once
// with the address of the lease's holder.
func (l *Loop) await(ctx context.Context, request *syncpb.AwaitRequest) (*syncpb.AwaitReply, error) {
	a := &awaitCall{
		service: cardamom.ServiceID(request.GetService()), model: cardamom.ModelID(request.GetModel()), adapter: request.GetAdapter(), version: request.GetVersion(),
		reply: make(chan *syncpb.AwaitReply, 1),
	}
	l.post(func(now time.Time) {
		t := l.term
		if t == nil {
			_, address := l.lease.Holder()
			a.reply <- &syncpb.AwaitReply{Coordinator: address, ExpectedMs: -1}
			return
		}
		t.mergeWaits(request.GetWaits(), now)
		if p, ok := t.plans[a.service]; ok {
			need := min(time.Duration(request.GetNeedMs())*time.Millisecond, maxWantTime)
			// A load that ends too late for a stream to go on serves no other request.
			remaining := time.Duration(request.GetNeedMs()) * time.Millisecond
			if wait, known := p.ReadyInAtVersion(a.model, a.adapter, a.version, now); a.version == "" || known && wait <= remaining {
				p.RecordWaitAtVersion(a.model, a.adapter, a.version, now.Add(need))
			}
			if waiting := int(request.GetWaiting()); waiting > 0 {
				p.RaiseWaiting(a.model, waiting)
			}
			t.suspectEngines(p, request, now)
		}
		a.until = now.Add(time.Duration(request.GetHoldMs()) * time.Millisecond)
		t.awaitCalls[a] = true
	})
	limit := time.Duration(request.GetHoldMs())*time.Millisecond + answerTimeout
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	select {
	case reply := <-a.reply:
		return reply, nil
	case <-ctx.Done():
		l.post(func(time.Time) {
			if l.term != nil {
				delete(l.term.awaitCalls, a)
			}
		})
		return nil, ctx.Err()
	}
}

// suspectEngines makes the plan suspect the engines that an instance could not
// reach. What this instance itself could not reach counts only if it is the only
// member: it would also be the one to miss the engine's report, and one observer
// is not enough to treat an engine as down.
func (t *term) suspectEngines(p *servicePlan, request *syncpb.AwaitRequest, now time.Time) {
	if request.GetInstance() == string(t.loop.options.ID) && len(t.members) > 1 {
		return
	}
	for _, id := range request.GetDoubts() {
		p.Suspect(cardamom.UpstreamID(id), now)
	}
}
