package proof_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cardamomcourse.example/cardamom/fakes/host"
)

// brokenHeads are answers with a broken head. ID stands for the id of the request.
var brokenHeads = map[string]string{
	"status 000":                    "HTTP/1.1 000 Trouble\r\nRequest-Id: ID\r\nServer-Seal: seal.r-1\r\nContent-Length: 0\r\n\r\n",
	"status 600":                    "HTTP/1.1 600 Trouble\r\nRequest-Id: ID\r\nServer-Seal: seal.r-1\r\nContent-Length: 6\r\n\r\nanswer",
	"a blank before the colon":      "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nServer-Seal: seal.r-1\r\nX-Trouble : 1\r\nContent-Length: 6\r\n\r\nanswer",
	"a blank inside":                "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nServer-Seal: seal.r-1\r\nX Trouble: 1\r\nContent-Length: 6\r\n\r\nanswer",
	"a blank in the name of chunks": "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nServer-Seal: seal.r-1\r\nTransfer-Encoding : chunked\r\n\r\n6\r\nanswer\r\n0\r\n\r\n",
	"a zero byte":                   "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nServer-Seal: seal.r-1\r\nX-\x00Trouble: 1\r\nContent-Length: 6\r\n\r\nanswer",
	"a tab":                         "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nServer-Seal: seal.r-1\r\nX\tTrouble: 1\r\nContent-Length: 6\r\n\r\nanswer",
}

var _ = Describe("an answer whose head is broken", func() {
	for name, answer := range brokenHeads {
		It("is not passed on: "+name, func() {
			s := startRaw(1, "", func(c *net.TCPConn, request *http.Request) {
				_, _ = io.Copy(io.Discard, request.Body)
				_, _ = io.WriteString(c, strings.ReplaceAll(answer, "ID", request.Header.Get("Request-Id")))
			})
			for n, path := range []string{"/once/x", "/safe/x"} {
				got, err := s.Send(context.Background(), host.Request{ID: fmt.Sprintf("head-%d", n), Path: path, Body: "b", Address: s.Instances[n].EntryAddress})
				Expect(err).NotTo(HaveOccurred())
				Expect(got.Status).To(Equal(http.StatusBadGateway), got.Body)
				Expect(got.Sealed).To(BeFalse())
				Expect(got.Body).NotTo(ContainSubstring("answer"))
			}
		})
	}
})
