package coord

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/clock"
	"cardamomcourse.example/cardamom/demand"
	"cardamomcourse.example/cardamom/framed"
	"cardamomcourse.example/cardamom/syncpb"
	"cardamomcourse.example/cardamom/table"
)

const (
	// maxReplyBytes bounds a coordinator's reply: all upstreams and the configuration.
	maxReplyBytes = 32 << 20
	// peerIdleTimeout is how long an idle connection to the coordinator is kept.
	peerIdleTimeout = 5 * time.Second
	// peerConnectTimeout bounds connecting to the coordinator.
	peerConnectTimeout = 300 * time.Millisecond
)

// peers keeps a client for each address. It is safe for concurrent use.
type peers struct {
	client  *http.Client
	mu      sync.Mutex
	clients map[string]syncpb.Sync
}

func newPeers() *peers {
	dialer := &net.Dialer{Timeout: peerConnectTimeout}
	transport := &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 8, IdleConnTimeout: peerIdleTimeout, DisableCompression: true}
	return &peers{client: &http.Client{Transport: framed.New(framed.Limit(transport, maxReplyBytes))}, clients: make(map[string]syncpb.Sync)}
}

func (p *peers) dial(address string) syncpb.Sync {
	p.mu.Lock()
	defer p.mu.Unlock()
	client, ok := p.clients[address]
	if !ok {
		client = syncpb.NewSyncProtobufClient("http://"+address, p.client)
		p.clients[address] = client
	}
	return client
}

// requestStarted makes the next exchange start early. The coordinator would evict a
// model that it believes unused, and the unload would wait for the request to end.
func (l *Loop) requestStarted(demand.Key) {
	l.post(func(time.Time) { l.reportSoon = true })
}

// stepExchange starts an exchange with the coordinator if one is due.
func (l *Loop) stepExchange(now time.Time) {
	interval := l.timing().exchangeInterval()
	if l.reportSoon {
		interval = l.timing().earlyExchangeInterval()
	}
	if l.exchanging || now.Sub(l.lastExchange) < interval {
		return
	}
	l.lastExchange, l.reportSoon = now, false
	if !l.askAgainAt.IsZero() && now.After(l.askAgainAt) {
		// What was not believed is believed now, and comes only with everything.
		l.forgetList()
		l.askAgainAt = time.Time{}
	}
	known := max(l.position.term, l.position.comparison.term) != 0
	l.tellsLevels = !known || l.credits.tellsLevels()
	report := l.options.Demand.Take()
	request := l.report(report)
	if l.term != nil {
		// The coordinator's own demand is handled like that of the other members.
		reply := l.exchange(request, now)
		l.applyPeerStats(reply, now)
		l.lastAnswered, l.state.membersConfirmed = now, now
		return
	}
	address := l.coordinator(now)
	if address == "" {
		l.options.Demand.Restore(report)
		return
	}
	l.exchanging = true
	client := l.peers.dial(address)
	go func() {
		ctx, cancel := context.WithTimeout(l.ctx, exchangeTimeout)
		defer cancel()
		reply, err := client.Exchange(ctx, request)
		l.post(func(later time.Time) {
			l.exchanging = false
			if err != nil || !reply.GetCoordinates() {
				l.options.Demand.Restore(report)
			}
			l.handleExchangeReply(address, reply, err, now, later)
		})
	}()
}

// coordinator returns the address to exchange with: the address of the last known
// coordinator, else of the lease's holder, else of a seed, which may know the
// coordinator. It is empty if there is none.
func (l *Loop) coordinator(now time.Time) string {
	if l.position.coordinator != "" {
		return l.position.coordinator
	}
	holder, address := l.lease.Holder()
	if address != "" && holder != l.options.ID {
		return address
	}
	if seeds := l.options.Seeds; len(seeds) > 0 {
		seed := seeds[int(now.UnixNano()/int64(minExchangeInterval))%len(seeds)]
		if seed != l.options.SyncAddress {
			return seed
		}
	}
	return ""
}

// report returns the request of an exchange.
func (l *Loop) report(report demand.Report) *syncpb.ExchangeRequest {
	wall := time.Now()
	request := &syncpb.ExchangeRequest{
		Member:   l.wireMember(),
		Members:  l.position.members,
		Suspects: encodeSuspects(l.state.ledger.Suspects(wall), wall),
	}
	l.describeList(request)
	if l.state.catalog != nil {
		request.Catalog = l.state.catalog.Version()
	}
	request.NeedState = l.needsState(clock.Now())
	request.NeedDocument = l.needDocument || request.NeedState
	request.Limits = encodeLimits(l.options.Limits.Limits(), clock.Now())
	request.Leaving = encodeRuns(l.options.Notices.Leaving())
	request.Waits = encodeWaits(l.options.Notices.Waits(clock.Now()), clock.Now())
	request.Parts = l.partsFor(l.lastAnswered, clock.Now())
	request.OwnCredit = l.credits.isAlone()
	request.UngrantedMs = l.credits.ungranted(clock.Now()).Milliseconds()
	if l.tellsLevels {
		request.Levels = encodeLevels(l.credits.report(clock.Now()), clock.Now())
	}
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

// wireMember returns this instance as a member.
func (l *Loop) wireMember() *syncpb.Member {
	return encodeMembers([]Member{{ID: l.options.ID, EntryAddress: l.options.EntryAddress, SyncAddress: l.options.SyncAddress, Leaving: l.leaving, Weak: l.weak(), Partitioned: l.options.Reach.Partitioned()}})[0]
}

// handleExchangeReply handles the result of an exchange.
func (l *Loop) handleExchangeReply(address string, reply *syncpb.ExchangeReply, err error, began, now time.Time) {
	if err != nil {
		l.reportSoon = true
		if l.position.coordinator != "" && now.Sub(l.lastAnswered) >= l.timing().coordinatorTimeout() {
			l.logger.Warn("dependency_lost", "dependency", "coordinator", "address", address, "reason", err, "silent_ms", now.Sub(l.lastAnswered).Milliseconds())
			l.position = position{}
			l.noCoordinatorSince = now
		}
		return
	}
	l.mergeParts(reply.GetParts(), "coordinator", began)
	if !reply.GetCoordinates() {
		l.adoptState(reply, began)
		followed := l.position.coordinator == address
		l.position = position{}
		if followed {
			l.lastLeaseCall = time.Time{}
		}
		if next := reply.GetCoordinator(); next != "" && next != address && next != l.options.SyncAddress {
			l.position.coordinator = next
			l.lastExchange = time.Time{}
		} else if followed {
			// It has just left, or lost the lease.
			l.lastAnswered, l.noCoordinatorSince = time.Time{}, now
		}
		return
	}
	if l.term != nil || reply.GetTenure() < max(l.position.term, l.position.comparison.term, l.minTerm) {
		return
	}
	if l.position.coordinator != address || max(l.position.term, l.position.comparison.term) != reply.GetTenure() {
		l.logger.Info("dependency_back", "dependency", "coordinator", "address", address, "fence", reply.GetTenure())
	}
	l.lastAnswered, l.state.membersConfirmed = began, began
	l.credits.contacted(began)
	if l.credits.exchanged(reply.GetTenure(), l.tellsLevels, began) {
		l.reportSoon = true
	}
	l.position.coordinator = address
	l.applyExchangeReply(reply, began)
}

// applyExchangeReply applies the coordinator's data.
func (l *Loop) applyExchangeReply(reply *syncpb.ExchangeReply, began time.Time) {
	upstreamsConfirmed := began.Add(-time.Duration(reply.GetUpstreamsAgeMs()) * time.Millisecond)
	stale := reply.GetUpstreamsAgeMs() >= l.timing().staleAfter().Milliseconds()
	refreshed := l.position.stale && !stale && !reply.GetFull() && !reply.GetCompared()
	l.position.stale, l.position.members = stale, reply.GetMembersVersion()
	whole := l.advance(reply)
	if whole && upstreamsConfirmed.After(l.state.upstreamsConfirmed) {
		l.state.upstreamsConfirmed = upstreamsConfirmed
	}
	l.coordinatorCatalog = reply.GetCatalog()
	l.catalogBehind = l.state.catalog == nil || reply.GetCatalog() > l.state.catalog.Version()
	l.applyDocument(reply, "coordinator")
	if l.state.catalog != nil && reply.GetCatalog() <= l.state.catalog.Version() {
		if confirmed := began.Add(-time.Duration(reply.GetCatalogAgeMs()) * time.Millisecond); confirmed.After(l.state.catalogConfirmed) {
			l.state.catalogConfirmed = confirmed
		}
	}
	before := l.state.restored.incarnation
	if incarnation := table.Incarnation(reply.GetTenure()); l.state.restored.enter(incarnation, l.state.upstreams, began) {
		l.logRestored(before, incarnation)
	}
	present := make(map[cardamom.UpstreamID]bool, len(reply.GetUpstreams()))
	for _, wire := range reply.GetUpstreams() {
		upstream := decodeUpstream(wire)
		present[upstream.ID] = true
		if believed, until := l.state.restored.believe(upstream, began); !believed {
			l.askAgainAt = until
			continue
		}
		if !l.state.removed(upstream, upstreamsConfirmed) {
			l.setUpstream(upstream, "coordinator")
		}
	}
	l.removeMissing(reply, present)
	for _, id := range reply.GetGone() {
		l.removeUpstream(cardamom.UpstreamID(id), "coordinator")
	}
	if len(reply.GetMembers()) > 0 {
		members := make([]Member, 0, len(reply.GetMembers()))
		for _, wire := range reply.GetMembers() {
			members = append(members, decodeMember(wire))
		}
		l.state.members = members
		l.viewChanged = true
	}
	l.mergeHistory(reply.GetHistory(), began)
	l.confirmVersions(l.state.upstreamsConfirmed)
	l.applyPeerStats(reply, began)
	if whole && (refreshed || reply.GetUnlisted()) {
		// While the coordinator's data was stale, this instance read the platform
		// itself. What only this instance saw is in none of the coordinator's
		// changes, so the next exchange asks for everything. The same holds until the
		// coordinator has read the upstreams: what its list lacks was kept.
		l.forgetList()
	}
}

// applyPeerStats replaces what other instances have in flight at upstreams, and
// merges the suspects and rate limits they reported. The reply is to a call that began
// at the given time.
func (l *Loop) applyPeerStats(reply *syncpb.ExchangeReply, began time.Time) {
	l.logLimits(l.options.Limits.Merge(decodeLimits(reply.GetLimits(), began)), "coordinator")
	l.pruneLimits(began)
	l.pruneNotices(began)
	stats := make(map[cardamom.UpstreamID]UpstreamStats, len(reply.GetLoads()))
	for _, load := range reply.GetLoads() {
		stats[cardamom.UpstreamID(load.GetUpstream())] = UpstreamStats{int(load.GetRunning()), int(load.GetFailures())}
	}
	l.state.peerStats = stats
	wall := time.Now()
	l.state.ledger.Merge(decodeSuspects(reply.GetSuspects(), wall), wall)
	l.viewChanged = true
}
