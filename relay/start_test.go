package relay_test

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cardamomcourse.example/cardamom/coord"
)

var _ = Describe("a request at an instance that has just started", func() {
	// send sends a request before the instance has a catalog, and gives it one after a wait
	// unless that is 0.
	send := func(after time.Duration) *http.Response {
		w := newFixture(coord.AwaitResult{})
		ready := w.views.view.Load()
		w.views.view.Store(&coord.View{})
		if after > 0 {
			timer := time.AfterFunc(after, func() { w.views.view.Store(ready) })
			DeferCleanup(func() { timer.Stop() })
		}
		response, err := http.DefaultClient.Do(w.newRequest("/once/x", "", nil))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(response.Body.Close)
		return response
	}

	It("waits for the catalog and is served", func() {
		Expect(send(80 * time.Millisecond).StatusCode).To(Equal(http.StatusOK))
	})

	It("is refused, and may come back, if none comes", func() {
		response := send(0)
		Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(response.Header.Get("Retry-After")).NotTo(BeEmpty())
	})
})
