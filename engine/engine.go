// Package engine is the control client of engines, which are model servers: it
// fetches their reports and sends them orders. An order is a command to load or
// unload a model. It carries a fencing token, so that an engine can refuse the
// orders of a sender that has been replaced.
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
	// ErrUnreachable, from Send, means that no connection was made, so that the
	// order was not sent. Report returns it whenever it gets no response with
	// status 200, also after a timeout on an open connection.
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
	// Base is the model that must be loaded before Model if Model is an adapter,
	// else empty.
	Base cardamom.ModelID
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
	// Incarnation identifies this run of the engine's process.
	Incarnation cardamom.Incarnation
	// Fence is the highest fencing token that the engine has received.
	Fence cardamom.Fence
	// Fencing means that the engine refuses orders with a lower fencing token.
	Fencing bool
	// Memory is the accelerator memory in MB.
	Memory int
	// Slots is how many requests the engine batches at once.
	Slots  int
	Loaded []Loaded
	// Cached maps each model with a local checkpoint to the fastest tier of storage
	// that has the checkpoint.
	Cached map[cardamom.ModelID]cardamom.Tier
	// Orders are the IDs of the orders that the engine has accepted recently.
	Orders []string
}
