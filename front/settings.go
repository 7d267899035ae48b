package front

import (
	_ "embed"
	"net"
	"os"
	"time"

	"github.com/rotisserie/eris"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/conf"
	"cardamomcourse.example/cardamom/coord"
	"cardamomcourse.example/cardamom/plan"
	"cardamomcourse.example/cardamom/retry"
)

//go:embed schema.json
var schema []byte

const (
	// Defaults of optional settings.
	defaultLeaseMS  = 3000
	defaultGraceMS  = 8000
	defaultTTLMS    = 2000
	defaultRatio    = 0.2
	defaultWindowMS = 10000
	defaultSlack    = 20
	defaultMemoryMB = 256
	defaultLevel    = "info"

	// Below weakProcessorCores or weakLinkMbps an instance is too weak to answer
	// many instances as coordinator.
	weakProcessorCores = 0.35
	weakLinkMbps       = 40
	// weakTakeoverDelay is the takeover delay of a weak instance.
	weakTakeoverDelay = 1500 * time.Millisecond
)

// Settings are the checked settings of one instance.
type Settings struct {
	instance       cardamom.InstanceID
	dataCentre     cardamom.DataCentre
	store          string
	seeds          []string
	listen         Listen
	memoryBytes    int64
	processorCores float64
	linkMbps       float64
	logLevel       string
	lease          time.Duration
	fencesChecked  bool
	grace          time.Duration
	addressTTL     time.Duration
	retries        retry.Limits
	profiles       coord.Profiles
}

// Listen has the host:port addresses on which an instance listens.
type Listen struct {
	// Entry serves callers' requests, Addresses the list of entry addresses,
	// Ready readiness checks and Sync the calls of other instances.
	Entry     string
	Addresses string
	Ready     string
	Sync      string
	// Metrics serves the metrics; empty disables it.
	Metrics string
}

// Instance returns the instance's ID.
func (s *Settings) Instance() cardamom.InstanceID { return s.instance }

// Listen returns the addresses to listen on.
func (s *Settings) Listen() Listen { return s.listen }

// LogLevel returns the lowest level that is logged.
func (s *Settings) LogLevel() string { return s.logLevel }

// TakeoverDelay returns how long after its start, and after losing its coordinator,
// this instance leaves the lease to others: one with a weak processor or link is a
// poor coordinator.
func (s *Settings) TakeoverDelay() time.Duration {
	if (s.processorCores > 0 && s.processorCores < weakProcessorCores) || (s.linkMbps > 0 && s.linkMbps < weakLinkMbps) {
		return weakTakeoverDelay
	}
	return 0
}

// Profiles returns the planning profiles of the services.
func (s *Settings) Profiles() coord.Profiles { return s.profiles }

// Memory returns the memory limit of the process in bytes.
func (s *Settings) Memory() int64 { return s.memoryBytes }

type settingsWire struct {
	Instance   string   `json:"instance"`
	DataCentre string   `json:"data_centre"`
	Store      string   `json:"store"`
	Seeds      []string `json:"seeds"`
	MemoryMB   float64  `json:"memory_mb"`
	Processor  float64  `json:"processor_cores"`
	LinkMbps   float64  `json:"link_mbps"`
	LogLevel   string   `json:"log_level"`
	Listen     struct {
		Entry     string `json:"entry"`
		Ready     string `json:"ready"`
		Addresses string `json:"addresses"`
		Sync      string `json:"sync"`
		Metrics   string `json:"metrics"`
	} `json:"listen"`
	LeaseMS       float64 `json:"lease_ms"`
	FencesChecked bool    `json:"fences_checked"`
	GraceMS       float64 `json:"grace_ms"`
	AddressTTLMS  float64 `json:"address_ttl_ms"`
	Retries       struct {
		Ratio    float64 `json:"ratio"`
		WindowMS float64 `json:"window_ms"`
		Slack    float64 `json:"slack"`
	} `json:"retries"`
	Profiles map[string]profileWire `json:"profiles"`
	// Services maps services to profile names; "*" applies to all others.
	Services map[string]string `json:"services"`
}

// profileWire is a profile whose missing fields default to plan.DefaultProfile.
type profileWire struct {
	ReplicaTokens     *float64 `json:"copy_tokens_per_s"`
	ReplicaRunning    *float64 `json:"copy_running"`
	SecondReplicaRate *float64 `json:"second_copy_per_s"`
	ScarceReplicaRate *float64 `json:"scarce_second_copy_per_s"`
	MaxReplicas       *int     `json:"most_copies"`
}

func (p profileWire) profile() plan.Profile {
	profile := plan.DefaultProfile
	for _, field := range []struct {
		target   *float64
		override *float64
	}{
		{&profile.ReplicaTokens, p.ReplicaTokens},
		{&profile.ReplicaRunning, p.ReplicaRunning},
		{&profile.SecondReplicaRate, p.SecondReplicaRate},
		{&profile.ScarceReplicaRate, p.ScarceReplicaRate},
	} {
		if field.override != nil {
			*field.target = *field.override
		}
	}
	if p.MaxReplicas != nil {
		profile.MaxReplicas = *p.MaxReplicas
	}
	return profile
}

// wildcardService is the key for all services without an entry of their own.
const wildcardService = "*"

// decodeProfiles returns the profiles and records a fault for each service whose
// profile doesn't exist.
func decodeProfiles(wire settingsWire, source *conf.Source) coord.Profiles {
	profiles := coord.Profiles{Named: make(map[string]plan.Profile), Services: make(map[cardamom.ServiceID]string), Default: wire.Services[wildcardService]}
	for name, profile := range wire.Profiles {
		profiles.Named[name] = profile.profile()
	}
	for service, name := range wire.Services {
		if _, ok := wire.Profiles[name]; !ok {
			source.Faultf([]string{"services", service}, "there is no profile %q", name)
		}
		profiles.Services[cardamom.ServiceID(service)] = name
	}
	return profiles
}

// Load reads and checks a settings file.
func Load(path string) (*Settings, error) {
	body, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "read settings")
	}
	return Parse(path, body)
}

// Parse checks the content of a settings file. The error lists each faulty key
// with the file name and line.
func Parse(name string, body []byte) (*Settings, error) {
	wire := settingsWire{LeaseMS: defaultLeaseMS, GraceMS: defaultGraceMS, AddressTTLMS: defaultTTLMS, MemoryMB: defaultMemoryMB, LogLevel: defaultLevel}
	wire.Retries.Ratio, wire.Retries.WindowMS, wire.Retries.Slack = defaultRatio, defaultWindowMS, defaultSlack
	source, err := conf.Decode(name, body, schema, &wire)
	if err != nil {
		return nil, err
	}
	listen := map[string]string{"entry": wire.Listen.Entry, "ready": wire.Listen.Ready, "addresses": wire.Listen.Addresses, "sync": wire.Listen.Sync}
	if wire.Listen.Metrics != "" {
		listen["metrics"] = wire.Listen.Metrics
	}
	for key, address := range listen {
		if _, _, err := net.SplitHostPort(address); err != nil {
			source.Faultf([]string{"listen", key}, "must be host:port, got %q", address)
		}
	}
	if _, _, err := net.SplitHostPort(wire.Store); err != nil {
		source.Faultf([]string{"store"}, "must be host:port, got %q", wire.Store)
	}
	profiles := decodeProfiles(wire, source)
	if err := source.Err(); err != nil {
		return nil, err
	}
	return &Settings{
		profiles: profiles,
		instance: cardamom.InstanceID(wire.Instance), dataCentre: cardamom.DataCentre(wire.DataCentre), store: wire.Store, seeds: wire.Seeds,
		listen:      Listen{Entry: wire.Listen.Entry, Ready: wire.Listen.Ready, Addresses: wire.Listen.Addresses, Sync: wire.Listen.Sync, Metrics: wire.Listen.Metrics},
		memoryBytes: int64(wire.MemoryMB * (1 << 20)), processorCores: wire.Processor, linkMbps: wire.LinkMbps, logLevel: wire.LogLevel,
		lease: milliseconds(wire.LeaseMS), fencesChecked: wire.FencesChecked, grace: milliseconds(wire.GraceMS), addressTTL: milliseconds(wire.AddressTTLMS),
		retries: retry.Limits{Ratio: wire.Retries.Ratio, Window: milliseconds(wire.Retries.WindowMS), Slack: wire.Retries.Slack},
	}, nil
}

func milliseconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Millisecond))
}
