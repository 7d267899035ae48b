package coord

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/site"
	"cardamomcourse.example/cardamom/syncpb"
)

// A member that has no change of the coordinator's term to start from has most of the list all
// the same, from the coordinator before or from the platform. It sends a digest of each section
// of its list, and the coordinator answers with the sections that differ, a bounded number of
// upstreams at a time. With 3,000 upstreams a whole list is 0.2 MB, and 300 members that ask for
// it at once are more than a coordinator's link carries within the timeout of an exchange: none
// gets it, and all ask again.
const (
	// listSections is the number of sections, each with a few upstreams of the largest
	// deployments. It is part of the protocol between instances.
	listSections = 512
	// maxListEntries bounds the upstreams of a reply but for its last section: 30 KB.
	maxListEntries = 512
	// listBurst is the time for which unused entries of the list rate can be saved.
	listBurst = 250 * time.Millisecond
)

// listDigest is the digests of the sections of a list.
type listDigest [listSections]uint64

// section returns the section of an upstream.
func section(id cardamom.UpstreamID) int { return int(xxhash.Sum64String(string(id)) % listSections) }

// digest returns a hash of the fields of an upstream that matter for requests.
func digest(upstream *site.Upstream) uint64 {
	h := xxhash.New()
	write := func(text string) {
		_, _ = h.WriteString(text)
		_, _ = h.Write([]byte{0})
	}
	write(string(upstream.ID))
	write(string(upstream.Service))
	write(upstream.Address)
	write(upstream.Version)
	write(strconv.FormatInt(upstream.StartedMs, 10))
	write(strconv.FormatBool(upstream.State == cardamom.Leaving))
	models := make([]string, 0, len(upstream.Loaded))
	for model := range upstream.Loaded {
		models = append(models, string(model))
	}
	slices.Sort(models)
	for _, model := range models {
		write(model)
		adapters := slices.Sorted(slices.Values(upstream.Loaded[cardamom.ModelID(model)]))
		write(strconv.Itoa(len(adapters)))
		for _, adapter := range adapters {
			write(adapter)
		}
	}
	return h.Sum64()
}

// digestList returns the digests of a list.
func digestList(upstreams map[cardamom.UpstreamID]*site.Upstream) *listDigest {
	d := &listDigest{}
	for id, upstream := range upstreams {
		d[section(id)] += digest(upstream)
	}
	return d
}

// listComparison is how far a member has compared its list with the coordinator's.
type listComparison struct {
	// term and change are those of the coordinator at the first section.
	term   uint64
	change uint64
	// next is the first section that was not compared.
	next uint32
}

// forgetList makes the next exchange compare the whole list. The reply to one that is under way
// doesn't change that.
func (l *Loop) forgetList() {
	l.position.term, l.position.change, l.position.comparison = 0, 0, listComparison{}
	l.listGeneration++
}

// list is what a coordinator keeps to compare its list with those of members.
type list struct {
	digest *listDigest
	// sizes are the numbers of upstreams in the sections.
	sizes [listSections]int
	// change is the change at which they were made.
	change uint64
	// entries is how many upstreams may be sent, as of a time.
	entries float64
	at      time.Time
}

// refresh brings the digests of the published upstreams up to date.
func (l *list) refresh(t *term) {
	if l.digest != nil && l.change == t.change {
		return
	}
	l.digest, l.sizes, l.change = &listDigest{}, [listSections]int{}, t.change
	for _, p := range t.published {
		l.digest[p.section] += p.digest
		l.sizes[p.section]++
	}
}

// allow returns how many upstreams may be sent in a reply. rate is the number for each second,
// 0 for any.
func (l *list) allow(rate float64, now time.Time) int {
	if rate <= 0 {
		return maxListEntries
	}
	most := rate * listBurst.Seconds()
	if l.at.IsZero() {
		l.entries = most
	} else {
		l.entries = min(most, l.entries+rate*max(now.Sub(l.at), 0).Seconds())
	}
	l.at = now
	return max(min(int(l.entries), maxListEntries), 0)
}

// compareList adds the sections of the list to a reply that differ from the member's, as far as
// they fit.
func (t *term) compareList(reply *syncpb.ExchangeReply, digests []uint64, from uint32, now time.Time) {
	t.list.refresh(t)
	left := t.list.allow(t.loop.options.ListRate, now)
	wanted := make(map[int]bool)
	next := min(int(from), listSections)
	for ; next < listSections; next++ {
		if t.list.digest[next] == digests[next] {
			continue
		}
		if left <= 0 && t.list.sizes[next] > 0 {
			break
		}
		left -= t.list.sizes[next]
		t.list.entries -= float64(t.list.sizes[next])
		wanted[next] = true
		reply.Sections = append(reply.Sections, uint32(next))
	}
	reply.Compared, reply.NextSection = true, uint32(next)
	for _, p := range t.published {
		if wanted[p.section] {
			reply.Upstreams = append(reply.Upstreams, encodeUpstream(p.upstream))
		}
	}
}

// changedList adds what a member lacks of the coordinator's list to a reply.
func (t *term) changedList(reply *syncpb.ExchangeReply, request *syncpb.ExchangeRequest, now time.Time) {
	after := request.GetChange()
	known := request.GetTenure() == t.number && after >= t.lastDiscarded
	switch {
	case len(request.GetDigests()) == listSections:
		t.compareList(reply, request.GetDigests(), request.GetFromSection(), now)
		return
	case !known && request.GetCompares():
		reply.Compare = true
		return
	case !known:
		after, reply.Full = 0, true
	}
	for _, p := range t.published {
		if p.change > after {
			reply.Upstreams = append(reply.Upstreams, encodeUpstream(p.upstream))
		}
	}
	if len(reply.Upstreams) > maxListEntries && request.GetCompares() {
		reply.Upstreams, reply.Compare = nil, true
		return
	}
	if !reply.Full {
		for _, removed := range t.removed {
			// One that is listed again is among the changes.
			if _, listed := t.published[removed.id]; !listed && removed.change > after {
				reply.Gone = append(reply.Gone, string(removed.id))
			}
		}
	}
}

// describeList adds to a request what the coordinator needs to tell what this instance lacks.
func (l *Loop) describeList(request *syncpb.ExchangeRequest) {
	request.Tenure, request.Change, request.Compares = l.position.term, l.position.change, true
	l.askedGeneration = l.listGeneration
	switch {
	case l.term != nil:
		// The coordinator has its own list.
		request.Tenure, request.Change = l.term.number, l.term.change
	case l.position.term == 0:
		request.Digests, request.FromSection = digestList(l.state.upstreams)[:], l.position.comparison.next
		if l.position.comparison.next == 0 {
			// The version of the list of members may be that of another term.
			request.Members = 0
		}
	}
}

// advance records how much of the coordinator's list this instance has with a reply, and reports
// whether that is all of it.
func (l *Loop) advance(reply *syncpb.ExchangeReply) bool {
	p := &l.position
	before := p.comparison
	p.term, p.change, p.comparison = 0, 0, listComparison{}
	switch {
	case l.askedGeneration != l.listGeneration:
		return false
	case reply.GetCompare():
		l.reportSoon = true
		return false
	case !reply.GetCompared():
		p.term, p.change = reply.GetTenure(), reply.GetChange()
		return true
	case before.next == 0:
		before.term, before.change = reply.GetTenure(), reply.GetChange()
	case before.term != reply.GetTenure():
		// The first sections were compared with those of another coordinator.
		p.members, l.reportSoon = 0, true
		return false
	}
	if reply.GetNextSection() < listSections {
		l.reportSoon = l.reportSoon || reply.GetNextSection() > before.next
		before.next = reply.GetNextSection()
		p.comparison = before
		return false
	}
	// What has changed since the first section was compared comes with the next exchange.
	p.term, p.change = before.term, before.change
	whole := p.change == reply.GetChange()
	l.reportSoon = l.reportSoon || !whole
	return whole
}

// removeMissing removes the upstreams of the sections of a reply that it doesn't have.
func (l *Loop) removeMissing(reply *syncpb.ExchangeReply, present map[cardamom.UpstreamID]bool) {
	if reply.GetUnlisted() || !reply.GetFull() && len(reply.GetSections()) == 0 {
		return
	}
	sections := make(map[int]bool, len(reply.GetSections()))
	for _, n := range reply.GetSections() {
		sections[int(n)] = true
	}
	for id := range l.state.upstreams {
		if !present[id] && (reply.GetFull() || sections[section(id)]) {
			l.removeUpstream(id, "coordinator")
		}
	}
}
