package coord

import (
	"context"
	"strings"
	"time"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/poison"
	"cardamomcourse.example/cardamom/revs"
	"cardamomcourse.example/cardamom/syncpb"
)

const (
	// suspectTime is how long a told suspect is remembered.
	suspectTime = 10 * time.Minute
	// answerTime bounds how long a call waits for the control goroutine.
	answerTime = 2 * time.Second
)

// Server answers the other instances' calls. It implements syncpb.Sync.
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
	ctx, cancel := context.WithTimeout(ctx, answerTime)
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

// exchange merges an instance's report and answers with what it does not know.
func (l *Loop) exchange(request *syncpb.ExchangeRequest, now time.Time) *syncpb.ExchangeReply {
	t := l.tenure
	if t == nil {
		_, address := l.lease.Holder()
		if l.position.coordinator != "" && l.heard(now) {
			address = l.position.coordinator
		}
		return &syncpb.ExchangeReply{Coordinator: address}
	}
	t.hear(request, now)
	reply := &syncpb.ExchangeReply{
		Coordinates: true, Tenure: t.number, Change: t.change,
		UpstreamsAgeMs: now.Sub(l.picture.learned).Milliseconds(), CatalogAgeMs: now.Sub(l.picture.confirmed).Milliseconds(),
	}
	if l.picture.catalog != nil {
		reply.Catalog = l.picture.catalog.Version()
		if request.GetNeedDocument() && request.GetCatalog() < reply.Catalog {
			if l.picture.packed == nil {
				packed, err := revs.Compress(l.picture.document)
				if err != nil {
					l.logger.Warn("document_not_sent", "version", reply.GetCatalog(), "reason", err)
				}
				l.picture.packed = packed
			}
			reply.Document = l.picture.packed
		}
	}
	after := request.GetChange()
	if request.GetTenure() != t.number || after < t.oldest {
		after, reply.Full = 0, true
	}
	for _, p := range t.published {
		if p.change > after {
			reply.Upstreams = append(reply.Upstreams, encodeUpstream(p.upstream))
		}
	}
	if !reply.Full {
		for _, gone := range t.gones {
			if gone.change > after {
				reply.Gone = append(reply.Gone, string(gone.id))
			}
		}
	}
	reply.MembersVersion = t.membersAt
	if reply.Full || request.GetMembers() != t.membersAt {
		reply.Members = encodeMembers(t.memberSet)
	}
	own := t.members[cardamom.InstanceID(request.GetMember().GetInstance())]
	for id, others := range t.loads {
		mine := own.upstreams[id]
		running, failures := others.Running-mine.Running, others.Failures-mine.Failures
		if running > 0 || failures > 0 {
			reply.Loads = append(reply.Loads, &syncpb.Load{Upstream: string(id), Running: int32(running), Failures: int32(failures)})
		}
	}
	reply.Suspects = encodeSuspects(l.picture.ledger.Suspects(time.Now()))
	return reply
}

// hear takes an instance's report.
func (t *tenure) hear(request *syncpb.ExchangeRequest, now time.Time) {
	id := cardamom.InstanceID(request.GetMember().GetInstance())
	m, ok := t.members[id]
	if !ok {
		m = &member{}
		t.members[id] = m
		t.logger.Info("member_found", "instance", id, "address", request.GetMember().GetEntryAddress())
	}
	m.Member, m.heard = decodeMember(request.GetMember()), now
	m.models = make(map[modelKey]count, len(request.GetDemands()))
	m.upstreams = make(map[cardamom.UpstreamID]Others, len(request.GetLoads()))
	for _, d := range request.GetDemands() {
		key := modelKey{cardamom.ServiceID(d.GetService()), cardamom.ModelID(d.GetModel())}
		m.models[key] = count{int(d.GetWaiting()), int(d.GetRunning())}
		if w, ok := t.worlds[key.service]; ok && d.GetArrivals() > 0 {
			w.Arrived(key.model, int(d.GetArrivals()), int(d.GetTokens()), now)
		}
	}
	for _, load := range request.GetLoads() {
		upstream := cardamom.UpstreamID(load.GetUpstream())
		m.upstreams[upstream] = Others{int(load.GetRunning()), int(load.GetFailures())}
		for _, name := range load.GetAdapters() {
			model, adapter, _ := strings.Cut(name, "/")
			for _, w := range t.worlds {
				w.Used(upstream, cardamom.ModelID(model), adapter, now)
			}
		}
	}
	wall := time.Now()
	t.loop.picture.ledger.Merge(decodeSuspects(request.GetSuspects(), wall), wall)
}

// await asks for a model and waits until it is ready or the call's time is up.
func (l *Loop) await(ctx context.Context, request *syncpb.AwaitRequest) (*syncpb.AwaitReply, error) {
	a := &await{
		service: cardamom.ServiceID(request.GetService()), model: cardamom.ModelID(request.GetModel()), adapter: request.GetAdapter(),
		reply: make(chan *syncpb.AwaitReply, 1),
	}
	l.post(func(now time.Time) {
		t := l.tenure
		if t == nil {
			_, address := l.lease.Holder()
			a.reply <- &syncpb.AwaitReply{Coordinator: address, ExpectedMs: -1}
			return
		}
		if w, ok := t.worlds[a.service]; ok {
			need := min(time.Duration(request.GetNeedMs())*time.Millisecond, wantTime)
			w.Want(a.model, a.adapter, now.Add(need))
			if u := int(request.GetWaiting()); u > 0 {
				w.Waits(a.model, u)
			}
			t.doubt(w, request, now)
		}
		a.until = now.Add(time.Duration(request.GetHoldMs()) * time.Millisecond)
		t.awaits[a] = true
	})
	limit := time.Duration(request.GetHoldMs())*time.Millisecond + answerTime
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	select {
	case reply := <-a.reply:
		return reply, nil
	case <-ctx.Done():
		l.post(func(time.Time) {
			if l.tenure != nil {
				delete(l.tenure.awaits, a)
			}
		})
		return nil, ctx.Err()
	}
}

// doubt takes the engines that an instance could not reach. What this instance
// itself could not reach counts only if there is no other: a report that does
// not come would be the same observer's word.
func (t *tenure) doubt(w *world, request *syncpb.AwaitRequest, now time.Time) {
	if request.GetInstance() == string(t.loop.options.ID) && len(t.members) > 1 {
		return
	}
	for _, id := range request.GetDoubts() {
		w.Doubt(cardamom.UpstreamID(id), now)
	}
}

func encodeSuspects(suspects []poison.Suspect) []*syncpb.Suspect {
	list := make([]*syncpb.Suspect, 0, len(suspects))
	for _, suspect := range suspects {
		list = append(list, &syncpb.Suspect{Fingerprint: uint64(suspect.Fingerprint()), Deaths: suspect.Deaths()})
	}
	return list
}

func decodeSuspects(list []*syncpb.Suspect, now time.Time) []poison.Suspect {
	suspects := make([]poison.Suspect, 0, len(list))
	for _, wire := range list {
		suspects = append(suspects, poison.NewSuspect(poison.Fingerprint(wire.GetFingerprint()), wire.GetDeaths(), now.Add(suspectTime)))
	}
	return suspects
}
