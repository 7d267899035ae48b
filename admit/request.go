package admit

import (
	"time"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/cells"
)

// Request describes a request that asks for admission.
type Request struct {
	Model  cardamom.ModelID
	Cell   cardamom.CellID
	Caller string
	// Priority is 0 for the most urgent requests and 9 for the least urgent.
	Priority int
	Arrived  time.Time
	Deadline time.Time
	// Suspected is true if an upstream died while running the request.
	Suspected bool
	// QueueLimit is how many requests may wait for the model, 0 for no limit.
	QueueLimit int
	// CallerLimit is how many requests the caller may have at this instance, 0 for
	// no limit.
	CallerLimit int
	// Size is the size of the request in bytes, counted until it ends.
	Size int64
	// Avoid is the upstream on which the last attempt failed, empty for none.
	Avoid cardamom.UpstreamID
}

// Result is how an admitted request ended.
type Result uint8

// The results of an admitted request.
const (
	// Done means the request was served; its time is added to the average service time.
	Done Result = iota + 1
	// Failed means the request was not served; its time is not added.
	Failed
)

// Permit allows one request to be sent to a replica. It must be released exactly once.
type Permit struct {
	controller *Controller
	request    Request
	replica    cells.Replica
	started    time.Time
}

// Replica returns the replica to send the request to.
func (p *Permit) Replica() cells.Replica { return p.replica }

// Release ends the request and frees its place in the upstream's window.
func (p *Permit) Release(result Result, now time.Time) { p.controller.release(p, result, now) }
