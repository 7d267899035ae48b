package fakes

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"cardamomcourse.example/cardamom/roster"
)

// side is an upstream's connection to the weight store and the truth.
type side struct {
	base   string
	client *http.Client
}

func newSide(address string) *side {
	transport := &http.Transport{MaxIdleConnsPerHost: 64}
	return &side{base: "http://" + address, client: &http.Client{Transport: transport}}
}

// tell sends an event and waits until it is noted.
func (s *side) tell(event EventWire) {
	body, err := json.Marshal(event)
	if err != nil {
		return
	}
	response, err := s.client.Post(s.base+"/event", "application/json", bytes.NewReader(body))
	if err == nil {
		_ = response.Body.Close()
	}
}

// attach keeps an upstream on the list until ctx ends.
func (s *side) attach(ctx context.Context, machine roster.MachineWire) error {
	body, err := json.Marshal(machine)
	if err != nil {
		return eris.Wrap(err, "encode machine")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, s.base+"/attach", bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "build attach")
	}
	response, err := s.client.Do(request)
	if err != nil {
		return eris.Wrap(err, "attach")
	}
	go func() {
		<-ctx.Done()
		_ = response.Body.Close()
	}()
	return nil
}

// fetch waits for a transfer from the weight store.
func (s *side) fetch(ctx context.Context, mb int) error {
	url := s.base + "/weights/fetch?mb=" + itoa(mb)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, nil)
	if err != nil {
		return eris.Wrap(err, "build fetch")
	}
	response, err := s.client.Do(request)
	if err != nil {
		return eris.Wrap(err, "fetch")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return eris.Errorf("fetch: status %d", response.StatusCode)
	}
	return nil
}

// bootNumber returns an incarnation that grows with each start.
func bootNumber(now time.Time) uint64 { return uint64(now.UnixNano()) }
