package relay_test

import (
	"bufio"
	_ "embed"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cardamomcourse.example/cardamom/coord"
)

// brokenHeads are answers of upstreams in trouble, byte by byte as given. ID stands for the id of
// the request.
//
//go:embed testdata/broken_heads.json
var brokenHeads []byte

// brokenHead is an answer with a broken head.
type brokenHead struct {
	Name   string `json:"name"`
	Answer string `json:"answer"`
	// Open means that the connection stays open after the answer.
	Open bool `json:"open"`
}

// troubled is an upstream that gives the same answer to each request.
type troubled struct {
	brokenHead
	mu   sync.Mutex
	runs map[string]int
}

func (u *troubled) serve(c net.Conn) {
	defer c.Close()
	request, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	id := request.Header.Get("Request-Id")
	u.mu.Lock()
	u.runs[id]++
	u.mu.Unlock()
	_, _ = io.WriteString(c, strings.ReplaceAll(u.Answer, "ID", id))
	if u.Open {
		_, _ = io.Copy(io.Discard, c)
	}
}

var _ = Describe("an answer with a broken head", func() {
	var cases []brokenHead
	if err := json.Unmarshal(brokenHeads, &cases); err != nil {
		panic(err)
	}
	for path, runs := range map[string]int{"/once/x": 1, "/safe/x": 2, "/stream/x": 1, "/resume/x": 2} {
		for _, broken := range cases {
			It(fmt.Sprintf("is no answer of %s: %s", path, broken.Name), func() {
				w := newFixture(coord.AwaitResult{})
				upstream := &troubled{brokenHead: broken, runs: make(map[string]int)}
				address := listenWith(upstream.serve)
				w.upstreams[0].Address, w.upstreams[1].Address = address, address
				model := ""
				if strings.HasPrefix(path, "/stream") || strings.HasPrefix(path, "/resume") {
					model = "m"
				}
				began := time.Now()
				response, err := http.DefaultClient.Do(w.newRequest(path, model, nil))
				Expect(err).NotTo(HaveOccurred())
				defer response.Body.Close()
				body, err := io.ReadAll(response.Body)
				Expect(err).NotTo(HaveOccurred())
				Expect(response.StatusCode).To(Equal(http.StatusBadGateway), "%v %s", response.Header, body)
				Expect(response.Header).NotTo(HaveKey("Server-Seal"))
				Expect(time.Since(began)).To(BeNumerically("<", 5*time.Second))
				upstream.mu.Lock()
				defer upstream.mu.Unlock()
				Expect(upstream.runs).To(HaveKeyWithValue("r-1", runs))
			})
		}
	}
})
