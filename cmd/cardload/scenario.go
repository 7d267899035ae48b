package main

import (
	_ "embed"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"

	"cardamomcourse.example/cardamom/conf"
	"cardamomcourse.example/cardamom/fakes"
	"cardamomcourse.example/cardamom/fakes/fleet"
)

//go:embed schema.json
var schema []byte

// scenario is the description of one experiment: a deployment, load and faults.
type scenario struct {
	wire       scenarioWire
	deployment *fleet.Deployment
}

type scenarioWire struct {
	Deployment string         `json:"deployment"`
	Proxied    bool           `json:"proxied"`
	Seed       uint64         `json:"seed"`
	LimitS     int64          `json:"limit_s"`
	Settings   map[string]any `json:"settings"`
	Load       []loadWire     `json:"load"`
	Faults     []faultWire    `json:"faults"`
}

// loadWire is a series of similar requests.
type loadWire struct {
	Name        string   `json:"name"`
	Count       int      `json:"count"`
	StartMS     int64    `json:"start_ms"`
	OverMS      int64    `json:"over_ms"`
	Models      []string `json:"models"`
	Skew        float64  `json:"skew"`
	Service     string   `json:"service"`
	Path        string   `json:"path"`
	Method      string   `json:"method"`
	Tokens      int      `json:"tokens"`
	StreamShare float64  `json:"stream_share"`
	Keyed       bool     `json:"keyed"`
	Resends     int      `json:"resends"`
	DeadlineMS  int64    `json:"deadline_ms"`
	Priority    int      `json:"priority"`
}

// faultWire is a fault that is injected once, or Times times.
type faultWire struct {
	AtMS    int64             `json:"at_ms"`
	EveryMS int64             `json:"every_ms"`
	Times   int               `json:"times"`
	Do      string            `json:"do"`
	Target  string            `json:"target"`
	Factor  float64           `json:"factor"`
	Proxy   []fakes.Fault     `json:"proxy"`
	Table   fakes.TableFaults `json:"table"`
	List    fakes.ListFaults  `json:"list"`
}

// Defaults of a scenario: the time limit of a run, the deadline of a request and the
// number of tokens of an answer.
const (
	defaultTimeout  = 300 * time.Second
	defaultDeadline = 30 * time.Second
	defaultTokens   = 16
)

func loadScenario(path string) (*scenario, error) {
	body, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "read scenario")
	}
	s := &scenario{}
	if _, err := conf.Decode(path, body, schema, &s.wire); err != nil {
		return nil, err
	}
	s.deployment, err = fleet.Load(filepath.Join(filepath.Dir(path), s.wire.Deployment))
	return s, err
}

// limit returns the time limit of a run.
func (s *scenario) limit() time.Duration {
	if s.wire.LimitS > 0 {
		return time.Duration(s.wire.LimitS) * time.Second
	}
	return defaultTimeout
}

func (l loadWire) deadline() time.Duration {
	if l.DeadlineMS > 0 {
		return time.Duration(l.DeadlineMS) * time.Millisecond
	}
	return defaultDeadline
}
