package coord

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/clock"
	"cardamomcourse.example/cardamom/lease"
	"cardamomcourse.example/cardamom/poison"
	"cardamomcourse.example/cardamom/site"
	"cardamomcourse.example/cardamom/syncpb"
	"cardamomcourse.example/cardamom/table"
)

// partDies records the deaths of upstreams on a part, a second apart until now.
func (l *Loop) partDies(part string, deaths int, now time.Time) {
	for n := range deaths {
		at := now.Add(time.Duration(n-deaths+1) * time.Second)
		l.options.Parts.Died("s", []string{part}, poison.NewDeath(fmt.Sprintf("%s-%s-%d", l.options.ID, part, n), at.Add(-time.Millisecond), at, true), at)
	}
}

func (l *Loop) partVerdict(part string, now time.Time) poison.Verdict {
	verdict, _ := l.options.Parts.Verdict("s", []string{part}, now)
	return verdict
}

var _ = Describe("parts of prompts that crash upstreams", func() {
	It("are known to a coordinator and its members after one exchange", func() {
		now := clock.Now()
		coordinator, member := newLoop("a", site.OrderAccepted), newLoop("b", site.OrderAccepted)
		coordinator.becomeCoordinator()
		coordinator.partDies("bad", 2, now.Add(-time.Second))
		member.partDies("bad", 1, now)
		reply := coordinator.exchange(member.report(member.options.Demand.Take()), now)
		Expect(coordinator.partVerdict("bad", now)).To(Equal(poison.Refused))
		member.mergeParts(reply.GetParts(), "coordinator", now)
		Expect(member.partVerdict("bad", now)).To(Equal(poison.Refused))
	})

	It("are told to a member that has not exchanged for some time, however old they are", func() {
		now := clock.Now()
		coordinator, member := newLoop("a", site.OrderAccepted), newLoop("b", site.OrderAccepted)
		coordinator.becomeCoordinator()
		coordinator.partDies("bad", 3, now.Add(-time.Minute))
		request := &syncpb.ExchangeRequest{Member: member.wireMember()}
		member.mergeParts(coordinator.exchange(request, now).GetParts(), "coordinator", now)
		Expect(member.partVerdict("bad", now)).To(Equal(poison.Refused))
		Expect(coordinator.exchange(request, now.Add(time.Second)).GetParts()).To(BeEmpty())
	})

	It("are told by instances that know no coordinator to each other", func() {
		now := clock.Now()
		here, there := newLoop("a", site.OrderAccepted), newLoop("b", site.OrderAccepted)
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		for _, l := range []*Loop{here, there} {
			go func() {
				for {
					select {
					case event := <-l.events:
						event(clock.Now())
					case <-ctx.Done():
						return
					}
				}
			}()
		}
		server := httptest.NewServer(syncpb.NewSyncServer(NewServer(there)))
		DeferCleanup(server.Close)
		here.partDies("bad", 3, now)
		there.partDies("worse", 3, now)
		told := make(chan bool)
		here.post(func(time.Time) {
			here.state.members = []Member{{ID: "a", SyncAddress: "a:2"}, {ID: "b", SyncAddress: strings.TrimPrefix(server.URL, "http://")}}
			here.partsNews = true
			here.tellMembers(now)
			close(told)
		})
		Eventually(told, 10*time.Second).Should(BeClosed())
		Eventually(func() poison.Verdict { return there.partVerdict("bad", clock.Now()) }, 10*time.Second).Should(Equal(poison.Refused))
		Eventually(func() poison.Verdict { return here.partVerdict("worse", clock.Now()) }, 10*time.Second).Should(Equal(poison.Refused))
	})

	It("are still refused after all instances have started again", func() {
		now := clock.Now()
		before := newLoop("a", site.OrderAccepted)
		before.becomeCoordinator()
		before.partDies("bad", 3, now)
		before.partDies("once", 1, now)
		value := before.encodeLease(lease.Row{Holder: "a", Address: "a:2"})
		after := newLoop("b", site.OrderAccepted)
		after.decodeLease(table.NewRow(leaseKey, value, 9))
		Expect(after.partVerdict("bad", now)).To(Equal(poison.Refused))
		Expect(after.partVerdict("once", now)).To(Equal(poison.Suspected))
		Expect(after.partVerdict("other", now)).To(Equal(poison.Clean))
	})

	It("are refused by all once one has settled on them, also after all have started again", func() {
		now := clock.Now()
		coordinator, member := newLoop("a", site.OrderAccepted), newLoop("b", site.OrderAccepted)
		coordinator.becomeCoordinator()
		for n := range 6 {
			at := now.Add(time.Duration(n-6) * time.Second)
			death := poison.NewDeath(fmt.Sprint(n), at.Add(-time.Millisecond), at, true)
			member.options.Parts.Died("s", []string{[]string{"a", "b"}[n/3]}, death, at)
			member.options.Parts.Died("s", []string{"c"}, death, at)
			member.options.Parts.Survived("s", []string{"good"}, at)
			member.options.Parts.Survived("s", []string{"good"}, at)
		}
		Expect(member.partVerdict("c", now)).To(Equal(poison.Refused))
		coordinator.exchange(member.report(member.options.Demand.Take()), now)
		Expect(coordinator.partVerdict("c", now)).To(Equal(poison.Refused))
		after := newLoop("c", site.OrderAccepted)
		after.decodeLease(table.NewRow(leaseKey, coordinator.encodeLease(lease.Row{Holder: "a", Address: "a:2"}), 9))
		Expect(after.partVerdict("c", now)).To(Equal(poison.Refused))
	})

	It("take a bounded part of the lease row, those with the most deaths first", func() {
		now := clock.Now()
		l := newLoop("a", site.OrderAccepted)
		l.becomeCoordinator()
		for n := range 1000 {
			l.options.Parts.Died("s", []string{fmt.Sprintf("p%d", n)}, poison.NewDeath("u", now, now, true), now)
		}
		l.partDies("bad", 30, now)
		value := l.encodeLease(lease.Row{Holder: "a"})
		Expect(len(value)).To(BeNumerically("<", 20_000))
		after := newLoop("b", site.OrderAccepted)
		after.decodeLease(table.NewRow(leaseKey, value, 9))
		Expect(after.partVerdict("bad", now)).To(Equal(poison.Refused))
	})

	It("make the next exchange start early", func() {
		l := newLoop("a", site.OrderAccepted)
		l.partDies("bad", 1, clock.Now())
		var event func(time.Time)
		Eventually(l.events, 10*time.Second).Should(Receive(&event))
		event(clock.Now())
		Expect(l.reportSoon).To(BeTrue())
	})

	It("keep within the bounds of a message", func() {
		now := clock.Now()
		l := newLoop(cardamom.InstanceID("a"), site.OrderAccepted)
		for n := range 1000 {
			l.options.Parts.Died("s", []string{fmt.Sprintf("p%d", n)}, poison.NewDeath("u", now, now, true), now)
		}
		Expect(l.report(l.options.Demand.Take()).GetParts()).To(HaveLen(maxSentParts))
	})
})
