package conns_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cardamomcourse.example/cardamom/conns"
)

func TestConns(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "conns")
}

// startUpstream starts an upstream and returns its address. The upstream calls serve
// for each connection, with the connection's number from 1.
func startUpstream(serve func(c net.Conn, number int)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	go func() {
		for number := 1; ; number++ {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				serve(c, number)
			}()
		}
	}()
	return listener.Addr().String()
}

// readRequest reads one request without a body.
func readRequest(c net.Conn) bool {
	var head strings.Builder
	one := make([]byte, 1)
	for !strings.HasSuffix(head.String(), "\r\n\r\n") {
		if _, err := c.Read(one); err != nil {
			return false
		}
		head.Write(one)
	}
	return true
}

const answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func get(pool *conns.Pool, address string) (string, error) {
	response, err := pool.Do(context.Background(), address, &conns.Request{Method: http.MethodGet, Target: "/", Host: "h"})
	if err != nil {
		return "", err
	}
	defer response.Close()
	body, err := io.ReadAll(response)
	return string(body), err
}

var _ = Describe("connections to upstreams", func() {
	var opened atomic.Int64
	var pool *conns.Pool

	BeforeEach(func() {
		opened.Store(0)
		pool = conns.New(func() { opened.Add(1) })
	})

	It("are reused for the next request", func() {
		address := startUpstream(func(c net.Conn, _ int) {
			for readRequest(c) {
				_, _ = io.WriteString(c, answer)
			}
		})
		for range 3 {
			Expect(get(pool, address)).To(Equal("ok"))
		}
		Expect(opened.Load()).To(BeEquivalentTo(1))
	})

	It("are not reused after bytes beyond the response", func() {
		address := startUpstream(func(c net.Conn, _ int) {
			for readRequest(c) {
				_, _ = io.WriteString(c, answer+answer)
			}
		})
		Expect(get(pool, address)).To(Equal("ok"))
		Expect(get(pool, address)).To(Equal("ok"))
		Expect(opened.Load()).To(BeEquivalentTo(2))
	})

	It("distinguish a request that was not sent from one that may have run", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		Expect(listener.Close()).To(Succeed())
		_, err = get(pool, listener.Addr().String())
		Expect(errors.Is(err, conns.ErrNotSent)).To(BeTrue())
		address := startUpstream(func(c net.Conn, _ int) { readRequest(c) })
		_, err = get(pool, address)
		Expect(errors.Is(err, conns.ErrBroken)).To(BeTrue())
	})

	It("never resend a request by themselves", func() {
		var requests atomic.Int64
		address := startUpstream(func(c net.Conn, number int) {
			for n := 0; readRequest(c); n++ {
				requests.Add(1)
				if number == 1 && n == 1 {
					return
				}
				_, _ = io.WriteString(c, answer)
			}
		})
		Expect(get(pool, address)).To(Equal("ok"))
		_, err := get(pool, address)
		Expect(errors.Is(err, conns.ErrBroken)).To(BeTrue())
		Expect(requests.Load()).To(BeEquivalentTo(2))
	})

	DescribeTable("report a truncated or invalid response",
		func(bytes string) {
			address := startUpstream(func(c net.Conn, _ int) {
				readRequest(c)
				_, _ = io.WriteString(c, bytes)
			})
			_, err := get(pool, address)
			Expect(errors.Is(err, conns.ErrBroken) || errors.Is(err, conns.ErrInvalidResponse)).To(BeTrue(), "%v", err)
		},
		Entry("in its body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok"),
		Entry("in a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nok"),
		Entry("before the last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"),
		Entry("in its header", "HTTP/1.1 200 OK\r\nContent-Le"),
		Entry("without a status line", "hello\r\n\r\n"),
	)

	It("read a response that comes before the upstream has read the body", func() {
		address := startUpstream(func(c net.Conn, _ int) {
			readRequest(c)
			_, _ = io.WriteString(c, "HTTP/1.1 429 Too Many Requests\r\nContent-Length: 0\r\n\r\n")
			_, _ = io.Copy(io.Discard, c)
		})
		response, err := pool.Do(context.Background(), address, &conns.Request{Method: http.MethodPost, Target: "/", Host: "h", Body: make([]byte, 16<<20)})
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Status()).To(Equal(http.StatusTooManyRequests))
		response.Close()
	})

	It("are closed when the request's context ends", func() {
		closed, arrived := make(chan struct{}), make(chan bool, 1)
		address := startUpstream(func(c net.Conn, _ int) {
			arrived <- readRequest(c)
			_, _ = c.Read(make([]byte, 1))
			close(closed)
		})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() {
			_, err := pool.Do(ctx, address, &conns.Request{Method: http.MethodGet, Target: "/", Host: "h"})
			done <- err
		}()
		Eventually(arrived, 10*time.Second).Should(Receive(BeTrue()))
		cancel()
		Eventually(done, 10*time.Second).Should(Receive(HaveOccurred()))
		Eventually(closed, 10*time.Second).Should(BeClosed())
	})
})

var _ = Describe("an idle connection on which bytes come that nobody asked for", func() {
	It("is closed by the next sweep", func() {
		more, closed := make(chan struct{}), make(chan struct{})
		address := startUpstream(func(c net.Conn, _ int) {
			if !readRequest(c) {
				return
			}
			_, _ = io.WriteString(c, answer)
			<-more
			_, _ = io.WriteString(c, strings.Repeat("x", 1000))
			_, _ = io.Copy(io.Discard, c)
			close(closed)
		})
		pool := conns.New(nil)
		response, err := pool.Do(context.Background(), address, &conns.Request{Method: http.MethodGet, Target: "/", Host: "h"})
		Expect(err).NotTo(HaveOccurred())
		_, err = io.ReadAll(response)
		Expect(err).NotTo(HaveOccurred())
		response.Close()
		pool.Sweep(time.Now())
		Consistently(closed, 50*time.Millisecond).ShouldNot(BeClosed())
		close(more)
		Eventually(func() chan struct{} { pool.Sweep(time.Now()); return closed }, 10*time.Second).Should(BeClosed())
	})
})
