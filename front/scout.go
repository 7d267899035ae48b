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

// ProbeTargets returns some live upstreams, drawn at random. Engines go first, as they
// answer a probe even when they are busy.
func (p *prober) ProbeTargets() []cardamom.Upstream {
	view := p.loop.View()
	if view.Catalog() == nil {
		return nil
	}
	var engines, plain []cardamom.Upstream
	for _, service := range view.Catalog().Services() {
		for _, upstream := range view.Upstreams(service.Name) {
			switch {
			case upstream.State != cardamom.Live:
			case service.Engine != nil:
				engines = append(engines, upstream.Upstream)
			default:
				plain = append(plain, upstream.Upstream)
			}
		}
	}
	for _, list := range [][]cardamom.Upstream{engines, plain} {
		rand.Shuffle(len(list), func(a, b int) { list[a], list[b] = list[b], list[a] })
	}
	all := slices.Concat(engines, plain)
	return all[:min(len(all), maxProbed)]
}

// Probe reports whether an upstream answers. A plain one only has to accept a connection.
func (p *prober) Probe(ctx context.Context, upstream cardamom.Upstream) bool {
	if service, ok := p.loop.View().Catalog().Service(upstream.Service); ok && service.Engine != nil {
		return p.engines.Answers(ctx, upstream)
	}
	return p.pool.Probe(ctx, upstream.Address) == conns.Listening
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
