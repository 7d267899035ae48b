package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// heartbeat is the time between two writes of a runner's entry.
const heartbeat = 1200 * time.Millisecond

// asked is a request at a runner.
type asked struct {
	*http.Request
	id   string
	body []byte
	// gone is closed when the connection has ended.
	gone chan struct{}
}

// runner is a runner of a service. It takes one request at a time on a connection and drops
// a request whose connection closes.
type runner struct {
	id      string
	service string
	address string
	born    int64
	// handle answers a request; false ends the connection.
	handle func(c *link, q *asked) bool
	// entry adds to the runner's entry in the store.
	entry map[string]any

	mu sync.Mutex
	// runs counts the runs of each request.
	runs map[string]int
	// listener is closed and open has no connections while the runner is down.
	listener net.Listener
	open     map[net.Conn]bool
}

// link is a connection to a runner.
type link struct {
	net.Conn
	// late is an extra response that is written where the next response is expected.
	late []byte
}

func newRunner(id, service string, entry map[string]any) *runner {
	return &runner{id: id, service: service, born: time.Now().UnixMilli(), entry: entry, runs: make(map[string]int), open: make(map[net.Conn]bool)}
}

// serve listens and writes the entry to the store from now on.
func (r *runner) serve(s *store) {
	r.address = freeAddress()
	r.listen()
	r.register(s, 1)
	go func() {
		for seq := 2; ; seq++ {
			time.Sleep(heartbeat)
			r.mu.Lock()
			up := r.listener != nil
			r.mu.Unlock()
			if up {
				r.register(s, seq)
			}
		}
	}()
}

// listen accepts connections at the runner's address.
func (r *runner) listen() {
	listener, err := net.Listen("tcp", r.address)
	if err != nil {
		fail("listen: %v", err)
	}
	r.mu.Lock()
	r.listener = listener
	r.mu.Unlock()
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			r.mu.Lock()
			r.open[c] = true
			r.mu.Unlock()
			go r.converse(&link{Conn: c})
		}
	}()
}

// crash ends the runner's process, and starts another under its id after a time.
func (r *runner) crash(down time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.listener == nil {
		return
	}
	_ = r.listener.Close()
	r.listener = nil
	for c := range r.open {
		_ = c.Close()
	}
	time.AfterFunc(down, func() {
		r.mu.Lock()
		r.born = time.Now().UnixMilli()
		r.mu.Unlock()
		r.listen()
	})
}

func (r *runner) register(s *store, seq int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	entry := map[string]any{
		"service": r.service, "address": r.address, "zone": "psyrri-hall", "version": "v1", "state": "ready",
		"coldRemainingMs": 0, "seq": seq, "born": r.born,
	}
	for name, value := range r.entry {
		entry[name] = value
	}
	s.put("servers", r.id, entry)
}

// converse handles the requests on a connection, one after the other.
func (r *runner) converse(c *link) {
	defer func() {
		_ = c.Close()
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.open, c.Conn)
	}()
	reader := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		q := &asked{Request: request, id: request.Header.Get("Request-Id"), body: body, gone: make(chan struct{})}
		next := make(chan bool, 1)
		go func() {
			// The system sends nothing more before the answer.
			_, err := reader.Peek(1)
			if err != nil {
				close(q.gone)
			}
			next <- err == nil
		}()
		if c.late != nil {
			_, _ = c.Write(c.late)
			c.late = nil
		}
		if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != r.id {
			r.answer(c, q, 421, "Not-Run: 1\r\n", "")
		} else if !r.handle(c, q) {
			return
		}
		if !<-next {
			return
		}
	}
}

// setEntry changes a part of the runner's entry.
func (r *runner) setEntry(name string, value any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entry[name] = value
}

// ran records that the runner begins to work on a request.
func (r *runner) ran(q *asked) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[q.id]++
	log.addf("runner %s runs %s (run %d of it here)", r.id, q.id, r.runs[q.id])
}

// answer writes a whole answer and returns its bytes.
func (r *runner) answer(c *link, q *asked, status int, header, body string) []byte {
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\nRequest-Id: %s\r\nServer-Seal: seal.%s\r\n%sContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), q.id, r.id, header, len(body), body)
	_, _ = io.WriteString(c, text)
	log.addf("runner %s answers %s with %d", r.id, q.id, status)
	return []byte(text)
}

// slots admits requests to a runner: so many run at once, a few more wait.
type slots struct {
	mu      sync.Mutex
	running int
	limit   int
	queue   int
	waiting []chan struct{}
}

// enter waits for a slot. It returns false if the runner is full or the request is gone.
func (s *slots) enter(q *asked) (admitted, full bool) {
	s.mu.Lock()
	if s.running < s.limit {
		s.running++
		s.mu.Unlock()
		return true, false
	}
	if len(s.waiting) >= s.queue {
		s.mu.Unlock()
		return false, true
	}
	turn := make(chan struct{})
	s.waiting = append(s.waiting, turn)
	s.mu.Unlock()
	select {
	case <-turn:
		return true, false
	case <-q.gone:
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for n, other := range s.waiting {
		if other == turn {
			s.waiting = append(s.waiting[:n], s.waiting[n+1:]...)
			return false, false
		}
	}
	// The slot came at the same moment.
	s.pass()
	return false, false
}

// leave frees a slot.
func (s *slots) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pass()
}

// pass gives a slot to the next request. s.mu must be held.
func (s *slots) pass() {
	if len(s.waiting) == 0 {
		s.running--
		return
	}
	close(s.waiting[0])
	s.waiting = s.waiting[1:]
}

// work waits for the time that a request takes, and reports whether its connection lasted.
func work(q *asked, span time.Duration) bool {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-q.gone:
		return false
	}
}
