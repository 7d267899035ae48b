package relay_test

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cardamomcourse.example/cardamom/coord"
	"cardamomcourse.example/cardamom/fakes/host"
)

// permits answers requests for permits with the results in order, the last one again and
// again. Without results no coordinator answers.
type permits struct {
	mu      sync.Mutex
	results []coord.PermitResult
	needs   []coord.PermitNeed
	// onAsk, unless nil, is called for each need before the answer.
	onAsk func(need coord.PermitNeed)
}

func (p *permits) Permit(_ context.Context, need coord.PermitNeed) coord.PermitResult {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.needs = append(p.needs, need)
	if p.onAsk != nil {
		p.onAsk(need)
	}
	if len(p.results) == 0 {
		return coord.PermitResult{}
	}
	result := p.results[0]
	if len(p.results) > 1 {
		p.results = p.results[1:]
	}
	return result
}

func (p *permits) asked() []coord.PermitNeed {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]coord.PermitNeed(nil), p.needs...)
}

// get sends a request and returns its status and Retry-After in seconds.
func (w *fixture) get(path, model string) (int, float64) {
	response, err := http.DefaultClient.Do(w.newRequest(path, model, nil))
	Expect(err).NotTo(HaveOccurred())
	Expect(response.Body.Close()).To(Succeed())
	seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	return response.StatusCode, seconds
}

var _ = Describe("the relay before an upstream that names a rate limit", func() {
	// limit makes the plain upstream name a limit, and lets the relay learn of it.
	limit := func(w *fixture, value string) {
		w.engines[0].NameRateLimit(value)
		status, _ := w.get("/safe/x", "")
		Expect(status).To(Equal(http.StatusOK))
	}

	It("sends what is permitted", func() {
		w := newFixture(coord.AwaitResult{})
		limit(w, "2")
		w.permits.results = []coord.PermitResult{{Answered: true, Granted: true}}
		status, _ := w.get("/safe/x", "")
		Expect(status).To(Equal(http.StatusOK))
		needs := w.permits.asked()
		Expect(needs).To(HaveLen(1))
		Expect(needs[0].Limit.PerSecond).To(Equal(2.0))
		Expect(needs[0].RemainingTime).To(BeNumerically(">", 10*time.Second))
	})

	It("waits for a permit that comes in time", func() {
		w := newFixture(coord.AwaitResult{})
		limit(w, "2")
		w.permits.results = []coord.PermitResult{{Answered: true, Wait: time.Second}, {Answered: true, Wait: time.Second}, {Answered: true, Granted: true}}
		status, _ := w.get("/safe/x", "")
		Expect(status).To(Equal(http.StatusOK))
		Expect(w.permits.asked()).To(HaveLen(3))
	})

	It("refuses at once a request whose permit would come too late, with that time as Retry-After", func() {
		w := newFixture(coord.AwaitResult{})
		limit(w, "0.1")
		w.permits.results = []coord.PermitResult{{Answered: true, Wait: time.Minute}}
		status, retryAfter := w.get("/safe/x", "")
		Expect(status).To(Equal(http.StatusServiceUnavailable))
		Expect(retryAfter).To(Equal(10.0))
		Expect(w.runs()).To(HaveLen(1))
		Expect(w.permits.asked()).To(HaveLen(1))
	})

	It("refuses a request for its only copy of a model when no coordinator answers", func() {
		w := newFixture(coord.AwaitResult{})
		w.engines[1].NameRateLimit("0.5")
		status, _ := w.get("/stream/x", "m")
		Expect(status).To(Equal(http.StatusOK))
		status, retryAfter := w.get("/stream/x", "m")
		Expect(status).To(Equal(http.StatusServiceUnavailable))
		Expect(retryAfter).To(Equal(2.0))
		Expect(w.runs()).To(HaveLen(1))
	})

	It("sends without a permit once an answer names no limit any more", func() {
		w := newFixture(coord.AwaitResult{})
		limit(w, "2")
		w.permits.results = []coord.PermitResult{{Answered: true, Granted: true}}
		w.engines[0].NameRateLimit()
		Eventually(func() int {
			before := len(w.permits.asked())
			status, _ := w.get("/safe/x", "")
			Expect(status).To(Equal(http.StatusOK))
			return len(w.permits.asked()) - before
		}, 10*time.Second, 20*time.Millisecond).Should(BeZero())
	})

	It("learns the limit from failures and rejections", func() {
		for _, behaviour := range []host.Behaviour{host.InternalError, host.Full, host.UnmarkedRefusal} {
			w := newFixture(coord.AwaitResult{})
			w.engines[0].NameRateLimit("0")
			w.script([]host.Behaviour{behaviour, behaviour, behaviour})
			_, _ = w.get("/once/x", "")
			_, _ = w.get("/once/x", "")
			Expect(w.permits.asked()).NotTo(BeEmpty(), string(behaviour))
		}
	})

	It("prefers another upstream, and asks for no permit for that", func() {
		w := newFixture(coord.AwaitResult{}, "i-2")
		first := w.engines[0]
		first.NameRateLimit("2")
		for len(first.Arrivals()) == 0 {
			_, _ = w.get("/safe/x", "")
		}
		for range 10 {
			status, _ := w.get("/safe/x", "")
			Expect(status).To(Equal(http.StatusOK))
		}
		Expect(first.Arrivals()).To(HaveLen(1))
		Expect(w.permits.asked()).To(BeEmpty())
	})

	It("doesn't send to one that began to leave while the request waited for its permit", func() {
		w := newFixture(coord.AwaitResult{}, "i-2")
		w.permits.results = []coord.PermitResult{{Answered: true, Granted: true}}
		plain := make(map[string]*host.Upstream)
		for _, upstream := range []*host.Upstream{w.engines[0], w.engines[2]} {
			plain[upstream.ID()] = upstream
			upstream.NameRateLimit("2")
			status, _ := w.get("/safe/x", "")
			Expect(status).To(Equal(http.StatusOK))
			Expect(upstream.Arrivals()).To(HaveLen(1))
		}
		left := ""
		before := 0
		w.permits.onAsk = func(need coord.PermitNeed) {
			if left == "" {
				left = string(need.Limit.Upstream)
				before = len(plain[left].Arrivals())
				w.leave(need.Limit.Upstream)
			}
		}
		status, _ := w.get("/once/x", "")
		Expect(status).To(Equal(http.StatusOK))
		Expect(left).NotTo(BeEmpty())
		Expect(plain[left].Arrivals()).To(HaveLen(before))
	})

	It("tries it again after a while, without waiting, to learn whether the limit has ended", func() {
		w := newFixture(coord.AwaitResult{}, "i-2")
		first := w.engines[0]
		first.NameRateLimit("2")
		for len(first.Arrivals()) == 0 {
			_, _ = w.get("/safe/x", "")
		}
		first.NameRateLimit()
		w.permits.results = []coord.PermitResult{{Answered: true, Wait: time.Hour}, {Answered: true, Granted: true}}
		Eventually(func() int {
			status, _ := w.get("/safe/x", "")
			Expect(status).To(Equal(http.StatusOK))
			return len(first.Arrivals())
		}, 20*time.Second, 20*time.Millisecond).Should(Equal(2))
		needs := w.permits.asked()
		Expect(needs).To(HaveLen(2))
		Expect(needs[0].RemainingTime).To(BeZero())
		Expect(needs[1].RemainingTime).To(BeZero())
	})
})
