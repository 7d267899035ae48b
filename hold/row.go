// Package hold decides which instance holds a resource: a cell (a group of a
// service's upstreams in one data centre) or a shard of the claims on idempotency
// keys.
//
// A hold is a row in the platform's table. It ends by a compare-and-set, never
// by the clock. The row names a holder and a witness. The holder records its
// state with the witness before it acts on it, so that the witness can take over
// without losing it. Any other instance takes over only when both are known to have
// ended, and the row then marks the state as lost.
//
// # Usage
//
//	step := hold.Decide(row, self, ranked, members)
//	if step.Kind() != hold.Keep {
//		value, err := step.Row().Encode()
//		version, err := store.Commit(ctx, table.Put(row.Key(), row.Version(), value))
//	}
package hold

import (
	"encoding/json"

	"github.com/rotisserie/eris"

	cardamom "cardamomcourse.example/cardamom"
)

// Prefix is the prefix of the keys of hold rows.
const Prefix = "hold/"

// Resource is the name of what is held: "cell/<cell>" or "claims/<number>".
type Resource string

// Party is an incarnation of an instance: one run of its process.
type Party struct {
	id          cardamom.InstanceID
	incarnation cardamom.Incarnation
}

// NewParty returns a party.
func NewParty(id cardamom.InstanceID, incarnation cardamom.Incarnation) Party {
	return Party{id: id, incarnation: incarnation}
}

// ID returns the instance.
func (p Party) ID() cardamom.InstanceID { return p.id }

// Incarnation returns which run of the instance it is.
func (p Party) Incarnation() cardamom.Incarnation { return p.incarnation }

// None reports whether no party is named.
func (p Party) None() bool { return p.id == "" }

// Row is the state of one hold. Version 0 means that it was never written.
type Row struct {
	resource Resource
	holder   Party
	witness  Party
	version  uint64
	// lossVersion is the version of the last take-over that lost the holder's
	// state, 0 if none.
	lossVersion uint64
	// lossyTakeOver is set if the commit of this row is itself such a take-over.
	// The loss version is then the row's own, which is known only once it is written.
	lossyTakeOver bool
}

// NewRow returns a row as read from the table.
func NewRow(resource Resource, holder, witness Party, version, lossVersion uint64) Row {
	return Row{resource: resource, holder: holder, witness: witness, version: version, lossVersion: lossVersion}
}

// Resource returns the name of what is held.
func (r Row) Resource() Resource { return r.resource }

// Holder returns the incarnation that holds the resource.
func (r Row) Holder() Party { return r.holder }

// Witness returns the incarnation that keeps a second copy of the holder's state.
func (r Row) Witness() Party { return r.witness }

// Version returns the version of the commit that wrote the row.
func (r Row) Version() uint64 { return r.version }

// Fence returns the fencing token of the hold.
func (r Row) Fence() cardamom.Fence { return cardamom.Fence(r.version) }

// LossVersion returns the version of the last take-over that lost the holder's
// state, 0 if none.
func (r Row) LossVersion() uint64 {
	if r.lossyTakeOver {
		return r.version
	}
	return r.lossVersion
}

// Key returns the row's key in the table.
func (r Row) Key() string { return Prefix + string(r.resource) }

type rowWire struct {
	Holder             string `json:"holder"`
	HolderIncarnation  uint64 `json:"holder_incarnation"`
	Witness            string `json:"witness,omitempty"`
	WitnessIncarnation uint64 `json:"witness_incarnation,omitempty"`
	Lossy              uint64 `json:"lossy,omitempty"`
	Fresh              bool   `json:"fresh,omitempty"`
}

// Encode returns the row's value in the table.
func (r Row) Encode() ([]byte, error) {
	body, err := json.Marshal(rowWire{
		Holder: string(r.holder.id), HolderIncarnation: uint64(r.holder.incarnation),
		Witness: string(r.witness.id), WitnessIncarnation: uint64(r.witness.incarnation),
		Lossy: r.lossVersion, Fresh: r.lossyTakeOver,
	})
	return body, eris.Wrap(err, "encode hold")
}

// Decode returns the row with that key, value and version.
func Decode(key string, value []byte, version uint64) (Row, error) {
	var wire rowWire
	if err := json.Unmarshal(value, &wire); err != nil {
		return Row{}, eris.Wrapf(err, "decode hold %s", key)
	}
	return Row{
		resource: Resource(key[len(Prefix):]),
		holder:   NewParty(cardamom.InstanceID(wire.Holder), cardamom.Incarnation(wire.HolderIncarnation)),
		witness:  NewParty(cardamom.InstanceID(wire.Witness), cardamom.Incarnation(wire.WitnessIncarnation)),
		version:  version, lossVersion: wire.Lossy, lossyTakeOver: wire.Fresh,
	}, nil
}
