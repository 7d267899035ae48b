package conns

import (
	"bytes"
	"math"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"cardamomcourse.example/cardamom/framed"
)

// statusLine matches the start of a status line.
var statusLine = regexp.MustCompile(`HTTP/1\.[01] [1-5][0-9]{2}`)

// findStatusLine returns the start of a status line inside a response's header, and whether
// there is one: a response broke off in its header and another one follows, so that the header
// belongs to neither.
func findStatusLine(response *http.Response) (string, bool) {
	if line := statusLine.FindString(response.Status); line != "" {
		return line, true
	}
	for _, values := range response.Header {
		for _, value := range values {
			if line := statusLine.FindString(value); line != "" {
				return line, true
			}
		}
	}
	return "", false
}

// readHeader reads the header of the final response. It skips informational
// (1xx) responses, except that 101 is an error, as no protocol switch is supported.
func (c *conn) readHeader(method string) (*http.Response, error) {
	c.bounded.left, c.bounded.recording = maxHeadBytes, true
	defer func() { c.bounded.left, c.bounded.recording, c.bounded.recorded = math.MaxInt64, false, nil }()
	for {
		buffered, err := c.reader.Peek(c.reader.Buffered())
		if err != nil {
			return nil, eris.Wrap(ErrBroken, err.Error())
		}
		c.bounded.recorded = append(c.bounded.recorded[:0], buffered...)
		if _, err := c.reader.Peek(1); err != nil {
			return nil, eris.Wrap(ErrBroken, err.Error())
		}
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, eris.Wrap(ErrInvalidResponse, err.Error())
		}
		head := c.bounded.recorded[:len(c.bounded.recorded)-c.reader.Buffered()]
		if err := checkHead(response, head); err != nil {
			return nil, eris.Wrap(ErrInvalidResponse, err.Error())
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return nil, eris.Wrap(ErrInvalidResponse, "status 101")
		}
	}
}

// checkHead returns an error unless a head is a valid one of a single response. head has its bytes
// as they came.
func checkHead(response *http.Response, head []byte) error {
	if err := framed.CheckHead(response); err != nil {
		return err
	}
	if hasFoldedLine(head) {
		return eris.New("a line of its header begins with a blank")
	}
	if line, ok := findStatusLine(response); ok {
		return eris.Errorf("its header contains the status line %q of another response", line)
	}
	return nil
}

// hasFoldedLine reports whether a line of a head begins with a blank. net/http joins it with the
// line before. A sender must not fold lines and a proxy may refuse to join them (RFC 9112, 5.2):
// the line may as well be a field of its own whose name is broken.
func hasFoldedLine(head []byte) bool {
	return bytes.Contains(head, []byte("\n ")) || bytes.Contains(head, []byte("\n\t"))
}

// keepAliveTimeout returns how long a connection may stay idle, from the response's
// Keep-Alive header.
func keepAliveTimeout(header http.Header) time.Duration {
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return max(time.Duration(seconds)*time.Second-idleMargin, 0)
		}
	}
	return defaultIdleTimeout
}

// encodeHead returns the request line and headers. Names and values come from a
// parsed request, so they contain no line breaks.
func encodeHead(request *Request) []byte {
	var head bytes.Buffer
	head.Grow(512)
	head.WriteString(request.Method)
	head.WriteByte(' ')
	head.WriteString(request.Target)
	head.WriteString(" HTTP/1.1\r\nHost: ")
	head.WriteString(request.Host)
	head.WriteString("\r\n")
	for name, values := range request.Header {
		for _, value := range values {
			head.WriteString(name)
			head.WriteString(": ")
			head.WriteString(value)
			head.WriteString("\r\n")
		}
	}
	if len(request.Body) > 0 || request.Method == http.MethodPost || request.Method == http.MethodPut || request.Method == http.MethodPatch {
		head.WriteString("Content-Length: ")
		head.WriteString(strconv.Itoa(len(request.Body)))
		head.WriteString("\r\n")
	}
	head.WriteString("\r\n")
	return head.Bytes()
}
