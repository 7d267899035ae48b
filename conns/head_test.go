package conns_test

import (
	"fmt"
	"io"
	"net"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cardamomcourse.example/cardamom/conns"
)

var _ = Describe("a sound response whose body has lines that begin with blanks", func() {
	const body = "first\n second\n\tthird\r\n fourth"
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	const ok = "HTTP/1.1 200 OK\r\n"
	for name, head := range map[string]string{
		"with a short header":                ok + length,
		"with blanks and tabs in its values": ok + "X-Blanks:  a \t b \r\nX-Empty:\r\n" + length,
		"with a header longer than a read":   ok + strings.Repeat("X-Long: "+strings.Repeat("v", 90)+"\r\n", 100) + length,
		"with lines that end with a newline": strings.ReplaceAll(ok+length, "\r", ""),
		"without a length":                   ok,
		"after an informational response":    "HTTP/1.1 103 Early Hints\r\nLink: </a b>\r\n\r\n" + ok + length,
	} {
		for _, split := range []bool{false, true} {
			It(fmt.Sprintf("is whole %s, split %t", name, split), func() {
				text := head + "\r\n" + body
				address := startUpstream(func(c net.Conn, _ int) {
					if !readRequest(c) {
						return
					}
					if !split {
						_, _ = io.WriteString(c, text)
						return
					}
					for n := 0; n < len(text); n += 7 {
						_, _ = io.WriteString(c, text[n:min(n+7, len(text))])
					}
				})
				Expect(get(conns.New(nil), address)).To(Equal(body))
			})
		}
	}
})
