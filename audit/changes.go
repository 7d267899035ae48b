package audit

import (
	"fmt"
	"strings"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/site"
)

// compareVersions follows the other comparisons: the version in force may be checked
// against itself.
func (f *findings) compareVersions(before, after uint64) {
	if after < before || (after == before && len(*f) > 0) {
		f.add(Error, path{"version"}, "instances ignore version %d: version %d is in force", after, before)
	}
}

// routeKey identifies a route in two versions: by its name or, without one, by its place.
// Number tells routes of the same name apart.
type routeKey struct {
	name   string
	number int
}

// keyRoutes returns the key of each route.
func keyRoutes(routes []*site.Route) []routeKey {
	seen := make(map[string]int)
	keys := make([]routeKey, 0, len(routes))
	for _, route := range routes {
		name := route.Name
		if name == "" {
			name = place(route)
		}
		keys = append(keys, routeKey{name, seen[name]})
		seen[name]++
	}
	return keys
}

// place returns the host and prefix of a route.
func place(route *site.Route) string { return strings.ToLower(route.Host) + route.Prefix }

func (f *findings) compareRoutes(before, after *site.Catalog) {
	oldRoutes, newRoutes := before.Routes(), after.Routes()
	oldKeys := keyRoutes(oldRoutes)
	earlier := make(map[routeKey]*site.Route, len(oldRoutes))
	for i, key := range oldKeys {
		earlier[key] = oldRoutes[i]
	}
	for i, key := range keyRoutes(newRoutes) {
		route := newRoutes[i]
		at := path{routesKey}.at(i)
		old, ok := earlier[key]
		delete(earlier, key)
		if !ok {
			f.addedRoute(at, before, route)
			continue
		}
		f.compareRoute(at, after, old, route)
	}
	for _, key := range oldKeys {
		if route, removed := earlier[key]; removed {
			severity, text := nextRoute(after, route)
			f.add(severity, path{routesKey}, "route %q is removed: requests to %s %s", route.Name, place(route), text)
		}
	}
}

// nextRoute describes what a catalog does with the requests to the place of a route of
// another version.
func nextRoute(catalog *site.Catalog, route *site.Route) (Severity, string) {
	next, ok := catalog.Match(route.Host, route.Prefix)
	switch {
	case !ok:
		return Warning, "get 404"
	case place(next) == place(route) && sameShares(next.Shares, route.Shares) && next.Kind == route.Kind:
		return Info, fmt.Sprintf("go to the same services by route %q", next.Name)
	default:
		return Warning, fmt.Sprintf("go to route %q", next.Name)
	}
}

func (f *findings) addedRoute(at path, before *site.Catalog, route *site.Route) {
	taken, ok := before.Match(route.Host, route.Prefix)
	switch {
	case !ok:
		f.add(Info, at, "route %q is added at %s", route.Name, place(route))
	case place(taken) == place(route) && sameShares(taken.Shares, route.Shares):
		f.add(Info, at, "route %q is added at %s, the place of route %q", route.Name, place(route), taken.Name)
	default:
		f.add(Warning, at, "route %q is added at %s: its requests went to route %q", route.Name, place(route), taken.Name)
	}
}

func (f *findings) compareRoute(at path, after *site.Catalog, before, now *site.Route) {
	if place(before) != place(now) {
		severity, text := nextRoute(after, before)
		f.add(max(severity, Warning), at.at("pathPrefix"), "route %q moves from %s to %s: requests to the former %s", now.Name, place(before), place(now), text)
	}
	if before.Kind != now.Kind {
		f.add(Warning, at.at("kind"), "route %q changes from %s to %s, which decides whether its requests are sent again", now.Name, before.Kind, now.Kind)
	}
	f.compareShares(at, before, now)
	if before.Timeout != now.Timeout {
		severity := Info
		if now.Timeout > 0 && (before.Timeout <= 0 || now.Timeout < before.Timeout) {
			severity = Warning
		}
		f.add(severity, at.at("timeoutMs"), "the timeout of route %q changes from %s to %s", now.Name, limitText(before.Timeout > 0, inMilliseconds(before.Timeout)), limitText(now.Timeout > 0, inMilliseconds(now.Timeout)))
	}
	if before.TargetLatency != now.TargetLatency {
		f.add(Info, at.at("targetLatencyMs"), "the target latency of route %q changes from %s to %s", now.Name, inMilliseconds(before.TargetLatency), inMilliseconds(now.TargetLatency))
	}
	if before.TargetGap != now.TargetGap {
		f.add(Info, at.at("targetGapMs"), "the target gap of route %q changes from %s to %s", now.Name, inMilliseconds(before.TargetGap), inMilliseconds(now.TargetGap))
	}
	if before.Priority != now.Priority {
		severity := Info
		if now.Priority > before.Priority {
			severity = Warning
		}
		f.add(severity, at.at("priority"), "the priority of route %q changes from %d to %d; 0 is served first", now.Name, before.Priority, now.Priority)
	}
	if before.MaxAttempts != now.MaxAttempts {
		f.add(lowered(now.MaxAttempts < before.MaxAttempts), at.at("maxAttempts"), "the attempts of route %q change from %d to %d", now.Name, before.MaxAttempts, now.MaxAttempts)
	}
	if before.Resumable != now.Resumable {
		f.add(lowered(before.Resumable), at.at("resumable"), "resumable of route %q changes from %t to %t", now.Name, before.Resumable, now.Resumable)
	}
	switch {
	case before.Anonymous == now.Anonymous || !after.HasOrganisations():
	case now.Anonymous:
		f.add(Info, at.at("anonymous"), "requests to route %q need no key any more and run for no organisation", now.Name)
	default:
		f.add(Warning, at.at("anonymous"), "requests to route %q need a key: without one they get 401", now.Name)
	}
}

func (f *findings) compareShares(at path, before, now *site.Route) {
	if sameShares(before.Shares, now.Shares) {
		return
	}
	severity := Info
	kept := receivers(now.Shares)
	for service := range receivers(before.Shares) {
		if !kept[service] {
			severity = Warning
		}
	}
	f.add(severity, at.at("trafficSplit"), "the requests of route %q move from %s to %s", now.Name, shareText(before.Shares), shareText(now.Shares))
}

// receivers returns the services that get requests.
func receivers(shares []site.Share) map[cardamom.ServiceID]bool {
	services := make(map[cardamom.ServiceID]bool)
	for _, share := range shares {
		if share.Weight > 0 {
			services[share.Service] = true
		}
	}
	return services
}

// sameShares reports whether both give each service the same weight.
func sameShares(a, b []site.Share) bool { return shareText(a) == shareText(b) }

func shareText(shares []site.Share) string {
	texts := make([]string, 0, len(shares))
	for _, share := range shares {
		texts = append(texts, fmt.Sprintf("%q (%d)", share.Service, share.Weight))
	}
	return strings.Join(texts, ", ")
}

// lowered returns the severity of a change that a running client notices only if it
// lowers a value.
func lowered(isLower bool) Severity {
	if isLower {
		return Warning
	}
	return Info
}

// limitText returns the text of a limit, which may be unset.
func limitText(set bool, text string) string {
	if !set {
		return "none"
	}
	return text
}

func (f *findings) compareLimits(before, now site.Limits) {
	for _, limit := range []struct {
		key         string
		before, now float64
		unit        string
	}{
		{"maxHeaderBytes", float64(before.HeaderBytes), float64(now.HeaderBytes), "bytes"},
		{"maxBodyBytes", float64(before.BodyBytes), float64(now.BodyBytes), "bytes"},
		{"headerTimeoutMs", before.HeaderTimeout.Seconds() * 1000, now.HeaderTimeout.Seconds() * 1000, "ms"},
		{"idleTimeoutMs", before.IdleTimeout.Seconds() * 1000, now.IdleTimeout.Seconds() * 1000, "ms"},
	} {
		text := func(value float64) string {
			if value <= 0 {
				return "the default"
			}
			return number(value) + " " + limit.unit
		}
		if limit.before != limit.now {
			// A limit that is set where the default applied may be lower than the default.
			f.add(lowered(limit.now < limit.before || limit.before <= 0), path{limitsKey, limit.key}, "the limit %s changes from %s to %s", limit.key, text(limit.before), text(limit.now))
		}
	}
}
