// Package engine is the control client of model servers: it fetches reports and
// sends orders.
//
// # Usage
//
//	client := engine.NewHTTP(2 * time.Second)
//	report, err := client.Report(ctx, "127.0.0.1:7100")
//	err = client.Send(ctx, "127.0.0.1:7100", order)
//
// An order for which Send returns ErrOutcomeUnknown may have taken effect. It is
// sent again under the same ID, or settled by a later report.
package engine

import (
	"time"

	"github.com/rotisserie/eris"

	cardamom "cardamomcourse.example/cardamom"
)

// Errors of a call to an engine.
var (
	// ErrStaleFence means the engine has seen a newer fencing token; the order was not carried out.
	ErrStaleFence = eris.New("engine refused a stale fencing token")
	// ErrRefused means the engine can't carry out the order and has changed nothing.
	ErrRefused = eris.New("engine refused the order")
	// ErrUnreachable means no connection was made; the order was not sent.
	ErrUnreachable = eris.New("engine unreachable")
	// ErrOutcomeUnknown means the reply was lost or is not understood; the order may have taken effect.
	ErrOutcomeUnknown = eris.New("outcome of the engine order unknown")
)

// OrderKind is what an order asks of an engine.
type OrderKind uint8

// The kinds of orders.
const (
	// OrderFence only passes the sender's fencing token to the engine.
	OrderFence OrderKind = iota + 1
	OrderLoad
	OrderUnload
)

var orderNames = [...]string{"", "fence", "load", "unload"}

// String returns the wire form of the kind.
func (k OrderKind) String() string { return orderNames[k] }

// Order asks one engine for one change. It keeps its ID when it is sent again, so
// that the engine carries it out once.
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
	// Memory is the accelerator memory that the model takes, in MB.
	Memory  int
	Running int
	Waiting int
	// ReadyIn is the engine's estimate of the remaining time of a load.
	ReadyIn time.Duration
}

// Report is the state that an engine reports. Its running and waiting counts may be stale.
type Report struct {
	Incarnation cardamom.Incarnation
	Fence       cardamom.Fence
	Fencing     bool
	// Memory is the accelerator memory in MB.
	Memory int
	// Slots is how many requests the engine batches at once.
	Slots  int
	Loaded []Loaded
	// Cached is the fastest tier that holds each local checkpoint.
	Cached map[cardamom.ModelID]cardamom.Tier
	// Orders are the IDs of the orders accepted lately.
	Orders []string
}
