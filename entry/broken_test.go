package entry_test

import (
	"bufio"
	_ "embed"
	"encoding/json"
	"io"
	"net"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	cardamom "cardamomcourse.example/cardamom"
)

// brokenHeads are answers of upstreams in trouble, byte by byte as given.
//
//go:embed testdata/broken_heads.json
var brokenHeads []byte

// listenWith starts an upstream that handles each connection with serve, after it has read the
// head of a request, and returns its address.
func listenWith(serve func(c *net.TCPConn, request *http.Request)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if request, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					serve(c.(*net.TCPConn), request)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// calls are a call of each kind: method, path and body.
var calls = map[string][3]string{
	"a safe call":  {http.MethodGet, "/services/a/x", ""},
	"a call":       {http.MethodPost, "/services/a/x", "the body"},
	"a completion": {http.MethodPost, "/v1/chat/completions", completionBody},
	"a stream":     {http.MethodPost, "/v1/chat/completions", streamBody},
}

var _ = Describe("an answer with a broken head", func() {
	var cases []struct {
		Name   string `json:"name"`
		Answer string `json:"answer"`
	}
	if err := json.Unmarshal(brokenHeads, &cases); err != nil {
		panic(err)
	}
	for kind, call := range calls {
		for _, broken := range cases {
			It("is no answer of "+kind+": "+broken.Name, func() {
				h := newHarness()
				h.useAddress(listenWith(func(c *net.TCPConn, request *http.Request) {
					_, _ = io.Copy(io.Discard, request.Body)
					_, _ = io.WriteString(c, broken.Answer)
				}))
				response := h.do(call[0], call[1], call[2])
				body := readText(response)
				Expect(response.Header.Get(cardamom.OutcomeHeader)).To(Equal("may-have-run"), body)
				Expect(body).NotTo(ContainSubstring("whole"))
			})
		}
	}
})
