package quota_test

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cardamomcourse.example/cardamom/quota"
)

//go:embed testdata/gate.json
var gateScripts []byte

//go:embed testdata/share.json
var shareScripts []byte

// allowance is how many requests an upstream with a limit may get within 4 s.
func allowance(perSecond float64) float64 { return 4*perSecond*1.5 + 5 }

// most returns the greatest number of times within 4 s.
func most(times []time.Time) int {
	greatest, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) >= 4*time.Second {
			first++
		}
		greatest = max(greatest, i-first+1)
	}
	return greatest
}

// demanded is the demand for one upstream and what happens to the gate.
type demanded struct {
	Name    string  `json:"name"`
	Limit   float64 `json:"limit"`
	ForS    int     `json:"for_s"`
	EveryMS int64   `json:"every_ms"`
	// Burst is how many requests come at once each PauseMS; without it, one comes each
	// EveryMS.
	Burst   int   `json:"burst"`
	PauseMS int64 `json:"pause_ms"`
	// ReplaceMS is after how long a new gate replaces the old one.
	ReplaceMS int64   `json:"replace_ms"`
	Then      float64 `json:"then"`
	ThenS     int     `json:"then_s"`
	Least     int     `json:"least"`
}

var _ = Describe("the gate", func() {
	began := time.Unix(1000, 0)
	var scripts []demanded
	if err := json.Unmarshal(gateScripts, &scripts); err != nil {
		panic(err)
	}
	for _, script := range scripts {
		It(script.Name, func() {
			gate := quota.NewGate()
			limit := quota.Limit{Upstream: "u", StartedMs: 1, PerSecond: script.Limit}
			var granted []time.Time
			for ms := int64(0); ms < int64(script.ForS)*1000; ms += script.EveryMS {
				now := began.Add(time.Duration(ms) * time.Millisecond)
				if script.ReplaceMS > 0 && ms%script.ReplaceMS == 0 {
					gate = quota.NewGate()
				}
				if script.ThenS > 0 && ms == int64(script.ThenS)*1000 {
					limit.PerSecond = script.Then
				}
				requests := 1
				if script.Burst > 0 {
					requests = 0
					if ms%script.PauseMS == 0 {
						requests = script.Burst
					}
				}
				for range requests {
					if ok, _ := gate.Grant(limit, now); ok {
						granted = append(granted, now)
					}
				}
			}
			Expect(float64(most(granted))).To(BeNumerically("<=", allowance(script.Limit)))
			Expect(len(granted)).To(BeNumerically(">=", script.Least))
		})
	}

	It("tells how long a request waits behind others", func() {
		gate := quota.NewGate()
		limit := quota.Limit{Upstream: "u", PerSecond: 2}
		Expect(gate.Wait(limit, 0, began)).To(Equal(500 * time.Millisecond))
		Expect(gate.Wait(limit, 3, began)).To(Equal(2 * time.Second))
		Expect(gate.Wait(limit, 0, began.Add(time.Second))).To(BeZero())
	})

	It("begins anew when the upstream starts again, and when its limit was dropped", func() {
		gate := quota.NewGate()
		limit := quota.Limit{Upstream: "u", StartedMs: 1, PerSecond: 1}
		gate.Wait(limit, 0, began)
		limit.StartedMs = 2
		granted, _ := gate.Grant(limit, began.Add(2*time.Second))
		Expect(granted).To(BeFalse())
	})

	It("permits the most urgent request first, and every fourth time the oldest", func() {
		waiting := []quota.Waiting{{Urgency: 5, Since: began}, {Urgency: 0, Since: began.Add(2 * time.Second)}, {Urgency: 0, Since: began.Add(time.Second)}}
		Expect(quota.Next(waiting, false)).To(Equal(2))
		Expect(quota.Next(waiting, true)).To(Equal(0))
		Expect(quota.Ahead(waiting, quota.Waiting{Urgency: 0, Since: began.Add(3 * time.Second)})).To(Equal(2))
		Expect(quota.Ahead(waiting, quota.Waiting{Urgency: 9, Since: began})).To(Equal(3))
		gate := quota.NewGate()
		limit := quota.Limit{Upstream: "u", PerSecond: 1}
		oldest := 0
		for second := range 41 {
			if ok, turn := gate.Grant(limit, began.Add(time.Duration(second)*time.Second)); ok && turn {
				oldest++
			}
		}
		Expect(oldest).To(Equal(10))
	})
})

var _ = Describe("the shares without a coordinator", func() {
	began := time.Unix(1000, 0)
	var scripts []struct {
		Name      string  `json:"name"`
		Limit     float64 `json:"limit"`
		Instances int     `json:"instances"`
		Members   int     `json:"members"`
		// RestartS is after how many seconds the instances start again.
		RestartS int  `json:"restart_s"`
		EveryMS  int  `json:"every_ms"`
		None     bool `json:"none"`
	}
	if err := json.Unmarshal(shareScripts, &scripts); err != nil {
		panic(err)
	}
	for _, script := range scripts {
		It(script.Name, func() {
			random := rand.New(rand.NewPCG(7, 7))
			shares := make([]*quota.Share, script.Instances)
			limit := quota.Limit{Upstream: "u", StartedMs: 1, PerSecond: script.Limit}
			var granted []time.Time
			for ms := 0; ms < 60000; ms += max(script.EveryMS, 20) {
				now := began.Add(time.Duration(ms) * time.Millisecond)
				for i := range shares {
					if shares[i] == nil || script.RestartS > 0 && ms%(script.RestartS*1000) == 0 {
						shares[i] = quota.NewShare(random.Float64)
					}
					if shares[i].Allow(limit, script.Members, now) {
						granted = append(granted, now)
					}
				}
			}
			Expect(float64(most(granted))).To(BeNumerically("<=", allowance(script.Limit)), fmt.Sprint(len(granted)))
			if script.None {
				Expect(granted).To(BeEmpty())
			} else {
				Expect(granted).NotTo(BeEmpty())
			}
		})
	}
})
