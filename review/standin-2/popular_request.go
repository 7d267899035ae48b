package main

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"
)

const (
	// recovery is the bound recoveryS.
	recovery = 12 * time.Second
	// popularRunners is so many that one of them is less than the share of 0.15 that may
	// crash at once.
	popularRunners = 7
)

// popularRequest plays clients that ask for the same page, two runners that crash one after the
// other, and all machines' processes that are killed at the same moment after that. No request
// crashes a runner: each has answered this page hundreds of times.
func popularRequest(log *record, trouble bool) (outcome, error) {
	folder, err := os.MkdirTemp("", "standin2")
	if err != nil {
		return outcome{}, err
	}
	defer os.RemoveAll(folder)
	platform, err := startStore()
	if err != nil {
		return outcome{}, err
	}
	platform.put("op", "config", plainConfig(3))
	var runners []*runner
	for n := range popularRunners {
		u, err := startRunner(platform, fmt.Sprintf("i-%08x", 0x7f3a91c2+n), "app", "127.0.0.1:0", 250*time.Millisecond, log)
		if err != nil {
			return outcome{}, err
		}
		runners = append(runners, u)
	}
	fronts, err := startFronts(3, platform.address, folder)
	defer func() {
		for _, f := range fronts {
			f.stop()
		}
	}()
	if err != nil {
		return outcome{}, err
	}
	one := func(client *http.Client, n int) answer {
		return send(context.Background(), client, http.MethodGet, fronts[n%len(fronts)].entry, "/safe/front-page", "", log)
	}
	var faults sync.WaitGroup
	var failed error
	if trouble {
		faults.Add(1)
		go func() {
			defer faults.Done()
			failed = crashInTurn(platform, runners, log)
		}()
	}
	before := load(36, 70*time.Millisecond, 11*time.Second, one)
	faults.Wait()
	if failed != nil {
		return outcome{}, failed
	}
	if trouble {
		log.add("all processes are killed")
		for _, f := range fronts {
			f.stop()
		}
		time.Sleep(time.Second)
		for _, f := range fronts {
			if err := f.restart(folder); err != nil {
				return outcome{}, err
			}
		}
		log.add("the machines are back")
	}
	time.Sleep(recovery)
	after := load(36, 70*time.Millisecond, 10*time.Second, one)
	sBefore, sAfter := served(before), served(after)
	log.add("before the final fault %d of %d served, later than %s after the machines were back %d of %d", sBefore, len(before), recovery, sAfter, len(after))
	if 4*sBefore >= len(before) && 4*sAfter < len(after) {
		return outcome{broken: fmt.Sprintf("RECOVER: %d of %d requests served later than %s after the machines were back, %d of %d before", sAfter, len(after), recovery, sBefore, len(before))}, nil
	}
	return outcome{}, nil
}

// crashInTurn crashes two runners that have requests in flight, each of which is back after some
// seconds as a new one.
func crashInTurn(platform *store, runners []*runner, log *record) error {
	for n, at := range []time.Duration{4 * time.Second, 1400 * time.Millisecond} {
		time.Sleep(at)
		u := slices.MaxFunc(runners, func(a, b *runner) int { return cmp.Compare(a.inFlight(), b.inFlight()) })
		log.add("crash runner=%s requests in flight=%d", u.id, u.inFlight())
		u.crash()
		runners = slices.DeleteFunc(slices.Clone(runners), func(other *runner) bool { return other == u })
		time.Sleep(3 * heartbeat)
		platform.remove("servers", u.id)
		next, err := startRunner(platform, fmt.Sprintf("%s-%d", u.id[:8], n), u.service, u.address, u.work, log)
		if err != nil {
			return err
		}
		log.add("runner %s is back as %s", u.id, next.id)
	}
	return nil
}

// served returns how many answers are those of runners.
func served(answers []answer) int {
	count := 0
	for _, a := range answers {
		if a.status == http.StatusOK && a.sealed && a.whole {
			count++
		}
	}
	return count
}
