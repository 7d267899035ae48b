package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/rotisserie/eris"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/framed"
)

// NotRunHeader is set by an upstream that guarantees it did not start the request.
const NotRunHeader = "Engine-Not-Run"

const (
	// dialTimeout is the timeout of a TCP connect.
	dialTimeout = 500 * time.Millisecond
	// idleConnTimeout is how long an idle connection to an upstream is kept.
	idleConnTimeout = 30 * time.Second
	// maxIdleConnsPerUpstream limits the idle connections to one upstream.
	maxIdleConnsPerUpstream = 256
	// maxHeaderBytes limits the header of a response.
	maxHeaderBytes = 64 << 10
	// maxResponseBytes limits the body of a response that is not streamed.
	maxResponseBytes = 32 << 20
)

// errTooLarge means that an upstream's response or an event of its stream exceeded
// the size limit.
var errTooLarge = eris.New("upstream response too large")

// oneShotReader hides the type of a body's reader, so that net/http sets no GetBody
// and can't send the request again on its own.
type oneShotReader struct{ io.Reader }

// sender sends single attempts to upstreams.
type sender struct {
	pooled   *http.Client
	unpooled *http.Client
}

func newSender() *sender {
	return &sender{pooled: newClient(true), unpooled: newClient(false)}
}

func newClient(keepAlive bool) *http.Client {
	return &http.Client{
		Transport: framed.Checked(framed.Lines(&http.Transport{
			DialContext:         dialContext,
			MaxIdleConnsPerHost: maxIdleConnsPerUpstream, IdleConnTimeout: idleConnTimeout,
			DisableCompression: true, DisableKeepAlives: !keepAlive, MaxResponseHeaderBytes: maxHeaderBytes,
			WriteBufferSize: 16 << 10, ReadBufferSize: 16 << 10,
		})),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// attemptResult is the result of one attempt.
type attemptResult struct {
	response *http.Response
	// sent is true if a part of the request may have been sent.
	sent bool
	err  error
}

// notRun reports whether the upstream certainly did not start the request.
func (r attemptResult) notRun() bool {
	if r.err != nil {
		return !r.sent
	}
	return r.response.Header.Get(NotRunHeader) != ""
}

// send makes one attempt. A non-repeatable request gets a connection of its own: if
// the upstream had closed a pooled connection while it was idle, it would be unclear
// whether the request ran.
func (s *sender) send(ctx context.Context, r *http.Request, url string, header http.Header, body []byte, nonRepeatable bool) attemptResult {
	var result attemptResult
	hooks := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { result.sent = true }}
	var reader io.Reader = http.NoBody
	if len(body) > 0 {
		reader = oneShotReader{bytes.NewReader(body)}
	}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, hooks), r.Method, url, reader)
	if err != nil {
		result.err = eris.Wrap(err, "build request")
		return result
	}
	req.Header = header
	req.ContentLength = int64(len(body))
	client := s.pooled
	if nonRepeatable {
		client = s.unpooled
	}
	result.response, result.err = client.Do(req) //nolint:bodyclose // The caller closes it.
	return result
}

// upstreamHeader returns the headers to send to an upstream.
func upstreamHeader(r *http.Request, req *request, id string) http.Header {
	header := make(http.Header, 6)
	for _, name := range []string{"Content-Type", "Accept", "Authorization"} {
		if value := r.Header.Get(name); value != "" {
			header.Set(name, value)
		}
	}
	header.Set(RequestIDHeader, id)
	if req.key != "" {
		header.Set(UpstreamKeyHeader, req.key)
	}
	return header
}

// readBody reads a response that is not streamed. It fails if the response is
// truncated.
func readBody(response *http.Response) ([]byte, error) {
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err != nil {
		return nil, eris.Wrap(err, "read response")
	}
	if len(body) > maxResponseBytes {
		return nil, errTooLarge
	}
	return body, nil
}

// readCompletion reads a completion that is not streamed, a JSON document. One with
// neither a length nor chunks ends with its connection, also if the engine fails, and
// so is whole only if the document is.
func readCompletion(response *http.Response) ([]byte, error) {
	body, err := readBody(response)
	if err == nil && response.ContentLength < 0 && len(response.TransferEncoding) == 0 && !json.Valid(body) {
		return nil, errCompletionTruncated
	}
	return body, err
}

func closeBody(response *http.Response) {
	if response != nil {
		_ = response.Body.Close()
	}
}

func upstreamLost(err error) *cardamom.Refusal {
	return cardamom.Fail(cardamom.ReasonUpstreamLost, "upstream was lost: "+err.Error())
}
