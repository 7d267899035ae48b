// Package table is a client of the platform's transactional table.
//
// # Usage
//
//	client := table.NewHTTP("127.0.0.1:7001", 2*time.Second)
//	row, err := client.Get(ctx, "profile/head")
//	version, err := client.Commit(ctx, table.Put(row.Key(), row.Version(), body))
//
// A commit that returns ErrOutcomeUnknown may have taken effect: read the row again
// before another commit.
package table

import (
	"context"

	"github.com/rotisserie/eris"
)

// Errors of the table.
var (
	// ErrConflict means a row was not at the expected version; nothing was written.
	ErrConflict = eris.New("table row is at another version")
	// ErrUnavailable means the table did not accept the call; nothing was written.
	ErrUnavailable = eris.New("table unavailable")
	// ErrOutcomeUnknown means the reply was lost; the write may have taken effect.
	ErrOutcomeUnknown = eris.New("table reply lost")
)

// Row is a key with a versioned value. Version 0 means the row does not exist.
type Row struct {
	key         string
	value       []byte
	version     uint64
	incarnation uint64
}

// NewRow returns a row.
func NewRow(key string, value []byte, version uint64) Row {
	return Row{key: key, value: value, version: version}
}

// In returns the row as read in an incarnation of the store.
func (r Row) In(incarnation uint64) Row {
	r.incarnation = incarnation
	return r
}

// Incarnation returns the incarnation of the store in which the row was read, also if
// the row does not exist; 0 for a store that has none.
func (r Row) Incarnation() uint64 { return r.incarnation }

// Key returns the row's key.
func (r Row) Key() string { return r.key }

// Value returns the row's value.
func (r Row) Value() []byte { return r.value }

// Version returns the version of the commit that wrote the row.
func (r Row) Version() uint64 { return r.version }

// Write is one conditional write of a transaction.
type Write struct {
	Key     string
	Expect  uint64
	Value   []byte
	Deleted bool
}

// Put returns a write that takes effect if the row is at version expect.
func Put(key string, expect uint64, value []byte) Write {
	return Write{Key: key, Expect: expect, Value: value}
}

// Reader reads rows.
type Reader interface {
	// Get returns the row, with version 0 if it does not exist.
	Get(ctx context.Context, key string) (Row, error)
	// List returns the rows whose key starts with prefix, in key order.
	List(ctx context.Context, prefix string) ([]Row, error)
}

// Committer writes rows.
type Committer interface {
	// Commit applies all writes or none and returns the commit's version,
	// which is greater than that of every earlier commit.
	Commit(ctx context.Context, writes ...Write) (uint64, error)
}

// Store reads and writes rows.
type Store interface {
	Reader
	Committer
}
