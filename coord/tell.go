package coord

import (
	"context"
	"net"
	"net/http"
	"time"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/demand"
	"cardamomcourse.example/cardamom/revs"
	"cardamomcourse.example/cardamom/syncpb"
)

const (
	// tellEvery is the time between two exchanges with the coordinator.
	tellEvery = 400 * time.Millisecond
	// tellEach makes it longer where there are many instances.
	tellEach = 8 * time.Millisecond
	// tellTimeout bounds an exchange; one takes a few milliseconds.
	tellTimeout = 600 * time.Millisecond
	// peerIdle is how long an unused connection to the coordinator is kept.
	peerIdle = 5 * time.Second
	// peerConnect bounds a new connection to it.
	peerConnect = 300 * time.Millisecond
)

// peers keeps a client for each address.
type peers struct {
	client  *http.Client
	clients map[string]syncpb.Sync
}

func newPeers() *peers {
	dialer := &net.Dialer{Timeout: peerConnect}
	transport := &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 8, IdleConnTimeout: peerIdle, DisableCompression: true}
	return &peers{client: &http.Client{Transport: transport}, clients: make(map[string]syncpb.Sync)}
}

func (p *peers) dial(address string) syncpb.Sync {
	client, ok := p.clients[address]
	if !ok {
		client = syncpb.NewSyncProtobufClient("http://"+address, p.client)
		p.clients[address] = client
	}
	return client
}

// tellPause returns the time between two exchanges. It grows with the members,
// so that the coordinator's work does not.
func (l *Loop) tellPause() time.Duration {
	return max(tellEvery, time.Duration(len(l.picture.members))*tellEach)
}

// stepTell exchanges with the coordinator if that is due.
func (l *Loop) stepTell(now time.Time) {
	if l.telling || now.Sub(l.tellAt) < l.tellPause() {
		return
	}
	l.tellAt = now
	report := l.options.Demand.Take()
	request := l.report(report)
	if l.tenure != nil {
		// The coordinator's own demand takes the same way as the others'.
		reply := l.exchange(request, now)
		l.takeLoads(reply)
		l.answered = now
		return
	}
	address := l.coordinator(now)
	if address == "" {
		l.options.Demand.Return(report)
		return
	}
	l.telling = true
	client := l.peers.dial(address)
	go func() {
		ctx, cancel := context.WithTimeout(l.ctx, tellTimeout)
		defer cancel()
		reply, err := client.Exchange(ctx, request)
		l.post(func(later time.Time) {
			l.telling = false
			if err != nil || !reply.GetCoordinates() {
				l.options.Demand.Return(report)
			}
			l.takeReply(address, reply, err, now, later)
		})
	}()
}

// coordinator returns the address to exchange with: the last that answered, the
// lease's holder, or a seed that may know it.
func (l *Loop) coordinator(now time.Time) string {
	if l.position.coordinator != "" {
		return l.position.coordinator
	}
	holder, address := l.lease.Holder()
	if address != "" && holder != l.options.ID {
		return address
	}
	if seeds := l.options.Seeds; len(seeds) > 0 {
		seed := seeds[int(now.UnixNano()/int64(tellEvery))%len(seeds)]
		if seed != l.options.Sync {
			return seed
		}
	}
	return ""
}

// report returns the exchange's request.
func (l *Loop) report(report demand.Report) *syncpb.ExchangeRequest {
	request := &syncpb.ExchangeRequest{
		Member: encodeMembers([]Member{{ID: l.options.ID, Entry: l.options.Entry, Sync: l.options.Sync, Leaving: l.leaving}})[0],
		Tenure: l.position.tenure, Change: l.position.change, Members: l.position.members,
		Suspects: encodeSuspects(l.picture.ledger.Suspects(time.Now())),
	}
	if l.picture.catalog != nil {
		request.Catalog = l.picture.catalog.Version()
	}
	request.NeedDocument = l.needDocument
	for key, m := range report.Models {
		request.Demands = append(request.Demands, &syncpb.Demand{
			Service: string(key.Service), Model: string(key.Model), Arrivals: int32(m.Arrivals), Waiting: int32(m.Waiting), Running: int32(m.Running), Tokens: int64(m.Tokens),
		})
	}
	for id, u := range report.Upstreams {
		load := &syncpb.Load{Upstream: string(id), Running: int32(u.Running), Failures: int32(u.Failures)}
		for name := range u.Adapters {
			load.Adapters = append(load.Adapters, name)
		}
		request.Loads = append(request.Loads, load)
	}
	return request
}

// takeReply takes the coordinator's answer.
func (l *Loop) takeReply(address string, reply *syncpb.ExchangeReply, err error, began, now time.Time) {
	if err != nil {
		if l.position.coordinator != "" && now.Sub(l.answered) >= l.silence() {
			l.logger.Warn("dependency_lost", "dependency", "coordinator", "address", address, "reason", err, "silent_ms", now.Sub(l.answered).Milliseconds())
			l.position = position{}
			l.began = now
		}
		return
	}
	if !reply.GetCoordinates() {
		l.position = position{}
		l.leaseAt = time.Time{}
		if next := reply.GetCoordinator(); next != "" && next != address && next != l.options.Sync {
			l.position.coordinator = next
			l.tellAt = time.Time{}
		}
		return
	}
	if l.tenure != nil || reply.GetTenure() < l.position.tenure {
		return
	}
	if l.position.coordinator != address || l.position.tenure != reply.GetTenure() {
		l.logger.Info("dependency_back", "dependency", "coordinator", "address", address, "fence", reply.GetTenure())
	}
	l.answered = began
	l.position.coordinator = address
	l.follow(reply, began)
}

// follow applies what the coordinator told.
func (l *Loop) follow(reply *syncpb.ExchangeReply, began time.Time) {
	learned := began.Add(-time.Duration(reply.GetUpstreamsAgeMs()) * time.Millisecond)
	stale := reply.GetUpstreamsAgeMs() >= staleAfter.Milliseconds()
	refreshed := l.position.stale && !stale && !reply.GetFull()
	l.position.stale = stale
	l.position.tenure, l.position.change, l.position.members = reply.GetTenure(), reply.GetChange(), reply.GetMembersVersion()
	if learned.After(l.picture.learned) {
		l.picture.learned = learned
	}
	l.behind = l.picture.catalog == nil || reply.GetCatalog() > l.picture.catalog.Version()
	if packed := reply.GetDocument(); len(packed) > 0 {
		l.needDocument = false
		document, err := revs.Expand(packed)
		if err != nil {
			l.logger.Warn("catalog_ignored", "origin", "coordinator", "reason", err)
		} else if catalog, err := l.options.Decode(document); err == nil {
			l.behind = false
			l.setCatalog(document, catalog, "coordinator")
		} else {
			l.logger.Warn("catalog_ignored", "origin", "coordinator", "reason", err)
		}
	}
	if l.picture.catalog != nil && reply.GetCatalog() <= l.picture.catalog.Version() {
		if confirmed := began.Add(-time.Duration(reply.GetCatalogAgeMs()) * time.Millisecond); confirmed.After(l.picture.confirmed) {
			l.picture.confirmed = confirmed
		}
	}
	present := make(map[cardamom.UpstreamID]bool, len(reply.GetUpstreams()))
	for _, wire := range reply.GetUpstreams() {
		upstream := decodeUpstream(wire)
		present[upstream.ID] = true
		if !l.picture.removed(upstream, learned) {
			l.setUpstream(upstream, "coordinator")
		}
	}
	if reply.GetFull() {
		for id := range l.picture.upstreams {
			if !present[id] {
				l.dropUpstream(id, "coordinator")
			}
		}
	}
	for _, id := range reply.GetGone() {
		l.dropUpstream(cardamom.UpstreamID(id), "coordinator")
	}
	if len(reply.GetMembers()) > 0 {
		members := make([]Member, 0, len(reply.GetMembers()))
		for _, wire := range reply.GetMembers() {
			members = append(members, decodeMember(wire))
		}
		l.picture.members = members
		l.changed = true
	}
	l.takeLoads(reply)
	if refreshed {
		// This instance read the platform itself meanwhile. What it took from there
		// and the coordinator did not is in no change, so the next answer is whole.
		l.position.tenure, l.position.change = 0, 0
	}
}

// takeLoads takes what the other instances have in progress.
func (l *Loop) takeLoads(reply *syncpb.ExchangeReply) {
	others := make(map[cardamom.UpstreamID]Others, len(reply.GetLoads()))
	for _, load := range reply.GetLoads() {
		others[cardamom.UpstreamID(load.GetUpstream())] = Others{int(load.GetRunning()), int(load.GetFailures())}
	}
	l.picture.others = others
	wall := time.Now()
	l.picture.ledger.Merge(decodeSuspects(reply.GetSuspects(), wall), wall)
	l.changed = true
}

// Need is a model, and an adapter of it unless empty, that requests wait for.
type Need struct {
	Service cardamom.ServiceID
	Model   cardamom.ModelID
	Adapter string
	Waiting int
	// Doubts are the upstreams that hold it and could not be reached.
	Doubts []cardamom.UpstreamID
	// Hold is how long the call may wait, Patience how long the requests can.
	Hold     time.Duration
	Patience time.Duration
}

// Prospect is what is known of a need.
type Prospect struct {
	// Known tells whether a coordinator answered.
	Known bool
	Ready bool
	// Expected is the time until requests can be sent, negative if unknown.
	Expected time.Duration
}

// Await asks the coordinator for a need and returns when it is met or the hold
// is over. Upstreams that meet it are in the view by then.
func (l *Loop) Await(ctx context.Context, need Need) Prospect {
	request := &syncpb.AwaitRequest{
		Service: string(need.Service), Model: string(need.Model), Adapter: need.Adapter, Waiting: int32(need.Waiting),
		HoldMs: need.Hold.Milliseconds(), NeedMs: need.Patience.Milliseconds(), Instance: string(l.options.ID),
	}
	for _, id := range need.Doubts {
		request.Doubts = append(request.Doubts, string(id))
	}
	type target struct {
		own    bool
		client syncpb.Sync
	}
	targets := make(chan target, 1)
	l.post(func(now time.Time) {
		if l.tenure != nil {
			targets <- target{own: true}
			return
		}
		// One that lost the platform still plans until another takes over.
		if address := l.position.coordinator; address != "" && now.Sub(l.answered) < l.silence() {
			targets <- target{client: l.peers.dial(address)}
			return
		}
		targets <- target{}
	})
	var to target
	select {
	case to = <-targets:
	case <-ctx.Done():
		return Prospect{Expected: -1}
	}
	var reply *syncpb.AwaitReply
	var err error
	switch {
	case to.own:
		reply, err = l.await(ctx, request)
	case to.client != nil:
		callCtx, cancel := context.WithTimeout(ctx, need.Hold+tellTimeout)
		defer cancel()
		reply, err = to.client.Await(callCtx, request)
	default:
		return Prospect{Expected: -1}
	}
	if err != nil || !reply.GetCoordinates() {
		return Prospect{Expected: -1}
	}
	prospect := Prospect{Known: true, Ready: reply.GetReady(), Expected: time.Duration(reply.GetExpectedMs()) * time.Millisecond}
	if reply.GetExpectedMs() < 0 {
		prospect.Expected = -1
	}
	if len(reply.GetUpstreams()) > 0 && !to.own {
		l.show(ctx, reply)
	}
	return prospect
}

// show puts an answer's upstreams into the view and waits until it shows them.
func (l *Loop) show(ctx context.Context, reply *syncpb.AwaitReply) {
	done := make(chan struct{})
	l.post(func(now time.Time) {
		l.learn(reply, now)
		l.board.current.Store(l.picture.view())
		close(done)
	})
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// learn takes an answer's upstreams unless an exchange told something newer: it
// may have told that they are gone, and would not tell that again.
func (l *Loop) learn(reply *syncpb.AwaitReply, now time.Time) {
	if reply.GetTenure() < l.position.tenure || reply.GetTenure() == l.position.tenure && reply.GetChange() < l.position.change {
		l.logger.Debug("answer_outdated", "fence", reply.GetTenure(), "expected", l.position.change, "version", reply.GetChange())
		return
	}
	learned := now.Add(-time.Duration(reply.GetUpstreamsAgeMs()) * time.Millisecond)
	for _, wire := range reply.GetUpstreams() {
		if upstream := decodeUpstream(wire); !l.picture.removed(upstream, learned) {
			l.setUpstream(upstream, "coordinator")
		}
	}
}
