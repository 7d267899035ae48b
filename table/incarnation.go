package table

// A store that loses data and returns from an older copy begins a new incarnation.
// What was written between the copy and the loss is gone, and the numbers of the row
// versions go back and are given out again. So a version here has both: the
// incarnation in its upper bits and the number within it in the lower ones. Versions
// are ordered across incarnations, and no two commits have the same.

const (
	// numberBits is the size of the number. At 400 commits a second, the most that the
	// platform allows, it is used up after 21 years. Together with 15 bits of
	// incarnation a version is below 2^53 and so exact in each JSON decoder.
	numberBits = 38
	// maxNumber is the greatest number within an incarnation.
	maxNumber = 1<<numberBits - 1
	// MaxIncarnation is the greatest incarnation that a version can have.
	MaxIncarnation = 1<<15 - 1
)

// Version returns the version of a commit with a number in an incarnation, and false
// if one of them is too great. Incarnation 0 is that of a store that has none.
func Version(incarnation, number uint64) (uint64, bool) {
	if incarnation > MaxIncarnation || number > maxNumber {
		return 0, false
	}
	return incarnation<<numberBits | number, true
}

// Incarnation returns the incarnation of the store in which a version was given out.
func Incarnation(version uint64) uint64 { return version >> numberBits }

// Number returns the number of a version within its incarnation.
func Number(version uint64) uint64 { return version & maxNumber }

// Sighting is what the incarnation of an answer says of the answer.
type Sighting uint8

const (
	// Current means that the answer is of the newest known incarnation.
	Current Sighting = iota
	// Restored means that the store has begun a new incarnation since.
	Restored
	// Outdated means that the answer is of an incarnation that has ended.
	Outdated
)

// Judge returns what an answer of an incarnation says, given the newest known one.
func Judge(known, answered uint64) Sighting {
	switch {
	case answered > known:
		return Restored
	case answered < known:
		return Outdated
	default:
		return Current
	}
}
