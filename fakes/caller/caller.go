// Package caller is a caller of the system that checks each answer whole.
//
// # Usage
//
//	c := caller.New([]string{"127.0.0.1:7400"}, "psyrri-hall")
//	result := c.Do(ctx, caller.Request{Model: "clio-01", Prompt: "…", Tokens: 32, Stream: true, Deadline: 5 * time.Second})
//	if result.Outcome == cardamom.Served && !result.Whole { ... }
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

// patience is how long past its deadline a caller still reads an answer.
const patience = 100 * time.Millisecond

// addressTimeout is the greatest time of one question for addresses.
const addressTimeout = 2 * time.Second

// Request is one call.
type Request struct {
	// Model names a model; Service and Path a plain service instead.
	Model   string
	Service string
	Path    string
	Method  string
	Prompt  string
	Tokens  int
	Stream  bool
	Key     string
	// Deadline is the time the caller waits.
	Deadline time.Duration
	Priority int
	// Caller names the caller, empty for the connection's address.
	Caller string
	// Traceparent is a W3C trace header to continue, empty for none.
	Traceparent string
}

// Result is how a call ended, as its caller saw it.
type Result struct {
	Outcome cardamom.Outcome
	Reason  string
	Status  int
	// Whole tells that the answer is the whole one of this very request.
	Whole bool
	// Crossed tells that the answer has another request's content.
	Crossed bool
	// First is the time to the first token, Total to the end.
	First time.Duration
	Total time.Duration
	// Gaps are the times between tokens of a stream.
	Gaps []time.Duration
	// Instance is the address that answered.
	Instance   string
	RetryAfter time.Duration
}

type kept struct {
	addresses []string
	issue     uint64
	until     time.Time
}

// Caller asks the system which addresses to use, keeps the answer and connects
// there. It is safe for concurrent use.
type Caller struct {
	seeds  []string
	centre string
	client *http.Client

	mu   sync.Mutex
	kept map[string]kept
}

// New returns a caller in a data centre that knows the seeds.
func New(seeds []string, centre string) *Caller {
	transport := &http.Transport{
		MaxIdleConnsPerHost: 512, DisableCompression: true,
		DialContext: (&net.Dialer{Timeout: 300 * time.Millisecond}).DialContext,
	}
	return &Caller{seeds: seeds, centre: centre, client: &http.Client{Transport: transport}, kept: make(map[string]kept)}
}

// Forget drops the kept addresses of a model or service.
func (c *Caller) Forget(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.kept, name)
}

type addressesWire struct {
	Addresses []struct {
		Address string `json:"address"`
	} `json:"addresses"`
	TTLMS int64  `json:"ttl_ms"`
	Issue uint64 `json:"issue"`
}

// Addresses returns where to connect for a model or service.
func (c *Caller) Addresses(ctx context.Context, name string) ([]string, uint64, error) {
	now := time.Now()
	c.mu.Lock()
	known, ok := c.kept[name]
	c.mu.Unlock()
	if ok && now.Before(known.until) {
		return known.addresses, known.issue, nil
	}
	for _, n := range rand.Perm(len(c.seeds)) {
		wire, err := c.ask(ctx, c.seeds[n], name)
		if err != nil || len(wire.Addresses) == 0 {
			continue
		}
		next := kept{issue: wire.Issue, until: now.Add(time.Duration(wire.TTLMS) * time.Millisecond)}
		for _, a := range wire.Addresses {
			next.addresses = append(next.addresses, a.Address)
		}
		c.mu.Lock()
		c.kept[name] = next
		c.mu.Unlock()
		return next.addresses, next.issue, nil
	}
	if ok {
		return known.addresses, known.issue, nil
	}
	return nil, 0, eris.New("no instance answers")
}

func (c *Caller) ask(ctx context.Context, seed, name string) (addressesWire, error) {
	limited, cancel := context.WithTimeout(ctx, addressTimeout)
	defer cancel()
	var wire addressesWire
	query := url.Values{"model": {name}, "place": {c.centre}}
	request, err := http.NewRequestWithContext(limited, http.MethodGet, "http://"+seed+"/v1/addresses?"+query.Encode(), nil)
	if err != nil {
		return wire, eris.Wrap(err, "build question")
	}
	response, err := c.client.Do(request)
	if err != nil {
		return wire, eris.Wrap(err, "ask for addresses")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return wire, eris.Errorf("ask for addresses: status %d", response.StatusCode)
	}
	return wire, eris.Wrap(json.NewDecoder(response.Body).Decode(&wire), "decode addresses")
}

// Do makes the call at one of the addresses. Another address is tried only if
// no connection could be made.
func (c *Caller) Do(ctx context.Context, request Request) Result {
	begun := time.Now()
	limited, cancel := context.WithTimeout(ctx, request.Deadline+patience)
	defer cancel()
	name := request.Model
	if name == "" {
		name = request.Service
	}
	for try := 0; ; try++ {
		addresses, issue, err := c.Addresses(limited, name)
		if err != nil {
			return Result{Outcome: cardamom.NotRun, Reason: "no-address", Total: time.Since(begun)}
		}
		result, connected := c.At(limited, addresses[try%len(addresses)], issue, request, begun)
		if connected || try >= len(addresses) || limited.Err() != nil {
			return result
		}
		if try == len(addresses)-1 {
			c.Forget(name)
		}
	}
}

// At makes the call at an address and tells whether a connection was made.
func (c *Caller) At(ctx context.Context, address string, issue uint64, request Request, begun time.Time) (Result, bool) {
	httpRequest, err := build(ctx, address, issue, request)
	if err != nil {
		return Result{Reason: err.Error()}, true
	}
	response, err := c.client.Do(httpRequest)
	if err != nil {
		result := Result{Reason: "connection: " + err.Error(), Instance: address, Total: time.Since(begun)}
		return result, !isDial(err)
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
		readWhole(response, request, &result, begun)
	}
	result.Total = time.Since(begun)
	return result, true
}

func build(ctx context.Context, address string, issue uint64, request Request) (*http.Request, error) {
	method, path, body := http.MethodPost, "/v1/chat/completions", completionBody(request)
	if request.Service != "" {
		method, path, body = request.Method, "/services/"+request.Service+request.Path, []byte(request.Prompt)
	}
	httpRequest, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return nil, eris.Wrap(err, "build call")
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

func isDial(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
