package entry

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/rotisserie/eris"

	cardamom "cardamomcourse.example/cardamom"
)

// NotRunHeader is set by an upstream that proves it did not start a request.
const NotRunHeader = "Engine-Not-Run"

const (
	// dialTimeout is the greatest time of one connect.
	dialTimeout = 500 * time.Millisecond
	// upstreamIdle is how long an unused connection to an upstream is kept.
	upstreamIdle = 30 * time.Second
	// connectionsPerUpstream bounds the idle connections to one upstream.
	connectionsPerUpstream = 256
	// maxAnswer is the greatest size in bytes of an answer that is not streamed.
	maxAnswer = 32 << 20
)

// errTooLong means an upstream's answer exceeded maxAnswer.
var errTooLong = eris.New("answer too long")

// once sends a request at most once: the body can't be read again, so that the
// HTTP client has nothing to repeat.
type once struct{ io.Reader }

// sender makes single tries.
type sender struct {
	pooled *http.Client
	fresh  *http.Client
}

func newSender() *sender {
	return &sender{pooled: newClient(true), fresh: newClient(false)}
}

func newClient(keepAlive bool) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         dialContext,
			MaxIdleConnsPerHost: connectionsPerUpstream, IdleConnTimeout: upstreamIdle,
			DisableCompression: true, DisableKeepAlives: !keepAlive,
			WriteBufferSize: 16 << 10, ReadBufferSize: 16 << 10,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// tried is the result of one try.
type tried struct {
	response *http.Response
	// sent tells that a byte of the request may have left.
	sent bool
	err  error
}

// notRun tells whether the try proves that the upstream did not start.
func (t tried) notRun() bool {
	if t.err != nil {
		return !t.sent
	}
	return t.response.Header.Get(NotRunHeader) != ""
}

// send makes one try. A request that must not run twice gets a connection of
// its own, so that a connection closed while idle can't make its fate unclear.
func (s *sender) send(ctx context.Context, r *http.Request, url string, header http.Header, body []byte, unique bool) tried {
	var result tried
	hooks := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { result.sent = true }}
	var reader io.Reader = http.NoBody
	if len(body) > 0 {
		reader = once{bytes.NewReader(body)}
	}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, hooks), r.Method, url, reader)
	if err != nil {
		result.err = eris.Wrap(err, "build request")
		return result
	}
	req.Header = header
	req.ContentLength = int64(len(body))
	client := s.pooled
	if unique {
		client = s.fresh
	}
	result.response, result.err = client.Do(req) //nolint:bodyclose // The relay closes it.
	return result
}

// upstreamHeader returns the headers that go to an upstream.
func upstreamHeader(r *http.Request, req *request, id string) http.Header {
	header := make(http.Header, 6)
	for _, name := range []string{"Content-Type", "Accept", "Authorization"} {
		if value := r.Header.Get(name); value != "" {
			header.Set(name, value)
		}
	}
	header.Set(RequestHeader, id)
	if req.key != "" {
		header.Set(UpstreamKeyHeader, req.key)
	}
	return header
}

// readWhole reads an answer that is not streamed. It fails if the answer was cut.
func readWhole(response *http.Response) ([]byte, error) {
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer+1))
	if err != nil {
		return nil, eris.Wrap(err, "read answer")
	}
	if len(body) > maxAnswer {
		return nil, errTooLong
	}
	return body, nil
}

func drop(response *http.Response) {
	if response != nil {
		_ = response.Body.Close()
	}
}

func lost(err error) *cardamom.Refusal {
	return cardamom.Fail(cardamom.ReasonUpstreamLost, "upstream was lost: "+err.Error())
}
