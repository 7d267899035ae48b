package framed

import (
	"io"
	"net/http"

	"github.com/rotisserie/eris"
)

// maxHeaderBytes bounds the header of a response, informational responses included.
const maxHeaderBytes = 64 << 10

// ErrTooLong means that the body of a response is longer than its bound.
var ErrTooLong = eris.New("response body is too long")

// Limit bounds the headers and the bodies, in bytes, of the responses that a transport
// returns, and fails on invalid heads. It changes the transport.
func Limit(base *http.Transport, maxBody int64) http.RoundTripper {
	base.MaxResponseHeaderBytes = maxHeaderBytes
	return &limited{base: Checked(base), maxBody: maxBody}
}

type limited struct {
	base    http.RoundTripper
	maxBody int64
}

// RoundTrip implements http.RoundTripper.
func (l *limited) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := l.base.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	if response.ContentLength > l.maxBody {
		_ = response.Body.Close()
		return nil, eris.Wrapf(ErrTooLong, "%s %s: %d bytes", request.Method, request.URL.Path, response.ContentLength)
	}
	response.Body = &limitedBody{ReadCloser: response.Body, left: l.maxBody}
	return response, nil
}

// limitedBody fails once more bytes were read than are left.
type limitedBody struct {
	io.ReadCloser
	left int64
}

// Read implements io.Reader.
func (b *limitedBody) Read(data []byte) (int, error) {
	n, err := b.ReadCloser.Read(data)
	b.left -= int64(n)
	if b.left < 0 {
		return 0, ErrTooLong
	}
	return n, err
}
