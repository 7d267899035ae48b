package conns_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cardamomcourse.example/cardamom/conns"
)

// A request that reached an upstream and counts as not sent would be repeated outside
// the retry budget.
var _ = Describe("a request of which the upstream has read a part", func() {
	reset := func(c net.Conn) { _ = c.(*net.TCPConn).SetLinger(0) }
	ends := map[string]func(c net.Conn){
		"is reset":                           func(c net.Conn) { reset(c) },
		"is closed without an answer":        func(net.Conn) {},
		"gets bytes that are no answer":      func(c net.Conn) { _, _ = c.Write([]byte("!\r\n\r\n")) },
		"gets half a header":                 func(c net.Conn) { _, _ = c.Write([]byte(answer[:20])) },
		"gets an informational answer alone": func(c net.Conn) { _, _ = c.Write([]byte("HTTP/1.1 103 Early Hints\r\n\r\n")) },
		"gets a header and is reset":         func(c net.Conn) { _, _ = c.Write([]byte("HTTP/1.1 200 OK\r\n")); reset(c) },
	}
	bodies := map[string]int{"without a body": 0, "with a body written at once": 1 << 10, "with a body written apart": 1 << 20}
	for how, end := range ends {
		for size, bytes := range bodies {
			for _, kept := range []bool{false, true} {
				name := how + ", " + size
				if kept {
					name += ", on a kept connection"
				}
				It("counts as sent if it "+name, func() {
					var began atomic.Int32
					address := startUpstream(func(c net.Conn, _ int) {
						if kept {
							_ = readRequest(c)
							_, _ = c.Write([]byte(answer))
						}
						if n, _ := c.Read(make([]byte, 1)); n == 1 {
							began.Add(1)
						}
						end(c)
					})
					pool := conns.New(nil)
					if kept {
						response, err := pool.Do(context.Background(), address, &conns.Request{Method: http.MethodGet, Target: "/", Host: "h"})
						Expect(err).NotTo(HaveOccurred())
						response.Discard()
						response.Close()
					}
					_, err := pool.Do(context.Background(), address, &conns.Request{Method: http.MethodPost, Target: "/", Host: "h", Body: []byte(strings.Repeat("a", bytes))})
					Expect(err).To(HaveOccurred())
					Expect(errors.Is(err, conns.ErrNotSent)).To(BeFalse())
					Expect(began.Load()).To(BeEquivalentTo(1))
				})
			}
		}
	}
})

// A response that stops in its header reached callers as a whole one with an empty body.
var _ = Describe("a response that stops in its header", func() {
	const head = "HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nContent-Type: text/event-stream\r\nContent-Length: 5\r\n\r\n"
	It("is no response, wherever it stops", func() {
		stop := make(chan int, 1)
		address := startUpstream(func(c net.Conn, _ int) {
			if readRequest(c) {
				_, _ = c.Write([]byte(head[:<-stop]))
			}
		})
		for length := range len(head) {
			stop <- length
			_, err := conns.New(nil).Do(context.Background(), address, &conns.Request{Method: http.MethodGet, Target: "/", Host: "h"})
			Expect(err).To(HaveOccurred(), head[:length])
			Expect(errors.Is(err, conns.ErrNotSent)).To(BeFalse(), head[:length])
		}
	})
})
