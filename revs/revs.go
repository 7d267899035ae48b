// Package revs stores the published revisions of the profile document in the
// platform's table. The document describes the services, their models and the
// profiles of the models: the numbers of replicas and other settings.
//
// # Usage
//
//	head, err := revs.Head(ctx, store)
//	published, err := revs.Publish(ctx, store, revs.Edit{Base: head.Number, ID: id, Editor: "ana", Document: body}, time.Now())
//
// Publishing is idempotent by the edit's ID. After a lost reply the table is read
// to find out whether the edit was committed.
package revs

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/sleep"
	"cardamomcourse.example/cardamom/table"
)

// Errors of Publish, and of functions that read revisions.
var (
	// ErrConflict means that another edit of the same base was published first.
	ErrConflict = eris.New("another revision was published first")
	// ErrOutcomeUnknown means that the edit may or may not have been published.
	ErrOutcomeUnknown = eris.New("outcome of the edit is unknown; publish it again with the same ID")
	// ErrNotFound means that the revision does not exist.
	ErrNotFound = eris.New("no such revision")
)

const (
	// headKey is the key of the row with the newest revision, without its document.
	headKey = "profile/head"
	// revisionPrefix and the number of a revision form the key of its row.
	revisionPrefix = "profile/revision/"
	// editPrefix and the ID of an edit form the key of the row with the revision that
	// the edit became, without its document.
	editPrefix = "profile/edit/"
	// maxPublishAttempts bounds the attempts to commit an edit.
	maxPublishAttempts = 5
	// publishRetryDelay is the pause between two attempts.
	publishRetryDelay = 300 * time.Millisecond
)

// Revision is one published version of the document.
type Revision struct {
	Number      cardamom.Revision
	EditID      string
	Editor      string
	PublishedAt time.Time
	Note        string
	Document    []byte
}

// Edit is a change to publish. Its ID is chosen before the first attempt, so that
// each attempt can find out whether an earlier attempt was committed.
type Edit struct {
	// Base is the revision that the edit is based on, 0 if there is none.
	Base     cardamom.Revision
	ID       string
	Editor   string
	Note     string
	Document []byte
}

type revisionWire struct {
	Revision uint64    `json:"revision"`
	Edit     string    `json:"edit"`
	Editor   string    `json:"editor"`
	At       time.Time `json:"at"`
	Note     string    `json:"note,omitempty"`
	Document []byte    `json:"document,omitempty"`
}

func (w revisionWire) toRevision() Revision {
	return Revision{
		Number: cardamom.Revision(w.Revision), EditID: w.Edit, Editor: w.Editor, PublishedAt: w.At, Note: w.Note, Document: w.Document,
	}
}

// decompressed returns the revision with its document decompressed.
func (w revisionWire) decompressed() (Revision, error) {
	revision := w.toRevision()
	if len(w.Document) == 0 {
		return revision, nil
	}
	document, err := Decompress(w.Document)
	revision.Document = document
	return revision, err
}

// Head returns the newest revision without its document, the zero Revision if
// there is none.
func Head(ctx context.Context, store table.Reader) (Revision, error) {
	revision, _, err := readRevision(ctx, store, headKey)
	if errors.Is(err, ErrNotFound) {
		return Revision{}, nil
	}
	return revision, err
}

// Get returns a revision with its document.
func Get(ctx context.Context, store table.Reader, number cardamom.Revision) (Revision, error) {
	revision, _, err := readRevision(ctx, store, revisionKey(number))
	return revision, err
}

// History returns all revisions with their documents, oldest first.
func History(ctx context.Context, store table.Reader) ([]Revision, error) {
	rows, err := store.List(ctx, revisionPrefix)
	if err != nil {
		return nil, eris.Wrap(err, "list revisions")
	}
	history := make([]Revision, 0, len(rows))
	for _, row := range rows {
		var wire revisionWire
		if err := json.Unmarshal(row.Value(), &wire); err != nil {
			return nil, eris.Wrapf(err, "decode %s", row.Key())
		}
		revision, err := wire.decompressed()
		if err != nil {
			return nil, err
		}
		history = append(history, revision)
	}
	return history, nil
}

// Publish makes the edit's document the next revision and returns it. If the edit was
// published before, it returns the revision that the edit became. With ErrConflict it
// returns the newest revision.
func Publish(ctx context.Context, store table.Store, edit Edit, now time.Time) (Revision, error) {
	var err error
	uncertain := false
	for attempt := range maxPublishAttempts {
		if attempt > 0 && !sleep.For(ctx, publishRetryDelay) {
			break
		}
		var revision Revision
		revision, err = publishOnce(ctx, store, edit, now)
		if err == nil || errors.Is(err, ErrConflict) {
			return revision, err
		}
		uncertain = uncertain || errors.Is(err, table.ErrOutcomeUnknown)
	}
	if !uncertain {
		return Revision{}, err
	}
	return Revision{}, eris.Wrapf(ErrOutcomeUnknown, "edit %s: %v", edit.ID, err)
}

// publishOnce makes one attempt to publish an edit. It first checks whether an earlier
// attempt was committed.
func publishOnce(ctx context.Context, store table.Store, edit Edit, now time.Time) (Revision, error) {
	earlier, _, err := readRevision(ctx, store, editPrefix+edit.ID)
	if err == nil {
		return earlier, nil
	}
	if !errors.Is(err, ErrNotFound) {
		return Revision{}, err
	}
	head, version, err := readRevision(ctx, store, headKey)
	if err != nil && !errors.Is(err, ErrNotFound) {
		return Revision{}, err
	}
	if head.Number != edit.Base {
		return head, ErrConflict
	}
	wire := revisionWire{Revision: uint64(edit.Base) + 1, Edit: edit.ID, Editor: edit.Editor, At: now, Note: edit.Note}
	headRow, err := json.Marshal(wire)
	if err != nil {
		return Revision{}, eris.Wrap(err, "encode head")
	}
	if wire.Document, err = Compress(edit.Document); err != nil {
		return Revision{}, err
	}
	revisionRow, err := json.Marshal(wire)
	if err != nil {
		return Revision{}, eris.Wrap(err, "encode revision")
	}
	_, err = store.Commit(ctx,
		table.Put(headKey, version, headRow),
		table.Put(revisionKey(edit.Base+1), 0, revisionRow),
		table.Put(editPrefix+edit.ID, 0, headRow),
	)
	if errors.Is(err, table.ErrConflict) {
		return Revision{}, eris.Wrap(err, "another edit was committed first")
	}
	published := wire.toRevision()
	published.Document = edit.Document
	return published, eris.Wrap(err, "commit revision")
}

func revisionKey(number cardamom.Revision) string {
	return fmt.Sprintf("%s%010d", revisionPrefix, number)
}

// readRevision returns the revision in a row and the version of the row.
func readRevision(ctx context.Context, store table.Reader, key string) (Revision, uint64, error) {
	row, err := store.Get(ctx, key)
	if err != nil {
		return Revision{}, 0, eris.Wrapf(err, "read %s", key)
	}
	if row.Version() == 0 {
		return Revision{}, 0, ErrNotFound
	}
	var wire revisionWire
	if err := json.Unmarshal(row.Value(), &wire); err != nil {
		return Revision{}, 0, eris.Wrapf(err, "decode %s", key)
	}
	revision, err := wire.decompressed()
	return revision, row.Version(), err
}
