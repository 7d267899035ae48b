package fakes

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"cardamomcourse.example/cardamom/pause"
)

// Fault is what a proxy does to the next requests on a path.
type Fault struct {
	// Path is the prefix of the paths the fault applies to.
	Path string `json:"path"`
	// Kind is delay, black-hole, refuse, drop-reply, duplicate, hold or cut.
	Kind string `json:"kind"`
	// Count is how many requests it applies to, 0 for all.
	Count int `json:"count"`
	// MS is the time of a delay or hold in milliseconds.
	MS int64 `json:"ms"`
	// Bytes is how much of the reply a cut lets pass.
	Bytes int `json:"bytes"`
}

// Proxy passes HTTP messages on and injects faults. The faults are of
// messages: a reply lost after its effect, a request that arrives late.
type Proxy struct {
	target string
	server *Server
	client *http.Client

	mu     sync.Mutex
	faults []Fault
	hits   int
}

// StartProxy starts a proxy at the address in front of the target.
func StartProxy(address, target string) (*Proxy, error) {
	p := &Proxy{target: target, client: &http.Client{
		Transport:     &http.Transport{DisableKeepAlives: true, DisableCompression: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
	server, err := serve(address, http.HandlerFunc(p.pass))
	if err != nil {
		return nil, err
	}
	p.server = server
	return p, nil
}

// Address returns the proxy's host:port.
func (p *Proxy) Address() string { return p.server.Address() }

// Close ends the proxy.
func (p *Proxy) Close() { p.server.Close() }

// SetFaults replaces the proxy's faults.
func (p *Proxy) SetFaults(faults []Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = append([]Fault(nil), faults...)
}

// Hits returns how many requests met a fault.
func (p *Proxy) Hits() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.hits
}

func (p *Proxy) next(path string) Fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, fault := range p.faults {
		if !strings.HasPrefix(path, fault.Path) || fault.Count < 0 {
			continue
		}
		if fault.Count == 1 {
			p.faults[i].Count = -1
		}
		if fault.Count > 1 {
			p.faults[i].Count--
		}
		p.hits++
		return fault
	}
	return Fault{}
}

func (p *Proxy) pass(w http.ResponseWriter, r *http.Request) {
	fault := p.next(r.URL.Path)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	switch fault.Kind {
	case "refuse":
		panic(http.ErrAbortHandler)
	case "black-hole":
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case "delay":
		if !pause.For(r.Context(), time.Duration(fault.MS)*time.Millisecond) {
			panic(http.ErrAbortHandler)
		}
	case "hold":
		p.later(r, body, time.Duration(fault.MS)*time.Millisecond)
		panic(http.ErrAbortHandler)
	case "duplicate":
		p.later(r, body, time.Duration(fault.MS)*time.Millisecond)
	}
	response, err := p.send(r, body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer response.Body.Close()
	if fault.Kind == "drop-reply" {
		_, _ = io.Copy(io.Discard, response.Body)
		panic(http.ErrAbortHandler)
	}
	reply(w, response, fault)
}

// later sends a copy of the request when the time has passed, whatever becomes
// of the sender.
func (p *Proxy) later(r *http.Request, body []byte, wait time.Duration) {
	held, err := http.NewRequest(r.Method, "http://"+p.target+r.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		return
	}
	held.Header = r.Header.Clone()
	time.AfterFunc(wait, func() {
		if response, err := p.client.Do(held); err == nil {
			_ = response.Body.Close()
		}
	})
}

func (p *Proxy) send(r *http.Request, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+p.target+r.URL.RequestURI(), io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return nil, err
	}
	request.Header = r.Header.Clone()
	request.ContentLength = int64(len(body))
	return p.client.Do(request)
}

// reply passes a response on as it comes, up to where a fault cuts it.
func reply(w http.ResponseWriter, response *http.Response, fault Fault) {
	for name, values := range response.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(response.StatusCode)
	left := -1
	if fault.Kind == "cut" {
		left = fault.Bytes
	}
	buffer := make([]byte, 16<<10)
	for {
		n, err := response.Body.Read(buffer)
		if left >= 0 {
			n = min(n, left)
			left -= n
		}
		_, _ = w.Write(buffer[:n])
		_ = http.NewResponseController(w).Flush()
		if left == 0 {
			panic(http.ErrAbortHandler)
		}
		if err == io.EOF {
			return
		}
		if err != nil {
			panic(http.ErrAbortHandler)
		}
	}
}
