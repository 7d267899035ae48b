package conns

import (
	"bufio"
	"bytes"
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
func readHeader(reader *bufio.Reader, method string) (*http.Response, error) {
	for {
		if _, err := reader.Peek(1); err != nil {
			return nil, eris.Wrap(ErrBroken, err.Error())
		}
		response, err := http.ReadResponse(reader, &http.Request{Method: method})
		if err != nil {
			return nil, eris.Wrap(ErrInvalidResponse, err.Error())
		}
		if err := framed.CheckHead(response); err != nil {
			return nil, eris.Wrap(ErrInvalidResponse, err.Error())
		}
		if line, ok := findStatusLine(response); ok {
			return nil, eris.Wrapf(ErrInvalidResponse, "its header contains the status line %q of another response", line)
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return nil, eris.Wrap(ErrInvalidResponse, "status 101")
		}
	}
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
