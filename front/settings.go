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
	// The defaults of settings that may be left out.
	defaultLeaseMS  = 3000
	defaultGraceMS  = 8000
	defaultTTLMS    = 2000
	defaultRatio    = 0.2
	defaultWindowMS = 10000
	defaultSlack    = 20
	defaultMemoryMB = 256
	defaultLevel    = "info"

	// weakProcessor in cores and weakLink in Mbit/s are too little to answer
	// many instances.
	weakProcessor = 0.35
	weakLink      = 40
	// reluctance is how much later a weak instance takes the lease.
	reluctance = 1500 * time.Millisecond
)

// Settings are what one instance is started with.
type Settings struct {
	instance   cardamom.InstanceID
	dataCentre cardamom.DataCentre
	store      string
	seeds      []string
	listen     Listen
	memory     int64
	processor  float64
	link       float64
	level      string
	lease      time.Duration
	fenced     bool
	grace      time.Duration
	ttl        time.Duration
	retries    retry.Limits
	profiles   coord.Profiles
}

// Listen has the addresses on which an instance serves.
type Listen struct {
	// Entry serves callers, Addresses tells them where to connect, Ready
	// answers health checks, Sync serves the other instances.
	Entry     string
	Addresses string
	Ready     string
	Sync      string
	// Metrics is empty for none.
	Metrics string
}

// Instance returns the instance's name.
func (s *Settings) Instance() cardamom.InstanceID { return s.instance }

// Listen returns the addresses to serve on.
func (s *Settings) Listen() Listen { return s.listen }

// LogLevel returns the least level that is logged.
func (s *Settings) LogLevel() string { return s.level }

// Reluctance returns how much later than others an instance takes the lease:
// one with a weak processor or link is a poor coordinator.
func (s *Settings) Reluctance() time.Duration {
	if (s.processor > 0 && s.processor < weakProcessor) || (s.link > 0 && s.link < weakLink) {
		return reluctance
	}
	return 0
}

// Profiles returns the operators' profiles.
func (s *Settings) Profiles() coord.Profiles { return s.profiles }

// Memory returns how many bytes the process may use.
func (s *Settings) Memory() int64 { return s.memory }

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
	// Services has the profile of each service; "*" is for all others.
	Services map[string]string `json:"services"`
}

// profileWire is a profile; what is left out is as in plan.DefaultProfile.
type profileWire struct {
	CopyTokens     *float64 `json:"copy_tokens_per_s"`
	CopyRunning    *float64 `json:"copy_running"`
	SecondCopyRate *float64 `json:"second_copy_per_s"`
	ScarceCopyRate *float64 `json:"scarce_second_copy_per_s"`
	MostCopies     *int     `json:"most_copies"`
}

func (p profileWire) profile() plan.Profile {
	profile := plan.DefaultProfile
	for _, field := range []struct {
		to   *float64
		from *float64
	}{
		{&profile.CopyTokens, p.CopyTokens},
		{&profile.CopyRunning, p.CopyRunning},
		{&profile.SecondCopyRate, p.SecondCopyRate},
		{&profile.ScarceCopyRate, p.ScarceCopyRate},
	} {
		if field.from != nil {
			*field.to = *field.from
		}
	}
	if p.MostCopies != nil {
		profile.MostCopies = *p.MostCopies
	}
	return profile
}

// otherServices names all services that have no profile of their own.
const otherServices = "*"

// decodeProfiles returns the profiles and records services that name none.
func decodeProfiles(wire settingsWire, source *conf.Source) coord.Profiles {
	profiles := coord.Profiles{Named: make(map[string]plan.Profile), Services: make(map[cardamom.ServiceID]string), Rest: wire.Services[otherServices]}
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

// Parse checks the settings of a file with the name. The error names each
// faulty key with its line.
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
		listen: Listen{Entry: wire.Listen.Entry, Ready: wire.Listen.Ready, Addresses: wire.Listen.Addresses, Sync: wire.Listen.Sync, Metrics: wire.Listen.Metrics},
		memory: int64(wire.MemoryMB * (1 << 20)), processor: wire.Processor, link: wire.LinkMbps, level: wire.LogLevel,
		lease: ms(wire.LeaseMS), fenced: wire.FencesChecked, grace: ms(wire.GraceMS), ttl: ms(wire.AddressTTLMS),
		retries: retry.Limits{Ratio: wire.Retries.Ratio, Window: ms(wire.Retries.WindowMS), Slack: wire.Retries.Slack},
	}, nil
}

func ms(value float64) time.Duration { return time.Duration(value * float64(time.Millisecond)) }
