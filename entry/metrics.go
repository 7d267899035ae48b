package entry

import (
	"expvar"

	cardamom "cardamomcourse.example/cardamom"
)

// Metrics are the expvar counters of one instance. They are not published
// globally, so that a process can run several instances.
type Metrics struct {
	all      *expvar.Map
	outcomes *expvar.Map
	reasons  *expvar.Map
	attempts *expvar.Int
	events   *expvar.Int
}

// NewMetrics returns counters at zero. The functions give further values, evaluated
// at each read.
func NewMetrics(functions map[string]func() any) *Metrics {
	m := &Metrics{
		all: new(expvar.Map).Init(), outcomes: new(expvar.Map).Init(), reasons: new(expvar.Map).Init(),
		attempts: new(expvar.Int), events: new(expvar.Int),
	}
	m.all.Set("outcomes", m.outcomes)
	m.all.Set("reasons", m.reasons)
	m.all.Set("tries", m.attempts)
	m.all.Set("stream_events", m.events)
	for name, function := range functions {
		m.all.Set(name, expvar.Func(function))
	}
	return m
}

// Count counts a finished request by outcome and, if there is one, reason.
func (m *Metrics) Count(outcome cardamom.Outcome, reason cardamom.Reason) {
	m.outcomes.Add(outcome.String(), 1)
	if reason != "" {
		m.reasons.Add(string(reason), 1)
	}
}

// String returns all metrics as JSON.
func (m *Metrics) String() string { return m.all.String() }
