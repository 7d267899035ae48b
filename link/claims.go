package link

import (
	"context"
	"time"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/claim"
	"cardamomcourse.example/cardamom/hold"
	"cardamomcourse.example/cardamom/peerpb"
	"cardamomcourse.example/cardamom/route"
	"cardamomcourse.example/cardamom/sleep"
)

const (
	// claimTimeout bounds one call to a claim's owner.
	claimTimeout = 1500 * time.Millisecond
	// claimAttempts is the greatest number of calls to a claim's owner for one grant.
	claimAttempts = 4
	// claimRetryPause is the pause between two attempts.
	claimRetryPause = 150 * time.Millisecond
)

// ClaimClient calls the owners of idempotency keys: the instances that hold the
// shards of the claims, which may be this instance itself.
type ClaimClient struct {
	registry *claim.Registry
	views    *route.ViewStore
	dialer   *Dialer
	shards   int
}

// NewClaimClient returns a client of all claim shards.
func NewClaimClient(registry *claim.Registry, views *route.ViewStore, dialer *Dialer, shards int) *ClaimClient {
	return &ClaimClient{registry: registry, views: views, dialer: dialer, shards: shards}
}

// Ask asks the key's owner for a grant. While the owner changes or can't be
// reached it tries again with the same grant ID, within the context's deadline.
func (c *ClaimClient) Ask(ctx context.Context, ask claim.GrantRequest) claim.Answer {
	resource := claim.Resource(ask.Key, c.shards)
	for attempt := range claimAttempts {
		if answer := c.askOnce(ctx, resource, ask); answer.Verdict != claim.Unavailable {
			return answer
		}
		if attempt+1 < claimAttempts && !sleep.For(ctx, claimRetryPause) {
			break
		}
	}
	return claim.Answer{Verdict: claim.Unavailable}
}

func (c *ClaimClient) askOnce(ctx context.Context, resource hold.Resource, ask claim.GrantRequest) claim.Answer {
	limited, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	if owner, ok := c.registry.Get(resource); ok {
		return owner.Ask(limited, ask)
	}
	client, ok := c.dialOwner(resource)
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

// Settle sends the request's outcome to the key's owner and reports whether it
// was recorded. Otherwise the key may stay granted, and a resend with the key then
// gets the verdict claim.Running.
func (c *ClaimClient) Settle(ctx context.Context, settle claim.Settlement) bool {
	resource := claim.Resource(settle.Key, c.shards)
	for range claimAttempts {
		if c.settleOnce(ctx, resource, settle) {
			return true
		}
		if !sleep.For(ctx, claimRetryPause) {
			return false
		}
	}
	return false
}

func (c *ClaimClient) settleOnce(ctx context.Context, resource hold.Resource, settle claim.Settlement) bool {
	limited, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	if owner, ok := c.registry.Get(resource); ok {
		return owner.Settle(limited, settle)
	}
	client, ok := c.dialOwner(resource)
	if !ok {
		return false
	}
	reply, err := client.Settle(limited, &peerpb.SettleRequest{
		Key: settle.Key, Runner: settle.Grant, Outcome: uint32(settle.Outcome),
		Status: uint32(settle.Result.Status), ContentType: settle.Result.ContentType, Result: settle.Result.Body,
	})
	return err == nil && reply.GetDone()
}

func (c *ClaimClient) dialOwner(resource hold.Resource) (peerpb.Peer, bool) {
	view := c.views.Load()
	var holder cardamom.InstanceID
	for _, row := range view.ClaimHolds {
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
