package fakes

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"cardamomcourse.example/cardamom/sleep"
)

// transferStep is the interval at which a transfer's progress is computed.
const transferStep = 5 * time.Millisecond

// Weights is a fake of the platform's weight store, from which engines fetch
// checkpoints. It limits the rate at which transfers start. Up to a number of
// concurrent transfers, each has the full speed; beyond that number, they share
// the bandwidth of that many transfers equally.
type Weights struct {
	mu sync.Mutex
	// active is the number of transfers that are running.
	active int
	// peak is the maximum of active so far.
	peak        int
	started     int64
	speedFactor float64
	// fullSpeedStreams is how many concurrent transfers have the full speed,
	// streamMBPerSec.
	fullSpeedStreams int
	streamMBPerSec   float64
	startLimiter     *rate.Limiter
}

// NewWeights returns a store that starts up to startsPerSecond transfers a second.
// Each has the speed mbPerSecond as long as no more than streams transfers run at
// the same time.
func NewWeights(startsPerSecond float64, streams int, mbPerSecond float64) *Weights {
	return &Weights{
		speedFactor: 1, fullSpeedStreams: streams, streamMBPerSec: mbPerSecond,
		startLimiter: rate.NewLimiter(rate.Limit(startsPerSecond), max(int(startsPerSecond), 1)),
	}
}

// SetSpeedFactor sets the factor by which the speed of all transfers is multiplied.
func (s *Weights) SetSpeedFactor(factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.speedFactor = factor
}

// Fetch waits until a transfer may start and then for as long as a transfer of mb
// megabytes takes.
func (s *Weights) Fetch(ctx context.Context, mb float64) error {
	if err := s.startLimiter.Wait(ctx); err != nil {
		return err
	}
	s.mu.Lock()
	s.active++
	s.started++
	s.peak = max(s.peak, s.active)
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.active--
		s.mu.Unlock()
	}()
	last := time.Now()
	for mb > 0 {
		if !sleep.For(ctx, transferStep) {
			return ctx.Err()
		}
		now := time.Now()
		mb -= s.rate() * now.Sub(last).Seconds()
		last = now
	}
	return nil
}

// rate returns the present speed of each transfer in MB per second.
func (s *Weights) rate() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	share := 1.0
	if s.active > s.fullSpeedStreams {
		share = float64(s.fullSpeedStreams) / float64(s.active)
	}
	return s.streamMBPerSec * s.speedFactor * share
}

// WeightsCounts are the counts of transfers so far.
type WeightsCounts struct {
	// Started is how many transfers have started.
	Started int64 `json:"started"`
	// Peak is the largest number of concurrent transfers.
	Peak int `json:"peak"`
}

// Counts returns the counts of the transfers so far.
func (s *Weights) Counts() WeightsCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return WeightsCounts{Started: s.started, Peak: s.peak}
}

// Handler returns the store's HTTP interface.
func (s *Weights) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /fetch", func(w http.ResponseWriter, r *http.Request) {
		mb, err := strconv.ParseFloat(r.URL.Query().Get("mb"), 64)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if err := s.Fetch(r.Context(), mb); err != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("POST /slow", func(w http.ResponseWriter, r *http.Request) {
		factor, err := strconv.ParseFloat(r.URL.Query().Get("factor"), 64)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.SetSpeedFactor(factor)
	})
	mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Counts()) })
	return mux
}
