// Package host fakes the users' platform for tests: its metadata store and its
// upstreams, over loopback, with faults that a test can set. A Site runs instances
// of the program under test together with these fakes.
//
// # Usage
//
//	store := host.NewStore()
//	defer store.Close()
//	store.Put("op", "config", document)
//	upstream := host.NewUpstream(store, host.UpstreamSpec{ID: "i-1", Service: "models"})
//	defer upstream.Close()
package host

import (
	"encoding/json"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Fault is a fault of the store.
type Fault uint8

// Faults of the store.
const (
	// NoFault answers normally.
	NoFault Fault = iota
	// Down answers 503.
	Down
	// Reset closes each connection without an answer.
	Reset
	// LoseReplies carries out each call and closes the connection without an answer.
	LoseReplies
)

// row is one row of a table, as the store sends and receives it. A tombstone
// stands for a deleted row.
type row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Ver       uint64 `json:"ver"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// Store is the platform's metadata store. It is safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	changed *sync.Cond
	server  *httptest.Server
	// rows has the present rows by table/key.
	rows map[string]row
	// history has all writes after the version oldest.
	history []row
	// oldest is the last version whose write Compact has deleted from history.
	oldest uint64
	// version is the version of the last write.
	version uint64
	fault   Fault
	calls   int
	// era is sent with each answer unless it is empty, the form of a store that can't
	// be restored.
	era string
	// copied is what Restore brings back.
	copied snapshot
	// published are the configurations that the store had.
	published []Publication
}

// snapshot is a copy of a store.
type snapshot struct {
	rows    map[string]row
	history []row
	oldest  uint64
	version uint64
}

// NewStore returns a store that listens on loopback.
func NewStore() *Store {
	s := &Store{rows: make(map[string]row)}
	s.changed = sync.NewCond(&s.mu)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /rows-get", s.get)
	mux.HandleFunc("GET /rows-feed", s.feed)
	mux.HandleFunc("POST /rows-tx", s.transact)
	s.server = httptest.NewServer(s.withFault(mux))
	return s
}

// Address returns the store's host:port.
func (s *Store) Address() string { return strings.TrimPrefix(s.server.URL, "http://") }

// Close stops the store.
func (s *Store) Close() {
	s.server.CloseClientConnections()
	s.server.Close()
}

// SetFault replaces the store's fault.
func (s *Store) SetFault(fault Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
}

// Calls returns how many calls the store has received.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Put writes a row as the operator or an upstream would and returns its version.
func (s *Store) Put(table, key string, value []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.write(table, key, value, false)
}

// Remove deletes a row.
func (s *Store) Remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(table, key, nil, true)
}

// SetEra makes the store send the era with each answer, also one that is no number.
func (s *Store) SetEra(era string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era = era
}

// Copy keeps a copy of the store for Restore.
func (s *Store) Copy() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copied = snapshot{rows: maps.Clone(s.rows), history: slices.Clone(s.history), oldest: s.oldest, version: s.version}
}

// Restore returns to the last copy and begins the next era: later writes are gone, and
// their versions are given out again.
func (s *Store) Restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows, s.history = maps.Clone(s.copied.rows), slices.Clone(s.copied.history)
	s.oldest, s.version = s.copied.oldest, s.copied.version
	s.recordPublication()
	era, err := strconv.ParseUint(s.era, 10, 64)
	if err != nil {
		era = 0
	}
	s.era = strconv.FormatUint(era+1, 10)
	s.changed.Broadcast()
}

// Row returns a row's value and version, 0 if there is none.
func (s *Store) Row(table, key string) ([]byte, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := s.rows[table+"/"+key]
	return found.Value, found.Ver
}

// Compact deletes the history, so that a feed from an earlier version gets 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.oldest = nil, s.version
}

func (s *Store) write(table, key string, value []byte, deleted bool) uint64 {
	s.version++
	entry := row{Table: table, Key: key, Value: value, Ver: s.version, Tombstone: deleted}
	if deleted {
		delete(s.rows, table+"/"+key)
	} else {
		s.rows[table+"/"+key] = entry
	}
	s.history = append(s.history, entry)
	if table == "op" && key == "config" {
		s.recordPublication()
	}
	s.changed.Broadcast()
	return s.version
}

// withFault applies the current fault before next.
func (s *Store) withFault(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.calls++
		fault := s.fault
		if fault == Down {
			s.writeEra(w)
		}
		s.mu.Unlock()
		switch fault {
		case Down:
			w.WriteHeader(http.StatusServiceUnavailable)
		case Reset:
			panic(http.ErrAbortHandler)
		case LoseReplies:
			next.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		default:
			next.ServeHTTP(w, r)
		}
	})
}

// writeEra adds the era to the header of an answer. s.mu must be held until the answer
// is written.
func (s *Store) writeEra(w http.ResponseWriter) {
	if s.era != "" {
		w.Header().Set("Store-Era", s.era)
	}
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writeEra(w)
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit <= 0 {
		limit = 500
	}
	var keys []string
	for name, entry := range s.rows {
		if entry.Table == query.Get("table") && entry.Key >= query.Get("from") {
			keys = append(keys, name)
		}
	}
	sort.Strings(keys)
	found := []row{}
	for _, name := range keys[:min(limit, len(keys))] {
		found = append(found, s.rows[name])
	}
	writeJSON(w, map[string]any{"rows": found, "truncated": len(keys) > limit, "ver": s.version, "nowMs": time.Now().UnixMilli()})
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	deadline := time.Now().Add(time.Duration(wait) * time.Millisecond)
	wake := time.AfterFunc(time.Until(deadline), s.changed.Broadcast)
	defer wake.Stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		s.writeEra(w)
		if after < s.oldest || after > s.version {
			w.WriteHeader(http.StatusGone)
			return
		}
		found := []row{}
		for _, entry := range s.history {
			if entry.Table == query.Get("table") && entry.Ver > after {
				found = append(found, entry)
			}
		}
		if len(found) > 0 || !time.Now().Before(deadline) {
			writeJSON(w, map[string]any{"rows": found, "ver": s.version, "nowMs": time.Now().UnixMilli()})
			return
		}
		s.changed.Wait()
	}
}

func (s *Store) transact(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Expect []row `json:"expect"`
		Writes []row `json:"writes"`
		Remove []row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writeEra(w)
	for _, expected := range body.Expect {
		if s.rows[expected.Table+"/"+expected.Key].Ver != expected.Ver {
			w.WriteHeader(http.StatusPreconditionFailed)
			return
		}
	}
	for _, entry := range body.Writes {
		s.write(entry.Table, entry.Key, entry.Value, false)
	}
	for _, entry := range body.Remove {
		s.write(entry.Table, entry.Key, nil, true)
	}
	writeJSON(w, map[string]any{"ver": s.version, "nowMs": time.Now().UnixMilli()})
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
