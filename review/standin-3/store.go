package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeDelay is how long the platform's store takes for an answer.
const storeDelay = 4 * time.Millisecond

// row is one row of a table, as the store sends and receives it.
type row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Ver       uint64 `json:"ver"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// store is the platform's metadata store: linearizable, and it loses nothing.
type store struct {
	mu      sync.Mutex
	changed chan struct{}
	rows    map[string]row
	history []row
	version uint64
	began   time.Time
	address string
}

func startStore() (*store, error) {
	s := &store{rows: make(map[string]row), changed: make(chan struct{}), began: time.Now()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /rows-get", s.get)
	mux.HandleFunc("GET /rows-feed", s.feed)
	mux.HandleFunc("POST /rows-tx", s.transact)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = listener.Addr().String()
	go func() { _ = http.Serve(listener, mux) }()
	return s, nil
}

// put writes a row as the operator or a runner does.
func (s *store) put(table, key string, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(row{Table: table, Key: key, Value: encoded})
}

func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(row{Table: table, Key: key, Tombstone: true})
}

func (s *store) write(r row) {
	s.version++
	r.Ver = s.version
	if r.Tombstone {
		delete(s.rows, r.Table+"/"+r.Key)
	} else {
		s.rows[r.Table+"/"+r.Key] = r
	}
	s.history = append(s.history, r)
	close(s.changed)
	s.changed = make(chan struct{})
}

// value returns the value of a row, nil if there is none.
func (s *store) value(table, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[table+"/"+key].Value
}

func (s *store) answer(w http.ResponseWriter, body map[string]any) {
	body["ver"], body["nowMs"] = s.version, time.Since(s.began).Milliseconds()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	query := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	found := []row{}
	for name, entry := range s.rows {
		if strings.HasPrefix(name, query.Get("table")+"/") && entry.Key >= query.Get("from") {
			found = append(found, entry)
		}
	}
	sort.Slice(found, func(a, b int) bool { return found[a].Key < found[b].Key })
	s.answer(w, map[string]any{"rows": found, "truncated": false})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for over := false; ; {
		s.mu.Lock()
		found := []row{}
		for _, entry := range s.history {
			if entry.Ver > after && entry.Table == query.Get("table") {
				found = append(found, entry)
			}
		}
		if len(found) > 0 || over {
			s.answer(w, map[string]any{"rows": found})
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var call struct{ Expect, Writes, Remove []row }
	if json.NewDecoder(r.Body).Decode(&call) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(storeDelay)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, expected := range call.Expect {
		if s.rows[expected.Table+"/"+expected.Key].Ver != expected.Ver {
			w.WriteHeader(http.StatusPreconditionFailed)
			return
		}
	}
	for _, entry := range append(call.Writes, call.Remove...) {
		if entry.Table == "op" || entry.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	for _, entry := range call.Writes {
		s.write(row{Table: entry.Table, Key: entry.Key, Value: entry.Value})
	}
	for _, entry := range call.Remove {
		s.write(row{Table: entry.Table, Key: entry.Key, Tombstone: true})
	}
	s.answer(w, map[string]any{})
}
