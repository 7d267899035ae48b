package cardamom

// InstanceID names an entry instance, a machine that runs this system.
type InstanceID string

// UpstreamID names a back end: a model runner or a plain service process.
type UpstreamID string

// DataCentre names a data centre with its own power and network.
type DataCentre string

// ServiceID names a group of upstreams that run the same program.
type ServiceID string

// ModelID names a model or an adapter.
type ModelID string

// CellID names a cell, the unit of placement decisions: service/place/number.
type CellID string

// Incarnation tells one run of a process from the next at the same name.
type Incarnation uint64

// Revision counts the published profile documents.
type Revision uint64

// Fence is a fencing number. A greater fence is newer.
type Fence uint64

// fenceOrderBits is the width of the order sequence below a hold's fence.
const fenceOrderBits = 20

// Order returns the fence of the n-th order sent under hold fence f.
func (f Fence) Order(n uint64) Fence {
	return f<<fenceOrderBits | Fence(n&(1<<fenceOrderBits-1))
}
