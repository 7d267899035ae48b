package fakes

import (
	"context"
	"io"
	"net/http"
	"time"

	"cardamomcourse.example/cardamom/roster"
	"cardamomcourse.example/cardamom/sleep"
)

// PlainServiceOptions configure a plain service process.
type PlainServiceOptions struct {
	ID         string
	Service    string
	DataCentre string
	Address    string
	Weights    string
	// Listed is the address on the list if it differs from Address, such as a
	// proxy's.
	Listed string
	// Work is how long one call takes.
	Work time.Duration
}

// PlainService is a plain service process. It echoes the body of a call.
type PlainService struct {
	options  PlainServiceOptions
	platform *platformClient
	server   *Server
	cancel   context.CancelFunc
}

// StartPlainService starts a process and puts it on the list.
func StartPlainService(options PlainServiceOptions) (*PlainService, error) {
	ctx, cancel := context.WithCancel(context.Background())
	p := &PlainService{options: options, platform: newPlatformClient(options.Weights), cancel: cancel}
	server, err := serve(options.Address, http.HandlerFunc(p.call))
	if err != nil {
		cancel()
		return nil, err
	}
	p.server = server
	machine := roster.MachineWire{ID: options.ID, Service: options.Service, DataCentre: options.DataCentre, Address: listedAddress(options.Listed, server)}
	if err := p.platform.attach(ctx, machine); err != nil {
		p.Close()
		return nil, err
	}
	return p, nil
}

// Address returns the process's host:port.
func (p *PlainService) Address() string { return p.server.Address() }

// Close stops the service at once, as a crash would.
func (p *PlainService) Close() {
	p.cancel()
	p.server.Close()
}

func (p *PlainService) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if key := r.Header.Get("Cardamom-Key"); key != "" {
		p.platform.sendEvent(EventWire{Kind: "run", Key: key, Upstream: p.options.ID})
	}
	if !sleep.For(r.Context(), p.options.Work) {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, map[string]string{"service": p.options.Service, "path": r.URL.Path, "echo": string(body)})
}
