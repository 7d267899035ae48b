package coord

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/clock"
	"cardamomcourse.example/cardamom/retry"
	"cardamomcourse.example/cardamom/syncpb"
)

const (
	// lendersAsked is how many instances are asked for credit at a time.
	lendersAsked = 3
	// lendRounds is how often, for one retry.
	lendRounds = 2
	// lendTimeout bounds a round; one takes a few milliseconds. What is lent may be on its
	// way for as long, which the retry budget allows for.
	lendTimeout = 150 * time.Millisecond
)

// Lender gives other instances credit of the retry budget.
type Lender interface {
	Lend(service cardamom.ServiceID, most float64, now time.Time) []retry.Credit
}

// Lend implements syncpb.Sync.
func (s *Server) Lend(_ context.Context, request *syncpb.LendRequest) (*syncpb.LendReply, error) {
	now := clock.Now()
	reply := &syncpb.LendReply{}
	for _, c := range s.loop.options.Lender.Lend(cardamom.ServiceID(request.GetService()), min(request.GetMost(), 1), now) {
		reply.Credits = append(reply.Credits, &syncpb.RetryCredit{Amount: c.Amount(), AgeUs: now.Sub(c.Earned()).Microseconds()})
	}
	return reply, nil
}

// BorrowCredit asks other instances for the credit that a service lacks for a retry, and
// returns what they lend.
func (l *Loop) BorrowCredit(ctx context.Context, service cardamom.ServiceID, missing float64) []retry.Credit {
	lenders := lenders(l.View().Members(), l.options.ID, lendersAsked*lendRounds, rand.Shuffle)
	var borrowed []retry.Credit
	for round := range slices.Chunk(lenders, lendersAsked) {
		for _, c := range l.askLenders(ctx, round, service, missing) {
			borrowed = append(borrowed, c)
			missing -= c.Amount()
		}
		if missing <= 0 || ctx.Err() != nil {
			break
		}
	}
	return borrowed
}

// askLenders asks instances for credit at the same time, each for all of it: what is too
// much serves the next retry.
func (l *Loop) askLenders(ctx context.Context, lenders []Member, service cardamom.ServiceID, missing float64) []retry.Credit {
	ctx, cancel := context.WithTimeout(ctx, lendTimeout)
	defer cancel()
	var mu sync.Mutex
	var lent []retry.Credit
	var group sync.WaitGroup
	asked := clock.Now()
	for _, m := range lenders {
		client := l.peers.dial(m.SyncAddress)
		group.Go(func() {
			reply, err := client.Lend(ctx, &syncpb.LendRequest{Service: string(service), Most: missing})
			if err != nil {
				l.logger.Debug("credit_not_lent", "address", m.SyncAddress, "reason", err)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			for _, wire := range reply.GetCredits() {
				// The lender read its clock later than this.
				lent = append(lent, retry.NewCredit(wire.GetAmount(), asked.Add(-time.Duration(wire.GetAgeUs())*time.Microsecond)))
			}
		})
	}
	group.Wait()
	return lent
}

// lenders returns up to so many members to ask for credit, in an order drawn at random: all
// earn alike, and the same ones would soon have none left.
func lenders(members []Member, self cardamom.InstanceID, count int, shuffle func(n int, swap func(i, j int))) []Member {
	candidates := slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.ID == self || m.Leaving })
	shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	return candidates[:min(count, len(candidates))]
}
