package relay

import (
	"errors"
	"slices"
	"time"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/clock"
	"cardamomcourse.example/cardamom/conns"
	"cardamomcourse.example/cardamom/health"
	"cardamomcourse.example/cardamom/site"
)

// recordReach records whether an upstream answered a request.
func (x *exchange) recordReach(upstream *site.Upstream, err error) {
	switch {
	case err == nil || errors.Is(err, conns.ErrInvalidResponse):
		x.server.Reach.Answered(upstream.ID, clock.Now())
	case x.ctx.Err() == nil:
		x.server.Reach.Failed(upstream.ID, clock.Now())
	}
}

// recordFailure records that an upstream broke a connection, unless that was another instance.
// That this instance suspects a partition does not excuse the upstream: several that crash in
// a row look the same.
func (x *exchange) recordFailure(upstream *site.Upstream, now time.Time) {
	if x.viaHop {
		return
	}
	x.avoid(upstream.ID)
	if x.server.isCutOff() {
		return
	}
	x.server.Health.Failed(upstream.ID, health.Broken, now)
	x.server.Demand.Failed(upstream.ID)
	x.recordDeath(upstream)
}

// isCutOff reports whether this instance reaches no upstream and another one does, so that
// what it sees says nothing about upstreams.
func (s *Server) isCutOff() bool {
	return s.Reach.Partitioned() && len(hopTargets(s.Views.View(), s.Instance, nil)) > 0
}

// othersReach reports whether other instances have requests at one of the upstreams that this
// one could not reach, and none failed.
func (x *exchange) othersReach(suspected []cardamom.UpstreamID) bool {
	view := x.server.Views.View()
	return slices.ContainsFunc(suspected, func(id cardamom.UpstreamID) bool {
		others := view.PeerStats(id)
		return others.Running > 0 && others.Failures == 0
	})
}
