package policy

// documentWire is the JSON form of a document.
type documentWire struct {
	Profiles map[string]profileWire `json:"profiles"`
	Services map[string]serviceWire `json:"services"`
	Models   map[string]modelWire   `json:"models"`
}

type profileWire struct {
	Extends     string  `json:"extends"`
	Priority    *int    `json:"priority"`
	Replicas    *int    `json:"replicas"`
	DataCentres *int    `json:"places"`
	DeadlineMS  *int64  `json:"deadline_ms"`
	Keep        *string `json:"keep"`
	KeepMS      *int64  `json:"keep_ms"`
	MinWarm     *int    `json:"min_warm"`
	Queue       *int    `json:"queue"`
	CallerLimit *int    `json:"caller_limit"`
	Idempotent  *bool   `json:"idempotent"`
}

type serviceWire struct {
	Kind           string   `json:"kind"`
	DataCentres    []string `json:"places"`
	CellsPerPlace  int      `json:"cells_per_place"`
	Fencing        bool     `json:"fencing"`
	EngineMemoryMB int      `json:"runner_memory_mb"`
	LoadStreams    int      `json:"load_streams"`
	Profile        string   `json:"profile"`
}

type modelWire struct {
	Service      string `json:"service"`
	Profile      string `json:"profile"`
	Base         string `json:"base"`
	MemoryMB     int    `json:"memory_mb"`
	CheckpointMB int    `json:"checkpoint_mb"`
}
