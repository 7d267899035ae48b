// Package framed makes an HTTP client fail on responses whose end can't be told from
// a connection that broke: those with neither a length nor chunks. Protobuf messages
// need it, as one that is cut between two fields decodes as if it were whole. It also
// bounds responses that have no end at all, and fails on heads that the protocol doesn't
// allow.
//
// Where responses without a length are accepted, Conn makes those fail whose connection
// was reset.
//
// # Usage
//
//	client := &http.Client{Transport: framed.New(framed.Limit(transport, maxReplyBytes))}
//	peer := syncpb.NewSyncProtobufClient("http://10.0.0.7:7380", client)
//
//	base, err := dialer.DialContext(ctx, "tcp", "10.0.0.7:8080")
//	connection := framed.NewConn(base)
package framed

import (
	"net/http"

	"github.com/rotisserie/eris"
)

// ErrUnframed means that a response has neither a length nor chunks.
var ErrUnframed = eris.New("response has neither a length nor chunks")

// Transport is an http.RoundTripper that fails on unframed responses.
type Transport struct {
	base http.RoundTripper
}

// New returns a transport that sends requests by base.
func New(base http.RoundTripper) *Transport { return &Transport{base: base} }

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.base.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		_ = response.Body.Close()
		return nil, eris.Wrapf(ErrUnframed, "%s %s", request.Method, request.URL.Path)
	}
	return response, nil
}
