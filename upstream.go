package cardamom

// ListedState is the state of an upstream or an instance in the platform's list.
type ListedState uint8

// The states of a listed upstream or instance.
const (
	// Live means that the upstream or instance accepts requests.
	Live ListedState = iota + 1
	// Leaving means that it finishes the requests in flight and accepts no more.
	Leaving
)

// Upstream is a back end in the platform's list.
type Upstream struct {
	ID         UpstreamID
	Service    ServiceID
	DataCentre DataCentre
	// Address is the host:port of the HTTP interface.
	Address string
	State   ListedState
}

// Instance is an instance in the platform's list.
type Instance struct {
	ID         InstanceID
	DataCentre DataCentre
	// CallerAddress is the host:port that callers connect to.
	CallerAddress string
	// PeerAddress is the host:port that other instances connect to.
	PeerAddress string
	State       ListedState
}

// Tier is where an upstream loads a checkpoint from, the fastest first.
type Tier uint8

// The tiers that a checkpoint is loaded from.
const (
	TierMemory Tier = iota + 1
	TierDisk
	TierRemote
)
