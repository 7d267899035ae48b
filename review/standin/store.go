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

// storeDelay is how long the store takes for an answer.
const storeDelay = 4 * time.Millisecond

// row is a row of the platform's store.
type row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Ver       uint64 `json:"ver"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// store is the platform's metadata store: the calls that the system uses, without faults.
type store struct {
	mu      sync.Mutex
	changed *sync.Cond
	rows    map[[2]string]row
	history []row
	version uint64
	began   time.Time
	address string
}

func newStore() *store {
	s := &store{rows: make(map[[2]string]row), began: time.Now()}
	s.changed = sync.NewCond(&s.mu)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /rows-get", s.get)
	mux.HandleFunc("GET /rows-feed", s.feed)
	mux.HandleFunc("POST /rows-tx", s.transact)
	listener := listen()
	s.address = listener.Addr().String()
	go func() {
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(storeDelay)
			mux.ServeHTTP(w, r)
		})}
		_ = server.Serve(listener)
	}()
	return s
}

// listen opens a listener on a free loopback port.
func listen() net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("listen: %v", err)
	}
	return listener
}

// put writes a row as the operator or a runner would.
func (s *store) put(table, key string, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		fail("encode row: %v", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.write(row{Table: table, Key: key, Value: body})
}

// write applies a row of the current transaction. s.mu must be held.
func (s *store) write(r row) {
	r.Ver = s.version
	name := [2]string{r.Table, r.Key}
	if r.Tombstone {
		delete(s.rows, name)
	} else {
		s.rows[name] = r
	}
	s.history = append(s.history, r)
	s.changed.Broadcast()
}

func (s *store) answer(w http.ResponseWriter, rows []row) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"rows": rows, "truncated": false, "ver": s.version, "nowMs": time.Since(s.began).Milliseconds() + 1,
	})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	query := r.URL.Query()
	found := []row{}
	for _, entry := range s.rows {
		if entry.Table == query.Get("table") && entry.Key >= query.Get("from") {
			found = append(found, entry)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	s.answer(w, found)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	waitMs, _ := strconv.Atoi(query.Get("waitMs"))
	deadline := time.Now().Add(time.Duration(waitMs) * time.Millisecond)
	wake := time.AfterFunc(time.Until(deadline), s.changed.Broadcast)
	defer wake.Stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		found := []row{}
		for _, entry := range s.history {
			if entry.Table == query.Get("table") && entry.Ver > after {
				found = append(found, entry)
			}
		}
		if len(found) > 0 || !time.Now().Before(deadline) {
			s.answer(w, found)
			return
		}
		s.changed.Wait()
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Expect []row `json:"expect"`
		Writes []row `json:"writes"`
		Remove []row `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, expected := range body.Expect {
		if s.rows[[2]string{expected.Table, expected.Key}].Ver != expected.Ver {
			w.WriteHeader(http.StatusPreconditionFailed)
			return
		}
	}
	s.version++
	for _, entry := range body.Writes {
		s.write(entry)
	}
	for _, entry := range body.Remove {
		entry.Tombstone = true
		s.write(entry)
	}
	s.answer(w, []row{})
}
