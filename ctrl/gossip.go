package ctrl

import (
	"context"
	"time"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/hold"
	"cardamomcourse.example/cardamom/peerpb"
	"cardamomcourse.example/cardamom/poison"
	"cardamomcourse.example/cardamom/revs"
)

// maxDigestSuspects is the greatest number of suspected requests in one digest.
const maxDigestSuspects = 16

// digestReceived is a digest from another instance. The reply channel is nil if
// the digest is itself a reply.
type digestReceived struct {
	digest *peerpb.Digest
	reply  chan *peerpb.Digest
}

// exchange starts a digest exchange with each of the current targets.
func (l *Loop) exchange(now time.Time) {
	for _, target := range l.peers.Targets() {
		l.exchangeWith(target.Instance().PeerAddress, now)
	}
}

func (l *Loop) exchangeWith(address string, now time.Time) {
	if address == "" {
		return
	}
	client := l.options.Dialer.Dial(address)
	digest := l.composeDigest(now)
	l.start(func(ctx context.Context) event {
		limited, cancel := context.WithTimeout(ctx, l.options.Settings.SuspectTimeout()/2)
		defer cancel()
		reply, err := client.Exchange(limited, digest)
		if err != nil {
			return nil
		}
		return digestReceived{digest: reply}
	})
}

// sendToParties exchanges digests with the holder and the witness of a row just
// written, so that they learn of it even if they can't reach the table.
func (l *Loop) sendToParties(row hold.Row, now time.Time) {
	for _, party := range []hold.Party{row.Holder(), row.Witness()} {
		if !party.None() && party != l.peers.Party() {
			l.exchangeWith(l.peerAddress(party.ID()), now)
		}
	}
}

func (l *Loop) composeDigest(now time.Time) *peerpb.Digest {
	digest := l.peers.Compose(l.options.Settings.DigestBytes())
	for i, suspect := range l.options.Ledger.Suspects(now) {
		if i >= maxDigestSuspects {
			break
		}
		digest.Suspects = append(digest.Suspects, encodeSuspect(suspect))
	}
	return digest
}

// Exchange merges a digest of another instance and returns this instance's
// digest.
func (l *Loop) Exchange(ctx context.Context, digest *peerpb.Digest) (*peerpb.Digest, error) {
	reply := make(chan *peerpb.Digest, 1)
	if err := l.post(ctx, digestReceived{digest: digest, reply: reply}); err != nil {
		return nil, err
	}
	return await(ctx, l, reply)
}

func (e digestReceived) apply(l *Loop, now time.Time) {
	for _, resource := range l.peers.Merge(e.digest, now) {
		l.syncRole(resource, now)
	}
	l.options.Ledger.Merge(suspectsFromWire(e.digest), now)
	if l.offered != nil && cardamom.Revision(e.digest.GetRevision()) >= l.offered.Revision() {
		l.activateOffered(now)
	}
	l.fetchDocument(e.digest)
	l.dirty = true
	if e.reply != nil {
		e.reply <- l.composeDigest(now)
	}
}

func encodeSuspect(suspect poison.Suspect) *peerpb.Suspect {
	wire := &peerpb.Suspect{
		Fingerprint: uint64(suspect.Fingerprint()), Upstreams: suspect.Deaths(), ExpiresMs: suspect.Expires().UnixMilli(),
		Survived: suspect.Outlived(), Proven: suspect.Proven(),
	}
	if trials, tried := suspect.Trials(); len(trials) > 0 {
		wire.Trials, wire.TriedMs = trials, tried.UnixMilli()
	}
	return wire
}

func suspectsFromWire(digest *peerpb.Digest) []poison.Suspect {
	list := make([]poison.Suspect, 0, len(digest.GetSuspects()))
	for _, wire := range digest.GetSuspects() {
		suspect := poison.NewSuspect(poison.Fingerprint(wire.GetFingerprint()), wire.GetUpstreams(), time.UnixMilli(wire.GetExpiresMs()))
		list = append(list, suspect.Outliving(wire.GetSurvived(), wire.GetProven()).Tried(wire.GetTrials(), time.UnixMilli(wire.GetTriedMs())))
	}
	return list
}

// fetchDocument fetches the profile document from the digest's sender if its
// revision is newer.
func (l *Loop) fetchDocument(digest *peerpb.Digest) {
	revision := cardamom.Revision(digest.GetRevision())
	if revision <= l.newestRevision() || revision <= l.fetchingRevision {
		return
	}
	address := l.peerAddress(cardamom.InstanceID(digest.GetFrom()))
	if address == "" {
		return
	}
	l.fetchingRevision = revision
	client := l.options.Dialer.Dial(address)
	have := uint64(l.newestRevision())
	l.start(func(ctx context.Context) event {
		limited, cancel := context.WithTimeout(ctx, l.options.Settings.TableTimeout())
		defer cancel()
		reply, err := client.Fetch(limited, &peerpb.FetchRequest{Have: have})
		if err != nil || reply.GetRevision() <= have {
			return documentRead{attempted: revision}
		}
		document, err := revs.Decompress(reply.GetDocument())
		if err != nil {
			l.options.Logger.Error("profile_unreadable", "revision", reply.GetRevision(), "error", err)
			return documentRead{attempted: revision}
		}
		l.offerDocument(ctx, revs.Revision{
			Number: cardamom.Revision(reply.GetRevision()), Document: document, EditID: reply.GetEdit(), Editor: reply.GetEditor(),
		}, true)
		return documentRead{attempted: revision}
	})
}

func (l *Loop) peerAddress(id cardamom.InstanceID) string {
	for _, member := range l.peers.Members() {
		if member.Instance().ID == id {
			return member.Instance().PeerAddress
		}
	}
	return ""
}

// recordReceived is a record that a holder stores with this instance as its
// witness.
type recordReceived struct {
	record hold.Record
	reply  chan bool
	fence  chan cardamom.Fence
}

// Record stores a holder's record and reports whether it was accepted. It also
// returns the greatest fencing token seen for the resource.
func (l *Loop) Record(ctx context.Context, record hold.Record) (bool, cardamom.Fence, error) {
	e := recordReceived{record: record, reply: make(chan bool, 1), fence: make(chan cardamom.Fence, 1)}
	if err := l.post(ctx, e); err != nil {
		return false, 0, err
	}
	accepted, err := await(ctx, l, e.reply)
	if err != nil {
		return false, 0, err
	}
	return accepted, <-e.fence, nil
}

func (e recordReceived) apply(l *Loop, _ time.Time) {
	_, holdsCell := l.cells[e.record.Resource]
	_, holdsShard := l.shards[e.record.Resource]
	accepted := !holdsCell && !holdsShard && l.witness.Apply(e.record)
	e.reply <- accepted
	e.fence <- l.witness.Fence(e.record.Resource)
}

// await waits for the loop's reply.
func await[T any](ctx context.Context, l *Loop, reply <-chan T) (T, error) {
	var none T
	select {
	case answer := <-reply:
		return answer, nil
	case <-ctx.Done():
		return none, ctx.Err()
	case <-l.stopped:
		return none, ErrStopped
	}
}
