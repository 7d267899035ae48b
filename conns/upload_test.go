package conns_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cardamomcourse.example/cardamom/conns"
)

// The part of a response that came before a reset passed for the whole one if the writer of the
// body got the reset.
var _ = Describe("a response without a length that comes while its request's body is written", func() {
	const (
		size = 8 << 20
		head = "HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\n\r\n"
	)
	// send returns the body of the response. It reads it only once the upstream has ended the
	// connection, so that the writer learns of that first.
	send := func(end func(c *net.TCPConn)) (string, error) {
		ended := make(chan struct{})
		address := startUpstream(func(c net.Conn, _ int) {
			_ = readRequest(c)
			_, _ = io.WriteString(c, head+"answer")
			_, _ = io.CopyN(io.Discard, c, size/4)
			end(c.(*net.TCPConn))
			close(ended)
		})
		response, err := conns.New(nil).Do(context.Background(), address, &conns.Request{Method: http.MethodPost, Target: "/", Host: "h", Body: make([]byte, size)})
		Expect(err).NotTo(HaveOccurred())
		defer response.Close()
		<-ended
		time.Sleep(20 * time.Millisecond)
		body, err := io.ReadAll(response)
		return string(body), err
	}

	It("is broken if the connection is reset", func() {
		_, err := send(func(c *net.TCPConn) {
			_ = c.SetLinger(0)
			_ = c.Close()
		})
		Expect(err).To(MatchError(conns.ErrBroken))
	})

	It("is whole if the upstream closes its side and reads on", func() {
		Expect(send(func(c *net.TCPConn) {
			_ = c.CloseWrite()
			go func() { _, _ = io.Copy(io.Discard, c) }()
		})).To(Equal("answer"))
	})

	It("is whole if the upstream closes its side and reads no more", func() {
		Expect(send(func(c *net.TCPConn) { _ = c.CloseWrite() })).To(Equal("answer"))
	})

	It("is whole if the upstream closes its side and resets the connection after that", func() {
		Expect(send(func(c *net.TCPConn) {
			_ = c.CloseWrite()
			time.Sleep(10 * time.Millisecond)
			_ = c.Close()
		})).To(Equal("answer"))
	})
})
