package table

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/rotisserie/eris"

	"cardamomcourse.example/cardamom/framed"
)

// HTTP is a Store that calls the platform's HTTP interface.
type HTTP struct {
	base   string
	client *http.Client
}

var _ Store = (*HTTP)(nil)

const (
	// maxReplyBytes bounds a reply: all rows of the product's own.
	maxReplyBytes = 64 << 20
	// idleTimeout is how long an idle connection to the platform is kept.
	idleTimeout = 90 * time.Second
)

// NewHTTP returns a client of the table at address whose calls last at most timeout.
func NewHTTP(address string, timeout time.Duration) *HTTP {
	return &HTTP{base: "http://" + address, client: &http.Client{Timeout: timeout, Transport: framed.Limit(&http.Transport{IdleConnTimeout: idleTimeout}, maxReplyBytes)}}
}

// RowWire is the JSON form of a row.
type RowWire struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
}

// WriteWire is the JSON form of a write.
type WriteWire struct {
	Key     string `json:"key"`
	Expect  uint64 `json:"expect"`
	Value   []byte `json:"value,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

// CommitWire is the JSON form of a commit's reply.
type CommitWire struct {
	Version uint64 `json:"version"`
}

// Get implements Reader.
func (h *HTTP) Get(ctx context.Context, key string) (Row, error) {
	var wire RowWire
	if err := h.read(ctx, "/row?key="+url.QueryEscape(key), &wire); err != nil {
		return Row{}, err
	}
	return NewRow(key, wire.Value, wire.Version), nil
}

// List implements Reader.
func (h *HTTP) List(ctx context.Context, prefix string) ([]Row, error) {
	var wire []RowWire
	if err := h.read(ctx, "/rows?prefix="+url.QueryEscape(prefix), &wire); err != nil {
		return nil, err
	}
	rows := make([]Row, 0, len(wire))
	for _, w := range wire {
		rows = append(rows, NewRow(w.Key, w.Value, w.Version))
	}
	return rows, nil
}

// Commit implements Committer.
func (h *HTTP) Commit(ctx context.Context, writes ...Write) (uint64, error) {
	wire := make([]WriteWire, 0, len(writes))
	for _, w := range writes {
		wire = append(wire, WriteWire(w))
	}
	body, err := json.Marshal(wire)
	if err != nil {
		return 0, eris.Wrap(err, "encode commit")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, h.base+"/commit", bytes.NewReader(body))
	if err != nil {
		return 0, eris.Wrap(err, "build commit")
	}
	resp, err := h.client.Do(req)
	if err != nil {
		return 0, classifySendError(err)
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusConflict:
		return 0, ErrConflict
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return 0, ErrUnavailable
	default:
		return 0, ErrOutcomeUnknown
	}
	var reply CommitWire
	if err := json.NewDecoder(resp.Body).Decode(&reply); err != nil {
		return 0, ErrOutcomeUnknown
	}
	return reply.Version, nil
}

func (h *HTTP) read(ctx context.Context, path string, into any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, h.base+path, nil)
	if err != nil {
		return eris.Wrap(err, "build read")
	}
	resp, err := h.client.Do(req)
	if err != nil {
		return ErrUnavailable
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return ErrUnavailable
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return ErrUnavailable
	}
	if err := json.Unmarshal(body, into); err != nil {
		return eris.Wrap(err, "decode rows")
	}
	return nil
}

// classifySendError distinguishes a call that was never sent from one whose
// reply was lost.
func classifySendError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return ErrUnavailable
	}
	return ErrOutcomeUnknown
}
