package cardamom

// UpstreamState is what the platform's list says of an upstream or instance.
type UpstreamState uint8

// The states of a listed machine.
const (
	// Live machines take work.
	Live UpstreamState = iota + 1
	// Leaving machines finish their work and take no more.
	Leaving
)

// Upstream is one listed back end.
type Upstream struct {
	ID         UpstreamID
	Service    ServiceID
	DataCentre DataCentre
	// Address is the host:port of the HTTP interface.
	Address string
	State   UpstreamState
}

// Instance is one listed entry instance.
type Instance struct {
	ID         InstanceID
	DataCentre DataCentre
	// CallerAddress is the host:port that callers connect to.
	CallerAddress string
	// PeerAddress is the host:port that other instances connect to.
	PeerAddress string
	State       UpstreamState
}

// Tier is where an upstream keeps a checkpoint, nearest first.
type Tier uint8

// The tiers of a checkpoint cache.
const (
	TierMemory Tier = iota + 1
	TierDisk
	TierRemote
)
