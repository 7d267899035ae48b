package coord

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/demand"
	"cardamomcourse.example/cardamom/lease"
	"cardamomcourse.example/cardamom/site"
	"cardamomcourse.example/cardamom/syncpb"
	"cardamomcourse.example/cardamom/table"
)

//go:embed testdata/restored.json
var restoredScripts []byte

// restoredScript is a series of listings of a store that is restored now and then.
type restoredScript struct {
	Name  string         `json:"name"`
	Steps []restoredStep `json:"steps"`
}

// restoredStep is a listing and the upstreams that the instance lists after it.
type restoredStep struct {
	At          int64  `json:"at_ms"`
	Incarnation uint64 `json:"incarnation"`
	Full        bool   `json:"full"`
	// Present are registrations as ID/START/NUMBER, with /leaving at the end if the
	// upstream leaves.
	Present []string `json:"present"`
	Removed []string `json:"removed"`
	// HeardGone are upstreams of which the coordinator said that they are gone.
	HeardGone []string `json:"heard_gone"`
	Listed    []string `json:"listed"`
	Leaving   []string `json:"leaving"`
	// Runs are the starts of listed upstreams.
	Runs     map[string]int64 `json:"runs"`
	Restored bool             `json:"restored"`
}

func parseRegistration(text string) *site.Upstream {
	parts := strings.Split(text, "/")
	upstream := &site.Upstream{Upstream: cardamom.Upstream{ID: cardamom.UpstreamID(parts[0]), Service: "s", Address: parts[0] + ":1", State: cardamom.Live}}
	_, err := fmt.Sscan(parts[1], &upstream.StartedMs)
	Expect(err).NotTo(HaveOccurred())
	_, err = fmt.Sscan(parts[2], &upstream.RegistrationSeq)
	Expect(err).NotTo(HaveOccurred())
	if len(parts) > 3 {
		upstream.State = cardamom.Leaving
	}
	return upstream
}

func upstreamIDs(names []string) []cardamom.UpstreamID {
	ids := make([]cardamom.UpstreamID, 0, len(names))
	for _, name := range names {
		ids = append(ids, cardamom.UpstreamID(name))
	}
	return ids
}

var _ = Describe("the listed upstreams, when the store returns from an older copy", func() {
	var scripts []restoredScript
	if err := json.Unmarshal(restoredScripts, &scripts); err != nil {
		panic(err)
	}
	for _, coordinates := range []bool{false, true} {
		for _, script := range scripts {
			It(fmt.Sprintf("%s (coordinator: %t)", script.Name, coordinates), func() {
				l := newLoop("i-1", site.OrderAccepted)
				if coordinates {
					l.lease.RecordWrite(7, l.options.SyncAddress, start)
					l.beginTerm(true, start)
				}
				for i, step := range script.Steps {
					now := start.Add(time.Duration(step.At) * time.Millisecond)
					restores := l.state.restored.count
					for _, id := range step.HeardGone {
						l.state.upstreamsConfirmed = now
						l.removeUpstream(cardamom.UpstreamID(id), "coordinator")
						if l.term != nil {
							l.term.remove(cardamom.UpstreamID(id))
						}
					}
					update := site.UpstreamUpdate{Full: step.Full, Removed: upstreamIDs(step.Removed), Incarnation: step.Incarnation}
					for _, text := range step.Present {
						update.Present = append(update.Present, parseRegistration(text))
					}
					l.applyListing(update, now, now)
					Expect(l.state.restored.count > restores).To(Equal(step.Restored), "step %d", i)
					listed, leaving := []string{}, []string{}
					for id, upstream := range l.state.upstreams {
						listed = append(listed, string(id))
						if upstream.State == cardamom.Leaving {
							leaving = append(leaving, string(id))
						}
					}
					Expect(listed).To(ConsistOf(step.Listed), "step %d", i)
					if step.Leaving != nil {
						Expect(leaving).To(ConsistOf(step.Leaving), "step %d", i)
					}
					for id, startedMs := range step.Runs {
						Expect(l.state.upstreams[cardamom.UpstreamID(id)].StartedMs).To(Equal(startedMs), "step %d", i)
					}
				}
			})
		}
	}
})

var _ = Describe("an instance, when the store returns from an older copy", func() {
	catalogOf := func(version uint64) *site.Catalog { return site.NewCatalog(version, nil, nil, site.Limits{}) }

	It("asks the coordinator for the configuration that the copy lacks", func() {
		l := newLoop("i-2", site.OrderAccepted)
		l.applyCatalogRead([]byte("5"), catalogOf(5), start, 0)
		l.handleExchangeReply("i-1:2", &syncpb.ExchangeReply{Coordinates: true, Tenure: 7, Catalog: 8}, nil, start, start)
		l.applyCatalogRead([]byte("5"), catalogOf(5), start, 0)
		Expect(l.report(demand.Report{}).GetNeedDocument()).To(BeTrue())
		l.applyCatalogRead([]byte("8"), catalogOf(8), start, 0)
		Expect(l.report(demand.Report{}).GetNeedDocument()).To(BeFalse())
	})

	It("stays on its configuration while the store has an older one", func() {
		l := newLoop("i-2", site.OrderAccepted)
		l.applyCatalogRead([]byte("8"), catalogOf(8), start, 0)
		l.applyCatalogRead([]byte("5"), catalogOf(5), start, 0)
		Expect(l.state.catalog.Version()).To(BeEquivalentTo(8))
	})

	It("ends its term at once and takes the lease again as its holder, with a greater fencing token", func() {
		l := newLoop("i-1", site.OrderAccepted)
		before, _ := table.Version(4, 100)
		l.lease.Observe(lease.Row{}, 4, 0, start)
		Expect(l.lease.RecordWrite(before, "i-1:2", start)).To(BeTrue())
		l.beginTerm(true, start)
		now := start.Add(time.Second)
		restored, _ := table.Version(5, 91)
		l.observe(lease.Row{Version: restored, Holder: "i-9", Address: "i-9:2", Incarnation: 4}, 5, now)
		Expect(l.term).To(BeNil())
		Expect(l.lease.Next(now)).To(Equal(lease.Take))
		Expect(l.mayTake(now)).To(BeTrue())
		after, _ := table.Version(5, 92)
		l.leaseWritten(after, nil, now, now)
		Expect(l.term.number).To(And(Equal(after), BeNumerically(">", before)))
		Expect(l.term.fresh).To(BeFalse())
	})

	It("follows the coordinator of the new incarnation, whose row has a lower number", func() {
		l := newLoop("i-2", site.OrderAccepted)
		before, _ := table.Version(4, 100)
		after, _ := table.Version(5, 92)
		l.handleExchangeReply("i-1:2", &syncpb.ExchangeReply{Coordinates: true, Tenure: before, Full: true}, nil, start, start)
		l.handleExchangeReply("i-3:2", &syncpb.ExchangeReply{Coordinates: true, Tenure: after, Full: true}, nil, start, start)
		Expect(l.position.coordinator).To(Equal("i-3:2"))
		Expect(l.position.term).To(Equal(after))
	})

	It("does not follow the holder that a restored row names", func() {
		l := newLoop("i-2", site.OrderAccepted)
		before, _ := table.Version(4, 100)
		l.lease.Observe(lease.Row{Version: before, Holder: "i-1", Address: "i-1:2", Incarnation: 4}, 4, 0, start)
		l.handleExchangeReply("i-1:2", &syncpb.ExchangeReply{Coordinates: true, Tenure: before, Full: true}, nil, start, start)
		restored, _ := table.Version(5, 80)
		l.observe(lease.Row{Version: restored, Holder: "i-9", Address: "i-9:2", Incarnation: 4}, 5, start.Add(time.Second))
		Expect(l.position.coordinator).To(Equal("i-1:2"))
		Expect(l.minTerm).To(BeZero())
	})

	It("does not take an upstream that has left back from a coordinator that knows less", func() {
		l := newLoop("i-2", site.OrderAccepted)
		exchange := func(incarnation, number uint64, now time.Time, reply *syncpb.ExchangeReply) {
			tenure, _ := table.Version(incarnation, number)
			reply.Coordinates, reply.Tenure = true, tenure
			l.handleExchangeReply("i-1:2", reply, nil, now, now)
		}
		upstream := &syncpb.Upstream{Id: "x", Service: "s", Address: "x:1", Born: 7}
		exchange(4, 100, start, &syncpb.ExchangeReply{Full: true, Upstreams: []*syncpb.Upstream{upstream}})
		exchange(4, 100, start.Add(time.Second), &syncpb.ExchangeReply{Gone: []string{"x"}})
		exchange(5, 92, start.Add(2*time.Second), &syncpb.ExchangeReply{Full: true, Upstreams: []*syncpb.Upstream{upstream}})
		Expect(l.state.upstreams).To(BeEmpty())
		Expect(l.state.restored.count).To(Equal(1))
		Expect(l.askAgainAt).To(BeTemporally("~", start.Add(removalRetention), 2*time.Second))
		exchange(5, 92, l.askAgainAt.Add(time.Second), &syncpb.ExchangeReply{Full: true, Upstreams: []*syncpb.Upstream{upstream}})
		Expect(l.state.upstreams).To(HaveKey(cardamom.UpstreamID("x")))
	})

	It("takes an upstream back from the coordinator that has started again", func() {
		l := newLoop("i-2", site.OrderAccepted)
		before, _ := table.Version(4, 100)
		after, _ := table.Version(5, 92)
		l.handleExchangeReply("i-1:2", &syncpb.ExchangeReply{Coordinates: true, Tenure: before, Full: true, Upstreams: []*syncpb.Upstream{{Id: "x", Service: "s", Address: "x:1", Born: 7}}}, nil, start, start)
		l.handleExchangeReply("i-1:2", &syncpb.ExchangeReply{Coordinates: true, Tenure: before, Gone: []string{"x"}}, nil, start, start)
		l.handleExchangeReply("i-1:2", &syncpb.ExchangeReply{Coordinates: true, Tenure: after, Full: true, Upstreams: []*syncpb.Upstream{{Id: "x", Service: "s", Address: "x:1", Born: 9}}}, nil, start, start)
		Expect(l.state.upstreams).To(HaveKey(cardamom.UpstreamID("x")))
	})

	It("keeps the run that it knows if the coordinator lists an earlier one", func() {
		l := newLoop("i-2", site.OrderAccepted)
		before, _ := table.Version(4, 100)
		after, _ := table.Version(5, 92)
		l.handleExchangeReply("i-1:2", &syncpb.ExchangeReply{Coordinates: true, Tenure: before, Full: true, Upstreams: []*syncpb.Upstream{{Id: "x", Service: "s", Address: "x:1", Born: 9}}}, nil, start, start)
		l.handleExchangeReply("i-1:2", &syncpb.ExchangeReply{Coordinates: true, Tenure: after, Full: true, Upstreams: []*syncpb.Upstream{{Id: "x", Service: "s", Address: "x:0", Born: 7}}}, nil, start, start)
		Expect(l.state.upstreams["x"].StartedMs).To(BeEquivalentTo(9))
	})
})
