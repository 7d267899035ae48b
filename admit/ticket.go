package admit

import (
	"time"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/cells"
)

// Ticket is a request at the door.
type Ticket struct {
	Model    cardamom.ModelID
	Cell     cardamom.CellID
	Caller   string
	Priority int
	Arrived  time.Time
	Deadline time.Time
	// Suspect tells that an upstream died while running the request.
	Suspect bool
	// QueueLimit is how many requests may wait for the model.
	QueueLimit int
	// CallerLimit is how many requests the caller may have here.
	CallerLimit int
	// Size is the memory in bytes that the request holds while it waits.
	Size int64
	// Avoid is an upstream on which a try has failed, empty for none.
	Avoid cardamom.UpstreamID
}

// Result is how a pass ended.
type Result uint8

// The results of a pass.
const (
	// Done means the request was served; its time counts as service time.
	Done Result = iota + 1
	// Broken means it was not; its time does not count.
	Broken
)

// Pass is a place on an upstream. It must be released once.
type Pass struct {
	desk    *Desk
	ticket  Ticket
	replica cells.Replica
	started time.Time
}

// Replica returns where to send the request.
func (p *Pass) Replica() cells.Replica { return p.replica }

// Release frees the place.
func (p *Pass) Release(result Result, now time.Time) { p.desk.release(p, result, now) }
