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

// platformClient calls the weight store and the ground truth of the platform for an
// upstream.
type platformClient struct {
	base   string
	client *http.Client
}

func newPlatformClient(address string) *platformClient {
	transport := &http.Transport{MaxIdleConnsPerHost: 64}
	return &platformClient{base: "http://" + address, client: &http.Client{Transport: transport}}
}

// sendEvent sends an event to the ground truth and waits until it is recorded.
func (c *platformClient) sendEvent(event EventWire) {
	body, err := json.Marshal(event)
	if err != nil {
		return
	}
	response, err := c.client.Post(c.base+"/event", "application/json", bytes.NewReader(body))
	if err == nil {
		_ = response.Body.Close()
	}
}

// attach puts an upstream on the list and keeps it there until ctx ends.
func (c *platformClient) attach(ctx context.Context, machine roster.MachineWire) error {
	body, err := json.Marshal(machine)
	if err != nil {
		return eris.Wrap(err, "encode machine")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+"/attach", bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "build attach request")
	}
	response, err := c.client.Do(request)
	if err != nil {
		return eris.Wrap(err, "attach")
	}
	go func() {
		<-ctx.Done()
		_ = response.Body.Close()
	}()
	return nil
}

// fetch transfers mb megabytes from the weight store.
func (c *platformClient) fetch(ctx context.Context, mb int) error {
	url := c.base + "/weights/fetch?mb=" + itoa(mb)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, nil)
	if err != nil {
		return eris.Wrap(err, "build fetch request")
	}
	response, err := c.client.Do(request)
	if err != nil {
		return eris.Wrap(err, "fetch")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return eris.Errorf("fetch: status %d", response.StatusCode)
	}
	return nil
}

// newIncarnation returns the incarnation of a process that starts now: a number
// that identifies this run of the process and grows with each start.
func newIncarnation(now time.Time) uint64 { return uint64(now.UnixNano()) }
