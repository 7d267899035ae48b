package relay_test

import (
	"io"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cardamomcourse.example/cardamom/coord"
	"cardamomcourse.example/cardamom/fakes/host"
)

var _ = Describe("a stream", func() {
	It("is passed on to its end if its upstream is slow", func() {
		w := newFixture(coord.AwaitResult{})
		w.script([]host.Behaviour{host.Slow})
		response, err := http.DefaultClient.Do(w.newRequest("/stream/x", "m", nil))
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(body)).To(HaveSuffix("id: 4\ndata: piece 4\n\n"))
		Expect(w.runs()).To(HaveLen(1))
	})

	It("ends at its deadline, not as complete, if its upstream stalls and sends a byte now and then", func() {
		w := newFixture(coord.AwaitResult{})
		w.script([]host.Behaviour{host.Trickle})
		response, err := http.DefaultClient.Do(w.newRequest("/stream/x", "m", map[string]string{"Deadline-Ms": "300"}))
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		_, err = io.ReadAll(response.Body)
		Expect(err).To(HaveOccurred())
		Eventually(func() int {
			disconnects := 0
			for _, engine := range w.engines {
				disconnects += engine.Disconnects()
			}
			return disconnects
		}).Should(Equal(1), "the upstream still works on it")
	})
})
