package coord

import (
	"encoding/json"
	"time"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/clock"
	"cardamomcourse.example/cardamom/lease"
	"cardamomcourse.example/cardamom/plan"
	"cardamomcourse.example/cardamom/table"
)

// wireLease is the value of the lease row.
type wireLease struct {
	Holder   string `json:"holder"`
	Address  string `json:"address"`
	Released bool   `json:"released"`
	Renewed  int64  `json:"renewed_ms"`
	// Incarnation is that of the store at the time of the write. A row that was restored
	// with the store has an earlier one.
	Incarnation uint64 `json:"incarnation,omitempty"`
	// OrderedBy is the instance that may last have sent orders, and OrderedUntil until when.
	// Rows of earlier builds have neither.
	OrderedBy    string `json:"ordered_by,omitempty"`
	OrderedUntil int64  `json:"ordered_until_ms,omitempty"`
	// Instances is how many instances the coordinator knew lately. One that has just started knows
	// no others.
	Instances int `json:"instances,omitempty"`
	// StoreConcurrency is how many loads from the store can run concurrently at
	// full speed, per service. It is kept in the row because only slowed-down loads
	// reveal it.
	StoreConcurrency map[string]wireConcurrency `json:"at_once,omitempty"`
	// Suspects are the requests that upstreams died of. They are kept in the row because
	// all instances may start again at once, and would let each of them crash further
	// upstreams.
	Suspects []wireSuspect `json:"suspects,omitempty"`
	Parts    []wirePart    `json:"parts,omitempty"`
	// Versions are the software versions of recent upstreams. They are kept in the row
	// because all instances may start again at once, and would not know any more whether a
	// service had several.
	Versions *wireVersions `json:"versions,omitempty"`
}

type wireConcurrency struct {
	Loads int  `json:"loads"`
	Bound bool `json:"bound"`
}

func (l *Loop) decodeLease(row table.Row) lease.Row {
	var wire wireLease
	if row.Version() == 0 || json.Unmarshal(row.Value(), &wire) != nil {
		return lease.Row{Version: row.Version(), Released: row.Version() != 0}
	}
	for service, concurrency := range wire.StoreConcurrency {
		if concurrency.Loads > 0 && l.term == nil {
			l.state.storeConcurrency[cardamom.ServiceID(service)] = plan.StoreConcurrency{Loads: concurrency.Loads, LimitReached: concurrency.Bound}
		}
	}
	if l.term == nil {
		l.state.storedInstances = wire.Instances
		l.state.ledger.Merge(decodeStoredSuspects(wire.Suspects, time.Now()), time.Now())
		l.mergeStoredParts(wire.Parts)
	}
	l.mergeStoredVersions(wire.Versions, wire.Incarnation, wire.Renewed)
	return lease.Row{
		Version: row.Version(), Holder: cardamom.InstanceID(wire.Holder), Address: wire.Address, Released: wire.Released, Renewed: wire.Renewed, Incarnation: wire.Incarnation,
		OrderedBy: cardamom.InstanceID(wire.OrderedBy), OrderedUntil: wire.OrderedUntil,
	}
}

func (l *Loop) encodeLease(row lease.Row) []byte {
	concurrency := make(map[string]wireConcurrency, len(l.state.storeConcurrency))
	for service, known := range l.state.storeConcurrency {
		concurrency[string(service)] = wireConcurrency{known.Loads, known.LimitReached}
	}
	value, err := json.Marshal(wireLease{
		Holder: string(row.Holder), Address: row.Address, Released: row.Released, Renewed: row.Renewed, Incarnation: l.lease.Incarnation(), OrderedBy: string(row.OrderedBy), OrderedUntil: row.OrderedUntil, Instances: l.knownInstances(), StoreConcurrency: concurrency, Suspects: encodeStoredSuspects(l.state.ledger.Suspects(time.Now()), time.Now()),
		Parts: encodeStoredParts(l.options.Parts.Evidence(clock.Now()), clock.Now()), Versions: encodeStoredVersions(l.state.history.Account(clock.Now()), clock.Now()),
	})
	if err != nil {
		return nil
	}
	return value
}

// knownInstances returns how many instances there were lately.
func (l *Loop) knownInstances() int {
	if l.term != nil {
		return l.term.instances.count
	}
	return max(len(l.state.members), l.state.storedInstances)
}

// leaseClock returns the store's clock at a time in milliseconds, 0 if it isn't known in
// the incarnation of the store that the lease was read in.
func (l *Loop) leaseClock(now time.Time) int64 {
	storeMS, incarnation, _ := l.options.Clock(now)
	if incarnation != l.lease.Incarnation() {
		return 0
	}
	return storeMS
}

// ownRow returns the row with which this instance takes or renews the lease.
func (l *Loop) ownRow(now time.Time) lease.Row {
	by, until := l.lease.LastOrders(now, l.options.Fenced)
	row := lease.Row{Holder: l.options.ID, Address: l.options.SyncAddress, Renewed: l.leaseClock(now), OrderedBy: by}
	if row.Renewed != 0 {
		// The clock of a restored store may have begun later.
		row.OrderedUntil = max(l.leaseClock(until), 1)
	}
	return row
}

// releasedRow returns the row with which this instance gives the lease up.
func (l *Loop) releasedRow(now time.Time) lease.Row {
	row := l.ownRow(now)
	row.Released = true
	return row
}
