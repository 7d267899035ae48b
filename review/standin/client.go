package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strings"
	"time"
)

// request is one attempt of a client.
type request struct {
	id       string
	method   string
	path     string
	header   map[string]string
	body     string
	deadline time.Duration
	// afterSend, unless nil, is what the client does once it has sent the request.
	afterSend func(c net.Conn)
}

// response is what the client got.
type response struct {
	status int
	id     string
	sealed bool
	body   string
	// complete means that the answer was read to its end.
	complete bool
	// err is why there is no complete answer.
	err  error
	took time.Duration
}

// text returns the request as it is sent.
func (q request) text() string {
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n", q.method, q.path, host, q.id, q.deadline.Milliseconds())
	names := make([]string, 0, len(q.header))
	for name := range q.header {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		fmt.Fprintf(&head, "%s: %s\r\n", name, q.header[name])
	}
	if q.method == http.MethodPost {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(q.body))
	}
	return head.String() + "\r\n" + q.body
}

// host is the host of all routes.
const host = "halls.example"

// send sends a request on a new connection and waits for the answer until the deadline.
func send(address string, q request) response {
	began := time.Now()
	r := exchange(address, q, began)
	r.took = time.Since(began)
	switch {
	case r.complete:
		log.addf("client gets %d for %s, whole, after %d ms", r.status, q.id, r.took.Milliseconds())
	default:
		log.addf("client gets no whole answer for %s after %d ms: status %d, %v", q.id, r.took.Milliseconds(), r.status, r.err)
	}
	return r
}

func exchange(address string, q request, began time.Time) response {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return response{err: err}
	}
	defer c.Close()
	_ = c.SetDeadline(began.Add(q.deadline + time.Second))
	log.addf("client sends %s (%s) to %s", q.id, q.path, address)
	if _, err := io.WriteString(c, q.text()); err != nil {
		return response{err: err}
	}
	if q.afterSend != nil {
		q.afterSend(c)
	}
	answer, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: q.method})
	if err != nil {
		return response{err: err}
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	return response{
		status: answer.StatusCode, id: answer.Header.Get("Request-Id"), sealed: answer.Header.Get("Server-Seal") != "",
		body: string(body), complete: err == nil, err: err,
	}
}
