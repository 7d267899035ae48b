package coord

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"cardamomcourse.example/cardamom/clock"
	"cardamomcourse.example/cardamom/quota"
	"cardamomcourse.example/cardamom/site"
	"cardamomcourse.example/cardamom/syncpb"
)

// BenchmarkPermit is a call for a permit over loopback, both sides together.
func BenchmarkPermit(b *testing.B) {
	l := newLoop("a", site.OrderAccepted)
	l.becomeCoordinator()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		ticker := time.NewTicker(pendingTickInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				l.term.permits.Step(clock.Now())
			case event := <-l.events:
				event(clock.Now())
			case <-ctx.Done():
				return
			}
		}
	}()
	mux := http.NewServeMux()
	handler := syncpb.NewSyncServer(NewServer(l))
	mux.Handle(handler.PathPrefix(), handler)
	server := httptest.NewServer(mux)
	defer server.Close()
	client := syncpb.NewSyncProtobufClient(server.URL, newPeers().client)
	request := &syncpb.PermitRequest{Limit: encodeLimit(quota.Limit{Upstream: "x", StartedMs: 1, PerSecond: 1e6, Stated: clock.Now()}, clock.Now()), NeedMs: 1000, HoldMs: 1000}
	for b.Loop() {
		if reply, err := client.Permit(ctx, request); err != nil || !reply.GetCoordinates() {
			b.Fatal(err, reply)
		}
	}
}
