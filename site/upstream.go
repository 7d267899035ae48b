package site

import (
	"time"

	cardamom "cardamomcourse.example/cardamom"
)

// Upstream is a listed back end with what it says it holds.
type Upstream struct {
	cardamom.Upstream
	// Born is when this run of the upstream started, in Unix milliseconds.
	Born int64
	// Beat grows with each word of this run about itself.
	Beat int64
	// Slots is how many requests it processes at once.
	Slots int
	// Remaining is the time until it is taken away; 0 if it is not told.
	Remaining time.Duration
	// Held has the loaded models, each with its loaded adapters.
	Held map[cardamom.ModelID][]string
	// InMemory and OnDisk have the models that load faster than from the store.
	InMemory map[cardamom.ModelID]bool
	OnDisk   map[cardamom.ModelID]bool
}

// Holds tells whether the model and, unless empty, its adapter is loaded.
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

// Listing is what changed of the registered upstreams. A full listing has all
// of them.
type Listing struct {
	Full    bool
	Present []*Upstream
	Gone    []cardamom.UpstreamID
}

// Report is what a model engine answers when it is asked for its state.
type Report struct {
	Orders   int64
	Busy     bool
	Held     map[cardamom.ModelID][]string
	Coming   map[cardamom.ModelID][]string
	InMemory map[cardamom.ModelID]bool
	OnDisk   map[cardamom.ModelID]bool
}

// OrderKind is what an engine is told to do.
type OrderKind uint8

// The orders an engine takes.
const (
	Load OrderKind = iota + 1
	Unload
)

// String returns the order's name in logs.
func (k OrderKind) String() string {
	if k == Load {
		return "load"
	}
	return "unload"
}

// Order tells an engine to load or drop a model, or an adapter of one.
type Order struct {
	Kind    OrderKind
	Model   cardamom.ModelID
	Adapter string
	Holder  cardamom.InstanceID
	Fence   cardamom.Fence
	// Expect is how many orders the engine must have accepted before.
	Expect int64
}

// OrderResult is an engine's answer to an order.
type OrderResult uint8

// The answers to an order.
const (
	// OrderAccepted means that it is being carried out.
	OrderAccepted OrderResult = iota + 1
	// OrderHolds means that what it asks for is so already.
	OrderHolds
	// OrderConflict means that another order is in progress or came before.
	OrderConflict
	// OrderFenced means that a holder with a greater fence has given orders.
	OrderFenced
	// OrderRefused means that the engine does not take it.
	OrderRefused
	// OrderMisdirected means that another upstream has the address now.
	OrderMisdirected
	// OrderUnknown means that no answer came; it may be carried out later.
	OrderUnknown
)
