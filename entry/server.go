// Package entry is the HTTP API of an instance for callers: instance addresses,
// completions and calls of plain services, which are services without models.
//
// A request with an idempotency key runs only after it has claimed the key (see
// package claim). A completion is served by an instance that follows the model's
// cell; any other instance forwards it to such an instance. A cell is a set of
// engines whose loads one instance plans, and its followers receive updates of its
// replicas. A poison request, one that crashes upstreams, is refused (see package
// poison).
//
// # Usage
//
//	server := entry.New(entry.Options{Views: views, Admission: controller, Claims: claims, ...})
//	http.ListenAndServe(address, server.Handler())
//
// Every response carries its outcome: a stream in its outcome event, any other
// response in the header Cardamom-Outcome.
package entry

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/emicklei/go-restful/v3"
	"github.com/hashicorp/go-hclog"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/admit"
	"cardamomcourse.example/cardamom/claim"
	"cardamomcourse.example/cardamom/engine"
	"cardamomcourse.example/cardamom/poison"
	"cardamomcourse.example/cardamom/route"
	"cardamomcourse.example/cardamom/trace"
)

// Claims grants idempotency keys to requests and records how the requests ended.
type Claims interface {
	Ask(ctx context.Context, ask claim.GrantRequest) claim.Answer
	Settle(ctx context.Context, settle claim.Settlement) bool
}

// Reporter fetches an engine's report.
type Reporter interface {
	Report(ctx context.Context, address string) (*engine.Report, error)
}

// Options are the settings and dependencies of a server.
type Options struct {
	Self         cardamom.Instance
	Incarnation  cardamom.Incarnation
	MaxBodyBytes int64
	AddressTTL   time.Duration
	Views        *route.ViewStore
	Admission    *admit.Controller
	Claims       Claims
	Reporter     Reporter
	Ledger       *poison.Ledger
	Tracer       *trace.Tracer
	Metrics      *Metrics
	Logger       hclog.Logger
}

// Server serves the HTTP API for callers.
type Server struct {
	options  Options
	sender   *sender
	balancer *plainBalancer
	budget   *budget
	serial   atomic.Uint64
}

// New returns a server.
func New(options Options) *Server {
	return &Server{options: options, sender: newSender(), balancer: newPlainBalancer(), budget: newBudget()}
}

// Handler returns the HTTP handler of all paths.
func (s *Server) Handler() http.Handler {
	container := restful.NewContainer()
	container.Router(restful.CurlyRouter{})
	container.ServiceErrorHandler(s.serviceError)
	container.DoNotRecover(false)
	container.RecoverHandler(s.recovered)
	service := new(restful.WebService)
	service.Path("/").Consumes("*/*").Produces("*/*")
	service.Route(service.GET("/v1/addresses").To(s.addresses))
	service.Route(service.GET("/v1/models").To(s.models))
	service.Route(service.POST("/v1/completions").To(s.completion))
	service.Route(service.POST("/v1/chat/completions").To(s.completion))
	service.Route(service.GET("/healthz").To(s.healthy))
	service.Route(service.GET("/readyz").To(s.ready))
	service.Route(service.GET("/debug/vars").To(s.vars))
	service.Route(service.GET("/v1/status").To(s.status))
	for _, method := range []string{http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete} {
		service.Route(service.Method(method).Path("/services/{service}/{path:*}").To(s.plainCall))
	}
	container.Add(service)
	return container
}

// serviceError writes the router's errors as refusals.
func (s *Server) serviceError(failure restful.ServiceError, _ *restful.Request, response *restful.Response) {
	reason := cardamom.ReasonUnknownPath
	detail := "no such path"
	if failure.Code == http.StatusMethodNotAllowed {
		reason, detail = cardamom.ReasonBadMethod, "method not allowed"
	}
	s.options.Metrics.Count(cardamom.NotRun, reason)
	refuse(response.ResponseWriter, cardamom.Refuse(reason, detail))
}

// recovered responds after a panic. The request may have run before the panic.
func (s *Server) recovered(cause any, w http.ResponseWriter) {
	s.options.Logger.Error("panic", "cause", cause)
	refuse(w, cardamom.Fail(cardamom.ReasonUpstreamError, "internal error"))
}

func (s *Server) nextRequestID() string {
	return string(s.options.Self.ID) + "-" + strconv.FormatUint(uint64(s.options.Incarnation), 36) +
		"-" + strconv.FormatUint(s.serial.Add(1), 36)
}

// finish counts the outcome of a request and writes its refusal if there is one.
func (s *Server) finish(w http.ResponseWriter, refusal *cardamom.Refusal) {
	if refusal == nil {
		s.options.Metrics.Count(cardamom.Served, "")
		return
	}
	s.options.Metrics.Count(refusal.Outcome(), refusal.Reason())
	refuse(w, refusal)
}
