package coord

import (
	"maps"
	"math"
	"slices"
	"time"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/site"
	"cardamomcourse.example/cardamom/table"
)

// returnTime is how long after the store has returned from an older copy a registration
// that the copy lacks may take to be written again. The platform says about two seconds;
// one that is still missing then belongs to an upstream that is gone.
const returnTime = 2500 * time.Millisecond

// restoration is what an instance keeps of the registrations for the time when the store
// returns from an older copy: the copy has upstreams that have left since and lacks others
// that run.
type restoration struct {
	// incarnation is that of the store from which registrations were last read, by this
	// instance or by the coordinator.
	incarnation uint64
	known       bool
	// count is how often the store was restored since the instance started.
	count int
	// read are the registrations that this instance has read itself.
	read map[cardamom.UpstreamID]registration
	// gone are the upstreams that were removed recently, each as it was last registered.
	gone map[cardamom.UpstreamID]registration
	// before is what was known of each upstream when the store was restored.
	before map[cardamom.UpstreamID]registration
	// missing are the upstreams that were listed before and are not listed again yet,
	// each with the time from which it counts as gone.
	missing map[cardamom.UpstreamID]time.Time
	// doubted are the listed registrations that are older than what was known before.
	doubted map[cardamom.UpstreamID]*site.Upstream
}

// registration is how far an upstream was known.
type registration struct {
	startedMs int64
	seq       int64
	// removed means that the upstream was no longer listed.
	removed bool
	// until is when the registration is forgotten, zero if it isn't.
	until time.Time
}

// newRestoration returns the state of an instance that has read no registrations yet.
func newRestoration() *restoration {
	return &restoration{
		read: make(map[cardamom.UpstreamID]registration), gone: make(map[cardamom.UpstreamID]registration), before: make(map[cardamom.UpstreamID]registration),
		missing: make(map[cardamom.UpstreamID]time.Time), doubted: make(map[cardamom.UpstreamID]*site.Upstream),
	}
}

// recordRemoval records that an upstream is no longer listed. read means that this
// instance read so itself; what it heard from another does not say which registration of
// the run was the last.
func (r *restoration) recordRemoval(upstream *site.Upstream, read bool, at time.Time) {
	forget(r.gone, at)
	last := registration{startedMs: upstream.StartedMs, seq: math.MaxInt64, removed: true, until: at.Add(removalRetention)}
	if known, ok := r.read[upstream.ID]; ok && read && known.startedMs == upstream.StartedMs {
		last.seq = known.seq
	}
	delete(r.read, upstream.ID)
	r.gone[upstream.ID] = last
}

// enter records that registrations come from an incarnation of the store, and reports
// whether the store was restored since the last.
func (r *restoration) enter(incarnation uint64, listed map[cardamom.UpstreamID]*site.Upstream, now time.Time) bool {
	restored := r.known && table.Judge(r.incarnation, incarnation) == table.Restored
	if restored {
		r.begin(listed, now)
	}
	if restored || !r.known {
		r.incarnation, r.known = incarnation, true
	}
	return restored
}

// begin records what was known when the store returned from a copy.
func (r *restoration) begin(listed map[cardamom.UpstreamID]*site.Upstream, now time.Time) {
	r.count++
	forget(r.gone, now)
	forget(r.before, now)
	clear(r.doubted)
	maps.Copy(r.before, r.gone)
	for id, upstream := range listed {
		r.missing[id] = now.Add(returnTime)
		r.before[id] = registration{startedMs: upstream.StartedMs, until: now.Add(removalRetention)}
	}
}

// forget deletes the registrations whose time is over.
func forget(list map[cardamom.UpstreamID]registration, now time.Time) {
	maps.DeleteFunc(list, func(_ cardamom.UpstreamID, known registration) bool { return now.After(known.until) })
}

// isStale reports whether a registration is from before what was known when the store was
// restored: of an earlier run, or of a run that was removed and has not registered since.
func (r *restoration) isStale(upstream *site.Upstream, now time.Time) bool {
	known, ok := r.before[upstream.ID]
	switch {
	case !ok || now.After(known.until) || upstream.StartedMs > known.startedMs:
		return false
	case upstream.StartedMs < known.startedMs:
		return true
	default:
		return known.removed && upstream.RegistrationSeq <= known.seq
	}
}

// believe reports whether an upstream that the coordinator lists is not older than what
// was known here, and until when that is so. The coordinator may know less: it may have
// started after the store was restored.
func (r *restoration) believe(upstream *site.Upstream, now time.Time) (bool, time.Time) {
	if !r.isStale(upstream, now) {
		return true, time.Time{}
	}
	return false, r.before[upstream.ID].until
}

// filter returns the part of a listing that can be believed, given what was listed until
// now. It holds back stale registrations, and keeps upstreams that are missing until
// their time to register again is over. It reports whether the store was restored since
// the last listing.
func (r *restoration) filter(listing site.UpstreamUpdate, listed map[cardamom.UpstreamID]*site.Upstream, now time.Time) (site.UpstreamUpdate, bool) {
	restored := r.enter(listing.Incarnation, listed, now)
	out := site.UpstreamUpdate{Removed: slices.Clone(listing.Removed), Incarnation: listing.Incarnation}
	for _, id := range listing.Removed {
		delete(r.missing, id)
		delete(r.doubted, id)
	}
	present := make(map[cardamom.UpstreamID]bool, len(listing.Present))
	for _, upstream := range listing.Present {
		present[upstream.ID] = true
		r.read[upstream.ID] = registration{startedMs: upstream.StartedMs, seq: upstream.RegistrationSeq}
	}
	if listing.Full {
		out.Removed = append(out.Removed, r.absent(present, listed)...)
	}
	believed := slices.Clone(listing.Present)
	for _, id := range slices.Sorted(maps.Keys(r.doubted)) {
		if !present[id] {
			believed = append(believed, r.doubted[id])
		}
	}
	clear(r.doubted)
	for _, upstream := range believed {
		if r.isStale(upstream, now) {
			r.doubted[upstream.ID] = upstream
			continue
		}
		delete(r.missing, upstream.ID)
		out.Present = append(out.Present, upstream)
	}
	out.Removed = append(out.Removed, r.takeExpired(now)...)
	return out, restored
}

// absent returns the listed upstreams that a full listing lacks, without those that may
// still register again.
func (r *restoration) absent(present map[cardamom.UpstreamID]bool, listed map[cardamom.UpstreamID]*site.Upstream) []cardamom.UpstreamID {
	var absent []cardamom.UpstreamID
	for id := range listed {
		if _, awaited := r.missing[id]; !awaited && !present[id] {
			absent = append(absent, id)
		}
	}
	maps.DeleteFunc(r.read, func(id cardamom.UpstreamID, _ registration) bool { return !present[id] && listed[id] == nil })
	maps.DeleteFunc(r.doubted, func(id cardamom.UpstreamID, _ *site.Upstream) bool { return !present[id] })
	return absent
}

// takeExpired returns the upstreams whose time to register again is over.
func (r *restoration) takeExpired(now time.Time) []cardamom.UpstreamID {
	var expired []cardamom.UpstreamID
	for id, until := range r.missing {
		if !now.Before(until) {
			delete(r.missing, id)
			expired = append(expired, id)
		}
	}
	return expired
}
