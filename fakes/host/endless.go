package host

import (
	"fmt"
	"net/http"
	"strings"
)

// endlessBlock is the size of one write of bytes without end.
const endlessBlock = 16 << 10

// writeEndless writes bytes without end, or stalls, until the client closes the
// connection.
func (u *Upstream) writeEndless(behaviour Behaviour, w http.ResponseWriter, r *http.Request) {
	connection, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer connection.Close()
	body := "whole answer to " + r.Header.Get("Request-Id")
	head := "HTTP/1.1 200 OK\r\nRequest-Id: " + r.Header.Get("Request-Id") + "\r\nServer-Seal: seal." + u.spec.ID + "\r\n"
	refusal := "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\n"
	chunked := head + "Transfer-Encoding: chunked\r\n\r\n"
	chunk := fmt.Sprintf("%x\r\n%s\r\n", endlessBlock, strings.Repeat("x", endlessBlock))
	start, block := "", strings.Repeat("x", endlessBlock)
	switch behaviour {
	case EndlessStatus:
		start = "HTTP/1.1 200 "
	case EndlessHeader:
		start, block = head, strings.Repeat("X-Line: "+strings.Repeat("y", 100)+"\r\n", 100)
	case EndlessInformational:
		block = strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n", 100)
	case EndlessChunkLine:
		start = chunked + "5;"
	case EndlessTrailer:
		start, block = chunked+"0\r\n", strings.Repeat("X-Line: y\r\n", 100)
	case EndlessBody:
		start, block = chunked, chunk
	case EndlessEvent:
		start = head + "\r\nid: 1\ndata: "
	case EndlessRefusal:
		start, block = refusal+"Transfer-Encoding: chunked\r\n\r\n", chunk
	case StalledRefusal:
		start = refusal + "Content-Length: 10\r\n\r\nx"
	default:
		start = fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	}
	if _, err := connection.Write([]byte(start)); err != nil {
		return
	}
	if behaviour == StalledRefusal {
		_, _ = connection.Read(make([]byte, 1))
		return
	}
	data := []byte(block)
	for {
		if _, err := connection.Write(data); err != nil {
			u.mu.Lock()
			u.disconnects++
			u.mu.Unlock()
			return
		}
	}
}
