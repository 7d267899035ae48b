package coord

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/rotisserie/eris"
)

// maxDocument bounds an unpacked document in bytes.
const maxDocument = 32 << 20

// pack compresses a document; nil if that fails.
func pack(document []byte) []byte {
	var packed bytes.Buffer
	writer, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return nil
	}
	if _, err := writer.Write(document); err != nil {
		return nil
	}
	if err := writer.Close(); err != nil {
		return nil
	}
	return packed.Bytes()
}

// unpack returns the document that was packed.
func unpack(packed []byte) ([]byte, error) {
	reader := flate.NewReader(bytes.NewReader(packed))
	document, err := io.ReadAll(io.LimitReader(reader, maxDocument))
	return document, eris.Wrap(err, "unpack document")
}
