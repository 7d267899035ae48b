// Package engine speaks with model engines: reports, orders and requests.
//
// # Usage
//
//	client := engine.NewHTTP(2 * time.Second)
//	report, err := client.Report(ctx, "127.0.0.1:7100")
//	err = client.Send(ctx, "127.0.0.1:7100", order)
//
// An order that returns ErrUnknown may have taken effect. It is repeated under
// the same identity, or settled by a later report.
package engine

import (
	"time"

	"github.com/rotisserie/eris"

	cardamom "cardamomcourse.example/cardamom"
)

// Errors of an engine.
var (
	// ErrStaleFence means the engine has seen a newer fence; the order was not carried out.
	ErrStaleFence = eris.New("engine refused an old fence")
	// ErrRefused means the engine can't carry out the order; nothing changed.
	ErrRefused = eris.New("engine refused the order")
	// ErrUnreachable means no connection was made; the order was not sent.
	ErrUnreachable = eris.New("engine unreachable")
	// ErrUnknown means the reply was lost; the order may have taken effect.
	ErrUnknown = eris.New("engine reply lost")
)

// OrderKind is what an order asks of an engine.
type OrderKind uint8

// The kinds of orders.
const (
	// OrderFence only tells the engine the sender's fence.
	OrderFence OrderKind = iota + 1
	OrderLoad
	OrderUnload
)

var orderNames = [...]string{"", "fence", "load", "unload"}

// String returns the wire form of the kind.
func (k OrderKind) String() string { return orderNames[k] }

// Order asks one engine for one change. Its identity is chosen before the first
// send and kept through repeats.
type Order struct {
	ID    string
	Fence cardamom.Fence
	Kind  OrderKind
	Model cardamom.ModelID
	Base  cardamom.ModelID
	// Memory is the accelerator memory of the model in MB.
	Memory int
	// Checkpoint is the checkpoint's size in MB.
	Checkpoint int
}

// LoadState is the state of a model on an engine.
type LoadState uint8

// The states of a loaded model.
const (
	Loading LoadState = iota + 1
	Ready
)

// Loaded is one model on an engine.
type Loaded struct {
	Model   cardamom.ModelID
	State   LoadState
	OrderID string
	// Memory is the accelerator memory held, in MB.
	Memory  int
	Running int
	Waiting int
	// ReadyIn is the engine's estimate for a loading model.
	ReadyIn time.Duration
}

// Report is an engine's account of itself. Running and waiting counts lag.
type Report struct {
	Incarnation cardamom.Incarnation
	Fence       cardamom.Fence
	Fencing     bool
	// Memory is the accelerator memory in MB.
	Memory int
	// Slots is how many requests the engine batches at once.
	Slots  int
	Loaded []Loaded
	// Cached gives the nearest tier of each checkpoint kept locally.
	Cached map[cardamom.ModelID]cardamom.Tier
	// Orders are the identities of the orders accepted lately.
	Orders []string
}
