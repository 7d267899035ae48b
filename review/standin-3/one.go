package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"sort"
	"strings"
	"sync"
	"time"
)

const (
	oneInstances = 4
	oneRunners   = 3
	oneLease     = 3 * time.Second
	oneRounds    = 8
	// oneStops is how many leaders are stopped in a round, one after the other.
	oneStops    = 3
	oneAdapters = 46
	onePlaces   = 8
	// stopGap is the time between two stops of the leader, as in the deployment's days.
	stopGap = 1300 * time.Millisecond
	// killAfter is the time from such a stop until processes are killed.
	killAfter = 450 * time.Millisecond
	onePerS   = 60
)

func oneFields(storeAddress string) map[string]any {
	return map[string]any{
		"limits.memoryMb": 284, "limits.cpuShare": 0.4, "limits.linkMbps": 1000.0, "platform.address": storeAddress,
		"bounds.leaseMs": 3000, "bounds.fencingEnforced": false, "bounds.graceS": 8, "bounds.configApplyMs": 2000, "bounds.revokeMs": 5000,
		"bounds.drainMs": 2000, "bounds.retryBudgetRatio": 0.2, "bounds.budgetWindowS": 10, "bounds.retryBudgetSlack": 52,
	}
}

func oneConfig() map[string]any {
	models := []map[string]any{{"name": "m0", "weightsMb": 65100.0, "loadTimeS": 6.0, "adapters": oneAdapters, "adapterMb": 12.0, "warmupS": 0.38, "diskS": 0.49}}
	return map[string]any{
		"version": 7,
		"routes": []map[string]any{{
			"name": "r-1", "host": "ficu95.example", "pathPrefix": "/pufi791/", "kind": "streaming", "timeoutMs": 15000, "targetLatencyMs": 600,
			"targetGapMs": 300, "priority": 1, "service": "models", "maxAttempts": 2, "sticky": true, "resumable": false,
		}},
		"services": []map[string]any{{"name": "models", "healthPath": "/health", "maxConnections": 370, "protocol": "h1", "tls": false, "engine": map[string]any{
			"slots": 64, "kvCapacityTokens": 264593, "stride": 4, "weightsMb": 230000.0, "adapterSlots": onePlaces, "loadsPerS": 3.1, "models": models,
		}}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

// playOne asks for many adapters, so that the coordinator gives orders all the time, and stops and
// kills coordinators.
func playOne(r *record, folder string, trouble bool) (int, error) {
	s, err := startStore()
	if err != nil {
		return notPlayed, err
	}
	s.put("op", "config", oneConfig())
	var runners []*runner
	for n := range oneRunners {
		server, err := startRunner(s, fmt.Sprintf("i-%02d", n+1), "models", 64, []string{"m0"})
		if err != nil {
			return notPlayed, err
		}
		runners = append(runners, server)
	}
	template, err := os.ReadFile("deploy/cardfront.jsonc.tmpl")
	if err != nil {
		return notPlayed, err
	}
	fronts, err := startFronts(oneInstances, folder, string(template), oneFields(s.address))
	defer func() {
		for _, f := range fronts {
			f.kill()
		}
	}()
	if err != nil {
		return notPlayed, err
	}
	if err := awaitReady(s, fronts); err != nil {
		return notPlayed, err
	}
	time.Sleep(4 * time.Second)
	stop := make(chan struct{})
	var group sync.WaitGroup
	var mu sync.Mutex
	answers := make(map[string]int)
	group.Go(func() {
		tick := time.NewTicker(time.Second / onePerS)
		defer tick.Stop()
		for {
			select {
			case <-stop:
				return
			case <-tick.C:
			}
			group.Go(func() {
				status := ask(fronts)
				mu.Lock()
				answers[status]++
				mu.Unlock()
			})
		}
	})
	time.Sleep(2 * time.Second)
	for round := range oneRounds {
		if trouble {
			r.line("round %d", round+1)
			playRound(r, s, fronts)
		} else {
			time.Sleep(oneStops*stopGap + 2*time.Second)
		}
		if err := awaitReady(s, fronts); err != nil {
			return notPlayed, err
		}
		time.Sleep(3500 * time.Millisecond)
	}
	close(stop)
	group.Wait()
	r.line("answers: %v", answers)
	return judgeOne(r, runners)
}

func awaitReady(s *store, fronts []*front) error {
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, f := range fronts {
			if f.isReady() {
				ready++
			}
		}
		if ready == len(fronts) && leader(s, fronts) != nil {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%d of %d instances are ready", ready, len(fronts))
		}
	}
}

// playRound stops the leader several times, stopGap apart, and kills half of the processes after each stop:
// the one that was stopped and the new leader among them.
func playRound(r *record, s *store, fronts []*front) {
	began := time.Now()
	for n := range oneStops {
		time.Sleep(time.Until(began.Add(time.Duration(n) * stopGap)))
		first := leader(s, fronts)
		for end := time.Now().Add(time.Second); first == nil && time.Now().Before(end); first = leader(s, fronts) {
			time.Sleep(10 * time.Millisecond)
		}
		if first == nil {
			r.line("nobody leads; no machine is stopped")
			continue
		}
		r.line("SIGTERM to %s, the leader", first.name)
		first.terminate()
		time.Sleep(time.Until(began.Add(time.Duration(n)*stopGap + killAfter)))
		second := leader(s, fronts)
		if second == nil || second == first {
			// No other one has taken over yet.
			for _, f := range fronts {
				if f != first {
					second = f
				}
			}
		}
		r.line("SIGKILL to %s and %s at once", first.name, second.name)
		first.end()
		second.end()
		for _, f := range []*front{first, second} {
			go func() {
				time.Sleep(restartDelay)
				_ = f.start()
			}()
		}
	}
	time.Sleep(2 * time.Second)
}

func ask(fronts []*front) string {
	id := fmt.Sprintf("%016x", rand.Uint64())
	for _, n := range rand.Perm(len(fronts)) {
		request, err := http.NewRequest(http.MethodPost, "http://"+fronts[n].entry+"/pufi791/2f", strings.NewReader(strings.Repeat("a", 1400)))
		if err != nil {
			return err.Error()
		}
		request.Host = "ficu95.example"
		request.GetBody = nil
		for name, value := range map[string]string{
			"Request-Id": id, "Model": fmt.Sprintf("m0/a%d", rand.IntN(oneAdapters)+1), "Token-Count": "626,70",
			"Prompt-Prefix": fmt.Sprintf("5c1e07a2:198,%s:428", id[:8]), "Deadline-Ms": "4000",
		} {
			request.Header.Set(name, value)
		}
		client := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
		response, err := client.Do(request)
		if err != nil {
			if strings.Contains(err.Error(), "connection refused") {
				continue
			}
			return "broken"
		}
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if err != nil {
			return fmt.Sprintf("%d cut", response.StatusCode)
		}
		return fmt.Sprint(response.StatusCode)
	}
	return "no connection"
}

// judgeOne looks for orders of one holder, another one, and the first one again, to one runner
// within the time of a lease.
func judgeOne(r *record, runners []*runner) (int, error) {
	turns, total := 0, 0
	for _, server := range runners {
		list := server.orders
		sort.Slice(list, func(a, b int) bool { return list[a].at.Before(list[b].at) })
		total += len(list)
		r.line("orders to %s: %d", server.id, len(list))
		for n := 1; n < len(list); n++ {
			before, next := list[n-1], list[n]
			if next.holder == before.holder {
				continue
			}
			r.line("  %s: the last one of %s, %s, fence %d, answered %d", r.offset(before.at), before.holder, before.what, before.fence, before.status)
			r.line("  %s: the first one of %s, %s, fence %d, answered %d", r.offset(next.at), next.holder, next.what, next.fence, next.status)
			if first, ok := turn(list[:n], next); ok {
				turns++
				r.line("  ONE is broken: %s gave orders at %s and %s, and %s in between, within %d ms", next.holder, r.offset(first.at), r.offset(next.at), before.holder, next.at.Sub(first.at).Milliseconds())
			}
		}
	}
	r.line("%d orders were given; in %d places two holders took turns within %v", total, turns, oneLease)
	switch {
	case total == 0:
		return notPlayed, fmt.Errorf("no order was given")
	case turns > 0:
		return broken, nil
	}
	r.line("ONE held")
	return held, nil
}

// turn returns the last order before an order whose holder is the same one, with an order of
// another holder in between, and whether it came within the time of a lease.
func turn(before []order, next order) (order, bool) {
	for k := len(before) - 1; k >= 0; k-- {
		if before[k].holder == next.holder {
			return before[k], next.at.Sub(before[k].at) <= oneLease
		}
	}
	return order{}, false
}

type order struct {
	at           time.Time
	holder, what string
	fence        uint64
	status       int
}

// take carries out an order as a runner does that has its models in memory.
func (r *runner) take(w http.ResponseWriter, q *http.Request) {
	var call struct {
		Operation, Model, Adapter, Holder string
		FencingToken                      uint64
		Expect                            *int64
	}
	if json.NewDecoder(q.Body).Decode(&call) != nil || call.Holder == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	status := http.StatusOK
	_, present := r.adapters[call.Adapter]
	switch {
	case call.Expect != nil && *call.Expect != r.seq:
		status = http.StatusConflict
	case call.Adapter == "":
		// All models are loaded.
	case call.Operation == "load" && !present && len(r.adapters) >= onePlaces:
		status = http.StatusConflict
	case call.Operation == "load" && !present:
		r.adapters[call.Adapter] = true
		r.seq++
		status = http.StatusAccepted
	case call.Operation == "unload" && present:
		delete(r.adapters, call.Adapter)
		r.seq++
	}
	r.orders = append(r.orders, order{at: time.Now(), holder: call.Holder, fence: call.FencingToken, what: call.Operation + " " + call.Adapter, status: status})
	w.WriteHeader(status)
}
