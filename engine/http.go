package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/framed"
	"cardamomcourse.example/cardamom/meter"
)

// HTTP fetches reports from engines and sends them orders over HTTP.
type HTTP struct {
	client  *http.Client
	reports atomic.Int64
	meter   *meter.Meter
}

// Meter returns the counters of the bytes sent to and received from engines.
func (h *HTTP) Meter() *meter.Meter { return h.meter }

// Reports returns how often Report was called.
func (h *HTTP) Reports() int64 { return h.reports.Load() }

// maxReportBytes bounds an engine's report.
const maxReportBytes = 4 << 20

// NewHTTP returns a client whose calls last at most timeout.
func NewHTTP(timeout time.Duration) *HTTP {
	counted := &meter.Meter{}
	transport := &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: time.Minute, DialContext: counted.DialContext}
	return &HTTP{meter: counted, client: &http.Client{Timeout: timeout, Transport: framed.Limit(transport, maxReportBytes)}}
}

// OrderWire is the JSON form of an Order.
type OrderWire struct {
	ID           string `json:"id"`
	Fence        uint64 `json:"fence"`
	Kind         string `json:"kind"`
	Model        string `json:"model,omitempty"`
	Base         string `json:"base,omitempty"`
	MemoryMB     int    `json:"memory_mb,omitempty"`
	CheckpointMB int    `json:"checkpoint_mb,omitempty"`
}

// LoadedWire is the JSON form of a loaded model.
type LoadedWire struct {
	Model     string `json:"model"`
	Ready     bool   `json:"ready"`
	OrderID   string `json:"order_id"`
	MemoryMB  int    `json:"memory_mb"`
	Running   int    `json:"running"`
	Waiting   int    `json:"waiting"`
	ReadyInMS int64  `json:"ready_in_ms,omitempty"`
}

// ReportWire is the JSON form of a Report. Cached maps a model to the fastest tier
// of its local checkpoint, and Orders are IDs of accepted orders.
type ReportWire struct {
	Incarnation uint64         `json:"incarnation"`
	Fence       uint64         `json:"fence"`
	Fencing     bool           `json:"fencing"`
	MemoryMB    int            `json:"memory_mb"`
	Slots       int            `json:"slots"`
	Loaded      []LoadedWire   `json:"loaded"`
	Cached      map[string]int `json:"cached"`
	Orders      []string       `json:"orders"`
}

// Report fetches the report of the engine at address. It returns ErrUnreachable if
// there is no response, also after a timeout on an open connection, or if its
// status is not 200.
func (h *HTTP) Report(ctx context.Context, address string) (*Report, error) {
	h.reports.Add(1)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/engine/report", nil)
	if err != nil {
		return nil, eris.Wrap(err, "create report request")
	}
	resp, err := h.client.Do(req)
	if err != nil {
		return nil, ErrUnreachable
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, ErrUnreachable
	}
	var wire ReportWire
	if err := json.NewDecoder(resp.Body).Decode(&wire); err != nil {
		return nil, eris.Wrap(err, "decode report")
	}
	return wire.report(), nil
}

// Send sends an order to the engine at address. It returns nil if the engine has
// accepted the order, now or earlier.
func (h *HTTP) Send(ctx context.Context, address string, order Order) error {
	body, err := json.Marshal(OrderWire{
		ID: order.ID, Fence: uint64(order.Fence), Kind: order.Kind.String(),
		Model: string(order.Model), Base: string(order.Base),
		MemoryMB: order.Memory, CheckpointMB: order.Checkpoint,
	})
	if err != nil {
		return eris.Wrap(err, "encode order")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/engine/orders", bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "create order request")
	}
	resp, err := h.client.Do(req)
	if err != nil {
		return SendError(err)
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK, http.StatusAccepted:
		return nil
	case http.StatusPreconditionFailed:
		return ErrStaleFence
	case http.StatusConflict:
		return ErrRefused
	default:
		return ErrOutcomeUnknown
	}
}

// SendError converts an error of an HTTP call: to ErrUnreachable if no connection
// was made, otherwise to ErrOutcomeUnknown.
func SendError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return ErrUnreachable
	}
	return ErrOutcomeUnknown
}

func (w ReportWire) report() *Report {
	report := &Report{
		Incarnation: cardamom.Incarnation(w.Incarnation),
		Fence:       cardamom.Fence(w.Fence),
		Fencing:     w.Fencing,
		Memory:      w.MemoryMB,
		Slots:       w.Slots,
		Orders:      w.Orders,
		Cached:      make(map[cardamom.ModelID]cardamom.Tier, len(w.Cached)),
	}
	for model, tier := range w.Cached {
		report.Cached[cardamom.ModelID(model)] = cardamom.Tier(tier)
	}
	for _, l := range w.Loaded {
		state := Loading
		if l.Ready {
			state = Ready
		}
		report.Loaded = append(report.Loaded, Loaded{
			Model: cardamom.ModelID(l.Model), State: state, OrderID: l.OrderID,
			Memory: l.MemoryMB, Running: l.Running, Waiting: l.Waiting,
			ReadyIn: time.Duration(l.ReadyInMS) * time.Millisecond,
		})
	}
	return report
}
