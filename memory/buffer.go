package memory

import (
	"errors"
	"io"
	"time"

	"github.com/rotisserie/eris"
)

// ErrFull means that the account has no room for more of a body.
var ErrFull = eris.New("the account of memory is full")

// firstBytes is the capacity that a buffer of unknown length begins with.
const firstBytes = 4 << 10

// ReadAll reads up to length bytes, or until the end of the source if length is negative. Its
// buffer grows with what arrives, and before it grows the charge does; declared lengths up to
// SmallBytes are allocated at once. It calls progress after each read that leaves more to read.
//
// It fails with ErrFull if the charge can't grow or was shed, and then also returns what it has
// read. It fails with io.ErrUnexpectedEOF if the source has fewer bytes than length.
func ReadAll(source io.Reader, length int64, charge *Charge, clock func() time.Time, progress func()) ([]byte, error) {
	capacity := int64(firstBytes)
	if length >= 0 {
		capacity = min(length, SmallBytes)
	}
	if !charge.Grow(capacity, clock()) {
		return nil, ErrFull
	}
	buffer := make([]byte, 0, capacity)
	for length < 0 || int64(len(buffer)) < length {
		if len(buffer) == cap(buffer) {
			larger, ok := grow(buffer, length, charge, clock())
			if !ok {
				return buffer, ErrFull
			}
			buffer = larger
		}
		n, err := source.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		switch {
		case length >= 0 && int64(len(buffer)) == length:
			return buffer, nil
		case errors.Is(err, io.EOF) && length < 0:
			return buffer, nil
		case errors.Is(err, io.EOF):
			return nil, io.ErrUnexpectedEOF
		case err != nil && charge.Shed():
			return nil, ErrFull
		case err != nil:
			return nil, err
		}
		progress()
		if charge.Shed() {
			// The progress may have undone the interruption of the next read.
			return nil, ErrFull
		}
	}
	return buffer, nil
}

// grow returns a copy of a buffer with twice its capacity, at most length if that is known.
// While it copies, both are charged.
func grow(buffer []byte, length int64, charge *Charge, now time.Time) ([]byte, bool) {
	capacity := int64(cap(buffer)) * 2
	if length >= 0 {
		capacity = min(capacity, length)
	}
	if !charge.Grow(capacity, now) {
		return nil, false
	}
	larger := make([]byte, len(buffer), capacity)
	copy(larger, buffer)
	charge.Add(-int64(cap(buffer)))
	return larger, true
}
