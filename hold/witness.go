package hold

import (
	"sort"

	cardamom "cardamomcourse.example/cardamom"
)

// Entry is one thing a holder must not lose. The body's form is the resource's own.
type Entry struct {
	ID      string
	Body    []byte
	Dropped bool
}

// Record is what a holder stores with its witness.
type Record struct {
	Resource Resource
	Fence    cardamom.Fence
	// Reset replaces all entries of the resource.
	Reset   bool
	Entries []Entry
}

type memory struct {
	fence   cardamom.Fence
	entries map[string][]byte
}

// Witness keeps the second copies of holders' memories.
type Witness struct {
	memories map[Resource]*memory
}

// NewWitness returns a witness that has seen nothing.
func NewWitness() *Witness {
	return &Witness{memories: make(map[Resource]*memory)}
}

// Apply stores a record and tells whether it was accepted. A record with an
// older fence than one seen is refused, as is a change to a memory that was
// never set.
func (w *Witness) Apply(record Record) bool {
	known, ok := w.memories[record.Resource]
	if ok && record.Fence < known.fence {
		return false
	}
	if !ok && !record.Reset {
		return false
	}
	if record.Reset {
		known = &memory{entries: make(map[string][]byte, len(record.Entries))}
		w.memories[record.Resource] = known
	}
	known.fence = record.Fence
	for _, entry := range record.Entries {
		if entry.Dropped {
			delete(known.entries, entry.ID)
			continue
		}
		known.entries[entry.ID] = entry.Body
	}
	return true
}

// Raise refuses every later record of the resource with a fence below the given one.
func (w *Witness) Raise(resource Resource, fence cardamom.Fence) {
	known, ok := w.memories[resource]
	if !ok {
		known = &memory{entries: make(map[string][]byte)}
		w.memories[resource] = known
	}
	known.fence = max(known.fence, fence)
}

// Fence returns the greatest fence seen for a resource.
func (w *Witness) Fence(resource Resource) cardamom.Fence {
	known, ok := w.memories[resource]
	if !ok {
		return 0
	}
	return known.fence
}

// Entries returns a resource's entries in order of identity.
func (w *Witness) Entries(resource Resource) []Entry {
	known, ok := w.memories[resource]
	if !ok {
		return nil
	}
	entries := make([]Entry, 0, len(known.entries))
	for id, body := range known.entries {
		entries = append(entries, Entry{ID: id, Body: body})
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].ID < entries[j].ID })
	return entries
}

// Forget drops a resource's memory.
func (w *Witness) Forget(resource Resource) { delete(w.memories, resource) }
