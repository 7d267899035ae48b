// Package roster reads the platform's list of live and leaving instances and
// upstreams.
//
// # Usage
//
//	list, err := roster.NewHTTP("127.0.0.1:7002", time.Second).Fetch(ctx)
//	for _, u := range list.Upstreams() { ... }
//
// The list lags behind: it may still name a machine that has ended and not yet
// name one that has started.
package roster

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/framed"
)

// ErrUnavailable means that the platform did not return the list.
var ErrUnavailable = eris.New("platform list unavailable")

// List is a snapshot of the platform's list.
type List struct {
	instances []cardamom.Instance
	upstreams []cardamom.Upstream
}

// NewList returns a list of the given machines.
func NewList(instances []cardamom.Instance, upstreams []cardamom.Upstream) *List {
	return &List{instances: instances, upstreams: upstreams}
}

// Instances returns the listed instances.
func (l *List) Instances() []cardamom.Instance { return l.instances }

// Upstreams returns the listed upstreams.
func (l *List) Upstreams() []cardamom.Upstream { return l.upstreams }

// MachineWire is the JSON form of a listed machine.
type MachineWire struct {
	ID         string `json:"id"`
	Service    string `json:"service,omitempty"`
	DataCentre string `json:"place"`
	Address    string `json:"address"`
	Peer       string `json:"peer,omitempty"`
	Leaving    bool   `json:"leaving,omitempty"`
}

// ListWire is the JSON form of the list.
type ListWire struct {
	Instances []MachineWire `json:"instances"`
	Upstreams []MachineWire `json:"upstreams"`
}

// HTTP fetches the list over the platform's HTTP interface.
type HTTP struct {
	url    string
	client *http.Client
}

const (
	// maxListBytes bounds the list: some 200 bytes an upstream at ten times the target
	// size.
	maxListBytes = 4 << 20
	// idleTimeout is how long an idle connection to the platform is kept.
	idleTimeout = 90 * time.Second
)

// NewHTTP returns a client of the platform at address; timeout bounds each request.
func NewHTTP(address string, timeout time.Duration) *HTTP {
	return &HTTP{url: "http://" + address + "/list", client: &http.Client{Timeout: timeout, Transport: framed.Limit(&http.Transport{IdleConnTimeout: idleTimeout}, maxListBytes)}}
}

// Fetch returns the platform's current list.
func (h *HTTP) Fetch(ctx context.Context) (*List, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, h.url, nil)
	if err != nil {
		return nil, eris.Wrap(err, "build list request")
	}
	resp, err := h.client.Do(req)
	if err != nil {
		return nil, ErrUnavailable
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, ErrUnavailable
	}
	var wire ListWire
	if err := json.NewDecoder(resp.Body).Decode(&wire); err != nil {
		return nil, eris.Wrap(err, "decode list")
	}
	return wire.domain(), nil
}

func (w ListWire) domain() *List {
	list := &List{}
	for _, m := range w.Instances {
		list.instances = append(list.instances, cardamom.Instance{
			ID: cardamom.InstanceID(m.ID), DataCentre: cardamom.DataCentre(m.DataCentre),
			CallerAddress: m.Address, PeerAddress: m.Peer, State: m.state(),
		})
	}
	for _, m := range w.Upstreams {
		list.upstreams = append(list.upstreams, cardamom.Upstream{
			ID: cardamom.UpstreamID(m.ID), Service: cardamom.ServiceID(m.Service),
			DataCentre: cardamom.DataCentre(m.DataCentre), Address: m.Address, State: m.state(),
		})
	}
	return list
}

func (w MachineWire) state() cardamom.ListedState {
	if w.Leaving {
		return cardamom.Leaving
	}
	return cardamom.Live
}
