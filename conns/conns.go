// Package conns sends HTTP/1.1 requests to upstreams over kept connections and
// says exactly how far each one got.
//
// Unlike net/http's transport it never sends a request twice by itself, checks
// a kept connection for stray bytes before it is used again, and tells whether
// any byte of a request was written.
//
// # Usage
//
//	pool := conns.New(nil)
//	response, err := pool.Do(ctx, "10.0.0.7:8080", request)
//	defer response.Close()
//	io.Copy(w, response)
//
// A response's connection is kept only once its body has been read to its end.
package conns

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Errors of a request. All but ErrNotSent leave open whether it has run.
var (
	// ErrNotSent means that no byte of the request was written.
	ErrNotSent = eris.New("request not sent")
	// ErrBroken means that the connection failed after a byte was written.
	ErrBroken = eris.New("connection to upstream broke")
	// ErrGarbled means that what came back is not the response to the request.
	ErrGarbled = eris.New("upstream sent no valid response")
)

const (
	// connectTimeout bounds a new connection; one takes a few milliseconds.
	connectTimeout = 300 * time.Millisecond
	// defaultIdle is how long a connection without a stated time is kept.
	defaultIdle = 4 * time.Second
	// idleMargin is subtracted from the upstream's stated idle time.
	idleMargin = 800 * time.Millisecond
	// freshAge is the greatest idle time of a connection for a request that
	// may not be repeated.
	freshAge = 500 * time.Millisecond
	// maxIdlePerAddress bounds the kept connections to one upstream.
	maxIdlePerAddress = 8
	// readBuffer is the size in bytes of a connection's read buffer.
	readBuffer = 4 << 10
	// smallBody is written before the response is read; a larger one is
	// written beside, since an upstream may answer before it has read it.
	smallBody = 2 << 10
)

// Request is what is sent to an upstream.
type Request struct {
	Method string
	// Target is the request target as it arrived, with its query.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Once means that the request must not be lost to a connection that the
	// upstream has closed meanwhile.
	Once bool
}

// Pool keeps connections by address. It is safe for concurrent use.
type Pool struct {
	mu     sync.Mutex
	idle   map[string][]*conn
	opened func()
}

// New returns an empty pool. opened, unless nil, is called for each new connection.
func New(opened func()) *Pool {
	return &Pool{idle: make(map[string][]*conn), opened: opened}
}

// conn is one connection to an upstream.
type conn struct {
	net.Conn
	address string
	reader  *bufio.Reader
	used    time.Time
	keep    time.Duration
}

// Response is an upstream's response whose body is still to be read.
type Response struct {
	pool   *Pool
	conn   *conn
	inner  *http.Response
	writes chan error
	stop   func() bool
	whole  bool
	once   sync.Once
}

// Do sends a request and returns once the response's header has arrived. The
// end of ctx closes the connection also while the body is read.
func (p *Pool) Do(ctx context.Context, address string, request *Request) (*Response, error) {
	c, err := p.take(ctx, address, request.Once)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	head := encode(request)
	var writes chan error
	if len(request.Body) <= smallBody {
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
		writes = make(chan error, 1)
		go func() {
			_, writeErr := c.Write(append(head, request.Body...))
			writes <- writeErr
		}()
	}
	inner, err := readHeader(c.reader, request.Method) //nolint:bodyclose // Response.Close ends the connection below the body.
	if err != nil {
		stop()
		_ = c.Close()
		return nil, err
	}
	return &Response{pool: p, conn: c, inner: inner, writes: writes, stop: stop}, nil
}

// readHeader reads the final response header.
func readHeader(reader *bufio.Reader, method string) (*http.Response, error) {
	for {
		if _, err := reader.Peek(1); err != nil {
			return nil, eris.Wrap(ErrBroken, err.Error())
		}
		inner, err := http.ReadResponse(reader, &http.Request{Method: method})
		if err != nil {
			return nil, eris.Wrap(ErrGarbled, err.Error())
		}
		if inner.StatusCode >= http.StatusOK {
			return inner, nil
		}
		if inner.StatusCode == http.StatusSwitchingProtocols {
			return nil, eris.Wrap(ErrGarbled, "status 101")
		}
	}
}

// take returns a kept connection that is still sound, or a new one.
func (p *Pool) take(ctx context.Context, address string, once bool) (*conn, error) {
	for {
		c := p.pop(address)
		if c == nil {
			break
		}
		age := time.Since(c.used)
		if age < c.keep && (!once || age < freshAge) && quiet(c.Conn) {
			return c, nil
		}
		_ = c.Close()
	}
	dialer := &net.Dialer{Timeout: connectTimeout, KeepAlive: -1, Control: setUserTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, eris.Wrap(ErrNotSent, err.Error())
	}
	if p.opened != nil {
		p.opened()
	}
	return &conn{Conn: raw, address: address, reader: bufio.NewReaderSize(raw, readBuffer), keep: defaultIdle}, nil
}

func (p *Pool) pop(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	list[len(list)-1] = nil
	p.idle[address] = list[:len(list)-1]
	return c
}

func (p *Pool) put(c *conn) {
	c.used = time.Now()
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

// Sweep closes connections that have been idle too long.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	var old []*conn
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Sub(c.used) >= c.keep {
				old = append(old, c)
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
	for _, c := range old {
		_ = c.Close()
	}
}

// Drop closes the kept connections to an address.
func (p *Pool) Drop(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.Close()
	}
}

// Status returns the response's status code.
func (r *Response) Status() int { return r.inner.StatusCode }

// Header returns the response's header.
func (r *Response) Header() http.Header { return r.inner.Header }

// Length returns the stated length of the body, -1 if there is none.
func (r *Response) Length() int64 { return r.inner.ContentLength }

// Read reads the body. io.EOF means that it is whole.
func (r *Response) Read(data []byte) (int, error) {
	n, err := r.inner.Body.Read(data)
	if errors.Is(err, io.EOF) {
		r.whole = true
	} else if err != nil {
		err = eris.Wrap(ErrBroken, err.Error())
	}
	return n, err
}

// Close keeps the connection for further requests if the response was whole
// and nothing follows it, and closes it otherwise.
func (r *Response) Close() {
	r.once.Do(func() {
		live := r.stop()
		if live && r.whole && !r.inner.Close && r.written() && r.conn.reader.Buffered() == 0 {
			r.conn.keep = keepTime(r.inner.Header)
			r.pool.put(r.conn)
			return
		}
		_ = r.conn.Close()
	})
}

// written tells whether the whole request was written.
func (r *Response) written() bool {
	if r.writes == nil {
		return true
	}
	select {
	case err := <-r.writes:
		return err == nil
	default:
		return false
	}
}

// keepTime returns how long a connection may stay idle by the response's word.
func keepTime(header http.Header) time.Duration {
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return max(time.Duration(seconds)*time.Second-idleMargin, 0)
		}
	}
	return defaultIdle
}

// encode returns the request's head. Header names and values come from a
// parsed request, so they hold no line breaks.
func encode(request *Request) []byte {
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
