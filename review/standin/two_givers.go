package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// cutTime is how long the process that gave the last order is cut off the store, cutPause
	// the time until the next cut, cutTimes how often.
	cutTime  = 7 * time.Second
	cutPause = 3 * time.Second
	cutTimes = 10
	// lateFrom is how long after a cut begins runners leave some orders unanswered, lateTime
	// for how long, and lateShare how many of 100.
	lateFrom  = 2 * time.Second
	lateTime  = 5 * time.Second
	lateShare = 35
	// hotModels have adapters and stay loaded, one at each runner; coldModels share the rest
	// of the memory.
	hotModels  = 6
	coldModels = 14
	adapters   = 14
	hotPause   = 65 * time.Millisecond
	coldPause  = 200 * time.Millisecond
)

// twoGivers cuts the process that gives orders off the store again and again, while runners
// leave some orders unanswered.
func twoGivers(trouble bool) []string {
	s := newSite(2)
	defer s.close()
	var hot, cold []string
	for n := range hotModels {
		hot = append(hot, fmt.Sprintf("hot-%d", n))
	}
	for n := range coldModels {
		cold = append(cold, fmt.Sprintf("cold-%02d", n))
	}
	all := append(append([]string{}, hot...), cold...)
	list := []map[string]any{}
	for _, model := range all {
		entry := map[string]any{"name": model, "weightsMb": weightsMB, "loadTimeS": 6.9, "diskS": loadTime.Seconds(), "warmupS": 0.6, "adapters": 0, "adapterMb": adapterMB}
		if len(list) < len(hot) {
			entry["adapters"] = adapters
		}
		list = append(list, entry)
	}
	s.store.put("op", "config", map[string]any{
		"version": 3,
		"routes": []map[string]any{{
			"name": "io-parse", "host": host, "pathPrefix": "/parse/", "kind": "streaming", "resumable": true, "service": "muse-models",
			"timeoutMs": 5000, "targetLatencyMs": 600, "targetGapMs": 300, "priority": 1, "maxAttempts": 2, "sticky": true,
		}},
		"services": []map[string]any{{
			"name": "muse-models", "healthPath": "/health", "maxConnections": 360, "engine": map[string]any{
				"slots": 64, "kvCapacityTokens": 257765, "weightsMb": runnerMB, "adapterSlots": adapterPlaces, "loadsPerS": 2.1, "models": list,
			},
		}},
		"limits": limits,
	})
	var late atomic.Bool
	var mu sync.Mutex
	var broken []string
	giver := ""
	ended := make(chan struct{})
	for n := range hot {
		w := newSwapper(s.store, fmt.Sprintf("i-%d", n+1), []string{hot[n], cold[n]}, all)
		w.late = func() bool { return late.Load() && rand.IntN(100) < lateShare }
		w.took = func(holder string) {
			mu.Lock()
			defer mu.Unlock()
			giver = holder
		}
		w.over = func(reason string) {
			mu.Lock()
			defer mu.Unlock()
			if broken = append(broken, "LIMIT: "+reason); len(broken) == 1 {
				close(ended)
			}
		}
		go w.describe()
	}
	s.startAll()
	time.Sleep(2 * time.Second)
	for n, f := range s.fronts {
		go s.press(f, n, hot, hotPause*time.Duration(len(s.fronts)), ended, true)
		go s.press(f, n, cold, coldPause*time.Duration(len(s.fronts)), ended, false)
	}
	pause := func(span time.Duration) bool {
		select {
		case <-ended:
			return false
		case <-time.After(span):
			return true
		}
	}
	for range cutTimes {
		if !pause(cutPause) {
			break
		}
		mu.Lock()
		holder := giver
		mu.Unlock()
		f := s.named(holder)
		if trouble && f != nil {
			log.addf("platform cuts %s off the store", f.name)
			f.toStore.setCut(true)
		}
		if !pause(lateFrom) {
			break
		}
		late.Store(trouble)
		if !pause(lateTime) {
			break
		}
		late.Store(false)
		if trouble && f != nil {
			f.toStore.setCut(false)
			log.addf("platform heals the path of %s to the store", f.name)
		}
	}
	mu.Lock()
	defer mu.Unlock()
	return broken
}

// named returns the process with the name, nil if there is none.
func (s *site) named(name string) *front {
	for _, f := range s.fronts {
		if f.name == name {
			return f
		}
	}
	return nil
}

// press sends requests for some models to a process until the end.
func (s *site) press(f *front, number int, models []string, pause time.Duration, ended chan struct{}, withAdapter bool) {
	for n := 0; ; n++ {
		select {
		case <-ended:
			return
		case <-time.After(pause/2 + rand.N(pause)):
		}
		model := models[rand.IntN(len(models))]
		q := request{
			id: fmt.Sprintf("%d-%s-%05d", number, model, n), method: "POST", path: "/parse/order", body: "an order", deadline: 5 * time.Second,
			header: map[string]string{"Model": model, "Token-Count": "826,16", "Prompt-Prefix": "5c1e07a2:198,91bd3f06:628"},
		}
		if withAdapter {
			q.header["Model"] = fmt.Sprintf("%s/a%d", model, 1+rand.IntN(adapters))
		}
		go send(f.entry, q)
	}
}
