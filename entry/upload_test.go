package entry_test

import (
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

	cardamom "cardamomcourse.example/cardamom"
)

const (
	// uploadBytes is the length of an upload, more than the buffers of a connection hold.
	uploadBytes   = 3 << 20
	uploadTries   = 300
	uploadCallers = 8
	// maxResetDelay bounds the time from the answer to the reset.
	maxResetDelay = 3 * time.Millisecond
)

// The part of an answer that came before a reset was taken for a complete one if the writer of the
// upload got the reset.
var _ = Describe("an answer without a length that comes while its upload is written", func() {
	// send sends uploads to an upstream that answers, reads the upload in a goroutine and then
	// calls end. It returns how many answers were passed on as served. The channel is closed
	// when the upstream can read no more.
	send := func(end func(c *net.TCPConn, ended chan struct{})) int {
		h := newHarnessFor(2 * uploadBytes)
		h.useAddress(listenWith(func(c *net.TCPConn, _ *http.Request) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nan answer")
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				_, _ = io.Copy(io.Discard, c)
			}()
			end(c, ended)
		}))
		body := strings.Repeat("u", uploadBytes)
		var served, next atomic.Int64
		var group sync.WaitGroup
		for range uploadCallers {
			group.Go(func() {
				defer GinkgoRecover()
				for next.Add(1) <= uploadTries {
					response := h.do(http.MethodPost, "/services/a/x", body)
					text := readText(response)
					if response.Header.Get(cardamom.OutcomeHeader) == "served" {
						Expect(text).To(Equal("an answer"))
						served.Add(1)
					}
				}
			})
		}
		group.Wait()
		return int(served.Load())
	}

	It("is not passed on as complete if its connection is reset", func() {
		Expect(send(func(c *net.TCPConn, _ chan struct{}) {
			time.Sleep(rand.N(maxResetDelay))
			_ = c.SetLinger(0)
		})).To(BeZero())
	})

	It("is passed on whole if its connection ends in order", func() {
		Expect(send(func(c *net.TCPConn, ended chan struct{}) {
			_ = c.CloseWrite()
			<-ended
		})).To(Equal(uploadTries))
	})

	It("is passed on whole if its connection is reset after that end, with the upload unread", func() {
		Expect(send(func(c *net.TCPConn, _ chan struct{}) {
			_ = c.CloseWrite()
			time.Sleep(maxResetDelay)
		})).To(Equal(uploadTries))
	})
})
