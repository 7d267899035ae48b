package simul

import (
	_ "embed"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"cardamomcourse.example/cardamom/conf"
)

//go:embed schema.json
var schema []byte

// Scenario is a deployment, the load on it and its faults.
type Scenario struct {
	wire scenarioWire
}

type scenarioWire struct {
	Seed uint64 `json:"seed"`
	// LengthMS is how long callers send requests.
	LengthMS  int64       `json:"length_ms"`
	Instances int         `json:"instances"`
	Engines   engineWire  `json:"engines"`
	Models    []modelWire `json:"models"`
	Kinds     []kindWire  `json:"kinds"`
	Shifts    []shiftWire `json:"shifts"`
	Faults    []faultWire `json:"faults"`
}

// engineWire describes the engines, which are all alike.
type engineWire struct {
	Count    int     `json:"count"`
	Slots    int     `json:"slots"`
	MemoryMB float64 `json:"memory_mb"`
	// KVTokens is the memory for the tokens of running requests.
	KVTokens int `json:"kv_tokens"`
	// StepMS is how long one token of all running requests takes, StepMSPerRequest
	// what each of them adds.
	StepMS           float64 `json:"step_ms"`
	StepMSPerRequest float64 `json:"step_ms_per_request"`
	// TokensPerMS is how many prompt tokens are read in a millisecond, ChunkTokens how
	// many at most between two tokens of running requests.
	TokensPerMS    float64 `json:"tokens_per_ms"`
	ChunkTokens    int     `json:"chunk_tokens"`
	TokensPerEvent int     `json:"tokens_per_event"`
	ReportLagMS    int64   `json:"report_lag_ms"`
	UnloadMS       int64   `json:"unload_ms"`
	DiskMS         int64   `json:"disk_ms"`
	StoreMS        int64   `json:"store_ms"`
	StorePerSecond float64 `json:"store_per_s"`
	// DiskModels is how many further models an engine has on disk at the start.
	DiskModels int `json:"disk_models"`
}

// modelWire is a group of models with consecutive numbers.
type modelWire struct {
	Count  int     `json:"count"`
	SizeMB float64 `json:"size_mb"`
	// Replicas is how many replicas each has at the start.
	Replicas int `json:"replicas"`
}

// kindWire is a kind of request.
type kindWire struct {
	Name      string  `json:"name"`
	PerSecond float64 `json:"per_s"`
	// Models are the first and last number of the models that are asked for, Skew how
	// much more often a model is asked for than the next: 0 is equally often.
	Models [2]int  `json:"models"`
	Skew   float64 `json:"skew"`
	// Prompt and Output are mean sizes in tokens, with the standard deviation of the
	// logarithm.
	Prompt       float64 `json:"prompt"`
	PromptSpread float64 `json:"prompt_spread"`
	Output       float64 `json:"output"`
	OutputSpread float64 `json:"output_spread"`
	TargetMS     int64   `json:"target_ms"`
	GapMS        int64   `json:"gap_ms"`
	DeadlineMS   int64   `json:"deadline_ms"`
	Priority     int     `json:"priority"`
	// Returns is how often a caller comes back after a refusal.
	Returns int `json:"returns"`
	// Bursts are times in which the kind comes more often.
	Bursts []burstWire `json:"bursts"`
}

type burstWire struct {
	FromMS int64   `json:"from_ms"`
	ToMS   int64   `json:"to_ms"`
	Factor float64 `json:"factor"`
}

// shiftWire moves the demand of all kinds with a skew on to other models: the busiest
// models fall silent and the next in their range rise.
type shiftWire struct {
	AtMS   int64 `json:"at_ms"`
	Places int   `json:"places"`
}

// faultWire is something that happens to engines or instances.
type faultWire struct {
	AtMS int64 `json:"at_ms"`
	// Do is "crash" (engines lose what they hold and run, and return after ForMS),
	// "leave" (engines say so in their answers, are listed as leaving after ListedAfterMS
	// and are gone after ForMS), "restart" (all instances lose their requests and what they
	// learned, and are back after ForMS), "limit" (engines name the rate limit PerSecond for
	// ForMS), or "wait" (engines turn requests away for ForMS and ask for a wait of WaitMS).
	Do    string `json:"do"`
	Count int    `json:"count"`
	ForMS int64  `json:"for_ms"`
	// PerSecond is a rate limit in requests a second.
	PerSecond     float64 `json:"per_s"`
	WaitMS        int64   `json:"wait_ms"`
	ListedAfterMS int64   `json:"listed_after_ms"`
}

// Load reads a scenario file in JSON with comments.
func Load(path string) (*Scenario, error) {
	body, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "read scenario")
	}
	s := &Scenario{}
	if _, err := conf.Decode(path, body, schema, &s.wire); err != nil {
		return nil, err
	}
	total := 0
	for _, m := range s.wire.Models {
		total += m.Count
	}
	for _, k := range s.wire.Kinds {
		if k.Models[0] > k.Models[1] || k.Models[1] >= total {
			return nil, eris.Errorf("%s: kind %q asks for models %d to %d, but there are models 0 to %d", path, k.Name, k.Models[0], k.Models[1], total-1)
		}
	}
	return s, nil
}

// Seed returns the seed of the scenario file.
func (s *Scenario) Seed() uint64 { return s.wire.Seed }

func ms(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
