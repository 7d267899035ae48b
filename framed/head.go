package framed

import (
	"net/http"
	"strings"

	"github.com/rotisserie/eris"
)

// ErrInvalidHead means that the protocol allows no response with such a head.
var ErrInvalidHead = eris.New("response has an invalid head")

// minStatus and maxStatus are the lowest and the highest status code.
const (
	minStatus = 100
	maxStatus = 599
)

// CheckHead returns ErrInvalidHead for a head that net/http has parsed but the protocol doesn't
// allow: one with a status code below 100 or above 599, or with a blank in the name of a field. If that name is
// meant to be Content-Length or Transfer-Encoding, net/http has misread where the body ends.
func CheckHead(response *http.Response) error {
	if response.StatusCode < minStatus || response.StatusCode > maxStatus {
		return eris.Wrapf(ErrInvalidHead, "status %q", response.Status)
	}
	for name := range response.Header {
		if strings.Contains(name, " ") {
			return eris.Wrapf(ErrInvalidHead, "field name %q", name)
		}
	}
	return nil
}

// Checked returns a transport that sends requests by base and fails on responses with an invalid
// head.
func Checked(base http.RoundTripper) http.RoundTripper { return &checked{base: base} }

type checked struct {
	base http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (c *checked) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := c.base.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	if err := CheckHead(response); err != nil {
		_ = response.Body.Close()
		return nil, eris.Wrapf(err, "%s %s", request.Method, request.URL.Path)
	}
	return response, nil
}
