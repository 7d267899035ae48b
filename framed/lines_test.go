package framed_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"cardamomcourse.example/cardamom/framed"
)

// pieces is a connection that gives out its text in pieces of the given sizes.
type pieces struct {
	net.Conn
	text  string
	sizes func() int
}

// Read implements net.Conn.
func (p *pieces) Read(data []byte) (int, error) {
	if p.text == "" {
		return 0, io.EOF
	}
	n := copy(data, p.text[:min(len(p.text), p.sizes())])
	p.text = p.text[n:]
	return n, nil
}

// A line that begins with a blank was joined with the one before, so that a blank before
// Transfer-Encoding made the marks of the chunks part of the body.
func TestLines(t *testing.T) {
	const body = "\r\n folded\n\tbody\r\n"
	rapid.Check(t, func(t *rapid.T) {
		line := rapid.SampledFrom([]string{"A: 1\r\n", "B-C:\r\n", "Server: x y\r\n", "D: \t1\r\n", "E: 1\n"})
		head := func(status string) string {
			return status + strings.Join(rapid.SliceOfN(line, 1, 5).Draw(t, "lines"), "")
		}
		text := ""
		if rapid.Bool().Draw(t, "informational") {
			text = head("HTTP/1.1 103 Early Hints\r\n") + "\r\n"
		}
		text += head("HTTP/1.1 200 OK\r\n")
		begins := -1
		if rapid.Bool().Draw(t, "folded") {
			begins = len(text)
			text += rapid.SampledFrom([]string{" X: 1\r\n", "\tX: 1\r\n", " \r\n"}).Draw(t, "line that begins with a blank")
		}
		text += "\r\n" + body
		conn := framed.NewLineConn(&pieces{text: text, sizes: func() int { return rapid.IntRange(1, 40).Draw(t, "size") }})
		conn.ExpectHead()
		got, err := io.ReadAll(conn)
		switch {
		case begins < 0 && (err != nil || string(got) != text):
			t.Fatalf("read %q, %v of %q", got, err, text)
		case begins >= 0 && (err == nil || string(got) != text[:begins]):
			t.Fatalf("read %q, %v of %q", got, err, text)
		}
	})
}

var _ = Describe("a connection with a look at the lines of heads", func() {
	It("looks at each response on it, also on one that is used again", func() {
		answers := []string{"\r\n", "\r\n", " X: 1\r\n\r\n"}
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		go func() {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			defer c.Close()
			reader := bufio.NewReader(c)
			for _, answer := range answers {
				if _, err := http.ReadRequest(reader); err != nil {
					return
				}
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n"+answer+"\r\n folded"[:8])
			}
		}()
		dials := 0
		client := &http.Client{Transport: framed.Lines(&http.Transport{DialContext: func(_ context.Context, network, address string) (net.Conn, error) {
			dials++
			base, err := net.Dial(network, address)
			return framed.NewLineConn(base), err
		}})}
		for range answers[:2] {
			response, err := client.Get("http://" + listener.Addr().String())
			Expect(err).NotTo(HaveOccurred())
			body, err := io.ReadAll(response.Body)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(body)).To(Equal("\r\n folde"))
			Expect(response.Body.Close()).To(Succeed())
		}
		_, err = client.Get("http://" + listener.Addr().String()) //nolint:bodyclose // There is none.
		Expect(err).To(MatchError(ContainSubstring("begins with a blank")))
		Expect(dials).To(Equal(1))
	})
})
