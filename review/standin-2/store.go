package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is a row of the store as it is on the wire.
type row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Ver       uint64 `json:"ver,omitempty"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// store is the platform's metadata store: reads, the change feed and transactions.
type store struct {
	address string
	began   time.Time

	mu      sync.Mutex
	rows    map[string]row
	history []row
	version uint64
	changed chan struct{}
}

func startStore() (*store, error) {
	s := &store{rows: make(map[string]row), changed: make(chan struct{}), began: time.Now()}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /rows-get", s.get)
	mux.HandleFunc("GET /rows-feed", s.feed)
	mux.HandleFunc("POST /rows-tx", s.transact)
	go func() { _ = http.Serve(listener, mux) }()
	return s, nil
}

// put writes a row as its owner would.
func (s *store) put(table, key string, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(row{Table: table, Key: key, Value: body})
}

// remove deletes a row.
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

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit <= 0 || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	found := []row{}
	for _, known := range s.rows {
		to := query.Get("to")
		if known.Table == query.Get("table") && known.Part == query.Get("part") && known.Key >= query.Get("from") && (to == "" || known.Key < to) {
			found = append(found, known)
		}
	}
	version := s.version
	s.mu.Unlock()
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	truncated := len(found) > limit
	if truncated {
		found = found[:limit]
	}
	s.answer(w, map[string]any{"rows": found, "truncated": truncated, "ver": version})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	timer := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer timer.Stop()
	for ended := false; ; {
		s.mu.Lock()
		found := []row{}
		for _, change := range s.history {
			if change.Ver > after && change.Table == query.Get("table") {
				found = append(found, change)
			}
		}
		version, changed := s.version, s.changed
		s.mu.Unlock()
		if len(found) > 0 || ended {
			s.answer(w, map[string]any{"rows": found, "ver": version})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Expect []row `json:"expect"`
		Writes []row `json:"writes"`
		Remove []row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, change := range append(append([]row{}, body.Writes...), body.Remove...) {
		if change.Table == "op" || change.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	s.mu.Lock()
	for _, expected := range body.Expect {
		if s.rows[expected.Table+"/"+expected.Key].Ver != expected.Ver {
			s.mu.Unlock()
			w.WriteHeader(http.StatusPreconditionFailed)
			_ = json.NewEncoder(w).Encode(map[string]any{"rows": []row{}})
			return
		}
	}
	for _, change := range body.Writes {
		s.write(row{Table: change.Table, Part: change.Part, Key: change.Key, Value: change.Value})
	}
	for _, change := range body.Remove {
		s.write(row{Table: change.Table, Part: change.Part, Key: change.Key, Tombstone: true})
	}
	version := s.version
	s.mu.Unlock()
	s.answer(w, map[string]any{"ver": version})
}

func (s *store) answer(w http.ResponseWriter, body map[string]any) {
	body["nowMs"] = time.Since(s.began).Milliseconds() + 1
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
