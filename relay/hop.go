package relay

import (
	"errors"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/clock"
	"cardamomcourse.example/cardamom/conns"
	"cardamomcourse.example/cardamom/coord"
	"cardamomcourse.example/cardamom/site"
)

// An instance that is partitioned from upstreams sends requests through another one, over the
// address that only instances reach. The other instance handles such a request like that of
// a caller, but passes it on to no third one.

// Headers between the two instances. Those of the request are removed before it goes to an
// upstream, that of the response before it goes to the caller.
const (
	// hopHeader is how often the request may have run already.
	hopHeader = "Cardamom-Hop-Runs"
	// hopStreamHeader is the id of the request that began the stream that the request goes
	// on with.
	hopStreamHeader = "Cardamom-Hop-Stream"
	// hopCatalogHeader is the version of the catalog by which the first instance handles the
	// request.
	hopCatalogHeader = "Cardamom-Hop-Catalog"
	// hopTrialHeader means that the request is sent for trial although its like is refused.
	hopTrialHeader = "Cardamom-Hop-Trial"
	// hopUpstreamHeader is the upstream that answered, as ID/START.
	hopUpstreamHeader = "Cardamom-Hop-Upstream"
	// hopSendsHeader is how often a refused request has reached upstreams.
	hopSendsHeader = "Cardamom-Hop-Sends"
)

const (
	// maxHops is through how many instances a request is tried, one after the other.
	maxHops = 3
	// hopAvoidance is how long an instance that couldn't serve another one's request gets no
	// further ones if there are others.
	hopAvoidance = 500 * time.Millisecond
	// maxHopped bounds the requests of other instances that an instance handles at a time.
	maxHopped = 512
	// unsentBeforeHop is the number of upstreams that a request could not be sent to before
	// it is sent through another instance.
	unsentBeforeHop = 2
	// maxReasonBytes bounds the reason of a refusal by another instance.
	maxReasonBytes = 64
)

// hop is what an instance is told with another one's request.
type hop struct {
	// hopped means that the request came from another instance.
	hopped bool
	runs   int
	stream string
	// trial means that the other instance uses a trial for the request.
	trial bool
}

// IsHopped reports whether a request comes from another instance that could not reach an
// upstream. It is meant for requests at the address that only instances reach.
func IsHopped(r *http.Request) bool { return r.Header.Get(hopHeader) != "" }

// ServeHopped handles another instance's request.
func (s *Server) ServeHopped(w http.ResponseWriter, r *http.Request) {
	runs, err := strconv.Atoi(r.Header.Get(hopHeader))
	if err != nil || runs < 0 {
		http.Error(w, "invalid "+hopHeader, http.StatusBadRequest)
		return
	}
	from := hop{hopped: true, runs: runs, stream: r.Header.Get(hopStreamHeader), trial: r.Header.Get(hopTrialHeader) != ""}
	version := r.Header.Get(hopCatalogHeader)
	r.Header.Del(hopHeader)
	r.Header.Del(hopStreamHeader)
	r.Header.Del(hopCatalogHeader)
	r.Header.Del(hopTrialHeader)
	if s.hopped.Add(1) > maxHopped {
		s.hopped.Add(-1)
		s.Dialect.SetRetryAfter(w.Header(), defaultRetryDelay)
		http.Error(w, "hops_full", http.StatusServiceUnavailable)
		return
	}
	defer s.hopped.Add(-1)
	if reason := s.refusesHop(version); reason != "" {
		w.Header().Set(hopSendsHeader, "0")
		s.Dialect.SetRetryAfter(w.Header(), defaultRetryDelay)
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	s.serve(w, r, from)
}

// refusesHop returns why another instance's request can't be handled here, empty if it can. An
// instance with another version of the catalog might send it elsewhere, or to nobody, after
// callers of the first one have seen the effects of its version.
func (s *Server) refusesHop(version string) string {
	catalog := s.Views.View().Catalog()
	switch {
	case s.Reach.Doubtful(clock.Now()):
		return "partitioned"
	case version != "" && catalog != nil && version != strconv.FormatUint(catalog.Version(), 10):
		return "other_catalog"
	default:
		return ""
	}
}

// Hopped returns how many requests of other instances are being handled.
func (s *Server) Hopped() int { return int(s.hopped.Load()) }

// hopTargets returns the members through which a request may be sent.
func hopTargets(view *coord.View, self cardamom.InstanceID, tried map[string]bool) []coord.Member {
	var targets []coord.Member
	for _, m := range view.Members() {
		if m.ID != self && !m.Leaving && !m.Partitioned && !tried[m.SyncAddress] {
			targets = append(targets, m)
		}
	}
	return targets
}

// avoidHops makes an instance that couldn't serve a request get no further ones for a moment.
func (s *Server) avoidHops(address string, now time.Time) {
	s.hopMu.Lock()
	defer s.hopMu.Unlock()
	maps.DeleteFunc(s.hopAvoided, func(_ string, until time.Time) bool { return !now.Before(until) })
	s.hopAvoided[address] = now.Add(hopAvoidance)
}

// preferredHops returns the targets that are not avoided, all if all are.
func (s *Server) preferredHops(targets []coord.Member, now time.Time) []coord.Member {
	s.hopMu.Lock()
	defer s.hopMu.Unlock()
	preferred := slices.DeleteFunc(slices.Clone(targets), func(m coord.Member) bool { return now.Before(s.hopAvoided[m.SyncAddress]) })
	if len(preferred) == 0 {
		return targets
	}
	return preferred
}

// chooseHop returns the instance through which the request is to be sent, and false if it is
// to be sent from here: this instance is not partitioned from all upstreams nor has reason to
// think so, and no more than one upstream could not be reached; or no other instance can help.
func (x *exchange) chooseHop(now time.Time) (coord.Member, bool) {
	s := x.server
	if x.from.hopped || len(x.hops) >= maxHops || !x.hopNow && !s.Reach.Doubtful(now) && x.unsent < unsentBeforeHop {
		return coord.Member{}, false
	}
	targets := s.preferredHops(hopTargets(s.Views.View(), s.Instance, x.hops), now)
	if len(targets) == 0 {
		return coord.Member{}, false
	}
	return targets[xxhash.Sum64String(x.info.ID)%uint64(len(targets))], true
}

// sendHop sends the request through another instance, and reports whether to continue with
// another attempt.
func (x *exchange) sendHop(target coord.Member) bool {
	s := x.server
	if x.hops == nil {
		x.hops = make(map[string]bool)
	}
	x.hops[target.SyncAddress], x.hopNow, x.hopAddress = true, false, target.SyncAddress
	if x.sends > 0 && !x.allowRetry(string(target.ID)) {
		x.giveUp("retry_budget")
		return false
	}
	if !x.admitTrial() {
		return false
	}
	request := &conns.Request{Method: x.r.Method, Target: x.r.RequestURI, Host: x.r.Host, Body: x.body, NonRepeatable: !x.route.Repeatable(), Header: x.hopRequestHeader()}
	x.viaHop, x.firstEventWait, x.progress = true, nil, unanswered
	defer func() { x.viaHop = false }()
	began := time.Now()
	response, err := s.Peers.Do(x.ctx, target.SyncAddress, request)
	s.Metrics.CountHop(err == nil)
	if errors.Is(err, conns.ErrNotSent) {
		s.avoidHops(target.SyncAddress, clock.Now())
		x.log.Info("hop_not_sent", "request", x.info.ID, "instance", target.ID, "age_ms", x.ageMS(time.Now()), "reason", err)
		return true
	}
	if err != nil {
		x.sends++
		x.log.Info("hop_broken", "request", x.info.ID, "instance", target.ID, "age_ms", x.ageMS(time.Now()), "sent_ms", time.Since(began).Milliseconds(), "reason", err)
		return x.handleHopBroken()
	}
	defer response.Close()
	x.log.Info("hop", "request", x.info.ID, "instance", target.ID, "age_ms", x.ageMS(time.Now()), "status", response.Status(), "upstream", response.Header().Get(hopUpstreamHeader), "unsent", x.unsent)
	return x.handleHopResponse(response)
}

// hopRequestHeader returns the caller's headers with the time left and what the other
// instance has to know.
func (x *exchange) hopRequestHeader() http.Header {
	lastEventID, stream := x.info.LastEventID, x.info.Resumes
	if x.lastEventID != "" {
		lastEventID = x.lastEventID
		if stream == "" {
			stream = x.info.ID
		}
	}
	header := x.server.Dialect.HopHeader(endToEnd(x.r.Header), time.Until(x.deadline()), lastEventID)
	header.Set(hopHeader, strconv.Itoa(x.runs))
	// Those that the caller sent mean nothing.
	header.Del(hopStreamHeader)
	header.Del(hopTrialHeader)
	header.Set(hopCatalogHeader, strconv.FormatUint(x.catalog.Version(), 10))
	if stream != "" {
		header.Set(hopStreamHeader, stream)
	}
	if x.onTrial {
		header.Set(hopTrialHeader, "1")
	}
	return header
}

// handleHopBroken handles a request that may have run through another instance and has no
// valid response.
func (x *exchange) handleHopBroken() bool {
	x.runs++
	if x.ctx.Err() != nil {
		if !x.endIfOver() {
			x.endUnanswered()
		}
		return false
	}
	if x.mayRetry() {
		return true
	}
	x.fail(http.StatusBadGateway, "upstream_broke")
	return false
}

// handleHopResponse passes on what another instance answered. A refusal of its own means that
// the request has not run there, so another instance may be tried.
func (x *exchange) handleHopResponse(response *conns.Response) bool {
	reply := x.server.Dialect.ParseResponse(response.Status(), response.Header())
	if notRunStatuses[response.Status()] && !reply.HasSeal {
		return x.handleHopRefusal(response, reply)
	}
	x.sends++
	x.runs++
	x.framing, x.tailBytes = response.Framing(), 0
	upstream := x.upstreamBehind(response)
	if reply.Leaving && upstream.ID != "" {
		x.recordHopNotice(upstream)
	}
	if x.headerSent && !x.continues(response) {
		response.Discard()
		x.abort("not_resumed")
	}
	x.progress = answerBegun
	if x.route.Kind == site.Streaming && response.Status() < http.StatusMultipleChoices {
		return x.forwardStream(upstream, response)
	}
	return x.forwardWhole(upstream, response)
}

// retryElsewhere are the reasons for which an instance refuses a request that another one may
// serve.
var retryElsewhere = map[string]bool{"partitioned": true, "leaving": true, "unreachable": true, "no_catalog": true, "hops_full": true, "other_catalog": true}

// handleHopRefusal handles a request that the other instance has not run.
func (x *exchange) handleHopRefusal(response *conns.Response, reply ResponseInfo) bool {
	body := make([]byte, maxReasonBytes)
	n, _ := response.Read(body)
	reason, _, _ := strings.Cut(string(body[:n]), "\n")
	response.Discard()
	if sends, err := strconv.Atoi(response.Header().Get(hopSendsHeader)); err == nil && sends > 0 {
		x.sends += sends
	}
	if retryElsewhere[reason] {
		x.server.avoidHops(x.hopAddress, clock.Now())
		if len(x.hops) < maxHops && len(hopTargets(x.server.Views.View(), x.server.Instance, x.hops)) > 0 {
			x.hopNow = true
			return true
		}
	}
	if reason == "partitioned" {
		// No other instance reaches an upstream.
		reason = "unreachable"
	}
	if reason == "over_quota" {
		x.refuseQuota(reply.Wait.For)
		return false
	}
	if reason == "" {
		reason = "refused_by_instance"
	}
	x.giveUpFor(reason, reply.Wait.For)
	return false
}

// upstreamBehind returns the upstream whose answer another instance passes on, one without an
// ID if the instance doesn't say.
func (x *exchange) upstreamBehind(response *conns.Response) *site.Upstream {
	id, started, _ := strings.Cut(response.Header().Get(hopUpstreamHeader), "/")
	startedMs, err := strconv.ParseInt(started, 10, 64)
	if err != nil {
		return &site.Upstream{}
	}
	if known, ok := x.server.Views.View().Upstream(cardamom.UpstreamID(id)); ok && known.StartedMs == startedMs {
		return known
	}
	return &site.Upstream{Upstream: cardamom.Upstream{ID: cardamom.UpstreamID(id)}, StartedMs: startedMs}
}

// recordHopNotice records that the upstream behind another instance says that it leaves.
func (x *exchange) recordHopNotice(upstream *site.Upstream) {
	if x.server.Notices.Leave(runOf(upstream), clock.Now()) {
		x.server.Metrics.CountNotice("leaving")
		x.log.Info("upstream_leaves", "upstream", upstream.ID, "origin", "member", "request", x.info.ID)
	}
}

// setHopHeader tells the instance that the request came from which upstream has answered, and
// removes what an instance told this one.
func (x *exchange) setHopHeader(header http.Header) {
	header.Del(hopUpstreamHeader)
	if x.from.hopped && x.answeredBy != nil {
		header.Set(hopUpstreamHeader, string(x.answeredBy.ID)+"/"+strconv.FormatInt(x.answeredBy.StartedMs, 10))
	}
}
