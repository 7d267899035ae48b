package front

import (
	_ "embed"
	"net"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/conf"
	"cardamomcourse.example/cardamom/coord"
	"cardamomcourse.example/cardamom/plan"
	"cardamomcourse.example/cardamom/poison"
	"cardamomcourse.example/cardamom/retry"
)

//go:embed schema.json
var schema []byte

const (
	// Defaults of optional settings, which are explained at the fields of Settings
	// and, for retries, of settingsWire.
	defaultLeaseMS       = 3000
	defaultGraceMS       = 8000
	defaultAddressTTLMS  = 2000
	defaultChangeMS      = 2000
	defaultRetryRatio    = 0.2
	defaultRetryWindowMS = 10000
	defaultRetrySlack    = 20
	defaultMemoryMB      = 256
	defaultLogLevel      = "info"

	// With fewer processor cores than weakProcessorCores, or a network link slower
	// than weakLinkMbps, an instance is too weak to answer many other instances as
	// coordinator: the instance that holds the lease and plans all loads.
	weakProcessorCores = 0.35
	weakLinkMbps       = 40
	// listLinkShare is the share of the network link that lists of upstreams may take, and
	// listEntryBytes the size of an upstream there.
	listLinkShare  = 0.25
	listEntryBytes = 64
	// weakTakeoverDelay is how long a weak instance waits, after its start and after
	// the coordinator is lost, before it tries to take the lease.
	weakTakeoverDelay = 1500 * time.Millisecond
)

// Settings are the checked settings of one instance.
type Settings struct {
	instance   cardamom.InstanceID
	dataCentre cardamom.DataCentre
	// store is the address of the platform's store.
	store string
	// seeds are sync addresses of instances, which this one contacts while it knows
	// no coordinator.
	seeds  []string
	listen Listen
	// source is the address from which connections to upstreams are made, nil for any.
	source net.IP
	// memoryBytes is the memory limit of the process.
	memoryBytes int64
	// processorCores is how many cores the process may use, 0 if unknown.
	processorCores float64
	// linkMbps is the speed of the instance's network link in Mbit/s, 0 if unknown.
	linkMbps float64
	logLevel string
	// lease is how long the coordinator's lease lasts unless it is renewed.
	lease time.Duration
	// fencingChecked means that engines refuse orders, the commands to load or
	// unload a model, with an older fencing token than the newest that they got.
	fencingChecked bool
	// grace is the time that the instance gets to shut down.
	grace time.Duration
	// addressTTL is how long callers may use a list of entry addresses.
	addressTTL time.Duration
	// changeTime is how soon after the platform accepts a change all instances have to act
	// on it: the least of the times for the configuration and for upstreams that leave.
	changeTime time.Duration
	// retries bounds the retries of all instances together.
	retries retry.Limits
	// configurationInForce is how soon after the operator published a configuration all
	// instances act on it.
	configurationInForce time.Duration
	// keyMaxAge is the age of the configuration from which on no request with a key is
	// served, 0 for any.
	keyMaxAge time.Duration
	// profiles sets how many replicas the models of each service get.
	profiles coord.Profiles
	// soundParts are the parts of prompts that are never refused.
	soundParts []poison.Part
	// callers bounds callers.
	callers callerLimits
	// scheduleShared means that all instances share one schedule for each upstream.
	scheduleShared bool
	// scheduleGapPerToken is the target gap of streams for each token of their events below
	// which they do, 0 for any.
	scheduleGapPerToken time.Duration
}

// Listen has the host:port addresses on which an instance listens.
type Listen struct {
	// Entry serves callers' requests.
	Entry string
	// Addresses serves the list of the entry addresses of all instances.
	Addresses string
	// Ready serves readiness checks.
	Ready string
	// Sync serves calls of other instances.
	Sync string
	// Metrics serves the metrics; if it is empty they aren't served.
	Metrics string
}

// Instance returns the ID of the instance.
func (s *Settings) Instance() cardamom.InstanceID { return s.instance }

// Listen returns the addresses to listen on.
func (s *Settings) Listen() Listen { return s.listen }

// LogLevel returns the lowest level that is logged.
func (s *Settings) LogLevel() string { return s.logLevel }

// ListRate returns how many upstreams this instance may send in a second to members that lack
// them while it coordinates, 0 for any number: they take a part of its network link.
func (s *Settings) ListRate() float64 { return s.linkMbps * 1e6 / 8 * listLinkShare / listEntryBytes }

// TakeoverDelay returns how long this instance waits, after its start and after the
// coordinator is lost, before it tries to take the lease. The time is 0 unless the
// processor or network link is too weak for a coordinator.
func (s *Settings) TakeoverDelay() time.Duration {
	if (s.processorCores > 0 && s.processorCores < weakProcessorCores) || (s.linkMbps > 0 && s.linkMbps < weakLinkMbps) {
		return weakTakeoverDelay
	}
	return 0
}

// Profiles returns the planning profiles of the services, which set how many
// replicas the models of a service get.
func (s *Settings) Profiles() coord.Profiles { return s.profiles }

// KeyMaxAge returns the age of the configuration from which on no request with a key is served, 0
// if there is none.
func (s *Settings) KeyMaxAge() time.Duration { return s.keyMaxAge }

// SoundParts returns the parts of prompts that are never refused, whatever upstreams die of.
func (s *Settings) SoundParts() []poison.Part { return s.soundParts }

// ScheduleShared reports whether all instances share one schedule for each upstream.
func (s *Settings) ScheduleShared() bool { return s.scheduleShared }

// Memory returns the memory limit of the process in bytes.
func (s *Settings) Memory() int64 { return s.memoryBytes }

// settingsWire is the settings file. Times are in milliseconds.
type settingsWire struct {
	Instance   string   `json:"instance"`
	DataCentre string   `json:"data_centre"`
	Store      string   `json:"store"`
	Seeds      []string `json:"seeds"`
	Source     string   `json:"source"`
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
	// ConfigurationInForceMS is how soon after the operator published a configuration all
	// instances have to act on it.
	ConfigurationInForceMS float64 `json:"configuration_in_force_ms"`
	// LeaveInForceMS is how soon after an upstream registered that it leaves no instance
	// may send it requests.
	LeaveInForceMS float64 `json:"leave_in_force_ms"`
	Retries        struct {
		// Ratio is the allowed number of retries for each request in the window.
		Ratio float64 `json:"ratio"`
		// WindowMS is the time over which requests and retries are counted.
		WindowMS float64 `json:"window_ms"`
		// Slack is the number of retries in the window that are allowed in addition
		// to the ratio.
		Slack float64 `json:"slack"`
	} `json:"retries"`
	Keys struct {
		// MaxAgeMS is the age of the configuration from which on no request with a key is
		// served: keys may have been taken away since. 0 and null set no limit.
		MaxAgeMS float64 `json:"max_age_ms"`
	} `json:"keys"`
	Profiles map[string]profileWire `json:"profiles"`
	// Services maps services to profile names; "*" applies to all others.
	Services map[string]string `json:"services"`
	Schedule struct {
		// Shared means that one instance for each upstream decides when prompts of all
		// instances are sent to it.
		Shared bool `json:"shared"`
		// GapPerTokenMS is the target gap of streams for each token of their events below
		// which it does so, 0 for any.
		GapPerTokenMS float64 `json:"gap_per_token_ms"`
	} `json:"schedule"`
	// SoundParts lists by service the parts of prompts that are never refused.
	SoundParts map[string][]string `json:"sound_parts"`
	Callers    callersWire         `json:"callers"`
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

// decodeProfiles returns the profiles. For each service whose profile doesn't exist
// it records a fault in source, the settings file.
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

// decodeSoundParts returns the parts, whose identifiers callers may write in any case.
func decodeSoundParts(wire map[string][]string) []poison.Part {
	var parts []poison.Part
	for service, ids := range wire {
		for _, id := range ids {
			parts = append(parts, poison.NewPart(cardamom.ServiceID(service), strings.ToLower(id)))
		}
	}
	return parts
}

// Load reads and checks a settings file.
func Load(path string) (*Settings, error) {
	body, err := conf.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "read settings")
	}
	return Parse(path, body)
}

// Parse checks the content of a settings file. The error lists each faulty key
// with the file name and line.
func Parse(name string, body []byte) (*Settings, error) {
	wire := settingsWire{LeaseMS: defaultLeaseMS, GraceMS: defaultGraceMS, AddressTTLMS: defaultAddressTTLMS, ConfigurationInForceMS: defaultChangeMS, LeaveInForceMS: defaultChangeMS, MemoryMB: defaultMemoryMB, LogLevel: defaultLogLevel}
	wire.Retries.Ratio, wire.Retries.WindowMS, wire.Retries.Slack = defaultRetryRatio, defaultRetryWindowMS, defaultRetrySlack
	wire.Callers = callersWire{MemoryPercent: defaultMemoryPercent, AddressPercent: defaultAddressPercent, BodyStallMS: defaultBodyStallMS, WriteStallMS: defaultWriteStallMS}
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
	if wire.Source != "" && net.ParseIP(wire.Source) == nil {
		source.Faultf([]string{"source"}, "must be an IP address, got %q", wire.Source)
	}
	profiles := decodeProfiles(wire, source)
	if err := source.Err(); err != nil {
		return nil, err
	}
	return &Settings{
		profiles: profiles, soundParts: decodeSoundParts(wire.SoundParts), scheduleShared: wire.Schedule.Shared, scheduleGapPerToken: milliseconds(wire.Schedule.GapPerTokenMS),
		instance: cardamom.InstanceID(wire.Instance), dataCentre: cardamom.DataCentre(wire.DataCentre), store: wire.Store, seeds: wire.Seeds, source: net.ParseIP(wire.Source),
		listen:      Listen{Entry: wire.Listen.Entry, Ready: wire.Listen.Ready, Addresses: wire.Listen.Addresses, Sync: wire.Listen.Sync, Metrics: wire.Listen.Metrics},
		memoryBytes: int64(wire.MemoryMB * (1 << 20)), processorCores: wire.Processor, linkMbps: wire.LinkMbps, logLevel: wire.LogLevel,
		lease: milliseconds(wire.LeaseMS), fencingChecked: wire.FencesChecked, grace: milliseconds(wire.GraceMS), addressTTL: milliseconds(wire.AddressTTLMS),
		configurationInForce: milliseconds(wire.ConfigurationInForceMS), keyMaxAge: milliseconds(wire.Keys.MaxAgeMS),
		changeTime: milliseconds(min(wire.ConfigurationInForceMS, wire.LeaveInForceMS)),
		callers:    newCallerLimits(wire.Callers, int64(wire.MemoryMB*(1<<20)), openFiles()),
		retries:    retry.Limits{Ratio: wire.Retries.Ratio, Window: milliseconds(wire.Retries.WindowMS), Slack: wire.Retries.Slack},
	}, nil
}

func milliseconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Millisecond))
}
