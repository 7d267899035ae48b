package link

import (
	"context"
	"time"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/claim"
	"cardamomcourse.example/cardamom/hold"
	"cardamomcourse.example/cardamom/pause"
	"cardamomcourse.example/cardamom/peerpb"
	"cardamomcourse.example/cardamom/route"
)

const (
	// claimTimeout is the greatest time of one call to a claim's owner.
	claimTimeout = 1500 * time.Millisecond
	// claimTries is how often a claim is asked for under one grant.
	claimTries = 4
	// claimPause is the pause between two tries.
	claimPause = 150 * time.Millisecond
)

// Claims asks the owners of keys, here or at other instances.
type Claims struct {
	registry *claim.Registry
	views    *route.Holder
	dialer   *Dialer
	shards   int
}

// NewClaims returns a client of all claim shards.
func NewClaims(registry *claim.Registry, views *route.Holder, dialer *Dialer, shards int) *Claims {
	return &Claims{registry: registry, views: views, dialer: dialer, shards: shards}
}

// Ask asks the key's owner for a grant. It repeats the ask under the same
// grant while the owner can't be reached or changes, within the deadline.
func (c *Claims) Ask(ctx context.Context, ask claim.Ask) claim.Answer {
	resource := claim.Resource(ask.Key, c.shards)
	for try := range claimTries {
		if answer := c.askOnce(ctx, resource, ask); answer.Verdict != claim.Unavailable {
			return answer
		}
		if try+1 < claimTries && !pause.For(ctx, claimPause) {
			break
		}
	}
	return claim.Answer{Verdict: claim.Unavailable}
}

func (c *Claims) askOnce(ctx context.Context, resource hold.Resource, ask claim.Ask) claim.Answer {
	limited, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	if owner, ok := c.registry.Get(resource); ok {
		return owner.Ask(limited, ask)
	}
	client, ok := c.owner(resource)
	if !ok {
		return claim.Answer{Verdict: claim.Unavailable}
	}
	reply, err := client.Claim(limited, &peerpb.ClaimRequest{
		Key: ask.Key, Fingerprint: ask.Fingerprint, Issue: ask.Issue, Runner: ask.Grant,
	})
	if err != nil {
		return claim.Answer{Verdict: claim.Unavailable}
	}
	return claim.Answer{
		Verdict: claim.Verdict(reply.GetVerdict()),
		Result:  claim.Result{Status: int(reply.GetStatus()), ContentType: reply.GetContentType(), Body: reply.GetResult()},
	}
}

// Settle tells the key's owner how the request ended. If the owner can't be
// told, the key stays granted: a resend then learns that it may have run.
func (c *Claims) Settle(ctx context.Context, settle claim.Settle) bool {
	resource := claim.Resource(settle.Key, c.shards)
	for range claimTries {
		if c.settleOnce(ctx, resource, settle) {
			return true
		}
		if !pause.For(ctx, claimPause) {
			return false
		}
	}
	return false
}

func (c *Claims) settleOnce(ctx context.Context, resource hold.Resource, settle claim.Settle) bool {
	limited, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	if owner, ok := c.registry.Get(resource); ok {
		return owner.Settle(limited, settle)
	}
	client, ok := c.owner(resource)
	if !ok {
		return false
	}
	reply, err := client.Settle(limited, &peerpb.SettleRequest{
		Key: settle.Key, Runner: settle.Grant, Outcome: uint32(settle.Outcome),
		Status: uint32(settle.Result.Status), ContentType: settle.Result.ContentType, Result: settle.Result.Body,
	})
	return err == nil && reply.GetDone()
}

func (c *Claims) owner(resource hold.Resource) (peerpb.Peer, bool) {
	view := c.views.Load()
	var holder cardamom.InstanceID
	for _, row := range view.Claims {
		if row.Resource() == resource {
			holder = row.Holder().ID()
		}
	}
	for _, member := range view.Active {
		if member.Instance().ID == holder {
			return c.dialer.Dial(member.Instance().PeerAddress), true
		}
	}
	return nil, false
}
