// Package conns sends HTTP/1.1 requests to upstreams over pooled connections and
// reports how far a failed request got.
//
// Unlike net/http's transport it never resends a request by itself, it checks an
// idle connection for unexpected bytes before reuse, and its errors distinguish a
// request that certainly has not run (ErrNotSent) from one that may have run.
//
// # Usage
//
//	pool := conns.New(nil)
//	response, err := pool.Do(ctx, "10.0.0.7:8080", request)
//	defer response.Close()
//	io.Copy(w, response)
//
// A connection is reused only if the response's body was read to its end.
package conns

import (
	"bufio"
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"cardamomcourse.example/cardamom/framed"
)

// Errors of a request. After ErrNotSent the request has not run; after any other
// error it may have run.
var (
	// ErrNotSent means that no byte of the request was written.
	ErrNotSent = eris.New("request not sent")
	// ErrBroken means that the connection failed after a byte of the request was
	// or may have been written, or that the response's body is truncated or
	// malformed. A large body is written concurrently with reading the response,
	// so its request ends in ErrBroken even if no byte was written.
	ErrBroken = eris.New("connection to upstream failed during the request")
	// ErrInvalidResponse means that the received bytes are no valid response header.
	ErrInvalidResponse = eris.New("upstream sent an invalid response")
)

const (
	// connectTimeout bounds dialing, which usually takes a few milliseconds.
	connectTimeout = 300 * time.Millisecond
	// defaultIdleTimeout applies if the upstream sends no Keep-Alive timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is subtracted from the upstream's Keep-Alive timeout, so that
	// the pool closes a connection before the upstream does.
	idleMargin = 800 * time.Millisecond
	// maxIdleNonRepeatable bounds the idle time of a connection that is reused for
	// a request that must not be sent twice.
	maxIdleNonRepeatable = 500 * time.Millisecond
	// maxIdlePerAddress bounds the idle connections to one upstream.
	maxIdlePerAddress = 8
	// maxHeadBytes bounds what is read of an upstream before the end of its header,
	// informational responses included.
	maxHeadBytes = 64 << 10
	// discardTime and discardBytes bound how much of a body is read only to keep its
	// connection: a new one takes a few milliseconds.
	discardTime  = 30 * time.Millisecond
	discardBytes = 64 << 10
	// readBufferBytes is the size of a connection's read buffer.
	readBufferBytes = 4 << 10
	// maxInlineBodyBytes bounds a body that is written before the response is
	// read. A larger body is written while the response is read, since an upstream
	// may answer before it has read the body.
	maxInlineBodyBytes = 2 << 10
)

// Request is a request to an upstream.
type Request struct {
	Method string
	// Target is the request target as it arrived, with its query.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// NonRepeatable means that the request is not idempotent and so must not be
	// sent again after an error. It is sent only over a connection that is new or
	// was used recently, since the upstream is unlikely to have closed that.
	NonRepeatable bool
	// Sends are the earlier sends of the same request, nil if it is sent once only.
	Sends *Sends
	// ID is what responses name the request by, empty if they don't.
	ID string
}

// Pool keeps idle connections by address. It is safe for concurrent use.
type Pool struct {
	mu     sync.Mutex
	idle   map[string][]*conn
	onOpen func()
	source net.IP
}

// New returns an empty pool. onOpen, unless nil, is called for each new connection.
func New(onOpen func()) *Pool { return NewFrom(nil, onOpen) }

// NewFrom returns an empty pool that connects from an address, any if it is nil.
func NewFrom(source net.IP, onOpen func()) *Pool {
	return &Pool{idle: make(map[string][]*conn), onOpen: onOpen, source: source}
}

// conn is one connection to an upstream.
type conn struct {
	*framed.Conn
	address     string
	bounded     *boundedReader
	reader      *bufio.Reader
	lastUsed    time.Time
	idleTimeout time.Duration
	// reused means that the connection had an earlier request, whose ID is lastID.
	reused bool
	lastID string
}

// Framing is how the end of a response's body is marked.
type Framing uint8

const (
	// ByLength means that the header states the body's length.
	ByLength Framing = iota + 1
	// Chunked means that the body comes in chunks and the last one is marked.
	Chunked
	// UntilClose means that the body ends with its connection, so that a response
	// that was cut off can look like a whole one.
	UntilClose
)

// String returns the framing's name in log lines.
func (f Framing) String() string {
	switch f {
	case ByLength:
		return "length"
	case Chunked:
		return "chunked"
	case UntilClose:
		return "close"
	default:
		return "none"
	}
}

// Response is an upstream's response. Its body is read with Read; Close is
// required.
type Response struct {
	pool     *Pool
	conn     *conn
	response *http.Response
	// bodyWritten receives the result of the concurrent write of a large body. It
	// is nil if the whole request was written before the response was read.
	bodyWritten chan error
	// sending looks after the connection while a large body is sent.
	sending *sending
	// stop detaches the connection from the context of Do. It returns false if the
	// context has ended, which makes the connection unusable.
	stop     func() bool
	complete bool
	// id is that of the request, and follows means that another response came before this one.
	id      string
	follows bool
	once    sync.Once
}

// Do sends a request and returns when the response's header has arrived. When
// ctx ends, all reads and writes on the connection fail, also while the body is
// read.
func (p *Pool) Do(ctx context.Context, address string, request *Request) (*Response, error) {
	c, err := p.acquire(ctx, address, request)
	if err != nil {
		return nil, err
	}
	request.Sends.add(c)
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	head := encodeHead(request)
	var bodyWritten chan error
	var body *sending
	if len(request.Body) <= maxInlineBodyBytes {
		n, writeErr := c.Write(append(head, request.Body...))
		if writeErr != nil {
			stop()
			_ = c.Close()
			if n == 0 {
				return nil, eris.Wrap(ErrNotSent, writeErr.Error())
			}
			return nil, eris.Wrap(ErrBroken, writeErr.Error())
		}
	} else {
		bodyWritten = make(chan error, 1)
		body = lookAfter(c.Conn)
		go func() {
			// A joined copy would take the memory of the body twice.
			_, writeErr := c.WriteBuffers(net.Buffers{head, request.Body})
			body.wrote()
			bodyWritten <- writeErr
		}()
	}
	response, err := c.readHeader(request.Method) //nolint:bodyclose // Response.Close closes or reuses the connection, which is all the body holds.
	if err != nil {
		stop()
		body.end()
		_ = c.Close()
		return nil, err
	}
	return &Response{pool: p, conn: c, response: response, bodyWritten: bodyWritten, sending: body, stop: stop, id: request.ID}, nil
}

// acquire returns a reusable idle connection on which the request was not sent, or a new one.
func (p *Pool) acquire(ctx context.Context, address string, request *Request) (*conn, error) {
	for {
		c := p.pop(address, request.Sends)
		if c == nil {
			break
		}
		age := time.Since(c.lastUsed)
		if age < c.idleTimeout && (!request.NonRepeatable || age < maxIdleNonRepeatable) && reusable(c.Conn) {
			return c, nil
		}
		_ = c.Close()
	}
	raw, err := p.dialer().DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, eris.Wrap(ErrNotSent, err.Error())
	}
	if p.onOpen != nil {
		p.onOpen()
	}
	connection := framed.NewConn(raw)
	bounded := &boundedReader{source: connection, left: math.MaxInt64}
	return &conn{Conn: connection, address: address, bounded: bounded, reader: bufio.NewReaderSize(bounded, readBufferBytes), idleTimeout: defaultIdleTimeout}, nil
}

// dialer returns the dialer of new connections.
func (p *Pool) dialer() *net.Dialer {
	dialer := &net.Dialer{Timeout: connectTimeout, KeepAlive: -1, Control: setUserTimeout}
	if p.source != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: p.source}
	}
	return dialer
}

// pop takes the most recently used idle connection that has none of the sends, nil if there
// is none.
func (p *Pool) pop(address string, sends *Sends) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	for n, c := range slices.Backward(list) {
		if !sends.has(c) {
			p.idle[address] = slices.Delete(list, n, n+1)
			return c
		}
	}
	return nil
}

// release keeps a connection as idle, or closes it if there are enough of them.
func (p *Pool) release(c *conn) {
	c.lastUsed, c.reused = time.Now(), true
	p.mu.Lock()
	list := p.idle[c.address]
	if len(list) < maxIdlePerAddress {
		p.idle[c.address] = append(list, c)
		c = nil
	}
	p.mu.Unlock()
	if c != nil {
		_ = c.Close()
	}
}

// Sweep closes connections that have exceeded their idle timeout, and those on which
// bytes came that no request has asked for.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	var expired []*conn
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Sub(c.lastUsed) >= c.idleTimeout || !reusable(c.Conn) {
				expired = append(expired, c)
			} else {
				kept = append(kept, c)
			}
		}
		if len(kept) == 0 {
			delete(p.idle, address)
		} else {
			p.idle[address] = kept
		}
	}
	p.mu.Unlock()
	for _, c := range expired {
		_ = c.Close()
	}
}

// CloseIdle closes the idle connections to an address.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.Close()
	}
}

// Status returns the response's status code.
func (r *Response) Status() int { return r.response.StatusCode }

// Header returns the response's header.
func (r *Response) Header() http.Header { return r.response.Header }

// LastID returns the ID of the request before this one on the connection, empty if there was
// none. A response that names it is a late copy of the response to that request.
func (r *Response) LastID() string { return r.conn.lastID }

// OnReusedConnection reports whether the connection had an earlier request, so that the
// response may be a late copy of the response to that one.
func (r *Response) OnReusedConnection() bool { return r.conn.reused }

// Length returns the Content-Length of the body, -1 if unknown.
func (r *Response) Length() int64 { return r.response.ContentLength }

// Framing returns how the end of the body is marked.
func (r *Response) Framing() Framing {
	switch {
	case slices.Contains(r.response.TransferEncoding, "chunked"):
		return Chunked
	case r.response.ContentLength >= 0:
		return ByLength
	default:
		return UntilClose
	}
}

// Read reads the body. io.EOF means that the body is complete; any other error is
// ErrBroken, also for a malformed body.
func (r *Response) Read(data []byte) (int, error) {
	n, err := r.response.Body.Read(data)
	if errors.Is(err, io.EOF) {
		r.complete = true
	} else if err != nil {
		err = eris.Wrap(ErrBroken, err.Error())
	}
	return n, err
}

// Discard reads the rest of the body as far as that takes little, so that the connection
// can be reused.
func (r *Response) Discard() {
	timer := time.AfterFunc(discardTime, func() { _ = r.conn.SetReadDeadline(time.Unix(1, 0)) })
	_, _ = io.Copy(io.Discard, io.LimitReader(r, discardBytes))
	if !timer.Stop() {
		r.complete = false
	}
}

// Close returns the connection to the pool if request and response are complete
// and no bytes follow, and closes it otherwise.
func (r *Response) Close() {
	r.once.Do(func() {
		live := r.stop()
		r.sending.end()
		if live && r.complete && !r.follows && !r.response.Close && r.written() && r.conn.reader.Buffered() == 0 {
			r.conn.idleTimeout, r.conn.lastID = keepAliveTimeout(r.response.Header), r.id
			r.pool.release(r.conn)
			return
		}
		_ = r.conn.Close()
	})
}

// written reports whether the whole request was written.
func (r *Response) written() bool {
	if r.bodyWritten == nil {
		return true
	}
	select {
	case err := <-r.bodyWritten:
		return err == nil
	default:
		return false
	}
}
