package conns

import (
	"io"

	"github.com/rotisserie/eris"
)

// errTooLong means that a header has not ended within its bound.
var errTooLong = eris.New("header is too long")

// boundedReader fails once more bytes were read from its source than are left.
type boundedReader struct {
	source io.Reader
	left   int64
	// recording means that what is read is appended to recorded.
	recording bool
	recorded  []byte
}

// Read implements io.Reader.
func (b *boundedReader) Read(data []byte) (int, error) {
	if b.left <= 0 {
		return 0, errTooLong
	}
	if int64(len(data)) > b.left {
		data = data[:b.left]
	}
	n, err := b.source.Read(data)
	b.left -= int64(n)
	if b.recording {
		b.recorded = append(b.recorded, data[:n]...)
	}
	return n, err
}
