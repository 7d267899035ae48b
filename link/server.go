package link

import (
	"context"
	"net/http"

	"github.com/twitchtv/twirp"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/claim"
	"cardamomcourse.example/cardamom/ctrl"
	"cardamomcourse.example/cardamom/hold"
	"cardamomcourse.example/cardamom/peerpb"
	"cardamomcourse.example/cardamom/revs"
	"cardamomcourse.example/cardamom/route"
)

// maxMessageBytes is the greatest size of a message between instances.
const maxMessageBytes = 16 << 20

// Server handles the calls of other instances.
type Server struct {
	loop   *ctrl.Loop
	claims *claim.Registry
	views  *route.ViewStore
	shards int
}

var _ peerpb.Peer = (*Server)(nil)

// NewServer returns a server that passes calls to an instance's control loop and claims.
func NewServer(loop *ctrl.Loop, claims *claim.Registry, views *route.ViewStore, shards int) *Server {
	return &Server{loop: loop, claims: claims, views: views, shards: shards}
}

// Handler returns the HTTP handler of a server.
func Handler(server *Server) http.Handler {
	twirpServer := peerpb.NewPeerServer(server)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, maxMessageBytes)
		twirpServer.ServeHTTP(w, r)
	})
}

// Exchange implements peerpb.Peer.
func (s *Server) Exchange(ctx context.Context, digest *peerpb.Digest) (*peerpb.Digest, error) {
	return asTwirpError(s.loop.Exchange(ctx, digest))
}

// Watch implements peerpb.Peer.
func (s *Server) Watch(ctx context.Context, request *peerpb.WatchRequest) (*peerpb.WatchReply, error) {
	return asTwirpError(s.loop.Watch(ctx, request))
}

// Record implements peerpb.Peer.
func (s *Server) Record(ctx context.Context, request *peerpb.RecordRequest) (*peerpb.RecordReply, error) {
	record := hold.Record{
		Resource: hold.Resource(request.GetResource()), Fence: cardamom.Fence(request.GetFence()), Reset: request.GetReset_(),
	}
	for _, entry := range request.GetEntries() {
		record.Entries = append(record.Entries, hold.Entry{ID: entry.GetId(), Body: entry.GetBody(), Removed: entry.GetDropped()})
	}
	accepted, fence, err := s.loop.Record(ctx, record)
	return asTwirpError(&peerpb.RecordReply{Refused: !accepted, Fence: uint64(fence)}, err)
}

// Claim implements peerpb.Peer.
func (s *Server) Claim(ctx context.Context, request *peerpb.ClaimRequest) (*peerpb.ClaimReply, error) {
	owner, ok := s.claims.Get(claim.Resource(request.GetKey(), s.shards))
	if !ok {
		return &peerpb.ClaimReply{Verdict: uint32(claim.Unavailable)}, nil
	}
	answer := owner.Ask(ctx, claim.GrantRequest{
		Key: request.GetKey(), Fingerprint: request.GetFingerprint(), Issue: request.GetIssue(), Grant: request.GetRunner(),
	})
	return &peerpb.ClaimReply{
		Verdict: uint32(answer.Verdict), Status: uint32(answer.Result.Status),
		ContentType: answer.Result.ContentType, Result: answer.Result.Body,
	}, nil
}

// Settle implements peerpb.Peer.
func (s *Server) Settle(ctx context.Context, request *peerpb.SettleRequest) (*peerpb.SettleReply, error) {
	owner, ok := s.claims.Get(claim.Resource(request.GetKey(), s.shards))
	if !ok {
		return &peerpb.SettleReply{}, nil
	}
	done := owner.Settle(ctx, claim.Settlement{
		Key: request.GetKey(), Grant: request.GetRunner(), Outcome: cardamom.Outcome(request.GetOutcome()),
		Result: claim.Result{Status: int(request.GetStatus()), ContentType: request.GetContentType(), Body: request.GetResult()},
	})
	return &peerpb.SettleReply{Done: done}, nil
}

// Fetch implements peerpb.Peer.
func (s *Server) Fetch(_ context.Context, request *peerpb.FetchRequest) (*peerpb.FetchReply, error) {
	published := s.views.Load().Newest()
	if published == nil || uint64(published.Revision()) <= request.GetHave() {
		return &peerpb.FetchReply{}, nil
	}
	packed, err := revs.Compress(published.Body())
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return &peerpb.FetchReply{
		Revision: uint64(published.Revision()), Document: packed,
		Edit: published.Edit(), Editor: published.Editor(),
	}, nil
}

// asTwirpError wraps an error of the control loop as a Twirp error.
func asTwirpError[T any](reply *T, err error) (*T, error) {
	if err != nil {
		return nil, twirp.WrapError(twirp.NewError(twirp.Unavailable, "instance is stopping"), err)
	}
	return reply, nil
}
