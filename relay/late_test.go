package relay_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cardamomcourse.example/cardamom/coord"
	"cardamomcourse.example/cardamom/fakes/host"
)

// A late copy of a refusal that names no request was taken for the answer to the next request
// on the connection, which then ran twice or was refused though it had run.
var _ = Describe("a late copy of a refusal on a kept connection", func() {
	for behaviour, next := range map[host.Behaviour]int{
		// The copy names its request, so that the answer after it is the next one's.
		host.FullLate: http.StatusOK,
		// The copy may be the next one's answer, and the request has run.
		host.UnnamedLate: http.StatusBadGateway,
	} {
		It("is not the answer to the next request: "+string(behaviour), func() {
			w := newFixture(coord.AwaitResult{})
			w.script([]host.Behaviour{behaviour, behaviour, behaviour})
			for n, status := range []int{http.StatusServiceUnavailable, next} {
				response, err := http.DefaultClient.Do(w.newRequest("/once/x", "", map[string]string{"Request-Id": fmt.Sprintf("r-%d", n)}))
				Expect(err).NotTo(HaveOccurred())
				DeferCleanup(response.Body.Close)
				Expect(response.StatusCode).To(Equal(status))
				Expect(w.runs()).To(HaveLen(n))
			}
		})
	}
})

// repeating is an upstream that answers the first request on each connection, and writes the
// beginning of a copy of an earlier answer before the answer to the second.
type repeating struct {
	copied string
	mu     sync.Mutex
	runs   map[string]int
}

func (u *repeating) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for before := ""; ; before = u.copied {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		id := request.Header.Get("Request-Id")
		u.mu.Lock()
		u.runs[id]++
		u.mu.Unlock()
		if _, err := fmt.Fprintf(c, "%sHTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Seal: seal\r\nContent-Length: 2\r\n\r\nok", before, id); err != nil || before != "" {
			return
		}
	}
}

// A refusal that broke off and the answer after it were read as one response, which said that
// the request has not run.
var _ = Describe("a late copy that breaks off before the answer", func() {
	copies := map[string]string{
		"a refusal with the id of its request": "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: r-0\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"a refusal without an id":              "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"a misdirected request":                "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: r-0\r\nContent-Length: 0\r\n\r\n",
		"an answer":                            "HTTP/1.1 200 OK\r\nRequest-Id: r-0\r\nServer-Seal: seal\r\nContent-Length: 2\r\n\r\nok",
	}
	for name, whole := range copies {
		It("doesn't make a request count as not run, wherever it breaks off: "+name, func() {
			for length := 1; length < len(whole); length++ {
				w := newFixture(coord.AwaitResult{})
				upstream := &repeating{copied: whole[:length], runs: make(map[string]int)}
				w.upstreams[0].Address = listenWith(upstream.serve)
				for n := range 2 {
					response, err := http.DefaultClient.Do(w.newRequest("/once/x", "", map[string]string{"Request-Id": fmt.Sprintf("r-%d", n)}))
					Expect(err).NotTo(HaveOccurred())
					body, err := io.ReadAll(response.Body)
					Expect(err).NotTo(HaveOccurred())
					Expect(response.Body.Close()).To(Succeed())
					Expect(response.StatusCode).To(Or(Equal(http.StatusOK), Equal(http.StatusBadGateway)), whole[:length])
					Expect(response.StatusCode == http.StatusBadGateway || string(body) == "ok").To(BeTrue(), whole[:length])
					Expect(upstream.runs).To(HaveKeyWithValue(fmt.Sprintf("r-%d", n), 1), whole[:length])
				}
			}
		})
	}
})
