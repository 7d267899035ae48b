package fakes

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"cardamomcourse.example/cardamom/sleep"
)

// Fault is what a proxy does to the next requests on a path.
type Fault struct {
	// Path is a prefix of the paths that the fault applies to.
	Path string `json:"path"`
	// Kind is one of:
	//   - delay: the request is forwarded after MS;
	//   - black-hole: the request is never answered;
	//   - refuse: the connection is closed and the request is not forwarded;
	//   - drop-reply: the request is forwarded and the connection closed without
	//     the response;
	//   - duplicate: the request is forwarded now and again after MS;
	//   - hold: the connection is closed and the request is forwarded after MS;
	//   - cut: the response breaks off after Bytes.
	Kind string `json:"kind"`
	// Count is how many requests the fault applies to, 0 for all.
	Count int `json:"count"`
	// MS is the time in milliseconds for the kinds delay, duplicate and hold.
	MS int64 `json:"ms"`
	// Bytes is how many bytes of the response the kind cut forwards.
	Bytes int `json:"bytes"`
}

// Proxy forwards HTTP requests and injects faults into single messages, such as
// a response lost after the request took effect or a request that arrives late.
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
	server, err := serve(address, http.HandlerFunc(p.forward))
	if err != nil {
		return nil, err
	}
	p.server = server
	return p, nil
}

// Address returns the proxy's host:port.
func (p *Proxy) Address() string { return p.server.Address() }

// Close stops the proxy.
func (p *Proxy) Close() { p.server.Close() }

// SetFaults replaces the proxy's faults.
func (p *Proxy) SetFaults(faults []Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = append([]Fault(nil), faults...)
}

// Hits returns how many requests a fault was applied to.
func (p *Proxy) Hits() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.hits
}

// next returns the fault for a request to path. A Count of -1 marks a fault that
// is used up.
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

func (p *Proxy) forward(w http.ResponseWriter, r *http.Request) {
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
		if !sleep.For(r.Context(), time.Duration(fault.MS)*time.Millisecond) {
			panic(http.ErrAbortHandler)
		}
	case "hold":
		p.sendLater(r, body, time.Duration(fault.MS)*time.Millisecond)
		panic(http.ErrAbortHandler)
	case "duplicate":
		p.sendLater(r, body, time.Duration(fault.MS)*time.Millisecond)
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
	copyResponse(w, response, fault)
}

// sendLater sends a copy of the request after the wait, even if the client has
// disconnected.
func (p *Proxy) sendLater(r *http.Request, body []byte, wait time.Duration) {
	delayed, err := http.NewRequest(r.Method, "http://"+p.target+r.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		return
	}
	delayed.Header = r.Header.Clone()
	time.AfterFunc(wait, func() {
		if response, err := p.client.Do(delayed); err == nil {
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

// copyResponse forwards a response as it arrives, up to the point where a fault
// cuts it.
func copyResponse(w http.ResponseWriter, response *http.Response, fault Fault) {
	for name, values := range response.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(response.StatusCode)
	remaining := -1
	if fault.Kind == "cut" {
		remaining = fault.Bytes
	}
	buffer := make([]byte, 16<<10)
	for {
		n, err := response.Body.Read(buffer)
		if remaining >= 0 {
			n = min(n, remaining)
			remaining -= n
		}
		_, _ = w.Write(buffer[:n])
		_ = http.NewResponseController(w).Flush()
		if remaining == 0 {
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
