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

// Weights is the weight store. It limits the rate of new transfers, and once
// there are more transfers than full-speed streams, they share the bandwidth.
type Weights struct {
	mu          sync.Mutex
	active      int
	peak        int
	started     int64
	speedFactor float64
	streams     int
	speed       float64
	starts      *rate.Limiter
}

// NewWeights returns a store that starts up to startsPerSecond transfers a second
// and gives mbPerSecond to each of up to streams transfers.
func NewWeights(startsPerSecond float64, streams int, mbPerSecond float64) *Weights {
	return &Weights{
		speedFactor: 1, streams: streams, speed: mbPerSecond,
		starts: rate.NewLimiter(rate.Limit(startsPerSecond), max(int(startsPerSecond), 1)),
	}
}

// SetSpeedFactor sets the factor by which the speed of all transfers is multiplied.
func (s *Weights) SetSpeedFactor(factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.speedFactor = factor
}

// Fetch waits for as long as a transfer of mb megabytes takes.
func (s *Weights) Fetch(ctx context.Context, mb float64) error {
	if err := s.starts.Wait(ctx); err != nil {
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

func (s *Weights) rate() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	share := 1.0
	if s.active > s.streams {
		share = float64(s.streams) / float64(s.active)
	}
	return s.speed * s.speedFactor * share
}

// WeightsCounts counts the transfers started and their peak concurrency.
type WeightsCounts struct {
	Started int64 `json:"started"`
	Peak    int   `json:"peak"`
}

// Counts returns the transfers so far.
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
