package relay

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/conns"
	"cardamomcourse.example/cardamom/demand"
	"cardamomcourse.example/cardamom/health"
	"cardamomcourse.example/cardamom/pace"
	"cardamomcourse.example/cardamom/poison"
	"cardamomcourse.example/cardamom/site"
)

const (
	// maxUnsent is how many upstreams may be unreachable before a request is
	// refused.
	maxUnsent = 3
	// maxRejected is how many upstreams may state that they did not run a
	// request before it is refused.
	maxRejected = 2
	// rejectedPause is the time after which a model that was just being loaded
	// is tried again.
	rejectedPause = 30 * time.Millisecond
	// leastLeft is the least time that is left for a send to make sense.
	leastLeft = 15 * time.Millisecond
)

// exchange is one request of a caller.
type exchange struct {
	server      *Server
	w           http.ResponseWriter
	r           *http.Request
	ctx         context.Context
	log         hclog.Logger
	arrived     time.Time
	ask         Ask
	route       *site.Route
	catalog     *site.Catalog
	service     cardamom.ServiceID
	key         demand.Key
	body        []byte
	fingerprint poison.Fingerprint

	// sends counts requests that reached an upstream, runs those that may have
	// run, unsent those that reached none.
	sends    int
	runs     int
	unsent   int
	rejected int
	tried    map[cardamom.UpstreamID]bool
	// vouched means that the coordinator has reached what this instance could not.
	vouched bool
	// told means that the coordinator named an engine since the last send.
	told   bool
	last   cardamom.UpstreamID
	waited time.Duration
	wait   *pace.Wait
	// first is the time from the arrival to the first event passed on.
	first time.Duration
	// started means that the response's header has gone to the caller.
	started bool
	// event is the last event of a stream that was passed on whole.
	event string
}

// attempt sends the request to one upstream, or waits for one. It tells whether
// to go on.
func (x *exchange) attempt() bool {
	if x.over() {
		return false
	}
	upstream, release, ok := x.find()
	if !ok {
		return x.pendingWait()
	}
	defer release()
	now := time.Now()
	if x.sends > 0 && !x.server.Budget.Spend(x.service, len(x.server.Views.View().Members()), now) {
		x.giveUp("retry_budget")
		return false
	}
	return x.send(upstream, now)
}

// over ends a request whose time is up or whose caller has left.
func (x *exchange) over() bool {
	if x.r.Context().Err() != nil {
		x.end("gone", "caller_left", 0)
		return true
	}
	if time.Until(x.deadline()) <= leastLeft {
		x.timeOut()
		return true
	}
	return x.runs == 0 && x.leaving()
}

// leaving refuses a request that has not run if the instance is at its end.
func (x *exchange) leaving() bool {
	if x.server.Closing.Err() == nil {
		return false
	}
	x.refuse("leaving", leaveWait)
	return true
}

func (x *exchange) timeOut() {
	if x.runs > 0 {
		x.fail(http.StatusGatewayTimeout, "deadline")
		return
	}
	x.refuse("deadline", soonWait)
}

// send passes the request on and handles what comes back.
func (x *exchange) send(upstream *site.Upstream, now time.Time) bool {
	s := x.server
	s.Demand.Begin(upstream.ID, x.key, x.ask.Adapter)
	defer s.Demand.End(upstream.ID, x.key)
	resume := x.event
	if resume == "" {
		resume = x.ask.Resume
	}
	request := &conns.Request{
		Method: x.r.Method, Target: x.r.RequestURI, Host: x.r.Host, Body: x.body, Once: !x.route.Repeatable(),
		Header: s.Dialect.Forward(endToEnd(x.r.Header), Send{Upstream: upstream.ID, Left: time.Until(x.deadline()), Resume: resume, Urgency: x.route.Urgency()}),
	}
	x.last, x.told = upstream.ID, false
	x.wait = s.Pace.Sent(upstream.ID, now)
	defer x.wait.Ended()
	response, err := s.Pool.Do(x.ctx, upstream.Address, request)
	if errors.Is(err, conns.ErrNotSent) {
		return x.notSent(upstream, err)
	}
	x.sends++
	if err != nil {
		return x.broke(upstream, err, now)
	}
	defer response.Close()
	s.Counts.Took("first_byte", time.Since(now))
	reply := s.Dialect.Reply(response.Status(), response.Header())
	switch {
	case reply.NotRun && reply.ID != "" && reply.ID != x.ask.ID:
		return x.broke(upstream, conns.ErrGarbled, now)
	case reply.NotRun:
		return x.notRun(upstream, response, reply)
	case reply.ID != x.ask.ID || (response.Status() < http.StatusMultipleChoices && !reply.Signed):
		// The response belongs to another request or to none.
		return x.broke(upstream, conns.ErrGarbled, now)
	}
	return x.answer(upstream, response)
}

// notSent handles an upstream that could not be reached.
func (x *exchange) notSent(upstream *site.Upstream, err error) bool {
	if x.r.Context().Err() != nil {
		return true
	}
	now := time.Now()
	x.server.Health.Failed(upstream.ID, health.Unreachable, now)
	x.server.Demand.Failed(upstream.ID)
	x.server.Pool.Drop(upstream.Address)
	x.exclude(upstream.ID)
	x.unsent++
	x.vouched = false
	x.log.Info("not_sent", "request", x.ask.ID, "upstream", upstream.ID, "age_ms", x.age(now), "unsent", x.unsent, "reason", err)
	if x.unsent < maxUnsent {
		return true
	}
	x.giveUp("unreachable")
	return false
}

// notRun handles an upstream's word that it has not run the request.
func (x *exchange) notRun(upstream *site.Upstream, response *conns.Response, reply Reply) bool {
	_, _ = drain(response)
	x.rejected++
	x.log.Info("rejected", "request", x.ask.ID, "upstream", upstream.ID, "status", response.Status(), "model", x.ask.Model, "adapter", x.ask.Adapter, "rejected", x.rejected)
	if reply.Other {
		x.server.places.miss(upstream, x.ask, time.Now())
	} else {
		x.exclude(upstream.ID)
	}
	if x.rejected > maxRejected {
		x.giveUp("rejected")
		return false
	}
	timer := time.NewTimer(rejectedPause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-x.ctx.Done():
	}
	return true
}

// broke handles a request that may have run and has no response.
func (x *exchange) broke(upstream *site.Upstream, err error, sent time.Time) bool {
	x.runs++
	if x.ctx.Err() != nil {
		if x.over() {
			return false
		}
		x.timeOut()
		return false
	}
	s := x.server
	now := time.Now()
	s.Health.Failed(upstream.ID, health.Broken, now)
	s.Demand.Failed(upstream.ID)
	x.exclude(upstream.ID)
	x.blame(upstream)
	x.log.Info("broken", "request", x.ask.ID, "upstream", upstream.ID, "age_ms", x.age(now), "sent_ms", now.Sub(sent).Milliseconds(), "runs", x.runs, "reason", err)
	if x.again() {
		return true
	}
	x.fail(http.StatusBadGateway, "upstream_broke")
	return false
}

// again tells whether a request that may have run may be sent once more.
func (x *exchange) again() bool {
	return x.route.Repeatable() && x.runs < x.route.Attempts && !x.started &&
		x.server.Ledger.Verdict(x.fingerprint, time.Now()) != poison.Refused
}

// giveUp ends a request that is not sent again.
func (x *exchange) giveUp(reason string) {
	if x.runs > 0 {
		x.fail(http.StatusBadGateway, reason)
		return
	}
	x.refuse(reason, soonWait)
}

// blame notes the request against an upstream that died while running it.
func (x *exchange) blame(upstream *site.Upstream) {
	if x.ctx.Err() == nil && !conns.Reachable(x.ctx, upstream.Address) {
		x.server.Ledger.Blame(x.fingerprint, string(upstream.ID)+"/"+time.UnixMilli(upstream.Born).UTC().Format(time.RFC3339Nano), time.Now())
		x.log.Warn("upstream_died", "request", x.ask.ID, "upstream", upstream.ID, "fingerprint", x.fingerprint)
	}
}

func (x *exchange) exclude(id cardamom.UpstreamID) {
	if x.tried == nil {
		x.tried = make(map[cardamom.UpstreamID]bool)
	}
	x.tried[id] = true
}

func (x *exchange) age(now time.Time) int64 { return now.Sub(x.arrived).Milliseconds() }

// hopByHop are the headers that concern one connection only.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
}

// endToEnd returns the headers that are passed on.
func endToEnd(header http.Header) http.Header {
	out := make(http.Header, len(header))
	var named map[string]bool
	for _, value := range header["Connection"] {
		for _, name := range splitNames(value) {
			if named == nil {
				named = make(map[string]bool)
			}
			named[name] = true
		}
	}
	for name, values := range header {
		if !hopByHop[name] && !named[name] {
			out[name] = values
		}
	}
	return out
}
