package cardamom

// InstanceID names an instance, a machine that runs a program of this repository.
type InstanceID string

// UpstreamID names a back end: an engine or a process of a plain service.
type UpstreamID string

// DataCentre names a data centre with its own power and network.
type DataCentre string

// ServiceID names a group of upstreams that run the same program.
type ServiceID string

// ModelID names a model or an adapter.
type ModelID string

// CellID names a cell, the unit of placement decisions, as service/data centre/number.
type CellID string

// Incarnation distinguishes the successive runs of a process under one name.
type Incarnation uint64

// Revision is the sequence number of a published profile document.
type Revision uint64

// Fence is a fencing token. A greater fence is newer.
type Fence uint64

// fenceOrderBits is the number of low bits of an order's fence that contain the
// order's sequence number. The bits above them contain the hold's fence.
const fenceOrderBits = 20

// ForOrder returns the fence of the n-th order sent under a hold (an instance's lease
// on a cell) whose fence is f.
func (f Fence) ForOrder(n uint64) Fence {
	return f<<fenceOrderBits | Fence(n&(1<<fenceOrderBits-1))
}
