package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

const (
	draftDeadline = 15 * time.Second
	// garbledEvery is how many answers of the garbling runner there are to one that it sends
	// once more: fewer than 3 in 100 are.
	garbledEvery = 34
	// garbleTime is how long it does so at a time, garbleTimes how often, with garblePause in
	// between.
	garbleTime  = 5 * time.Second
	garblePause = 3 * time.Second
	garbleTimes = 9
	// clumpPause is the time between two clumps of requests: one for each model and process.
	clumpPause = 160 * time.Millisecond
)

// drafts is a runner for letter drafts.
type drafts struct {
	*engine
	garbles atomic.Bool
	answers atomic.Int64
}

func newDrafts(s *store, id, model string, queue int) *drafts {
	d := &drafts{engine: newEngine(id, model, 4, queue)}
	d.handle = d.serveDraft
	d.serve(s)
	return d
}

func (d *drafts) serveDraft(c *link, q *asked) bool {
	if d.serveControl(c, q) {
		return true
	}
	if !d.holds(q) {
		d.answer(c, q, 421, "Not-Run: 1\r\n", "")
		return true
	}
	admitted, full := d.slots.enter(q)
	if full {
		d.garble(c, q, d.answer(c, q, 503, "Not-Run: 1\r\n", ""))
		return true
	}
	if !admitted {
		return false
	}
	defer d.slots.leave()
	d.ran(q)
	answer, whole := stream(d.runner, c, q, 4, 9*time.Millisecond)
	if whole {
		d.garble(c, q, answer)
	}
	return whole
}

// garble makes some answers come a second time, where the next response is expected.
func (d *drafts) garble(c *link, q *asked, answer []byte) {
	if d.garbles.Load() && d.answers.Add(1)%garbledEvery == 0 {
		c.late = answer
		log.addf("runner %s will send its answer to %s once more", d.id, q.id)
	}
}

// lateExtra sends streams that may run once at most, while a runner sends some of its answers
// twice.
func lateExtra(trouble bool) []string {
	s := newSite(8)
	defer s.close()
	models := []string{"muse-a", "muse-b", "muse-c"}
	s.store.put("op", "config", map[string]any{
		"version": 3,
		"routes": []map[string]any{{
			"name": "letter-draft", "host": host, "pathPrefix": "/draft/", "kind": "streaming", "resumable": false, "service": "muse-models",
			"timeoutMs": 15000, "targetLatencyMs": 400, "targetGapMs": 300, "priority": 0, "maxAttempts": 2, "sticky": true,
		}},
		"services": []map[string]any{engineService(models, 4)},
		"limits":   limits,
	})
	var runners []*drafts
	for n, model := range models {
		runners = append(runners, newDrafts(s.store, fmt.Sprintf("i-%d", n+1), model, 2+4*n))
	}
	s.startAll()
	time.Sleep(2 * time.Second)
	go func() {
		for range garbleTimes {
			runners[0].garbles.Store(trouble)
			time.Sleep(garbleTime)
			runners[0].garbles.Store(false)
			time.Sleep(garblePause)
		}
	}()
	var mu sync.Mutex
	answers := make(map[string]response)
	var group sync.WaitGroup
	for until := time.Now().Add(garbleTimes * (garbleTime + garblePause)); time.Now().Before(until); time.Sleep(clumpPause) {
		for _, f := range s.fronts {
			for _, model := range models {
				q := request{
					id: fmt.Sprintf("%s-%05d", model, len(answers)), method: "POST", path: "/draft/reply", body: "a letter", deadline: draftDeadline,
					header: map[string]string{"Model": model, "Token-Count": "826,32", "Prompt-Prefix": "5c1e07a2:198,91bd3f06:628"},
				}
				mu.Lock()
				q.id = fmt.Sprintf("%s-%05d", model, len(answers))
				answers[q.id] = response{}
				mu.Unlock()
				group.Go(func() {
					got := send(f.entry, q)
					mu.Lock()
					defer mu.Unlock()
					answers[q.id] = got
				})
			}
		}
	}
	group.Wait()
	time.Sleep(3 * time.Second)
	return checkOnce(answers, func(id string) int {
		runs := 0
		for _, r := range runners {
			r.runner.mu.Lock()
			runs += r.runs[id]
			r.runner.mu.Unlock()
		}
		return runs
	})
}

// engineService describes the service of the model runners, which hold one model each.
func engineService(models []string, limit int) map[string]any {
	list := []map[string]any{}
	for _, model := range models {
		list = append(list, map[string]any{"name": model, "weightsMb": 70000, "loadTimeS": 6.0, "diskS": 1.5, "warmupS": 0.6, "adapters": 0, "adapterMb": 12})
	}
	return map[string]any{
		"name": "muse-models", "healthPath": "/health", "maxConnections": 370, "engine": map[string]any{
			"slots": limit, "kvCapacityTokens": 257765, "weightsMb": 80000, "adapterSlots": 8, "loadsPerS": 3.1, "models": list,
		},
	}
}

// limits are the limits of all configurations.
var limits = map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000, "idleTimeoutMs": 20000}

// promises are the statuses that say that a request has not run and never will.
var promises = map[int]bool{408: true, 421: true, 429: true, 503: true}

// checkOnce checks requests that may run once at most.
func checkOnce(answers map[string]response, runs func(id string) int) []string {
	var broken []string
	counts := make(map[int]int)
	for id, got := range answers {
		counts[got.status]++
		if n := runs(id); n > 1 {
			broken = append(broken, fmt.Sprintf("TWICE: %s ran %d times, its client got %d", id, n, got.status))
		} else if n == 1 && got.complete && promises[got.status] {
			broken = append(broken, fmt.Sprintf("REFUSED: %s ran, its client got %d", id, got.status))
		}
	}
	summary := fmt.Sprintf("%d requests, by status %v", len(answers), counts)
	log.addf("%s", summary)
	fmt.Println(summary)
	return broken
}
