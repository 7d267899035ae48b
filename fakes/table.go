package fakes

import (
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"cardamomcourse.example/cardamom/sleep"
	"cardamomcourse.example/cardamom/table"
)

// TableFaults are the faults that a table can show.
type TableFaults struct {
	// Down answers every read and write of rows with 503.
	Down bool `json:"down"`
	// DelayMS is added to each call, in milliseconds.
	DelayMS int64 `json:"delay_ms"`
	// LoseReplies is how many of the next commits are carried out but not answered.
	LoseReplies int `json:"lose_replies"`
}

// TableCounts counts the calls to a table.
type TableCounts struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Refused int64 `json:"refused"`
}

// Table is the platform's transactional table.
type Table struct {
	mu      sync.Mutex
	rows    map[string]table.RowWire
	version uint64
	faults  TableFaults
	counts  TableCounts
	reads   *rate.Limiter
	writes  *rate.Limiter
}

// NewTable returns an empty table with a rate limit for reads and for writes.
func NewTable(readsPerSecond, writesPerSecond int) *Table {
	return &Table{
		rows:   make(map[string]table.RowWire),
		reads:  rate.NewLimiter(rate.Limit(readsPerSecond), readsPerSecond),
		writes: rate.NewLimiter(rate.Limit(writesPerSecond), writesPerSecond),
	}
}

// SetFaults replaces the table's faults.
func (t *Table) SetFaults(faults TableFaults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = faults
}

// Counts returns the counts of the calls so far.
func (t *Table) Counts() TableCounts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts
}

// Handler returns the table's HTTP interface.
func (t *Table) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /row", t.limited(t.reads, t.row))
	mux.HandleFunc("GET /rows", t.limited(t.reads, t.list))
	mux.HandleFunc("POST /commit", t.limited(t.writes, t.commit))
	mux.HandleFunc("PUT /faults", func(w http.ResponseWriter, r *http.Request) {
		var faults TableFaults
		if err := readJSON(r, &faults); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		t.SetFaults(faults)
	})
	mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, t.Counts())
	})
	return mux
}

// limited applies the faults and the rate limit before next.
func (t *Table) limited(limiter *rate.Limiter, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		t.mu.Lock()
		faults := t.faults
		t.mu.Unlock()
		if !sleep.For(r.Context(), time.Duration(faults.DelayMS)*time.Millisecond) {
			return
		}
		if faults.Down || !limiter.Allow() {
			t.mu.Lock()
			t.counts.Refused++
			t.mu.Unlock()
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		next(w, r)
	}
}

func (t *Table) row(w http.ResponseWriter, r *http.Request) {
	t.mu.Lock()
	t.counts.Reads++
	row := t.rows[r.URL.Query().Get("key")]
	t.mu.Unlock()
	writeJSON(w, row)
}

func (t *Table) list(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	t.mu.Lock()
	t.counts.Reads++
	rows := []table.RowWire{}
	for key, row := range t.rows {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, row)
		}
	}
	t.mu.Unlock()
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	writeJSON(w, rows)
}

func (t *Table) commit(w http.ResponseWriter, r *http.Request) {
	var writes []table.WriteWire
	if err := readJSON(r, &writes); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	version, ok, lose := t.apply(writes)
	switch {
	case lose:
		panic(http.ErrAbortHandler)
	case !ok:
		w.WriteHeader(http.StatusConflict)
	default:
		writeJSON(w, table.CommitWire{Version: version})
	}
}

// apply commits the writes if all expected versions match. lose reports whether
// the response is to be dropped.
func (t *Table) apply(writes []table.WriteWire) (version uint64, ok, lose bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Writes++
	if t.faults.LoseReplies > 0 {
		t.faults.LoseReplies--
		lose = true
	}
	for _, write := range writes {
		if t.rows[write.Key].Version != write.Expect {
			return 0, false, lose
		}
	}
	t.version++
	for _, write := range writes {
		if write.Deleted {
			delete(t.rows, write.Key)
			continue
		}
		t.rows[write.Key] = table.RowWire{Key: write.Key, Value: write.Value, Version: t.version}
	}
	return t.version, true, lose
}
