package site

import (
	"time"

	cardamom "cardamomcourse.example/cardamom"
)

// Upstream is a registered upstream with the state that it reported.
type Upstream struct {
	cardamom.Upstream
	// Born is the start time of this run of the upstream in Unix milliseconds.
	Born int64
	// Beat is the sequence number of this run's registrations.
	Beat int64
	// Slots is the number of requests that it runs at once.
	Slots int
	// Remaining is the time until the platform removes it; 0 if unknown.
	Remaining time.Duration
	// Held maps each loaded model to its loaded adapters.
	Held map[cardamom.ModelID][]string
	// InMemory and OnDisk have the models whose weights are local, in host memory
	// or on disk, and load faster than from the store.
	InMemory map[cardamom.ModelID]bool
	OnDisk   map[cardamom.ModelID]bool
}

// Holds reports whether the model and, unless empty, its adapter are loaded.
func (u *Upstream) Holds(model cardamom.ModelID, adapter string) bool {
	adapters, ok := u.Held[model]
	if !ok || adapter == "" {
		return ok
	}
	for _, name := range adapters {
		if name == adapter {
			return true
		}
	}
	return false
}

// Listing has the changes of the registered upstreams, or all of them if it is
// full.
type Listing struct {
	Full    bool
	Present []*Upstream
	Gone    []cardamom.UpstreamID
}

// Report is the state that an engine reports.
type Report struct {
	// Orders is the number of orders that the engine has accepted.
	Orders int64
	// Busy is true while the engine executes an order.
	Busy bool
	// Held maps each loaded model to its loaded adapters, Coming to the
	// adapters being loaded.
	Held     map[cardamom.ModelID][]string
	Coming   map[cardamom.ModelID][]string
	InMemory map[cardamom.ModelID]bool
	OnDisk   map[cardamom.ModelID]bool
}

// OrderKind is the operation of an order.
type OrderKind uint8

// The kinds of order.
const (
	Load OrderKind = iota + 1
	Unload
)

// String returns the operation's name in orders and logs.
func (k OrderKind) String() string {
	if k == Load {
		return "load"
	}
	return "unload"
}

// Order tells an engine to load or unload a model or an adapter.
type Order struct {
	Kind    OrderKind
	Model   cardamom.ModelID
	Adapter string
	Holder  cardamom.InstanceID
	Fence   cardamom.Fence
	// Expect is the number of orders that the engine must have accepted before;
	// otherwise it refuses the order.
	Expect int64
}

// OrderResult is the outcome of sending an order.
type OrderResult uint8

// The outcomes of sending an order.
const (
	// OrderAccepted means that the engine executes the order.
	OrderAccepted OrderResult = iota + 1
	// OrderHolds means that the engine is already in the requested state.
	OrderHolds
	// OrderConflict means that the engine executes another order or has accepted
	// a number of orders other than expected.
	OrderConflict
	// OrderFenced means that the engine has seen a greater fencing token.
	OrderFenced
	// OrderRefused means that the engine refused the order as invalid.
	OrderRefused
	// OrderMisdirected means that another upstream now has the address.
	OrderMisdirected
	// OrderUnknown means that no valid answer came; the order may still run.
	OrderUnknown
)
