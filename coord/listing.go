package coord

import (
	"slices"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/site"
)

// maxChangeLines is how many changes of upstreams that an instance learned at once it logs
// one by one. The coordinator logs all of them.
const maxChangeLines = 8

// upstreamChange is a change of an upstream that is not logged yet.
type upstreamChange struct {
	upstream *site.Upstream
	origin   string
}

// logChanges logs the changes of upstreams since the last call: one by one, or in one line
// where all instances learn the same list, as at their start.
func (l *Loop) logChanges() {
	changes := l.changes
	l.changes = nil
	if l.term == nil && len(changes) > maxChangeLines {
		leaving := 0
		var services []cardamom.ServiceID
		for _, c := range changes {
			if c.upstream.State == cardamom.Leaving {
				leaving++
			}
			if !slices.Contains(services, c.upstream.Service) {
				services = append(services, c.upstream.Service)
			}
		}
		slices.Sort(services)
		l.logger.Info("upstreams_changed", "count", len(changes), "count_leaving", leaving, "services", services, "origin", changes[len(changes)-1].origin)
		return
	}
	for _, c := range changes {
		l.logger.Info("upstream_changed", "upstream", c.upstream.ID, "service", c.upstream.Service, "address", c.upstream.Address,
			"leaving", c.upstream.State == cardamom.Leaving, "beat", c.upstream.RegistrationSeq, "origin", c.origin, "software", c.upstream.Version)
	}
}
