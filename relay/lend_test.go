package relay_test

import (
	"context"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/clock"
	"cardamomcourse.example/cardamom/coord"
	"cardamomcourse.example/cardamom/fakes/host"
	"cardamomcourse.example/cardamom/retry"
)

// lenders lend a fixed amount of credit to each that asks.
type lenders struct {
	amount float64
	asked  float64
}

func (l *lenders) BorrowCredit(_ context.Context, _ cardamom.ServiceID, missing float64) []retry.Credit {
	l.asked += missing
	if l.amount == 0 {
		return nil
	}
	return []retry.Credit{retry.NewCredit(l.amount, clock.Now())}
}

var _ = Describe("a request that failed at an instance without credit for a retry", func() {
	DescribeTable("is sent again only with credit of other instances",
		func(amount float64, status, runs int) {
			w := newFixture(coord.AwaitResult{}, "i-2")
			w.relay.Budget = retry.New(retry.Limits{Window: 10 * time.Second}, 0)
			w.lenders.amount = amount
			w.script([]host.Behaviour{"break"})
			response, err := http.DefaultClient.Do(w.newRequest("/safe/x", "", nil))
			Expect(err).NotTo(HaveOccurred())
			defer response.Body.Close()
			Expect(response.StatusCode).To(Equal(status))
			Expect(w.runs()).To(HaveLen(runs))
			Expect(w.lenders.asked).To(Equal(1.0))
		},
		Entry("if they lend enough", 1.0, http.StatusOK, 2),
		Entry("not if they lend too little", 0.5, http.StatusBadGateway, 1),
		Entry("not if they have none", 0.0, http.StatusBadGateway, 1),
	)
})
