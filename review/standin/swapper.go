package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// runnerMB is a runner's memory for weights, adapterPlaces its places for adapters.
	runnerMB      = 160000
	adapterPlaces = 8
	weightsMB     = 72700
	adapterMB     = 66
	// reportLag is how old reports are.
	reportLag  = 200 * time.Millisecond
	unloadTime = 50 * time.Millisecond
	loadTime   = 1500 * time.Millisecond
)

// swapper is a model runner that carries out orders.
type swapper struct {
	*runner
	slots slots
	// orders are the orders that arrived, by the platform's view of who gives them.
	late func() bool
	// over is called when the runner is ordered to hold more than it can.
	over func(reason string)
	took func(holder string)

	state sync.Mutex
	// held has the adapters of each loaded model.
	held      map[string][]string
	coming    string
	unloading string
	seq       int64
	fence     uint64
	using     map[string]int
	busy      bool
	reports   []oldReport
}

// oldReport is what the runner reports as of a time.
type oldReport struct {
	at   time.Time
	body []byte
}

// order is the body of an order.
type order struct {
	Operation    string `json:"operation"`
	Model        string `json:"model"`
	Adapter      string `json:"adapter"`
	Expect       *int64 `json:"expect"`
	Holder       string `json:"holder"`
	FencingToken uint64 `json:"fencingToken"`
}

func newSwapper(s *store, id string, models, onDisk []string) *swapper {
	w := &swapper{runner: newRunner(id, "muse-models", nil), slots: slots{limit: 64, queue: 64}, held: make(map[string][]string), using: make(map[string]int)}
	for _, model := range models {
		w.held[model] = []string{}
	}
	w.entry = map[string]any{"slots": 64, "models": w.models(), "atHand": map[string]any{"resident": []string{}, "onDisk": onDisk}}
	w.handle = w.serveSwapper
	w.keep()
	w.serve(s)
	return w
}

// models describes what the runner holds. w.state must be held.
func (w *swapper) models() []map[string]any {
	list := []map[string]any{}
	for model, adapters := range w.held {
		list = append(list, map[string]any{"name": model, "version": 1, "adapters": slices.Clone(adapters)})
	}
	return list
}

// keep records a report of the present state. w.state must be held.
func (w *swapper) keep() {
	body, _ := json.Marshal(map[string]any{
		"stage": "hybrid", "models": w.models(), "busy": w.busy, "seq": w.seq, "queued": 0, "running": 0, "kvUsed": 0, "kvTotal": 257765,
		"handles": 0, "born": w.born, "atHand": w.entry["atHand"], "coming": []string{},
	})
	w.reports = append(w.reports, oldReport{time.Now(), body})
}

// report returns the newest report that is old enough. w.state must be held.
func (w *swapper) report() []byte {
	for len(w.reports) > 1 && time.Since(w.reports[1].at) >= reportLag {
		w.reports = w.reports[1:]
	}
	return w.reports[0].body
}

func (w *swapper) serveSwapper(c *link, q *asked) bool {
	switch q.Method + " " + q.RequestURI {
	case "GET /report":
		w.state.Lock()
		body := w.report()
		w.state.Unlock()
		reply(c, http.StatusOK, string(body))
		return true
	case "POST /order":
		return w.serveOrder(c, q)
	}
	model, adapter, _ := strings.Cut(q.Header.Get("Model"), "/")
	w.state.Lock()
	adapters, ok := w.held[model]
	switch {
	case !ok || adapter != "" && !slices.Contains(adapters, adapter):
		w.state.Unlock()
		w.answer(c, q, 421, "Not-Run: 1\r\n", "")
		return true
	case w.unloading == model:
		w.state.Unlock()
		w.answer(c, q, 503, "Not-Run: 1\r\n", "")
		return true
	}
	w.using[q.Header.Get("Model")]++
	w.using[model+"/"]++
	w.state.Unlock()
	defer func() {
		w.state.Lock()
		defer w.state.Unlock()
		w.using[q.Header.Get("Model")]--
		w.using[model+"/"]--
	}()
	w.ran(q)
	_, whole := stream(w.runner, c, q, 4, 15*time.Millisecond)
	return whole
}

// serveOrder handles an order, or leaves it unanswered and carries it out later.
func (w *swapper) serveOrder(c *link, q *asked) bool {
	var o order
	if json.Unmarshal(q.body, &o) != nil || o.Holder == "" || o.FencingToken == 0 {
		reply(c, http.StatusBadRequest, "{}")
		return true
	}
	w.took(o.Holder)
	if w.late() {
		wait := 2*time.Second + rand.N(10*time.Second)
		log.addf("runner %s leaves unanswered for %d ms: %s", w.id, wait.Milliseconds(), q.body)
		time.AfterFunc(wait, func() {
			log.addf("runner %s carries out late, with %d: %s", w.id, w.carryOut(o), q.body)
		})
		<-q.gone
		return false
	}
	status := w.carryOut(o)
	log.addf("runner %s answers %d to %s", w.id, status, q.body)
	reply(c, status, "{}")
	return true
}

// carryOut begins to carry out an order and returns the status of its answer.
func (w *swapper) carryOut(o order) int {
	w.state.Lock()
	defer w.state.Unlock()
	defer w.keep()
	switch {
	case o.FencingToken < w.fence:
		return http.StatusPreconditionFailed
	case w.busy || o.Expect != nil && *o.Expect != w.seq:
		return http.StatusConflict
	}
	_, held := w.held[o.Model]
	switch {
	case o.Adapter != "":
		return w.carryOutAdapter(o, held)
	case (o.Operation == "load") == held:
		return http.StatusOK
	}
	w.accept(o)
	w.busy = true
	if o.Operation == "unload" {
		w.unloading = o.Model
		go w.unload(o.Model)
		return http.StatusAccepted
	}
	if size := w.size() + weightsMB; size > runnerMB {
		w.over(fmt.Sprintf("runner %s holds %d MB of models and was ordered to load %s: %d MB of %d", w.id, w.size(), o.Model, size, runnerMB))
	}
	time.AfterFunc(loadTime, func() {
		w.state.Lock()
		defer w.state.Unlock()
		w.held[o.Model], w.busy = []string{}, false
		w.keep()
	})
	return http.StatusAccepted
}

// accept records that an order is accepted. w.state must be held.
func (w *swapper) accept(o order) {
	w.seq++
	w.fence = max(w.fence, o.FencingToken)
}

// size returns the memory that the loaded models take. w.state must be held.
func (w *swapper) size() int {
	size := 0
	for _, adapters := range w.held {
		size += weightsMB + adapterMB*len(adapters)
	}
	return size
}

// carryOutAdapter carries out an order for an adapter. w.state must be held.
func (w *swapper) carryOutAdapter(o order, held bool) int {
	if !held {
		return http.StatusConflict
	}
	has := slices.Contains(w.held[o.Model], o.Adapter)
	if o.Operation == "load" {
		if has {
			return http.StatusOK
		}
		count := 1
		for _, adapters := range w.held {
			count += len(adapters)
		}
		if count > adapterPlaces {
			w.over(fmt.Sprintf("runner %s was ordered to hold %d adapters of %d", w.id, count, adapterPlaces))
		}
		w.accept(o)
		w.held[o.Model] = append(w.held[o.Model], o.Adapter)
		return http.StatusAccepted
	}
	w.accept(o)
	w.held[o.Model] = slices.DeleteFunc(slices.Clone(w.held[o.Model]), func(name string) bool { return name == o.Adapter })
	return http.StatusOK
}

// unload waits for the runs of a model to end and drops it.
func (w *swapper) unload(model string) {
	time.Sleep(unloadTime)
	for {
		w.state.Lock()
		if w.using[model+"/"] == 0 {
			delete(w.held, model)
			w.busy, w.unloading = false, ""
			w.keep()
			w.state.Unlock()
			return
		}
		w.state.Unlock()
		time.Sleep(5 * time.Millisecond)
	}
}

// describe puts what the runner holds into its entry.
func (w *swapper) describe() {
	for {
		time.Sleep(heartbeat / 2)
		w.state.Lock()
		models := w.models()
		w.state.Unlock()
		w.setEntry("models", models)
	}
}
