package simul

import (
	"cmp"
	"maps"
	"slices"
	"time"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/site"
)

// run is a request at an engine.
type run struct {
	model    cardamom.ModelID
	priority int
	queued   time.Time
	// unread are the prompt tokens that are still to be read, made the tokens that were
	// generated, output how many there will be.
	prompt, unread int
	made, output   int
	// sinceEvent are the tokens generated since the last event.
	sinceEvent int
	onEvent    func(last bool)
	// onEnd is called if the engine does not run the request or loses it.
	onEnd func(ran bool)
	// instance is the one that sent it, asked when its caller did.
	instance *instance
	asked    time.Time
	// wait is the wait that the engine asked for when it turned it away.
	wait time.Duration
}

// engine is a model server: it runs requests in a batch, reads prompts between their
// tokens, and carries out one order at a time.
type engine struct {
	site.Upstream
	play   *play
	spec   engineWire
	queue  []*run
	batch  []*run
	step   bool
	down   bool
	gone   bool
	seq    int64
	busy   bool
	report []reportAt
	// limit is the rate limit that the engine names, nil if it names none.
	limit *float64
	// arrivals are when requests arrived.
	arrivals []time.Time
	told     told
	// unloading is the model whose unload waits for its runs.
	unloading cardamom.ModelID
}

// reportAt is what the engine reports from a time on.
type reportAt struct {
	at     time.Time
	report site.Report
}

// submit adds a request, or rejects it.
func (e *engine) submit(r *run, now time.Time) {
	e.arrivals = append(e.arrivals, now)
	if !e.down && e.arrived(r, now) {
		r.onEnd(false)
		return
	}
	_, loaded := e.Loaded[r.model]
	if e.down || !loaded || e.unloading == r.model || len(e.queue)+len(e.batch) >= e.spec.Slots*3 {
		r.onEnd(false)
		return
	}
	r.queued, r.unread = now, r.prompt
	e.queue = append(e.queue, r)
	e.startStep(now)
}

// cancel removes a request whose caller has left.
func (e *engine) cancel(r *run) {
	gone := func(other *run) bool { return other == r }
	e.queue = slices.DeleteFunc(e.queue, gone)
	e.batch = slices.DeleteFunc(e.batch, gone)
}

// startStep begins the next step unless one is going on or nothing is to be done.
func (e *engine) startStep(now time.Time) {
	if e.step || e.down {
		return
	}
	e.admit(now)
	if len(e.batch) == 0 {
		return
	}
	e.step = true
	left := e.spec.ChunkTokens
	read := make(map[*run]int)
	for _, r := range e.batch {
		n := min(r.unread, left)
		read[r], left = n, left-n
	}
	took := e.spec.StepMS + e.spec.StepMSPerRequest*float64(len(e.batch)) + float64(e.spec.ChunkTokens-left)/e.spec.TokensPerMS
	e.play.events.after(time.Duration(took*float64(time.Millisecond)), func(now time.Time) { e.endStep(read, now) })
}

// admit moves the most urgent waiting requests into the batch, and the newest of the
// least urgent ones out of it while the memory does not suffice.
func (e *engine) admit(now time.Time) {
	slices.SortStableFunc(e.queue, func(a, b *run) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), a.queued.Compare(b.queued))
	})
	for len(e.queue) > 0 && len(e.batch) < e.spec.Slots && e.kvTokens()+e.queue[0].prompt <= e.spec.KVTokens {
		e.batch = append(e.batch, e.queue[0])
		e.queue = e.queue[1:]
	}
	for len(e.batch) > 1 && e.kvTokens() > e.spec.KVTokens {
		last := 0
		for i, r := range e.batch {
			if r.priority >= e.batch[last].priority {
				last = i
			}
		}
		r := e.batch[last]
		r.unread, r.queued = r.prompt+r.made, now
		e.batch = slices.Delete(e.batch, last, last+1)
		e.queue = append(e.queue, r)
	}
}

func (e *engine) kvTokens() int {
	sum := 0
	for _, r := range e.batch {
		sum += r.prompt + r.made
	}
	return sum
}

// endStep gives each request that has been read its next token.
func (e *engine) endStep(read map[*run]int, now time.Time) {
	e.step = false
	if e.down {
		return
	}
	for _, r := range slices.Clone(e.batch) {
		n, inStep := read[r]
		if !inStep {
			continue
		}
		r.unread -= n
		if r.unread > 0 {
			continue
		}
		r.made++
		r.sinceEvent++
		last := r.made >= r.output
		if last {
			e.cancel(r)
		}
		if last || r.sinceEvent >= e.spec.TokensPerEvent {
			r.sinceEvent = 0
			r.onEvent(last)
		}
	}
	e.finishUnload(now)
	e.startStep(now)
}

// order carries out an order, or refuses it.
func (e *engine) order(o site.Order, now time.Time) site.OrderResult {
	if e.down {
		return site.OrderUnknown
	}
	_, loaded := e.Loaded[o.Model]
	if e.busy || o.ExpectedOrders != e.seq {
		return site.OrderConflict
	}
	if loaded == (o.Kind == site.Load) {
		return site.OrderAlreadyDone
	}
	e.seq++
	e.busy = true
	if o.Kind == site.Unload {
		e.unloading = o.Model
		for _, r := range slices.Clone(e.queue) {
			if r.model == o.Model {
				e.cancel(r)
				r.onEnd(false)
			}
		}
		e.play.events.after(ms(e.spec.UnloadMS), e.finishUnload)
		e.changed(now)
		return site.OrderAccepted
	}
	took := ms(e.spec.DiskMS)
	if !e.OnDisk[o.Model] {
		took = ms(e.spec.StoreMS)
	}
	started := e.StartedMs
	e.play.events.after(took, func(now time.Time) {
		if e.down || e.StartedMs != started {
			return
		}
		e.busy = false
		e.Loaded, e.OnDisk = maps.Clone(e.Loaded), maps.Clone(e.OnDisk)
		e.Loaded[o.Model], e.OnDisk[o.Model] = nil, true
		e.changed(now)
	})
	e.changed(now)
	return site.OrderAccepted
}

// finishUnload ends the unload that is going on once no run uses the model.
func (e *engine) finishUnload(now time.Time) {
	if e.unloading == "" || slices.ContainsFunc(e.batch, func(r *run) bool { return r.model == e.unloading }) {
		return
	}
	e.Loaded = maps.Clone(e.Loaded)
	delete(e.Loaded, e.unloading)
	e.unloading, e.busy = "", false
	e.changed(now)
}

// changed records what the engine reports from now on.
func (e *engine) changed(now time.Time) {
	e.report = append(e.report, reportAt{now, site.Report{AcceptedOrders: e.seq, Busy: e.busy, Loaded: e.Loaded, OnDisk: e.OnDisk}})
}

// reportNow returns the engine's report, which is as old as the scenario says.
func (e *engine) reportNow(now time.Time) site.Report {
	asOf := now.Add(-ms(e.spec.ReportLagMS))
	for len(e.report) > 1 && !e.report[1].at.After(asOf) {
		e.report = e.report[1:]
	}
	return e.report[0].report
}

// crash loses all requests and what is loaded, but not the disk.
func (e *engine) crash() {
	e.down, e.busy, e.unloading, e.seq = true, false, "", 0
	lost := slices.Concat(e.batch, e.queue)
	e.batch, e.queue = nil, nil
	e.Loaded = make(map[cardamom.ModelID][]string)
	for _, r := range lost {
		r.onEnd(true)
	}
}

// restart brings a crashed engine back.
func (e *engine) restart(now time.Time) {
	e.down, e.step = false, false
	e.StartedMs = now.UnixMilli()
	e.RegistrationSeq = 1
	e.told = told{leaving: make(map[*instance]time.Time)}
	e.report = nil
	e.changed(now)
}
