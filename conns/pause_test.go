package conns_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cardamomcourse.example/cardamom/conns"
)

var _ = Describe("an upstream that pauses reading a long body", func() {
	const size = 8 << 20
	// A pause is longer than the time after which a partition is noticed.
	const pause = 4 * time.Second

	send := func(ctx context.Context, address string) (string, error) {
		response, err := conns.New(nil).Do(ctx, address, &conns.Request{Method: http.MethodPost, Target: "/", Host: "h", Body: []byte(strings.Repeat("a", size))})
		if err != nil {
			return "", err
		}
		defer response.Close()
		body, err := io.ReadAll(response)
		return string(body), err
	}
	readBody := func(c net.Conn, bytes int64) {
		_, _ = io.Copy(io.Discard, io.LimitReader(c, bytes))
	}

	It("gets all of it, and its answer is passed on whole", func() {
		address := startUpstream(func(c net.Conn, _ int) {
			_ = readRequest(c)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nab")
			time.Sleep(pause)
			readBody(c, size)
			_, _ = io.WriteString(c, "cd")
		})
		Expect(send(context.Background(), address)).To(Equal("abcd"))
	})

	It("gets all of it also if it pauses several times, and answers after that", func() {
		address := startUpstream(func(c net.Conn, _ int) {
			_ = readRequest(c)
			for range 3 {
				time.Sleep(pause * 3 / 4)
				readBody(c, size/4)
			}
			time.Sleep(pause)
			readBody(c, size/4)
			_, _ = io.WriteString(c, answer)
		})
		Expect(send(context.Background(), address)).To(Equal("ok"))
	})

	It("ends at the deadline of the request if it reads on no more", func() {
		address := startUpstream(func(c net.Conn, _ int) {
			_ = readRequest(c)
			time.Sleep(3 * pause)
		})
		ctx, cancel := context.WithTimeout(context.Background(), pause)
		defer cancel()
		began := time.Now()
		_, err := send(ctx, address)
		Expect(err).To(MatchError(conns.ErrBroken))
		Expect(time.Since(began)).To(BeNumerically("~", pause, time.Second))
	})
})
