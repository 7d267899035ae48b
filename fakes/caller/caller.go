// Package caller is a client of the system that checks the content of each
// answer.
//
// # Usage
//
//	c := caller.New([]string{"127.0.0.1:7400"}, "psyrri-hall")
//	result := c.Send(ctx, caller.Request{
//		Model: "clio-01", Prompt: "…", Tokens: 32, Stream: true, Deadline: 5 * time.Second,
//	})
//	if result.Outcome == cardamom.Served && !result.Complete { ... }
package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	cardamom "cardamomcourse.example/cardamom"
)

// readGrace is how long after the deadline a caller still reads an answer.
const readGrace = 100 * time.Millisecond

// addressTimeout bounds one address lookup.
const addressTimeout = 2 * time.Second

// Request is one call.
type Request struct {
	// Model is the model of a completion. It is empty for a call of a plain service,
	// which Service and Path name.
	Model   string
	Service string
	Path    string
	Method  string
	Prompt  string
	Tokens  int
	Stream  bool
	Key     string
	// Deadline is how long the caller waits.
	Deadline time.Duration
	Priority int
	// Caller is the caller's name; if empty, the system uses the peer address.
	Caller string
	// Traceparent is the W3C trace header to send, empty for none.
	Traceparent string
}

// Result is the result of a call as seen by its caller.
type Result struct {
	Outcome cardamom.Outcome
	Reason  string
	Status  int
	// Complete reports whether the answer is whole and as expected.
	Complete bool
	// WrongContent reports whether the answer has content of another request.
	WrongContent bool
	// FirstToken is the time to the first token.
	FirstToken time.Duration
	// Total is the time to the end of the answer.
	Total time.Duration
	// Gaps are the times between the tokens of a stream.
	Gaps []time.Duration
	// Instance is the address that the request was sent to.
	Instance   string
	RetryAfter time.Duration
}

type addressEntry struct {
	addresses []string
	issue     uint64
	expires   time.Time
}

// Caller looks up the addresses of instances, caches them and sends requests
// there. It is safe for concurrent use.
type Caller struct {
	seeds      []string
	dataCentre string
	client     *http.Client

	mu        sync.Mutex
	addresses map[string]addressEntry
}

// New returns a caller in a data centre. It looks up addresses at the seeds, which
// are the addresses of some instances.
func New(seeds []string, centre string) *Caller {
	transport := &http.Transport{
		MaxIdleConnsPerHost: 512, DisableCompression: true,
		DialContext: (&net.Dialer{Timeout: 300 * time.Millisecond}).DialContext,
	}
	return &Caller{seeds: seeds, dataCentre: centre, client: &http.Client{Transport: transport}, addresses: make(map[string]addressEntry)}
}

// Forget removes the cached addresses of a model or service.
func (c *Caller) Forget(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.addresses, name)
}

type addressesWire struct {
	Addresses []struct {
		Address string `json:"address"`
	} `json:"addresses"`
	TTLMS int64  `json:"ttl_ms"`
	Issue uint64 `json:"issue"`
}

// Addresses returns the instances' addresses for a model or service and the issue
// number of the lookup, which a request with a key carries. It returns cached
// addresses until they expire, and also after that if no seed answers.
func (c *Caller) Addresses(ctx context.Context, name string) ([]string, uint64, error) {
	now := time.Now()
	c.mu.Lock()
	known, ok := c.addresses[name]
	c.mu.Unlock()
	if ok && now.Before(known.expires) {
		return known.addresses, known.issue, nil
	}
	for _, n := range rand.Perm(len(c.seeds)) {
		wire, err := c.lookUp(ctx, c.seeds[n], name)
		if err != nil || len(wire.Addresses) == 0 {
			continue
		}
		next := addressEntry{issue: wire.Issue, expires: now.Add(time.Duration(wire.TTLMS) * time.Millisecond)}
		for _, a := range wire.Addresses {
			next.addresses = append(next.addresses, a.Address)
		}
		c.mu.Lock()
		c.addresses[name] = next
		c.mu.Unlock()
		return next.addresses, next.issue, nil
	}
	if ok {
		return known.addresses, known.issue, nil
	}
	return nil, 0, eris.New("no seed answered the address lookup")
}

func (c *Caller) lookUp(ctx context.Context, seed, name string) (addressesWire, error) {
	limited, cancel := context.WithTimeout(ctx, addressTimeout)
	defer cancel()
	var wire addressesWire
	query := url.Values{"model": {name}, "place": {c.dataCentre}}
	request, err := http.NewRequestWithContext(limited, http.MethodGet, "http://"+seed+"/v1/addresses?"+query.Encode(), nil)
	if err != nil {
		return wire, eris.Wrap(err, "build address lookup")
	}
	response, err := c.client.Do(request)
	if err != nil {
		return wire, eris.Wrap(err, "look up addresses")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return wire, eris.Errorf("look up addresses: status %d", response.StatusCode)
	}
	return wire, eris.Wrap(json.NewDecoder(response.Body).Decode(&wire), "decode addresses")
}

// Send sends the request to one of the addresses. It sends it to another address
// only if no connection could be made, since otherwise the request may have run.
func (c *Caller) Send(ctx context.Context, request Request) Result {
	begun := time.Now()
	limited, cancel := context.WithTimeout(ctx, request.Deadline+readGrace)
	defer cancel()
	name := request.Model
	if name == "" {
		name = request.Service
	}
	for attempt := 0; ; attempt++ {
		addresses, issue, err := c.Addresses(limited, name)
		if err != nil {
			return Result{Outcome: cardamom.NotRun, Reason: "no-address", Total: time.Since(begun)}
		}
		result, connected := c.SendTo(limited, addresses[attempt%len(addresses)], issue, request, begun)
		if connected || attempt >= len(addresses) || limited.Err() != nil {
			return result
		}
		if attempt == len(addresses)-1 {
			c.Forget(name)
		}
	}
}

// SendTo sends the request to an address and reports whether a connection was made.
// The times in the result count from begun.
func (c *Caller) SendTo(ctx context.Context, address string, issue uint64, request Request, begun time.Time) (Result, bool) {
	httpRequest, err := buildRequest(ctx, address, issue, request)
	if err != nil {
		return Result{Reason: err.Error()}, true
	}
	response, err := c.client.Do(httpRequest)
	if err != nil {
		result := Result{Reason: "connection: " + err.Error(), Instance: address, Total: time.Since(begun)}
		return result, !isDialError(err)
	}
	defer response.Body.Close()
	result := Result{
		Outcome: cardamom.ParseOutcome(response.Header.Get(cardamom.OutcomeHeader)), Status: response.StatusCode, Instance: address,
	}
	if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil {
		result.RetryAfter = time.Duration(seconds) * time.Second
	}
	if response.Header.Get("Content-Type") == "text/event-stream" {
		readStream(response.Body, request, &result, begun)
	} else {
		readBody(response, request, &result, begun)
	}
	result.Total = time.Since(begun)
	return result, true
}

func buildRequest(ctx context.Context, address string, issue uint64, request Request) (*http.Request, error) {
	method, path, body := http.MethodPost, "/v1/chat/completions", completionBody(request)
	if request.Service != "" {
		method, path, body = request.Method, "/services/"+request.Service+request.Path, []byte(request.Prompt)
	}
	httpRequest, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return nil, eris.Wrap(err, "build request")
	}
	httpRequest.ContentLength = int64(len(body))
	header := httpRequest.Header
	header.Set("Content-Type", "application/json")
	header.Set("Cardamom-Deadline-Ms", strconv.FormatInt(request.Deadline.Milliseconds(), 10))
	header.Set("Cardamom-Priority", strconv.Itoa(request.Priority))
	if request.Key != "" {
		header.Set("Idempotency-Key", request.Key)
		header.Set("Cardamom-Issue", strconv.FormatUint(issue, 10))
	}
	if request.Caller != "" {
		header.Set("Cardamom-Caller", request.Caller)
	}
	if request.Traceparent != "" {
		header.Set("Traceparent", request.Traceparent)
	}
	return httpRequest, nil
}

func completionBody(request Request) []byte {
	body, err := json.Marshal(map[string]any{
		"model": request.Model, "stream": request.Stream, "max_tokens": request.Tokens,
		"messages": []any{map[string]string{"role": "user", "content": request.Prompt}},
	})
	if err != nil {
		return nil
	}
	return body
}

func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
