package revs

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/rotisserie/eris"
)

// maxDocumentBytes is the maximum size of an uncompressed document.
const maxDocumentBytes = 16 << 20

// ErrTooLarge means that a document exceeds the maximum size.
var ErrTooLarge = eris.New("profile document too large")

// Compress returns a document compressed for storage and transfer.
func Compress(document []byte) ([]byte, error) {
	if len(document) > maxDocumentBytes {
		return nil, ErrTooLarge
	}
	var compressed bytes.Buffer
	writer := gzip.NewWriter(&compressed)
	if _, err := writer.Write(document); err != nil {
		return nil, eris.Wrap(err, "compress document")
	}
	if err := writer.Close(); err != nil {
		return nil, eris.Wrap(err, "compress document")
	}
	return compressed.Bytes(), nil
}

// Decompress decompresses a document.
func Decompress(compressed []byte) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, eris.Wrap(err, "decompress document")
	}
	document, err := io.ReadAll(io.LimitReader(reader, maxDocumentBytes+1))
	if err != nil {
		return nil, eris.Wrap(err, "decompress document")
	}
	if len(document) > maxDocumentBytes {
		return nil, ErrTooLarge
	}
	return document, nil
}
