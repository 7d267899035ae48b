package hold

import (
	cardamom "cardamomcourse.example/cardamom"
)

// Kind is what an instance should do about a hold.
type Kind uint8

// The kinds of steps.
const (
	// Keep means that nothing is to be written.
	Keep Kind = iota
	// Take means that this instance becomes the holder.
	Take
	// Name means that this instance, the holder, names another witness.
	Name
	// Give means that this instance, the holder, hands over.
	Give
)

var kindNames = [...]string{"keep", "take", "name", "give"}

// String returns the name of the kind.
func (k Kind) String() string { return kindNames[k] }

// Step is a decision about a hold with the row it would write.
type Step struct {
	kind Kind
	row  Row
}

// Kind returns what to do.
func (s Step) Kind() Kind { return s.kind }

// Row returns the row to write over the one decided on.
func (s Step) Row() Row { return s.row }

// Members tells what is known of other instances.
type Members interface {
	// Alive tells whether the incarnation was heard of within the suspect time.
	Alive(party Party) bool
	// Ended tells whether the incarnation is known to have ended.
	Ended(party Party) bool
	// Steady tells whether the instance has been heard of without a break for
	// long enough to be given more.
	Steady(id cardamom.InstanceID) bool
	// Current returns the incarnation known of an instance.
	Current(id cardamom.InstanceID) Party
}

// Self is the deciding instance.
type Self struct {
	party   Party
	leaving bool
}

// NewSelf returns the deciding instance.
func NewSelf(party Party, leaving bool) Self { return Self{party: party, leaving: leaving} }

// Effective returns the row as it stands once what is known to have ended is
// left out: the witness of an ended holder acts for it, and an ended witness is
// none. Nobody else may take such a hold over, so that this needs no write.
func Effective(row Row, members Members) Row {
	if !row.holder.None() && !row.witness.None() && members.Ended(row.holder) && !members.Ended(row.witness) {
		row.holder, row.witness = row.witness, Party{}
		return row
	}
	if !row.witness.None() && members.Ended(row.witness) {
		row.witness = Party{}
	}
	return row
}

// Ranked returns the instances that may hold or witness a resource, live and
// not leaving, best first. It is called only where the order matters, as most
// holds are somebody else's.
type Ranked func() []cardamom.InstanceID

// Decide returns this instance's step for a hold.
func Decide(row Row, self Self, ranked Ranked, members Members) Step {
	if row.holder == self.party {
		return decideHolder(row, self, ranked(), members)
	}
	if self.leaving {
		return Step{}
	}
	if row.witness == self.party {
		return decideWitness(row, self, members)
	}
	if !vacant(row, members) {
		return Step{}
	}
	order := ranked()
	if len(order) == 0 || order[0] != self.party.id {
		return Step{}
	}
	return take(row, self, row.version > 0)
}

func decideHolder(row Row, self Self, ranked []cardamom.InstanceID, members Members) Step {
	if self.leaving {
		return give(row)
	}
	if home, ok := homeOf(self, ranked, members); ok {
		if row.witness == home {
			return give(row)
		}
		return name(row, home)
	}
	for _, id := range ranked {
		if id == row.witness.id && members.Alive(row.witness) {
			return Step{}
		}
	}
	for _, id := range ranked {
		if id != self.party.id {
			return name(row, members.Current(id))
		}
	}
	if !row.witness.None() && members.Ended(row.witness) {
		return name(row, Party{})
	}
	return Step{}
}

func decideWitness(row Row, self Self, members Members) Step {
	if members.Alive(row.holder) && !members.Ended(row.holder) {
		return Step{}
	}
	return take(row, self, false)
}

// vacant tells whether nobody is left who remembers what the holder did.
func vacant(row Row, members Members) bool {
	if !row.holder.None() && !members.Ended(row.holder) {
		return false
	}
	return row.witness.None() || members.Ended(row.witness)
}

// homeOf returns the best instance for the resource if it is another, steady one.
func homeOf(self Self, ranked []cardamom.InstanceID, members Members) (Party, bool) {
	if len(ranked) == 0 || ranked[0] == self.party.id || !members.Steady(ranked[0]) {
		return Party{}, false
	}
	return members.Current(ranked[0]), true
}

func give(row Row) Step {
	return Step{kind: Give, row: Row{resource: row.resource, holder: row.witness, lossy: row.Lossy()}}
}

func take(row Row, self Self, lossy bool) Step {
	next := Row{resource: row.resource, holder: self.party, lossy: row.Lossy(), fresh: lossy}
	return Step{kind: Take, row: next}
}

func name(row Row, witness Party) Step {
	next := Row{resource: row.resource, holder: row.holder, witness: witness, lossy: row.Lossy()}
	return Step{kind: Name, row: next}
}
