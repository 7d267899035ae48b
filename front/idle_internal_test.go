package front

import (
	"io"
	"net/http"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("idle connections", func() {
	It("are closed after the configured idle timeout", func() {
		idle := newIdleConns()
		server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }))
		server.Config.ConnState = idle.track
		server.Start()
		DeferCleanup(server.Close)
		response, err := http.Get(server.URL)
		Expect(err).NotTo(HaveOccurred())
		_, err = io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Body.Close()).To(Succeed())
		now := time.Now()
		Eventually(func() int { return idle.sweep(time.Hour, now.Add(2*time.Hour)) }, 10*time.Second).Should(Equal(1))
		Expect(idle.sweep(time.Hour, now.Add(2*time.Hour))).To(BeZero())
		Expect(idle.sweep(0, now.Add(2*time.Hour))).To(BeZero())
	})
})
