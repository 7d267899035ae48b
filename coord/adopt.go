package coord

import (
	"time"

	"cardamomcourse.example/cardamom/revs"
	"cardamomcourse.example/cardamom/syncpb"
)

// stateGrace is how long after its start an instance waits for the platform before it asks
// other instances for what it lacks.
const stateGrace = 250 * time.Millisecond

// needsState reports whether this instance has no catalog or no upstreams since it started,
// so that it can serve nobody, though the platform has had time to answer.
func (l *Loop) needsState(now time.Time) bool {
	lacks := l.state.catalog == nil || l.state.upstreamsConfirmed.IsZero()
	return lacks && now.Sub(l.noCoordinatorSince) >= stateGrace
}

// addState adds the catalog and the upstreams that this instance knows to a reply.
func (l *Loop) addState(reply *syncpb.ExchangeReply, now time.Time) {
	if l.state.catalog == nil || l.state.upstreamsConfirmed.IsZero() {
		return
	}
	reply.Catalog, reply.Document = l.state.catalog.Version(), l.packedDocument()
	reply.CatalogAgeMs, reply.UpstreamsAgeMs = ageMS(l.state.catalogConfirmed, now), ageMS(l.state.upstreamsConfirmed, now)
	for _, upstream := range l.state.upstreams {
		reply.Upstreams = append(reply.Upstreams, encodeUpstream(upstream))
	}
	reply.Members = encodeMembers(l.state.members)
	reply.History = encodeHistory(l.state.history.Account(now), now)
}

// adoptState takes over what an instance that doesn't coordinate knows, as far as this one
// knows nothing. What the platform or a coordinator says later replaces it.
func (l *Loop) adoptState(reply *syncpb.ExchangeReply, began time.Time) {
	if !l.needsState(began) || len(reply.GetDocument()) == 0 {
		return
	}
	if l.state.catalog == nil && l.applyDocument(reply, "member") {
		l.state.catalogConfirmed = before(reply.GetCatalogAgeMs(), began)
	}
	if !l.state.upstreamsConfirmed.IsZero() {
		return
	}
	for _, wire := range reply.GetUpstreams() {
		upstream := decodeUpstream(wire)
		if believed, _ := l.state.restored.believe(upstream, began); believed {
			l.setUpstream(upstream, "member")
		}
	}
	l.mergeHistory(reply.GetHistory(), began)
	l.state.upstreamsConfirmed = before(reply.GetUpstreamsAgeMs(), began)
	l.confirmVersions(l.state.upstreamsConfirmed)
	if len(l.state.members) == 0 {
		for _, wire := range reply.GetMembers() {
			l.state.members = append(l.state.members, decodeMember(wire))
		}
	}
	l.viewChanged = true
}

// packedDocument returns the compressed document of the catalog, nil if it can't be
// compressed.
func (l *Loop) packedDocument() []byte {
	if l.state.packed == nil {
		packed, err := revs.Compress(l.state.document)
		if err != nil {
			l.logger.Warn("document_not_sent", "version", l.state.catalog.Version(), "reason", err)
		}
		l.state.packed = packed
	}
	return l.state.packed
}

// applyDocument applies the document of a reply, if it has one, and reports whether this
// instance has its catalog.
func (l *Loop) applyDocument(reply *syncpb.ExchangeReply, origin string) bool {
	packed := reply.GetDocument()
	if len(packed) == 0 {
		return false
	}
	l.needDocument = false
	document, err := revs.Decompress(packed)
	if err != nil {
		l.logger.Warn("catalog_ignored", "origin", origin, "reason", err)
		return false
	}
	catalog, err := l.options.Decode(document)
	if err != nil {
		l.logger.Warn("catalog_ignored", "origin", origin, "reason", err)
		return false
	}
	l.catalogBehind = false
	l.setCatalog(document, catalog, origin)
	return true
}
