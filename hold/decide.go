package hold

import (
	cardamom "cardamomcourse.example/cardamom"
)

// StepKind is the kind of a step: what an instance does next with a hold.
type StepKind uint8

// The kinds of steps.
const (
	// Keep means that the row stays as it is.
	Keep StepKind = iota
	// TakeOver means that this instance takes the hold over.
	TakeOver
	// NameWitness means that this instance, the holder, names another witness.
	NameWitness
	// HandOver means that this instance, the holder, hands over to its witness.
	HandOver
)

var kindNames = [...]string{"keep", "take", "name", "give"}

// String returns the name of the kind.
func (k StepKind) String() string { return kindNames[k] }

// Step is a decision about a hold, with the row to write.
type Step struct {
	kind StepKind
	row  Row
}

// Kind returns the kind of the step.
func (s Step) Kind() StepKind { return s.kind }

// Row returns the row that replaces the current one.
func (s Step) Row() Row { return s.row }

// Members reports what is known about other instances.
type Members interface {
	// Alive reports whether a heartbeat of the incarnation, sent directly or
	// passed on, was received within the suspect timeout.
	Alive(party Party) bool
	// Ended reports whether the incarnation is known to have ended.
	Ended(party Party) bool
	// Steady reports whether the instance has been alive without a break for long
	// enough to be given another hold.
	Steady(id cardamom.InstanceID) bool
	// Current returns the newest known incarnation of an instance.
	Current(id cardamom.InstanceID) Party
}

// Self is the instance that decides.
type Self struct {
	party   Party
	leaving bool
}

// NewSelf returns the instance that decides.
func NewSelf(party Party, leaving bool) Self { return Self{party: party, leaving: leaving} }

// Effective returns the row without incarnations known to have ended: the
// witness of an ended holder counts as the holder, and an ended witness as none.
// No other instance may take such a hold over, so the result is safe to use before
// it is written to the table.
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

// RankFunc returns the instances that may hold or witness a resource, live and
// not leaving, best first. It is called only where the order is needed, as most
// holds belong to other instances and need no ranking here.
type RankFunc func() []cardamom.InstanceID

// Decide returns the next step of this instance for a hold.
func Decide(row Row, self Self, ranked RankFunc, members Members) Step {
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
	return takeOver(row, self, row.version > 0)
}

func decideHolder(row Row, self Self, ranked []cardamom.InstanceID, members Members) Step {
	if self.leaving {
		return handOver(row)
	}
	if preferred, ok := preferredHolder(self, ranked, members); ok {
		if row.witness == preferred {
			return handOver(row)
		}
		return nameWitness(row, preferred)
	}
	for _, id := range ranked {
		if id == row.witness.id && members.Alive(row.witness) {
			return Step{}
		}
	}
	for _, id := range ranked {
		if id != self.party.id {
			return nameWitness(row, members.Current(id))
		}
	}
	if !row.witness.None() && members.Ended(row.witness) {
		return nameWitness(row, Party{})
	}
	return Step{}
}

func decideWitness(row Row, self Self, members Members) Step {
	if members.Alive(row.holder) && !members.Ended(row.holder) {
		return Step{}
	}
	return takeOver(row, self, false)
}

// vacant reports whether neither the holder nor a witness with a copy of its
// state is left.
func vacant(row Row, members Members) bool {
	if !row.holder.None() && !members.Ended(row.holder) {
		return false
	}
	return row.witness.None() || members.Ended(row.witness)
}

// preferredHolder returns the first instance in rank if it is steady and is not this
// instance.
func preferredHolder(self Self, ranked []cardamom.InstanceID, members Members) (Party, bool) {
	if len(ranked) == 0 || ranked[0] == self.party.id || !members.Steady(ranked[0]) {
		return Party{}, false
	}
	return members.Current(ranked[0]), true
}

func handOver(row Row) Step {
	return Step{kind: HandOver, row: Row{resource: row.resource, holder: row.witness, lossVersion: row.LossVersion()}}
}

func takeOver(row Row, self Self, lossy bool) Step {
	next := Row{resource: row.resource, holder: self.party, lossVersion: row.LossVersion(), lossyTakeOver: lossy}
	return Step{kind: TakeOver, row: next}
}

func nameWitness(row Row, witness Party) Step {
	next := Row{resource: row.resource, holder: row.holder, witness: witness, lossVersion: row.LossVersion()}
	return Step{kind: NameWitness, row: next}
}
