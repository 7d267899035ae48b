package hold

import (
	"sort"

	cardamom "cardamomcourse.example/cardamom"
)

// Entry is one part of a holder's state that must survive the holder. The
// encoding of the body depends on the resource.
type Entry struct {
	ID      string
	Body    []byte
	Removed bool
}

// Record is what a holder stores with its witness.
type Record struct {
	Resource Resource
	Fence    cardamom.Fence
	// Reset replaces all entries of the resource.
	Reset   bool
	Entries []Entry
}

// storedState is the stored state of one resource.
type storedState struct {
	fence   cardamom.Fence
	entries map[string][]byte
}

// Witness stores second copies of holders' state.
type Witness struct {
	states map[Resource]*storedState
}

// NewWitness returns a witness that stores nothing.
func NewWitness() *Witness {
	return &Witness{states: make(map[Resource]*storedState)}
}

// Apply stores a record and reports whether it was accepted. It refuses a record
// whose fencing token is less than one seen, and a change to a resource without
// stored state.
func (w *Witness) Apply(record Record) bool {
	known, ok := w.states[record.Resource]
	if ok && record.Fence < known.fence {
		return false
	}
	if !ok && !record.Reset {
		return false
	}
	if record.Reset {
		known = &storedState{entries: make(map[string][]byte, len(record.Entries))}
		w.states[record.Resource] = known
	}
	known.fence = record.Fence
	for _, entry := range record.Entries {
		if entry.Removed {
			delete(known.entries, entry.ID)
			continue
		}
		known.entries[entry.ID] = entry.Body
	}
	return true
}

// RaiseFence makes the witness refuse later records of the resource whose
// fencing token is less than the given one.
func (w *Witness) RaiseFence(resource Resource, fence cardamom.Fence) {
	known, ok := w.states[resource]
	if !ok {
		known = &storedState{entries: make(map[string][]byte)}
		w.states[resource] = known
	}
	known.fence = max(known.fence, fence)
}

// Fence returns the greatest fencing token seen for a resource.
func (w *Witness) Fence(resource Resource) cardamom.Fence {
	known, ok := w.states[resource]
	if !ok {
		return 0
	}
	return known.fence
}

// Entries returns a resource's entries, sorted by ID.
func (w *Witness) Entries(resource Resource) []Entry {
	known, ok := w.states[resource]
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

// Forget removes the stored state of a resource.
func (w *Witness) Forget(resource Resource) { delete(w.states, resource) }
