package framed_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cardamomcourse.example/cardamom/framed"
	"cardamomcourse.example/cardamom/syncpb"
)

// serveEndless answers each call with the start and then the block without end. The
// channel is closed when the client has closed the connection.
func serveEndless(start, block string) (string, chan struct{}) {
	closed := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		connection, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer close(closed)
		defer connection.Close()
		_, err = io.WriteString(connection, start)
		for err == nil {
			_, err = io.WriteString(connection, block)
		}
	}))
	DeferCleanup(server.Close)
	return server.URL, closed
}

var _ = Describe("a response without end", func() {
	const (
		head     = "HTTP/1.1 200 OK\r\nContent-Type: application/protobuf\r\n"
		maxBody  = 1 << 20
		oneBlock = "4000\r\n"
	)
	block := oneBlock + strings.Repeat("x", 0x4000) + "\r\n"
	for name, answer := range map[string][2]string{
		"of header lines":            {head, strings.Repeat("X-Line: y\r\n", 100)},
		"of one header line":         {head + "X-Line: ", strings.Repeat("y", 1000)},
		"of informational responses": {"", strings.Repeat("HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n", 100)},
		"of chunks":                  {head + "Transfer-Encoding: chunked\r\n\r\n", block},
		"of a chunk's extension":     {head + "Transfer-Encoding: chunked\r\n\r\n5;", strings.Repeat("y", 1000)},
		"of a great length":          {head + "Content-Length: 99999999999\r\n\r\n", strings.Repeat("y", 1000)},
	} {
		It(name+" fails, and its connection is closed", func() {
			url, closed := serveEndless(answer[0], answer[1])
			client := syncpb.NewSyncProtobufClient(url, &http.Client{Transport: framed.New(framed.Limit(&http.Transport{}, maxBody))})
			_, err := client.Exchange(context.Background(), &syncpb.ExchangeRequest{})
			Expect(err).To(HaveOccurred())
			Eventually(closed, "10s").Should(BeClosed())
		})
	}

	It("that ends with its connection fails as well", func() {
		url, closed := serveEndless("HTTP/1.1 200 OK\r\n\r\n", strings.Repeat("y", 1000))
		client := &http.Client{Transport: framed.Limit(&http.Transport{}, maxBody)}
		response, err := client.Get(url)
		Expect(err).NotTo(HaveOccurred())
		body, err := io.ReadAll(response.Body)
		Expect(err).To(MatchError(framed.ErrTooLong))
		Expect(len(body)).To(BeNumerically("<=", maxBody))
		Expect(response.Body.Close()).To(Succeed())
		Eventually(closed, "10s").Should(BeClosed())
	})
})
