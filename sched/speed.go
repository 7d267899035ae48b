package sched

import (
	"time"

	cardamom "cardamomcourse.example/cardamom"
)

const (
	// learnTokens is the size of the smallest prompt from which a speed is learned: the
	// tokens of the first event take as long as a shorter prompt.
	learnTokens = 1500
	// speedWeight is the weight of the newest sample in the moving average.
	speedWeight = 0.2
	// maxDeviation bounds a sample as a factor of the expected cost.
	maxDeviation = 2
	// minSpeed and maxSpeed bound the speed in tokens per millisecond. Cached parts of
	// prompts make engines look faster than they read.
	minSpeed = 5
	maxSpeed = 200
)

// speeds are the prompt tokens that an engine reads in a millisecond, by model.
type speeds struct {
	first  float64
	models map[cardamom.ModelID]float64
}

func newSpeeds(first float64) speeds {
	return speeds{first: min(max(first, minSpeed), maxSpeed), models: make(map[cardamom.ModelID]float64)}
}

func (s speeds) of(model cardamom.ModelID) float64 {
	if speed, ok := s.models[model]; ok {
		return speed
	}
	return s.first
}

// cost returns how long the engine reads a prompt.
func (s speeds) cost(model cardamom.ModelID, tokens int) time.Duration {
	return time.Duration(float64(max(tokens, 0)) / s.of(model) * float64(time.Millisecond))
}

// observe records how long a prompt took that was expected to take another time.
func (s speeds) observe(model cardamom.ModelID, tokens int, expected, observed time.Duration) {
	if tokens < learnTokens || expected <= 0 {
		return
	}
	observed = min(max(observed, expected/maxDeviation), expected*maxDeviation)
	sample := float64(tokens) / (float64(observed) / float64(time.Millisecond))
	speed := s.of(model)
	s.models[model] = min(max(speed+speedWeight*(sample-speed), minSpeed), maxSpeed)
}
