package origin

import (
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// maxRecords bounds the streams that a book has. The least recently used are dropped, and
// count as unknown.
const maxRecords = 1 << 15

// Knowledge is what a book knows of a stream.
type Knowledge uint8

// The kinds of knowledge.
const (
	// Unknown means that the book has no record of the stream.
	Unknown Knowledge = iota
	// Known means that it knows where the stream began.
	Known
	// Disputed means that streams of two versions began under the same id, so that
	// neither may go on.
	Disputed
)

// Record is what a book has of a stream, as instances tell each other.
type Record struct {
	Stream    Stream
	Origin    Origin
	Knowledge Knowledge
	// At is when the stream began or last went on.
	At time.Time
}

// entry is a record of a book. own means that the stream began at the book's instance.
type entry struct {
	Record
	own bool
}

// Book has the origins of recent streams. It is safe for concurrent use.
type Book struct {
	mu      sync.Mutex
	entries *simplelru.LRU[Stream, *entry]
	// lifetime is how long a stream may last.
	lifetime time.Duration
}

// NewBook returns an empty book.
func NewBook() *Book {
	entries, err := simplelru.NewLRU[Stream, *entry](maxRecords, nil)
	if err != nil {
		panic(err)
	}
	return &Book{entries: entries, lifetime: Lifetime}
}

// Allow records that streams may last for so long from now on. Those that began when they
// might last longer still may.
func (b *Book) Allow(lifetime time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lifetime = max(b.lifetime, lifetime)
}

// Begin records that an instance is about to pass on the first event of a stream's
// response, and returns the record to tell others.
func (b *Book) Begin(stream Stream, origin Origin, now time.Time) Record {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.add(Record{Stream: stream, Origin: origin, Knowledge: Known, At: now}, now)
	e.own = true
	return e.Record
}

// Merge records what another instance tells.
func (b *Book) Merge(records []Record, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, record := range records {
		if record.Knowledge != Unknown && now.Sub(record.At) < b.lifetime {
			b.add(record, now)
		}
	}
}

// add merges a record into that of its stream.
func (b *Book) add(record Record, now time.Time) *entry {
	known, ok := b.entries.Get(record.Stream)
	if !ok || now.Sub(known.At) >= b.lifetime {
		known = &entry{Record: record}
		b.entries.Add(record.Stream, known)
		return known
	}
	if record.Knowledge == Disputed || !known.Origin.sameVersion(record.Origin) {
		known.Knowledge = Disputed
	}
	if record.At.After(known.At) {
		known.At = record.At
	}
	return known
}

// Find returns where a stream began, and what is known of it.
func (b *Book) Find(stream Stream, now time.Time) (Origin, Knowledge) {
	b.mu.Lock()
	defer b.mu.Unlock()
	known, ok := b.entries.Peek(stream)
	if !ok || now.Sub(known.At) >= b.lifetime {
		return Origin{}, Unknown
	}
	return known.Origin, known.Knowledge
}

// Records returns the records of streams, leaving out the unknown ones.
func (b *Book) Records(streams []Stream, now time.Time) []Record {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []Record
	for _, stream := range streams {
		if known, ok := b.entries.Peek(stream); ok && now.Sub(known.At) < b.lifetime {
			list = append(list, known.Record)
		}
	}
	return list
}

// Own returns the records of the streams that began at the book's instance, the latest
// first.
func (b *Book) Own(now time.Time) []Record {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []Record
	keys := b.entries.Keys()
	for i := len(keys) - 1; i >= 0; i-- {
		if known, ok := b.entries.Peek(keys[i]); ok && known.own && now.Sub(known.At) < b.lifetime {
			list = append(list, known.Record)
		}
	}
	return list
}

// Len returns the number of records.
func (b *Book) Len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.entries.Len()
}
