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

// maxSuspectsSent bounds the suspects in one digest.
const maxSuspectsSent = 16

// digestMerged is a digest received as a request or a reply.
type digestMerged struct {
	digest *peerpb.Digest
	reply  chan *peerpb.Digest
}

// exchange sends digests to a few members.
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
	digest := l.compose(now)
	l.start(func(ctx context.Context) event {
		limited, cancel := context.WithTimeout(ctx, l.options.Settings.Suspect()/2)
		defer cancel()
		reply, err := client.Exchange(limited, digest)
		if err != nil {
			return nil
		}
		return digestMerged{digest: reply}
	})
}

// tell sends word of a row just written to those it names, who must not depend
// on the table to learn of it.
func (l *Loop) tell(row hold.Row, now time.Time) {
	for _, party := range []hold.Party{row.Holder(), row.Witness()} {
		if !party.None() && party != l.peers.Party() {
			l.exchangeWith(l.peerAddress(party.ID()), now)
		}
	}
}

func (l *Loop) compose(now time.Time) *peerpb.Digest {
	digest := l.peers.Compose(l.options.Settings.DigestBytes())
	for i, suspect := range l.options.Ledger.Suspects(now) {
		if i >= maxSuspectsSent {
			break
		}
		digest.Suspects = append(digest.Suspects, &peerpb.Suspect{
			Fingerprint: uint64(suspect.Fingerprint()), Upstreams: suspect.Deaths(),
			ExpiresMs: suspect.Expires().UnixMilli(),
		})
	}
	return digest
}

// Exchange merges a digest of another instance and returns this one's.
func (l *Loop) Exchange(ctx context.Context, digest *peerpb.Digest) (*peerpb.Digest, error) {
	reply := make(chan *peerpb.Digest, 1)
	if err := l.post(ctx, digestMerged{digest: digest, reply: reply}); err != nil {
		return nil, err
	}
	return await(ctx, l, reply)
}

func (e digestMerged) apply(l *Loop, now time.Time) {
	for _, resource := range l.peers.Merge(e.digest, now) {
		l.holdChanged(resource, now)
	}
	l.options.Ledger.Merge(suspects(e.digest), now)
	if l.offered != nil && cardamom.Revision(e.digest.GetRevision()) >= l.offered.Revision() {
		l.enforce(now)
	}
	l.fetch(e.digest)
	l.dirty = true
	if e.reply != nil {
		e.reply <- l.compose(now)
	}
}

func suspects(digest *peerpb.Digest) []poison.Suspect {
	list := make([]poison.Suspect, 0, len(digest.GetSuspects()))
	for _, wire := range digest.GetSuspects() {
		list = append(list, poison.NewSuspect(poison.Fingerprint(wire.GetFingerprint()), wire.GetUpstreams(), time.UnixMilli(wire.GetExpiresMs())))
	}
	return list
}

// fetch gets a newer profile document from the digest's sender.
func (l *Loop) fetch(digest *peerpb.Digest) {
	revision := cardamom.Revision(digest.GetRevision())
	if revision <= l.known() || revision <= l.fetching {
		return
	}
	address := l.peerAddress(cardamom.InstanceID(digest.GetFrom()))
	if address == "" {
		return
	}
	l.fetching = revision
	client := l.options.Dialer.Dial(address)
	have := uint64(l.known())
	l.start(func(ctx context.Context) event {
		limited, cancel := context.WithTimeout(ctx, l.options.Settings.TableTimeout())
		defer cancel()
		reply, err := client.Fetch(limited, &peerpb.FetchRequest{Have: have})
		if err != nil || reply.GetRevision() <= have {
			return documentRead{tried: revision}
		}
		document, err := revs.Expand(reply.GetDocument())
		if err != nil {
			l.options.Logger.Error("profile_unreadable", "revision", reply.GetRevision(), "error", err)
			return documentRead{tried: revision}
		}
		l.adopt(ctx, revs.Revision{
			Number: cardamom.Revision(reply.GetRevision()), Document: document, Edit: reply.GetEdit(), Editor: reply.GetEditor(),
		}, true)
		return documentRead{tried: revision}
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

// recorded is an entry to keep for a holder.
type recorded struct {
	record hold.Record
	reply  chan bool
	fence  chan cardamom.Fence
}

// Record keeps entries for a holder and tells whether they were accepted, with
// the greatest fence seen.
func (l *Loop) Record(ctx context.Context, record hold.Record) (bool, cardamom.Fence, error) {
	e := recorded{record: record, reply: make(chan bool, 1), fence: make(chan cardamom.Fence, 1)}
	if err := l.post(ctx, e); err != nil {
		return false, 0, err
	}
	accepted, err := await(ctx, l, e.reply)
	if err != nil {
		return false, 0, err
	}
	return accepted, <-e.fence, nil
}

func (e recorded) apply(l *Loop, _ time.Time) {
	_, holdsCell := l.cells[e.record.Resource]
	_, holdsShard := l.shards[e.record.Resource]
	accepted := !holdsCell && !holdsShard && l.witness.Apply(e.record)
	e.reply <- accepted
	e.fence <- l.witness.Fence(e.record.Resource)
}

// await returns the loop's answer.
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
