// Package hold decides who holds a resource (a cell or a shard of claims).
//
// Holding is a row in the platform's table. It ends by a compare-and-set, never
// by the clock. The row names a holder and a witness; what the holder may have
// sent is stored with the witness first, so that the witness can take over
// without losing it. An instance that is neither takes over only when both
// incarnations are known to have ended, and the row then says that memory was lost.
//
// # Usage
//
//	step := hold.Decide(row, self, ranked, members)
//	if step.Kind() != hold.Keep {
//		version, err := store.Commit(ctx, table.Put(row.Key(), row.Version(), step.Row().Encode()))
//	}
package hold

import (
	"encoding/json"

	"github.com/rotisserie/eris"

	cardamom "cardamomcourse.example/cardamom"
)

// Prefix is the prefix of the keys of hold rows.
const Prefix = "hold/"

// Resource names what is held: "cell/<cell>" or "claims/<number>".
type Resource string

// Party is one run of an instance.
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

// None tells whether no party is named.
func (p Party) None() bool { return p.id == "" }

// Row is the state of one hold. The zero version means that nobody ever held it.
type Row struct {
	resource Resource
	holder   Party
	witness  Party
	version  uint64
	// lossy is the version of the last take-over that lost memory, 0 if none.
	lossy uint64
	// fresh marks a lossy take-over whose own version is the lossy one.
	fresh bool
}

// NewRow returns a row as read from the table.
func NewRow(resource Resource, holder, witness Party, version, lossy uint64) Row {
	return Row{resource: resource, holder: holder, witness: witness, version: version, lossy: lossy}
}

// Resource returns what is held.
func (r Row) Resource() Resource { return r.resource }

// Holder returns who holds.
func (r Row) Holder() Party { return r.holder }

// Witness returns who keeps a second copy of the holder's memory.
func (r Row) Witness() Party { return r.witness }

// Version returns the commit that wrote the row.
func (r Row) Version() uint64 { return r.version }

// Fence returns the fencing number of the hold.
func (r Row) Fence() cardamom.Fence { return cardamom.Fence(r.version) }

// Lossy returns the version of the last take-over that lost memory.
func (r Row) Lossy() uint64 {
	if r.fresh {
		return r.version
	}
	return r.lossy
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
		Lossy: r.lossy, Fresh: r.fresh,
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
		version:  version, lossy: wire.Lossy, fresh: wire.Fresh,
	}, nil
}
