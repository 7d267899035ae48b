package relay

import (
	"context"
	"time"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/clock"
	"cardamomcourse.example/cardamom/coord"
	"cardamomcourse.example/cardamom/notice"
	"cardamomcourse.example/cardamom/origin"
	"cardamomcourse.example/cardamom/site"
)

// Origins knows at which software versions streams began.
type Origins interface {
	// StreamBegan records that the first event of the response to a request is about to be
	// passed on.
	StreamBegan(service cardamom.ServiceID, request string, began origin.Origin)
	// StreamOrigin returns where the stream of a request began. It may ask other instances.
	StreamOrigin(ctx context.Context, service cardamom.ServiceID, request string) (origin.Origin, origin.Knowledge)
}

// binding is where a stream began, once it has begun: it may go on only there or at another
// upstream of the same software version.
type binding struct {
	origin origin.Origin
	bound  bool
}

// allows reports whether the stream may begin or go on at an upstream.
func (b binding) allows(upstream *site.Upstream) bool {
	return !b.bound || b.origin.Allows(runOf(upstream), upstream.Version)
}

// version returns the software version that an upstream has to have, empty for any.
func (b binding) version() string { return b.origin.Version() }

func runOf(upstream *site.Upstream) notice.Run { return notice.NewRun(upstream.ID, upstream.StartedMs) }

// takesUpStream reports whether the caller came back for the rest of a stream.
func (x *exchange) takesUpStream() bool {
	return x.route.Kind == site.Streaming && (x.info.LastEventID != "" || x.info.Resumes != "")
}

// bindStream binds the request to the version that began its stream if the caller came back
// for the rest of one. It refuses the request and returns false if nobody knows that version. Only an instance that
// has just started waits a moment, until it has learned what others know.
func (x *exchange) bindStream() bool {
	if !x.takesUpStream() {
		return true
	}
	began := time.Now()
	found, knowledge := x.findOrigin()
	for knowledge == origin.Unknown && !x.server.Views.View().VersionsSettled() && time.Since(x.arrived) < defaultRetryDelay && x.ctx.Err() == nil {
		x.sleep(recheckInterval)
		found, knowledge = x.findOrigin()
	}
	x.server.Metrics.ObserveDuration("stream_origin", time.Since(began))
	switch {
	case knowledge == origin.Known:
		x.binding = binding{origin: found, bound: true}
		return true
	case x.endIfOver():
	case knowledge == origin.Disputed:
		x.refuse("stream_disputed", 0)
	case !x.server.Views.View().VersionsSettled():
		x.refuse("stream_not_known_yet", defaultRetryDelay)
	default:
		x.refuse("stream_unknown", 0)
	}
	return false
}

// findOrigin returns where the stream that the caller takes up began, by what instances
// know, or because its service has had one version only.
func (x *exchange) findOrigin() (origin.Origin, origin.Knowledge) {
	if x.info.Resumes != "" {
		if found, knowledge := x.server.Origins.StreamOrigin(x.ctx, x.service, x.info.Resumes); knowledge != origin.Unknown {
			return found, knowledge
		}
	}
	if version, ok := x.server.Views.View().SoleVersion(x.service, clock.Now()); ok {
		return origin.New(notice.Run{}, version), origin.Known
	}
	return origin.Origin{}, origin.Unknown
}

// recordOrigin binds the stream to the upstream that sends its first event, and records
// under which id its caller may take it up.
func (x *exchange) recordOrigin(upstream *site.Upstream) {
	if !x.binding.bound {
		x.binding = binding{origin: origin.New(runOf(upstream), upstream.Version), bound: true}
	}
	if !x.route.Resumable {
		return
	}
	x.server.Origins.StreamBegan(x.service, x.info.ID, x.binding.origin)
	if x.info.Resumes != "" && x.info.Resumes != x.info.ID {
		x.server.Origins.StreamBegan(x.service, x.info.Resumes, x.binding.origin)
	}
}

// mayBeginAt reports whether a new stream that its caller may take up may begin at an
// upstream, or else from when on. Other requests may always.
func (x *exchange) mayBeginAt(upstream *site.Upstream, view *coord.View) (bool, time.Time) {
	if x.binding.bound || !x.route.Resumable || x.route.Kind != site.Streaming {
		return true, time.Time{}
	}
	return view.MayBegin(x.service, upstream.Version, clock.Now())
}

// mayGoOnAt reports whether the stream may still go on at an upstream, after a wait.
func (x *exchange) mayGoOnAt(upstream *site.Upstream) bool {
	if !x.binding.bound {
		return true
	}
	current, ok := x.server.Views.View().Upstream(upstream.ID)
	return ok && runOf(current) == runOf(upstream) && x.binding.allows(current)
}
