package coord

import (
	"context"
	"errors"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/lease"
	"cardamomcourse.example/cardamom/site"
	"cardamomcourse.example/cardamom/syncpb"
	"cardamomcourse.example/cardamom/table"
)

// away is a table that doesn't answer, and counts the reads.
type away struct {
	table.Store
	reads *int
}

func (a away) Get(context.Context, string) (table.Row, error) {
	*a.reads++
	return table.Row{}, errors.New("no answer")
}

var _ = Describe("instances whose coordinator lost its lease while the store doesn't answer", func() {
	const (
		span = 10 * time.Second
		// readsPerSecond is how often an instance may read the lease on average.
		readsPerSecond = 0.5
	)
	for _, count := range []int{64, 195} {
		It(fmt.Sprintf("don't all read the lease, at %d instances", count), func() {
			reads := 0
			var members []Member
			for n := range count {
				members = append(members, Member{ID: cardamom.InstanceID(fmt.Sprintf("i-%d", n))})
			}
			var loops []*Loop
			for _, m := range members {
				l := newLoop(m.ID, site.OrderAccepted)
				l.options.Table = away{reads: &reads}
				l.state.members = members
				l.observe(lease.Row{Version: 9, Holder: "gone", Address: "gone:2"}, 0, start)
				loops = append(loops, l)
			}
			expired := start.Add(4 * time.Second)
			for now := expired; now.Before(expired.Add(span)); now = now.Add(tickInterval) {
				for _, l := range loops {
					l.stepLease(now)
					if l.leaseCallInFlight {
						(<-l.events)(now)
					}
					// Another instance that doesn't coordinate either answers.
					l.handleExchangeReply("other:2", &syncpb.ExchangeReply{}, nil, now, now)
				}
			}
			Expect(float64(reads)).To(BeNumerically("<=", readsPerSecond*span.Seconds()*float64(count)))
			Expect(reads).To(BeNumerically(">", 0))
		})
	}
})
