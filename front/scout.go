package front

import (
	"context"
	"math/rand/v2"
	"slices"

	"github.com/hashicorp/go-hclog"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/conns"
	"cardamomcourse.example/cardamom/coord"
	"cardamomcourse.example/cardamom/health"
	"cardamomcourse.example/cardamom/platform"
	"cardamomcourse.example/cardamom/reach"
)

// maxProbed bounds the upstreams that are probed at a time.
const maxProbed = 3

// prober probes upstreams to find out whether this instance is partitioned from all. It
// implements reach.Prober.
type prober struct {
	loop    *coord.Loop
	engines *platform.EngineClient
	pool    *conns.Pool
}

// ProbeTargets returns some live upstreams, drawn at random: one of each service first, as
// all of one may have crashed.
func (p *prober) ProbeTargets() []cardamom.Upstream {
	view := p.loop.View()
	if view.Catalog() == nil {
		return nil
	}
	var first, others []cardamom.Upstream
	for _, service := range view.Catalog().Services() {
		var live []cardamom.Upstream
		for _, upstream := range view.Upstreams(service.Name) {
			if upstream.State == cardamom.Live {
				live = append(live, upstream.Upstream)
			}
		}
		if len(live) == 0 {
			continue
		}
		rand.Shuffle(len(live), func(a, b int) { live[a], live[b] = live[b], live[a] })
		first, others = append(first, live[0]), append(others, live[1:]...)
	}
	rand.Shuffle(len(first), func(a, b int) { first[a], first[b] = first[b], first[a] })
	rand.Shuffle(len(others), func(a, b int) { others[a], others[b] = others[b], others[a] })
	all := slices.Concat(first, others)
	return all[:min(len(all), maxProbed)]
}

// Probe reports whether an upstream answers. A plain one only has to accept a connection and
// to keep it.
func (p *prober) Probe(ctx context.Context, upstream cardamom.Upstream) bool {
	if service, ok := p.loop.View().Catalog().Service(upstream.Service); ok && service.Engine != nil {
		return p.engines.Answers(ctx, upstream)
	}
	return p.pool.Keeps(ctx, upstream.Address)
}

// newScout returns the scout of an instance.
func newScout(tracker *reach.Tracker, loop *coord.Loop, engines *platform.EngineClient, pool *conns.Pool, healthTracker *health.Tracker, logger hclog.Logger) *reach.Scout {
	return reach.NewScout(tracker, &prober{loop, engines, pool}, func(partitioned bool) {
		if partitioned {
			logger.Warn("partitioned", "dependency", "upstreams")
		} else {
			healthTracker.Forgive()
			logger.Info("partition_over", "dependency", "upstreams")
		}
		loop.PartitionChanged()
	})
}
