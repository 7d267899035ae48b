package revs

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/rotisserie/eris"
)

// maxDocument is the greatest size of a document in bytes.
const maxDocument = 16 << 20

// ErrTooLarge means that a document exceeds the greatest size.
var ErrTooLarge = eris.New("profile document too large")

// Compress returns a document in the form in which it is stored and sent.
func Compress(document []byte) ([]byte, error) {
	if len(document) > maxDocument {
		return nil, ErrTooLarge
	}
	var packed bytes.Buffer
	writer := gzip.NewWriter(&packed)
	if _, err := writer.Write(document); err != nil {
		return nil, eris.Wrap(err, "compress document")
	}
	if err := writer.Close(); err != nil {
		return nil, eris.Wrap(err, "compress document")
	}
	return packed.Bytes(), nil
}

// Expand returns the document of a stored form.
func Expand(packed []byte) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, eris.Wrap(err, "expand document")
	}
	document, err := io.ReadAll(io.LimitReader(reader, maxDocument+1))
	if err != nil {
		return nil, eris.Wrap(err, "expand document")
	}
	if len(document) > maxDocument {
		return nil, ErrTooLarge
	}
	return document, nil
}
