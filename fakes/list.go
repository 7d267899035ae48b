package fakes

import (
	"net/http"
	"sort"
	"sync"
	"time"

	"cardamomcourse.example/cardamom/roster"
)

// listEntry is a machine with the times from which the list shows it as added,
// leaving and removed.
type listEntry struct {
	machine   roster.MachineWire
	instance  bool
	addedAt   time.Time
	leavingAt time.Time
	removedAt time.Time
}

// List is a fake of the platform's list of machines. It shows each change only
// after a lag.
type List struct {
	mu       sync.Mutex
	lag      time.Duration
	machines map[string]*listEntry
	frozen   *roster.ListWire
	down     bool
}

// NewList returns an empty list that shows each change after the lag.
func NewList(lag time.Duration) *List {
	return &List{lag: lag, machines: make(map[string]*listEntry)}
}

// Add lists a machine, as an instance of the system if instance is true and
// otherwise as an upstream.
func (l *List) Add(machine roster.MachineWire, instance bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	addedAt := now.Add(l.lag)
	if known, ok := l.machines[machine.ID]; ok && known.addedAt.Before(now) {
		addedAt = known.addedAt
	}
	l.machines[machine.ID] = &listEntry{machine: machine, instance: instance, addedAt: addedAt}
}

// Leave marks a machine as leaving.
func (l *List) Leave(id string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if m, ok := l.machines[id]; ok {
		m.leavingAt = now.Add(l.lag)
	}
}

// Remove takes a machine off the list.
func (l *List) Remove(id string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if m, ok := l.machines[id]; ok {
		m.removedAt = now.Add(l.lag)
	}
}

// Freeze makes the list keep showing its present state if frozen is true, and
// show its current state again if frozen is false.
func (l *List) Freeze(frozen bool, now time.Time) {
	state := l.At(now)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.frozen = nil
	if frozen {
		l.frozen = &state
	}
}

// At returns what the list shows at the given time.
func (l *List) At(now time.Time) roster.ListWire {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.frozen != nil {
		return *l.frozen
	}
	wire := roster.ListWire{Instances: []roster.MachineWire{}, Upstreams: []roster.MachineWire{}}
	for _, m := range l.machines {
		if now.Before(m.addedAt) || !m.removedAt.IsZero() && !now.Before(m.removedAt) {
			continue
		}
		machine := m.machine
		machine.Leaving = !m.leavingAt.IsZero() && !now.Before(m.leavingAt)
		if m.instance {
			wire.Instances = append(wire.Instances, machine)
			continue
		}
		wire.Upstreams = append(wire.Upstreams, machine)
	}
	sort.Slice(wire.Instances, func(i, j int) bool { return wire.Instances[i].ID < wire.Instances[j].ID })
	sort.Slice(wire.Upstreams, func(i, j int) bool { return wire.Upstreams[i].ID < wire.Upstreams[j].ID })
	return wire
}

// ListFaults are the faults that a list can show.
type ListFaults struct {
	// Down answers each read of the list with 503.
	Down bool `json:"down"`
	// Frozen keeps the list at the state that it showed when the fault was set.
	Frozen bool `json:"frozen"`
}

// Handler returns the list's HTTP interface.
func (l *List) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /list", func(w http.ResponseWriter, _ *http.Request) {
		l.mu.Lock()
		down := l.down
		l.mu.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		writeJSON(w, l.At(time.Now()))
	})
	mux.HandleFunc("PUT /instances", func(w http.ResponseWriter, r *http.Request) { l.put(w, r, true) })
	mux.HandleFunc("PUT /upstreams", func(w http.ResponseWriter, r *http.Request) { l.put(w, r, false) })
	mux.HandleFunc("POST /leave", func(_ http.ResponseWriter, r *http.Request) { l.Leave(r.URL.Query().Get("id"), time.Now()) })
	mux.HandleFunc("POST /remove", func(_ http.ResponseWriter, r *http.Request) { l.Remove(r.URL.Query().Get("id"), time.Now()) })
	mux.HandleFunc("PUT /faults", func(w http.ResponseWriter, r *http.Request) {
		var faults ListFaults
		if err := readJSON(r, &faults); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		l.mu.Lock()
		l.down = faults.Down
		l.mu.Unlock()
		l.Freeze(faults.Frozen, time.Now())
	})
	return mux
}

func (l *List) put(w http.ResponseWriter, r *http.Request, instance bool) {
	var machine roster.MachineWire
	if err := readJSON(r, &machine); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	l.Add(machine, instance, time.Now())
}
