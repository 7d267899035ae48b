package proof_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cardamomcourse.example/cardamom/fakes/host"
)

const (
	// uploadBytes is the length of an upload, more than the buffers of a connection hold.
	uploadBytes = 3 << 20
	// uploadTries is how many uploads of each kind are sent.
	uploadTries = 100
	// uploadCallers is how many are sent at a time.
	uploadCallers = 4
	// maxResetDelay bounds the time from the answer to the reset.
	maxResetDelay = 3 * time.Millisecond
)

// earlyAnswer is what follows the head of an answer that an upstream gives before it has read
// the upload. It has no length.
var earlyAnswer = map[string]string{
	"/once/x":   "the start of an answer",
	"/safe/x":   "the start of an answer",
	"/stream/x": "id: 1\ndata: piece 1\n\n",
	"/resume/x": "id: 1\ndata: piece 1\n\n",
}

// earlyUpstream is an upstream that answers each upload at once and without a length, while it
// reads the upload.
type earlyUpstream struct {
	// end ends a connection after the answer.
	end func(c *net.TCPConn)
	mu  sync.Mutex
	// runs counts the answers to each request.
	runs map[string]int
}

func (u *earlyUpstream) serve(c *net.TCPConn, request *http.Request) {
	id := request.Header.Get("Request-Id")
	u.mu.Lock()
	u.runs[id]++
	u.mu.Unlock()
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Seal: seal.early\r\n\r\n%s", id, earlyAnswer[request.RequestURI])
	go func() { _, _ = io.Copy(io.Discard, c) }()
	u.end(c)
}

// modelOf returns the model that a request needs, empty for none.
func modelOf(path string) string {
	if strings.HasPrefix(earlyAnswer[path], "id:") {
		return "m1"
	}
	return ""
}

// sendUploads sends uploads, a few at a time and to the instances in turn, and returns the
// responses.
func sendUploads(s *host.Site, path string, instances []*host.Instance) []host.Response {
	responses := make([]host.Response, uploadTries)
	var next atomic.Int64
	var group sync.WaitGroup
	for range uploadCallers {
		group.Go(func() {
			for n := int(next.Add(1)) - 1; n < uploadTries; n = int(next.Add(1)) - 1 {
				responses[n], _ = s.Send(context.Background(), host.Request{
					ID: fmt.Sprintf("upload-%d", n), Path: path, Model: modelOf(path), Body: strings.Repeat("u", uploadBytes), Address: instances[n%len(instances)].EntryAddress,
				})
			}
		})
	}
	group.Wait()
	return responses
}

// checkBroken checks that no answer that was reset is passed on as complete, that its request is
// repeated only where its route allows it, and that no request that ran is refused. It returns how
// many ran.
func checkBroken(u *earlyUpstream, path string, responses []host.Response) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	most := map[string]int{"/once/x": 1, "/stream/x": 1, "/safe/x": 2, "/resume/x": 2}[path]
	complete, ran, statuses := 0, 0, make(map[int]int)
	for n, got := range responses {
		runs := u.runs[fmt.Sprintf("upload-%d", n)]
		Expect(runs).To(BeNumerically("<=", most), "upload %d", n)
		ran += min(runs, 1)
		statuses[got.Status]++
		switch {
		case got.Status == http.StatusOK && got.Complete:
			complete++
		case got.Status == http.StatusServiceUnavailable:
			Expect(runs).To(BeZero(), "upload %d", n)
		case got.Status != http.StatusOK:
			Expect(got.Status).To(Equal(http.StatusBadGateway), got.Body)
			Expect(got.Sealed).To(BeFalse())
		}
	}
	GinkgoWriter.Printf("%s: %d of %d complete, %d ran, statuses %v\n", path, complete, len(responses), ran, statuses)
	Expect(complete).To(BeZero())
	return ran
}

// The part of an answer that came before a reset was passed on as a complete answer if the
// writer of the upload got the reset instead of the reader of the answer.
var _ = Describe("an answer without a length that comes while its upload is written", func() {
	resetSoon := func(c *net.TCPConn) {
		time.Sleep(rand.N(maxResetDelay))
		_ = c.SetLinger(0)
	}
	for path, whole := range earlyAnswer {
		It("is not passed on as complete if its connection is reset: "+path, func() {
			u := &earlyUpstream{runs: make(map[string]int), end: resetSoon}
			s := startRaw(1, "", u.serve)
			Expect(checkBroken(u, path, sendUploads(s, path, s.Instances))).To(BeNumerically(">=", uploadTries/2))
		})

		It("is passed on whole if its connection ends in order: "+path, func() {
			u := &earlyUpstream{runs: make(map[string]int), end: func(c *net.TCPConn) {
				_ = c.CloseWrite()
				time.Sleep(maxResetDelay)
			}}
			s := startRaw(1, "", u.serve)
			for _, got := range sendUploads(s, path, s.Instances) {
				Expect(got.Status).To(Equal(http.StatusOK), got.Body)
				Expect(got.Complete).To(BeTrue())
				Expect(got.Sealed).To(BeTrue())
				Expect(got.Body).To(Equal(whole))
			}
		})
	}

	It("is not passed on as complete by another instance", func() {
		const cutOff, path = "127.0.1.1", "/once/x"
		u := &earlyUpstream{runs: make(map[string]int), end: resetSoon}
		s := startRaw(2, cutOff, u.serve)
		Expect(s.Instances[0].Source).To(Equal(cutOff))
		Eventually(func() bool {
			_, err := s.Send(context.Background(), host.Request{ID: "small", Path: path, Address: s.Instances[0].EntryAddress})
			Expect(err).NotTo(HaveOccurred())
			return strings.Contains(s.Instances[0].Log(), "event=hop ")
		}, conditionTimeout).Should(BeTrue())
		Expect(checkBroken(u, path, sendUploads(s, path, s.Instances[:1]))).To(BeNumerically(">=", uploadTries/2))
	})

	// Instances none of whose upstreams answers take themselves for partitioned and send
	// requests through each other.
	It("is repeated no more often than its route allows by instances that send it through each other", func() {
		u := &earlyUpstream{runs: make(map[string]int), end: resetSoon}
		s := startRaw(2, "", u.serve)
		Expect(checkBroken(u, "/resume/x", sendUploads(s, "/resume/x", s.Instances))).NotTo(BeZero())
	})
})
