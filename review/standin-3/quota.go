package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// The bounds of the site with tenants.
const (
	quotaWindow   = 8 * time.Second
	quotaOverage  = 0.1
	quotaSlack    = 72000.0
	grace         = 8 * time.Second
	rollGap       = 2 * time.Second
	instances     = 6
	rolled        = 3
	tenantRate    = 1024253.0
	tenantBurst   = 1024253.0
	promptTokens  = 9190
	outputTokens  = 54
	requestTokens = promptTokens + outputTokens
	// offeredPerS is the tenant's load, three times what its quota allows.
	offeredPerS = 3 * tenantRate / requestTokens
	loadTime    = 14 * time.Second
	deadline    = 11 * time.Second
)

func siteFields(storeAddress string) map[string]any {
	return map[string]any{
		"limits.memoryMb": 284, "limits.cpuShare": 0.8, "limits.linkMbps": 1000.0, "platform.address": storeAddress,
		"bounds.leaseMs": 3000, "bounds.fencingEnforced": false, "bounds.graceS": 8, "bounds.configApplyMs": 3000, "bounds.revokeMs": 5000,
		"bounds.drainMs": 3000, "bounds.retryBudgetRatio": 0.2, "bounds.budgetWindowS": 10, "bounds.retryBudgetSlack": 216,
	}
}

func quotaConfig() map[string]any {
	models := []map[string]any{{"name": "m1", "weightsMb": 16100.0, "loadTimeS": 10.2, "adapters": 0, "adapterMb": 14.0, "warmupS": 0.27, "diskS": 0.35}}
	return map[string]any{
		"version": 7,
		"routes": []map[string]any{{
			"name": "r-1", "host": "ficu95.example", "pathPrefix": "/pufi791/", "kind": "streaming", "timeoutMs": 11000, "targetLatencyMs": 4000,
			"targetGapMs": 500, "priority": 2, "service": "models", "maxAttempts": 1, "anonymous": false, "sticky": true, "resumable": false,
		}},
		"services": []map[string]any{{"name": "models", "healthPath": "/health", "maxConnections": 780, "protocol": "h1", "tls": false, "engine": map[string]any{
			"slots": 48, "kvCapacityTokens": 179887, "stride": 6, "weightsMb": 83000.0, "adapterSlots": 8, "loadsPerS": 30.0, "models": models,
		}}},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": "hule930", "apiKeys": []string{"asnmgkcuyj8pjbvk9m68"}, "priority": 1, "unit": "tokens", "plainTokens": 200, "ratePerS": tenantRate, "burst": tenantBurst}},
	}
}

// leader returns the instance that last wrote to the store under a condition.
func leader(s *store, fronts []*front) *front {
	var lease struct {
		Holder   string `json:"holder"`
		Released bool   `json:"released"`
	}
	_ = json.Unmarshal(s.value("cardamom", "coordinator"), &lease)
	for _, f := range fronts {
		if f.name == lease.Holder && !lease.Released {
			return f
		}
	}
	return nil
}

type sent struct {
	at     time.Time
	status string
}

// playQuota lets a tenant ask for three times its quota while machines are stopped and started in
// turn, the leader each time, and counts the tokens that are both sent and run in each window.
func playQuota(r *record, folder string, trouble bool) (int, error) {
	s, err := startStore()
	if err != nil {
		return notPlayed, err
	}
	s.put("op", "config", quotaConfig())
	var runners []*runner
	for n := range 24 {
		server, err := startRunner(s, fmt.Sprintf("i-%02d", n+1), "models", 48, []string{"m1"})
		if err != nil {
			return notPlayed, err
		}
		runners = append(runners, server)
	}
	template, err := os.ReadFile("deploy/cardfront.jsonc.tmpl")
	if err != nil {
		return notPlayed, err
	}
	fronts, err := startFronts(instances, folder, string(template), siteFields(s.address))
	defer func() {
		for _, f := range fronts {
			f.kill()
		}
	}()
	if err != nil {
		return notPlayed, err
	}
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, f := range fronts {
			if f.isReady() {
				ready++
			}
		}
		if ready == instances && leader(s, fronts) != nil {
			break
		}
		if time.Now().After(end) {
			return notPlayed, fmt.Errorf("%d of %d instances are ready", ready, instances)
		}
	}
	time.Sleep(4 * time.Second)

	var mu sync.Mutex
	all := make(map[string]*sent)
	var group sync.WaitGroup
	began := time.Now()
	r.line("load begins: %.0f requests of %d tokens a second; the quota is %.0f tokens a second and %.0f at once", offeredPerS, requestTokens, tenantRate, tenantBurst)
	group.Go(func() {
		perS := offeredPerS
		pause := time.Duration(float64(time.Second) / perS)
		for n := 0; time.Since(began) < loadTime; n++ {
			time.Sleep(time.Until(began.Add(time.Duration(n) * pause)))
			id := fmt.Sprintf("%016x", rand.Uint64())
			group.Go(func() {
				entry := &sent{at: time.Now()}
				mu.Lock()
				all[id] = entry
				mu.Unlock()
				status := send(id, fronts)
				mu.Lock()
				entry.status = status
				mu.Unlock()
			})
		}
	})
	if trouble {
		time.Sleep(2 * time.Second)
		stopped := make(map[*front]bool)
		var rolls sync.WaitGroup
		for range rolled {
			f := leader(s, fronts)
			for end := time.Now().Add(time.Second); (f == nil || stopped[f]) && time.Now().Before(end); f = leader(s, fronts) {
				time.Sleep(20 * time.Millisecond)
			}
			if f == nil || stopped[f] {
				r.line("no machine that wasn't stopped yet leads; no further one is stopped")
				break
			}
			stopped[f] = true
			r.line("SIGTERM to %s, the leader", f.name)
			rolls.Go(func() {
				if err := f.restart(grace); err != nil {
					r.line("%s didn't start again: %v", f.name, err)
					return
				}
				r.line("%s was started again", f.name)
			})
			time.Sleep(rollGap)
		}
		rolls.Wait()
	}
	group.Wait()
	return judgeQuota(r, runners, all)
}

// send sends one request over a new connection to an instance drawn at random, another one if
// that can't be reached.
func send(id string, fronts []*front) string {
	for _, n := range rand.Perm(len(fronts))[:3] {
		body := strings.Repeat("a", 1400)
		request, err := http.NewRequest(http.MethodPost, "http://"+fronts[n].entry+"/pufi791/2f", strings.NewReader(body))
		if err != nil {
			return err.Error()
		}
		request.Host = "ficu95.example"
		request.GetBody = nil
		for name, value := range map[string]string{
			"Request-Id": id, "Model": "m1", "Key": "asnmgkcuyj8pjbvk9m68", "Token-Count": fmt.Sprintf("%d,%d", promptTokens, outputTokens),
			"Prompt-Prefix": fmt.Sprintf("5c1e07a2:6300,%s:2890", id[:8]), "Deadline-Ms": fmt.Sprint(deadline.Milliseconds()),
		} {
			request.Header.Set(name, value)
		}
		client := &http.Client{Timeout: deadline, Transport: &http.Transport{DisableKeepAlives: true}}
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

func judgeQuota(r *record, runners []*runner, all map[string]*sent) (int, error) {
	outcomes := make(map[string]int)
	for _, entry := range all {
		outcomes[entry.status]++
	}
	r.line("%d requests were sent; answers: %v", len(all), outcomes)
	type both struct{ sent, run time.Time }
	var list []both
	for _, server := range runners {
		for _, one := range server.runs {
			if entry, ok := all[one.id]; ok && one.tenant == "hule930" {
				list = append(list, both{entry.at, one.at})
			}
		}
	}
	r.line("%d requests of the tenant ran", len(list))
	allowed := (tenantRate*quotaWindow.Seconds()+tenantBurst)*(1+quotaOverage) + quotaSlack
	most, at := 0, time.Time{}
	for _, first := range list {
		from, to := first.sent, first.sent.Add(quotaWindow)
		tokens := 0
		for _, one := range list {
			if !one.sent.Before(from) && one.run.Before(to) {
				tokens += requestTokens
			}
		}
		if tokens > most {
			most, at = tokens, from
		}
	}
	if len(list) == 0 {
		return notPlayed, fmt.Errorf("nothing ran")
	}
	r.line("most tokens both sent and run in a window of %v: %d, in the one from %.3f s; allowed: %.0f", quotaWindow, most, at.Sub(r.began).Seconds(), allowed)
	for second := r.began; second.Before(time.Now()); second = second.Add(time.Second) {
		count := 0
		for _, one := range list {
			if !one.run.Before(second) && one.run.Before(second.Add(time.Second)) {
				count++
			}
		}
		if count > 0 {
			r.line("ran in the second from %.0f s: %d requests, %d tokens", second.Sub(r.began).Seconds(), count, count*requestTokens)
		}
	}
	if float64(most) > allowed {
		r.line("QUOTA is broken")
		return broken, nil
	}
	r.line("QUOTA held")
	return held, nil
}
