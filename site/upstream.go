package site

import (
	"time"

	cardamom "cardamomcourse.example/cardamom"
)

// Upstream is a registered upstream with the state that it reported.
type Upstream struct {
	cardamom.Upstream
	// StartedMs is the start time of this run of the upstream in Unix milliseconds.
	StartedMs int64
	// RegistrationSeq is the number of the registration in this run.
	RegistrationSeq int64
	// Slots is the number of requests that it runs at once.
	Slots int
	// Version is the version of its software, empty if it is not known.
	Version string
	// Remaining is the time until the platform removes it; 0 if unknown.
	Remaining time.Duration
	// Loaded maps each loaded model to its loaded adapters.
	Loaded map[cardamom.ModelID][]string
	// InMemory and OnDisk have the models whose weights are local, in host memory
	// or on disk, and load faster than from the store.
	InMemory map[cardamom.ModelID]bool
	OnDisk   map[cardamom.ModelID]bool
}

// HasLoaded reports whether the model and, unless empty, its adapter are loaded.
func (u *Upstream) HasLoaded(model cardamom.ModelID, adapter string) bool {
	adapters, ok := u.Loaded[model]
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

// UpstreamUpdate has the changes of the registered upstreams, or all upstreams if
// Full is set.
type UpstreamUpdate struct {
	Full    bool
	Present []*Upstream
	Removed []cardamom.UpstreamID
	// Incarnation is the incarnation of the store from which the changes were read, 0
	// if it has none.
	Incarnation uint64
}

// Report is the state that an engine reports.
type Report struct {
	// StartedMs is the start time of the run that reports in Unix milliseconds, 0 if it
	// doesn't say.
	StartedMs int64
	// AcceptedOrders is the number of orders that the engine has accepted.
	AcceptedOrders int64
	// Busy is true while the engine executes an order.
	Busy bool
	// Loaded maps each loaded model to its loaded adapters, LoadingAdapters maps
	// models to the adapters being loaded.
	Loaded          map[cardamom.ModelID][]string
	LoadingAdapters map[cardamom.ModelID][]string
	InMemory        map[cardamom.ModelID]bool
	OnDisk          map[cardamom.ModelID]bool
	// RateLimit is what the answer with the report states.
	RateLimit RateLimit
	// Leaving means that the answer says that the upstream leaves.
	Leaving bool
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
	Kind         OrderKind
	Model        cardamom.ModelID
	Adapter      string
	Holder       cardamom.InstanceID
	FencingToken cardamom.Fence
	// ExpectedOrders is the number of orders that the engine must have accepted
	// before; with another number it refuses this one.
	ExpectedOrders int64
}

// OrderResult is the outcome of sending an order.
type OrderResult uint8

// The outcomes of sending an order.
const (
	// OrderAccepted means that the engine executes the order.
	OrderAccepted OrderResult = iota + 1
	// OrderAlreadyDone means that the engine is already in the requested state.
	OrderAlreadyDone
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
