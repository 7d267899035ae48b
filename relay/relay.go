// Package relay forwards callers' requests to upstreams and their responses
// back, and decides for each request whether it is sent, queued, retried or
// refused.
//
// A response is 503 only if the request has not run and never will; if the
// request may have run, the response is 502, or 504 at the deadline.
//
// # Usage
//
//	server := relay.New(relay.Options{...})
//	http.Serve(listener, server)
package relay

import (
	"cmp"
	"context"
	"math"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/await"
	"cardamomcourse.example/cardamom/clock"
	"cardamomcourse.example/cardamom/conns"
	"cardamomcourse.example/cardamom/coord"
	"cardamomcourse.example/cardamom/demand"
	"cardamomcourse.example/cardamom/health"
	"cardamomcourse.example/cardamom/memory"
	"cardamomcourse.example/cardamom/notice"
	"cardamomcourse.example/cardamom/origin"
	"cardamomcourse.example/cardamom/pace"
	"cardamomcourse.example/cardamom/poison"
	"cardamomcourse.example/cardamom/quota"
	"cardamomcourse.example/cardamom/reach"
	"cardamomcourse.example/cardamom/retry"
	"cardamomcourse.example/cardamom/sched"
	"cardamomcourse.example/cardamom/site"
	"cardamomcourse.example/cardamom/sleep"
)

const (
	// defaultRequestTime bounds requests whose route sets no timeout. Callers may take a stream
	// up for as long.
	defaultRequestTime = origin.Lifetime
	// defaultBodyBytes bounds request bodies where the catalog sets no limit.
	defaultBodyBytes = 4 << 20
	// defaultBodyStall is how long a body may stand still where no setting says so.
	defaultBodyStall = 30 * time.Second
	// leavingRetryDelay is the Retry-After of a closing instance; another
	// instance can take the request at once.
	leavingRetryDelay = 20 * time.Millisecond
	// defaultRetryDelay is the Retry-After of refusals for a temporary reason.
	defaultRetryDelay = 400 * time.Millisecond
	// catalogGrace is how long after its start an instance lets requests wait for its first
	// catalog. The platform or another instance answers within a tenth of a second.
	catalogGrace = 500 * time.Millisecond
)

// RequestInfo is what the headers of a caller's request state.
type RequestInfo struct {
	ID      string
	Model   cardamom.ModelID
	Adapter string
	// Deadline is how long the caller waits, 0 if not stated.
	Deadline     time.Duration
	PromptTokens int
	// OutputTokens is the most that the answer may have. HasTokens means that the request
	// states these two numbers.
	OutputTokens int
	HasTokens    bool
	// Keys are the keys of organisations in the request; a valid one has one at most.
	Keys []string
	// SharedPrefix identifies the part of the prompt that other requests may share.
	SharedPrefix string
	// SharedParts are the identifiers of the parts that SharedPrefix consists of, from
	// the start of the prompt on.
	SharedParts []string
	// LastEventID is the id of the last stream event that the caller received.
	LastEventID string
	// Resumes is the id of the request whose response brought the first event of the
	// stream that the caller takes up, empty if the request takes up none.
	Resumes string
}

// ForwardOptions is what is sent to an upstream in addition to the caller's headers.
type ForwardOptions struct {
	Upstream cardamom.UpstreamID
	// Remaining is the time until the request's deadline.
	Remaining   time.Duration
	LastEventID string
	// HideKeys means that what the caller sent as key and as organisation is not forwarded.
	HideKeys bool
	// Organisation is for whom the request runs, empty if for nobody in particular.
	Organisation string
	// StartPriority is the order in which an engine starts requests, 0 first and
	// 9 last.
	StartPriority int
}

// ResponseInfo is what the headers of an upstream's response state.
type ResponseInfo struct {
	// ID is the id of the request that the response answers.
	ID string
	// HasSeal means that the response has the seal header, which upstreams set.
	HasSeal bool
	// NotRun means that the upstream states that it has not run the request.
	NotRun bool
	// Misdirected means that the upstream does not serve what the request needs.
	Misdirected bool
	// RateLimit is what it states of the upstream's rate limit.
	RateLimit site.RateLimit
	// Leaving means that the upstream says that it leaves.
	Leaving bool
	// Wait is for how long the upstream wants no more requests from this instance.
	Wait site.Wait
}

// Dialect parses and writes the headers that callers and upstreams use.
type Dialect interface {
	ParseRequest(header http.Header) RequestInfo
	ForwardHeader(header http.Header, send ForwardOptions) http.Header
	ParseResponse(status int, header http.Header) ResponseInfo
	SetRetryAfter(header http.Header, wait time.Duration)
	// HopHeader returns a caller's headers for another instance, with the time left and, if
	// it is not empty, the last event of the stream that the caller has.
	HopHeader(header http.Header, remaining time.Duration, lastEventID string) http.Header
}

// Viewer returns the newest view of upstreams and configuration.
type Viewer interface {
	View() *coord.View
}

// Permits grants the permits that requests to upstreams with a rate limit need.
type Permits interface {
	Permit(ctx context.Context, need coord.PermitNeed) coord.PermitResult
}

// Lenders lend credit of the retry budget.
type Lenders interface {
	BorrowCredit(ctx context.Context, service cardamom.ServiceID, missing float64) []retry.Credit
}

// Options are the dependencies of a server.
type Options struct {
	// Instance is this instance's ID.
	Instance   cardamom.InstanceID
	DataCentre cardamom.DataCentre
	Dialect    Dialect
	Views      Viewer
	Waiters    *await.Waiters
	Pool       *conns.Pool
	Demand     *demand.Counter
	Health     *health.Tracker
	Pace       *pace.Tracker
	Budget     *retry.Budget
	Ledger     *poison.Ledger
	Parts      *poison.Parts
	Limits     *quota.Book
	Notices    *notice.Book
	Permits    Permits
	Lenders    Lenders
	// Schedulers decide when prompts are sent; nil if each instance decides for itself.
	Schedulers Schedulers
	// ScheduleGapPerToken is the target gap of a stream for each token of its events below
	// which schedulers decide, 0 for any.
	ScheduleGapPerToken time.Duration
	// Alone permits requests to upstreams with a rate limit while no coordinator
	// answers.
	Alone   *quota.Share
	Origins Origins
	// Reach tells whether this instance is partitioned from all upstreams. Peers has the
	// connections to other instances.
	Reach   *reach.Tracker
	Peers   *conns.Pool
	Metrics Metrics
	// Memory is the account that bodies and responses are charged to, unlimited if nil.
	Memory *memory.Account
	// BodyStall is how long a body may stand still, defaultBodyStall if it is 0.
	BodyStall time.Duration
	// Leaving reports whether responses should close their connection. Closing is
	// cancelled when new and waiting requests are to be refused, and Ending when requests
	// that wait for their response are to be answered without it.
	Leaving func() bool
	Closing context.Context
	Ending  context.Context
	// Credits decides whether organisations' quotas allow their requests.
	Credits Credits
	// KeyMaxAge is the age of the configuration from which on no request with a key is
	// served, 0 for any. ConfigurationInForce is the age up to which an unknown key counts
	// as invalid: a newer configuration may have it.
	KeyMaxAge            time.Duration
	ConfigurationInForce time.Duration
	Logger               hclog.Logger
}

// Server handles callers' requests. It implements http.Handler.
type Server struct {
	Options
	availability *availability
	expectations *sched.Expectations
	// hopped counts the requests of other instances that are being handled.
	hopped atomic.Int64
	// hopAvoided are the instances that get no requests of this one until a time.
	hopMu      sync.Mutex
	hopAvoided map[string]time.Time
	// started is when the server was made.
	started time.Time
}

// New returns a server.
func New(options Options) *Server {
	if options.Memory == nil {
		options.Memory = memory.New(math.MaxInt64 / 100)
	}
	options.BodyStall = cmp.Or(options.BodyStall, defaultBodyStall)
	return &Server{Options: options, availability: newAvailability(), expectations: sched.NewExpectations(), hopAvoided: make(map[string]time.Time), started: clock.Now()}
}

// awaitCatalog returns the view. While the instance starts it waits a moment for its first
// catalog.
//
// It answers callers that come back to all instances at once after these were killed: a
// refusal costs them one of their few returns, and the catalog is there before they are.
func (s *Server) awaitCatalog(ctx context.Context) *coord.View {
	view := s.Views.View()
	for view.Catalog() == nil && clock.Now().Sub(s.started) < catalogGrace && sleep.For(ctx, recheckInterval) {
		view = s.Views.View()
	}
	return view
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.serve(w, r, hop{}) }

// serve handles a request of a caller or of another instance.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, from hop) {
	arrived := time.Now()
	if s.Leaving() {
		w.Header().Set("Connection", "close")
	}
	x := &exchange{server: s, w: w, r: r, arrived: arrived, arrivedAt: clock.Now(), info: s.Dialect.ParseRequest(r.Header), from: from, runs: from.runs}
	x.log = s.Logger
	x.info.Resumes = cmp.Or(from.stream, x.info.Resumes)
	defer x.releaseMemory()
	if r.ContentLength != 0 {
		// Also bounds the time for which net/http reads the body of a request that is
		// refused before its body is read.
		_ = http.NewResponseController(w).SetReadDeadline(arrived.Add(s.BodyStall))
	}
	if x.refuseIfClosing() {
		return
	}
	view := s.awaitCatalog(r.Context())
	if view.Catalog() == nil {
		x.refuse("no_catalog", defaultRetryDelay)
		return
	}
	if limit := view.Catalog().Limits().HeaderBytes; limit > 0 && headerBytes(r) > limit {
		x.closeAfter()
		x.fail(http.StatusRequestHeaderFieldsTooLarge, "header_too_large")
		return
	}
	route, ok := view.Catalog().Match(r.Host, rawPath(r))
	if !ok {
		x.fail(http.StatusNotFound, "no_route")
		return
	}
	if x.info.ID == "" {
		x.fail(http.StatusBadRequest, "no_request_id")
		return
	}
	x.route, x.catalog = route, view.Catalog()
	if !x.authenticate(view) {
		return
	}
	x.service = route.Pick(xxhash.Sum64String(cmp.Or(x.info.Resumes, x.info.ID)))
	if !x.readBody() {
		return
	}
	x.run()
}

// deadline returns the request's deadline: the caller's or the route's, whichever
// is first.
func (x *exchange) deadline() time.Time {
	limit := defaultRequestTime
	if x.route.Timeout > 0 {
		limit = x.route.Timeout
	}
	if x.info.Deadline > 0 {
		limit = min(limit, x.info.Deadline)
	}
	return x.arrived.Add(limit)
}

// run serves a request whose route is known.
func (x *exchange) run() {
	s := x.server
	x.key = demand.Key{Service: x.service, Model: x.info.Model}
	now := clock.Now()
	s.shareBudget(now)
	if !x.from.hopped {
		// The instance that the request came from has counted it.
		if x.info.Model != "" {
			s.Demand.Arrived(x.key, x.info.PromptTokens)
		}
		s.Budget.CountRequest(x.service, now)
	}
	x.fingerprint = x.computeFingerprint()
	if x.refusePart() {
		return
	}
	ctx, cancel := context.WithDeadline(x.r.Context(), x.deadline())
	defer cancel()
	if !x.from.hopped {
		// Another instance can send its request once more if its connection breaks.
		stop := context.AfterFunc(s.Ending, cancel)
		defer stop()
	}
	x.ctx = ctx
	if !x.awaitTrial() || !x.bindStream() {
		return
	}
	defer x.returnCredit()
	defer x.returnTrial()
	for x.attempt() {
	}
}

// shareBudget tells the retry budget how many instances share it.
func (s *Server) shareBudget(now time.Time) {
	view := s.Views.View()
	s.Budget.SetMembers(len(view.Members()), view.MembersConfirmed(), now)
}

// computeFingerprint returns a hash of what stays the same when a caller sends
// a request again.
func (x *exchange) computeFingerprint() poison.Fingerprint {
	digest := xxhash.New()
	for _, part := range []string{x.r.Method, x.r.RequestURI, string(x.info.Model), x.info.Adapter, x.info.SharedPrefix} {
		_, _ = digest.WriteString(part)
		_, _ = digest.WriteString("\n")
	}
	_, _ = digest.Write(x.body)
	return poison.Fingerprint(digest.Sum64())
}

// modelEngine returns the engine settings of the request's service and reports
// whether the request names a model and so needs an engine.
func (x *exchange) modelEngine() (*site.EngineSpec, bool) {
	service, ok := x.catalog.Service(x.service)
	if !ok || service.Engine == nil {
		return nil, false
	}
	return service.Engine, x.info.Model != ""
}
