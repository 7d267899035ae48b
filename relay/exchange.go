package relay

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/clock"
	"cardamomcourse.example/cardamom/conns"
	"cardamomcourse.example/cardamom/demand"
	"cardamomcourse.example/cardamom/health"
	"cardamomcourse.example/cardamom/memory"
	"cardamomcourse.example/cardamom/pace"
	"cardamomcourse.example/cardamom/poison"
	"cardamomcourse.example/cardamom/quota"
	"cardamomcourse.example/cardamom/site"
)

const (
	// maxUnsent is the number of attempts on unreachable upstreams after which a
	// request ends.
	maxUnsent = 3
	// maxRejected is how many times a request is sent again after an upstream
	// answered that it has not run it.
	maxRejected = 2
	// rejectionPause is the pause before the next attempt after such an answer: an
	// engine that is still loading the model may give it.
	rejectionPause = 30 * time.Millisecond
	// minSendTime is the least remaining time with which a request is still sent.
	minSendTime = 15 * time.Millisecond
)

// errForeignResponse means that a response is not the answer to the request that was sent.
var errForeignResponse = eris.New("response belongs to another request or to none")

// exchange is the state of one caller's request.
type exchange struct {
	server  *Server
	w       http.ResponseWriter
	r       *http.Request
	ctx     context.Context
	log     hclog.Logger
	arrived time.Time
	// arrivedAt is arrived on a clock that counts suspension.
	arrivedAt time.Time
	info      RequestInfo
	route     *site.Route
	catalog   *site.Catalog
	// organisation is for whom the request runs, nil if for nobody in particular.
	organisation *site.Organisation
	// hideKeys means that what the caller sent as key and as organisation is not forwarded.
	hideKeys bool
	// checkedVersion is the version of the catalog in which the key was last looked up.
	checkedVersion uint64
	// credit is what the organisation's quota granted, nil before it has.
	credit  *quota.Grant
	service cardamom.ServiceID
	key     demand.Key
	body    []byte
	// bodyCharge is the memory of the body, responseCharge that of the response at hand. Both
	// are nil until there is any.
	bodyCharge     *memory.Charge
	responseCharge *memory.Charge
	fingerprint    poison.Fingerprint

	// sends counts the attempts that reached an upstream.
	sends int
	// sentOn are the connections to upstreams on which the request was sent.
	sentOn conns.Sends
	// runs counts the attempts that may have run.
	runs int
	// unsent counts the attempts that reached no upstream.
	unsent int
	// rejected counts the attempts that an upstream answered without running the
	// request.
	rejected int
	// avoided are upstreams that failed or rejected an attempt. They are used
	// again only if there is no other.
	avoided map[cardamom.UpstreamID]bool
	// ignoreSuspension means that the coordinator reported a ready engine, so that
	// engines are used even if this instance failed to reach them.
	ignoreSuspension bool
	// reportedReady means that the coordinator reported a ready engine since the
	// last attempt.
	reportedReady bool
	lastUpstream  cardamom.UpstreamID
	// waited is the time spent waiting for a model or a slot, negative once the
	// request has ended.
	waited time.Duration
	// held is the time for which the prompt was held back from engines that had just
	// got others.
	held           time.Duration
	firstEventWait *pace.Wait
	schedule       schedule
	// firstEventAfter is the time from the arrival until the first event was
	// written to the caller.
	firstEventAfter time.Duration
	delivery        delivery
	// headerSent means that the response's header was written to the caller.
	headerSent bool
	// begunStatus and begunType are the status and the media type of the response that began
	// the stream.
	begunStatus int
	begunType   string
	// lastEventID is the id of the last whole event written to the caller.
	lastEventID string
	// binding is where the stream began.
	binding binding
	// from tells whether the request came from another instance.
	from hop
	// hops are the instances through which the request was tried, by their address. viaHop
	// means that the response at hand comes from one, and hopNow that the next attempt is to
	// be made through one.
	hops   map[string]bool
	viaHop bool
	hopNow bool
	// hopAddress is the instance of the last hop.
	hopAddress string
	// answeredBy is the upstream that sent the response at hand.
	answeredBy *site.Upstream
	// software is the version of the upstream that answered last.
	software string
	// refusedPart is the part of the prompt for which the request was refused.
	refusedPart string
	// triesPart is a refused part for which the request was let through as a trial.
	triesPart string
	// onTrial means that the request was let through although its like is refused, and trial names
	// the trial if it is one of this instance.
	onTrial bool
	trial   string
	// isolatedFor is how long the request was held back for a suspected part of its prompt
	// while there was an upstream for it, isolatedAt when it was last.
	isolatedFor time.Duration
	isolatedAt  time.Time
	// sentAt is when the last send began.
	sentAt time.Time
	// progress is how much of an answer the last send has got.
	progress progress
	// framing is how the end of the last response was marked.
	framing conns.Framing
	// tailBytes is the length of what followed the last whole event when the last
	// response ended.
	tailBytes int
}

// attempt sends the request to one upstream, or waits for one. It reports
// whether to continue.
func (x *exchange) attempt() bool {
	if x.endIfOver() {
		return false
	}
	if target, ok := x.chooseHop(clock.Now()); ok {
		return x.sendHop(target)
	}
	if !x.isStillAuthorised() || !x.obtainCredit() {
		return x.mayContinue()
	}
	upstream, release, ok := x.find()
	if !ok {
		return x.mayContinue()
	}
	defer release()
	admitted, end := x.admitParts()
	if !admitted {
		return x.mayContinue()
	}
	defer end()
	if may, _ := x.server.mayGet(upstream); !may || !x.mayGoOnAt(upstream) {
		return true
	}
	now := time.Now()
	if x.sends > 0 && !x.allowRetry(string(upstream.ID)) {
		x.giveUp("retry_budget")
		return false
	}
	return x.admitTrial() && x.send(upstream, now)
}

// allowRetry reports whether the retry budget allows to send the request again, to an
// upstream or through an instance.
func (x *exchange) allowRetry(to string) bool {
	x.server.shareBudget(clock.Now())
	borrowed := x.borrowCredit()
	decision := x.server.Budget.AllowRetry(x.service, clock.Now())
	x.server.Metrics.CountRetry(string(x.service), decision.Allowed)
	switch {
	case decision.Allowed:
		x.log.Info("sent_again", "request", x.info.ID, "upstream", to, "service", x.service, "sends", x.sends, "runs", x.runs, "rejected", x.rejected,
			"credit", fmt.Sprintf("%.2f", decision.Credit), "borrowed", fmt.Sprintf("%.2f", borrowed), "members", decision.Members)
	case decision.Changed:
		x.log.Info("retry_budget_spent", "service", x.service, "credit", fmt.Sprintf("%.2f", decision.Credit), "members", decision.Members)
	}
	return decision.Allowed
}

// borrowCredit asks other instances for the credit that the service lacks for a retry, and
// returns how much they lent.
func (x *exchange) borrowCredit() float64 {
	s := x.server
	missing := s.Budget.Missing(x.service, clock.Now())
	if missing <= 0 {
		return 0
	}
	credits := s.Lenders.BorrowCredit(x.ctx, x.service, missing)
	s.Metrics.CountBorrowing(s.Budget.Receive(x.service, credits, clock.Now()))
	sum := 0.0
	for _, c := range credits {
		sum += c.Amount()
	}
	return sum
}

// send sends the request to the upstream and handles the result. It reports
// whether to continue with another attempt.
func (x *exchange) send(upstream *site.Upstream, now time.Time) bool {
	s := x.server
	s.Demand.Begin(upstream.ID, x.key, x.info.Adapter)
	defer s.Demand.End(upstream.ID, x.key)
	lastEventID := x.lastEventID
	if lastEventID == "" {
		lastEventID = x.info.LastEventID
	}
	request := &conns.Request{
		Method: x.r.Method, Target: x.r.RequestURI, Host: x.r.Host, Body: x.body, NonRepeatable: !x.route.Repeatable(), ID: x.info.ID, Sends: &x.sentOn,
		Header: s.Dialect.ForwardHeader(endToEnd(x.r.Header), ForwardOptions{Upstream: upstream.ID, Remaining: time.Until(x.deadline()), LastEventID: lastEventID, StartPriority: x.urgency(), HideKeys: x.hideKeys, Organisation: x.organisationName()}),
	}
	x.lastUpstream, x.reportedReady, x.progress, x.sentAt = upstream.ID, false, unanswered, clock.Now()
	x.firstEventWait = s.Pace.Sent(x.service, upstream.ID, x.info.PromptTokens, now)
	defer func() { x.firstEventWait.Ended(time.Now()) }()
	ended := s.Reach.Sent(upstream.ID, clock.Now())
	defer ended()
	response, err := s.Pool.Do(x.ctx, upstream.Address, request)
	x.recordReach(upstream, err)
	if errors.Is(err, conns.ErrNotSent) {
		return x.handleNotSent(upstream, err)
	}
	x.sends++
	if errors.Is(err, conns.ErrInvalidResponse) {
		s.Metrics.CountForeign("malformed")
	}
	if err == nil {
		response, err = x.skipLate(upstream, response)
	}
	if err != nil {
		return x.handleBroken(upstream, err, now)
	}
	defer response.Close()
	s.Metrics.ObserveDuration("first_byte", time.Since(now))
	reply := s.Dialect.ParseResponse(response.Status(), response.Header())
	x.recordLimit(upstream, reply)
	x.recordNotice(upstream, reply)
	switch {
	case !x.isAnswer(response, reply):
		s.Metrics.CountForeign(foreignKind(reply))
		return x.handleBroken(upstream, errForeignResponse, now)
	case reply.NotRun:
		return x.handleNotRun(upstream, response, reply)
	}
	return x.handleResponse(upstream, response)
}

// skipLate returns the response after a late copy of the response to the request before this one
// on the connection, or else the response itself.
func (x *exchange) skipLate(upstream *site.Upstream, response *conns.Response) (*conns.Response, error) {
	reply := x.server.Dialect.ParseResponse(response.Status(), response.Header())
	if reply.ID == "" || reply.ID == x.info.ID || reply.ID != response.LastID() {
		return response, nil
	}
	x.server.Metrics.CountForeign("late")
	x.log.Info("late_response", "request", x.info.ID, "upstream", upstream.ID, "status", response.Status())
	return response.Next()
}

// isAnswer reports whether a response is the answer to the last send, and not to another
// request or to none. An upstream that turns a request away may leave out its id, but on a
// connection that had an earlier request such a response may be a late copy.
func (x *exchange) isAnswer(response *conns.Response, reply ResponseInfo) bool {
	switch {
	case reply.NotRun && reply.ID == "":
		return !response.OnReusedConnection()
	case reply.ID != x.info.ID:
		return false
	default:
		return reply.NotRun || reply.HasSeal || response.Status() >= http.StatusMultipleChoices
	}
}

// foreignKind names a response that is not the answer to the request at hand, for metrics.
func foreignKind(reply ResponseInfo) string {
	if reply.NotRun && reply.ID == "" {
		return "unnamed"
	}
	return "other"
}

// handleNotSent handles an upstream that could not be reached.
func (x *exchange) handleNotSent(upstream *site.Upstream, err error) bool {
	if x.r.Context().Err() != nil {
		return true
	}
	now := time.Now()
	x.server.Health.Failed(upstream.ID, health.Unreachable, now)
	x.server.Demand.Failed(upstream.ID)
	x.server.Pool.CloseIdle(upstream.Address)
	x.avoid(upstream.ID)
	x.unsent++
	x.ignoreSuspension = false
	x.log.Info("not_sent", "request", x.info.ID, "upstream", upstream.ID, "age_ms", x.ageMS(now), "unsent", x.unsent, "reason", err)
	x.hopNow = x.hopNow || x.othersReach([]cardamom.UpstreamID{upstream.ID})
	return x.mayTryAgain()
}

// mayTryAgain ends a request that has reached no upstream too often, and reports whether it
// may be tried again.
func (x *exchange) mayTryAgain() bool {
	if x.unsent < maxUnsent {
		return true
	}
	x.giveUp("unreachable")
	return false
}

// handleNotRun handles an upstream's answer that it has not run the request.
func (x *exchange) handleNotRun(upstream *site.Upstream, response *conns.Response, reply ResponseInfo) bool {
	response.Discard()
	x.rejected++
	named, reused := reply.ID != "", response.OnReusedConnection()
	x.server.Metrics.CountRejection(named, reused)
	x.log.Info("rejected", "request", x.info.ID, "upstream", upstream.ID, "status", response.Status(), "model", x.info.Model, "adapter", x.info.Adapter, "named", named, "reused", reused, "rejected", x.rejected)
	if reply.Misdirected {
		x.server.availability.markMissing(upstream, x.info, time.Now())
	} else {
		x.avoid(upstream.ID)
	}
	if x.rejected > maxRejected {
		x.giveUp("rejected")
		return false
	}
	timer := time.NewTimer(rejectionPause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-x.ctx.Done():
	}
	return true
}

// handleBroken handles an attempt that may have run and has no valid response.
func (x *exchange) handleBroken(upstream *site.Upstream, err error, sent time.Time) bool {
	x.runs++
	if x.ctx.Err() != nil {
		if x.endIfOver() {
			return false
		}
		x.endUnanswered()
		return false
	}
	now := time.Now()
	x.recordFailure(upstream, now)
	x.log.Info("broken", "request", x.info.ID, "upstream", upstream.ID, "age_ms", x.ageMS(now), "sent_ms", now.Sub(sent).Milliseconds(), "runs", x.runs, "parts", x.loggedParts(), "progress", x.progress, "reason", err)
	if x.mayRetry() {
		return true
	}
	x.fail(http.StatusBadGateway, "upstream_broke")
	return false
}

// mayRetry reports whether a request that may have run may be sent again.
func (x *exchange) mayRetry() bool {
	return x.route.Repeatable() && x.runs < x.route.MaxAttempts && !x.headerSent &&
		x.server.Ledger.Verdict(x.fingerprint, time.Now()) != poison.Refused && x.hasCleanParts()
}

// avoid marks an upstream as one to use only if there is no other.
func (x *exchange) avoid(id cardamom.UpstreamID) {
	if x.avoided == nil {
		x.avoided = make(map[cardamom.UpstreamID]bool)
	}
	x.avoided[id] = true
}

// ageMS returns the time since the request arrived, in milliseconds.
func (x *exchange) ageMS(now time.Time) int64 { return now.Sub(x.arrived).Milliseconds() }
