package audit

import (
	"strings"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/platform"
	"cardamomcourse.example/cardamom/site"
)

func (f *findings) checkRoutes(configuration *platform.Configuration) {
	type place struct{ host, prefix string }
	first := make(map[place]int)
	routes := configuration.Catalog().Routes()
	for i, route := range routes {
		at := path{routesKey}.at(i)
		key := place{strings.ToLower(route.Host), route.Prefix}
		if earlier, ok := first[key]; ok {
			f.add(Warning, at.at("pathPrefix"), "route %q never matches: route %q (routes.%d) has the same prefix %q of host %q", route.Name, routes[earlier].Name, earlier, route.Prefix, route.Host)
		} else {
			first[key] = i
		}
		if route.Prefix != "" && !strings.HasPrefix(route.Prefix, "/") {
			f.add(Warning, at.at("pathPrefix"), "route %q never matches: its prefix %q doesn't begin with a slash", route.Name, route.Prefix)
		}
		f.checkShares(configuration, i, route)
		if route.Timeout > 0 && route.Timeout < route.TargetLatency {
			f.add(Warning, at.at("timeoutMs"), "the timeout %s of route %q is below its target latency %s", inMilliseconds(route.Timeout), route.Name, inMilliseconds(route.TargetLatency))
		}
		if route.MaxAttempts > 1 && !route.Repeatable() {
			f.add(Warning, at.at("maxAttempts"), "%d attempts of route %q have no effect: its requests are %s and can't be repeated", route.MaxAttempts, route.Name, describeKind(route))
		}
	}
}

func (f *findings) checkShares(configuration *platform.Configuration, position int, route *site.Route) {
	split := configuration.HasSplit(position)
	total := 0
	for _, share := range route.Shares {
		total += max(share.Weight, 0)
	}
	if split && total == 0 {
		f.add(Warning, path{routesKey}.at(position, "trafficSplit"), "all weights of route %q are 0: all its requests go to the first service %q", route.Name, route.Shares[0].Service)
	}
	for i, share := range route.Shares {
		at := path{routesKey}.at(position, "service")
		if split {
			at = path{routesKey}.at(position, "trafficSplit", i, "service")
		}
		if _, ok := configuration.Catalog().Service(share.Service); !ok {
			f.add(Error, at, "route %q refers to the service %q, which doesn't exist", route.Name, share.Service)
		}
		if total > 0 && share.Weight <= 0 {
			f.add(Warning, path{routesKey}.at(position, "trafficSplit", i, "weight"), "service %q gets no requests of route %q: its weight is %d", share.Service, route.Name, share.Weight)
		}
	}
}

// usedServices returns the services that a route of the catalog refers to.
func usedServices(catalog *site.Catalog) map[cardamom.ServiceID]bool {
	used := make(map[cardamom.ServiceID]bool)
	for _, route := range catalog.Routes() {
		for _, share := range route.Shares {
			used[share.Service] = true
		}
	}
	return used
}

// describeKind returns the kind of the route's requests as text.
func describeKind(route *site.Route) string {
	if route.Kind != site.Streaming {
		return route.Kind.String()
	}
	if route.Resumable {
		return "resumable streaming"
	}
	return "streaming but not resumable"
}
