// Package conf reads settings files in JSON with comments, validates them
// against a JSON schema and reports every fault with its key and line.
//
// # Usage
//
//	settings, err := conf.Load("cardd.jsonc")
//	var check *conf.CheckError
//	if errors.As(err, &check) {
//		for _, fault := range check.Faults() { ... }
//	}
package conf

import (
	_ "embed"
	"time"

	"github.com/rotisserie/eris"

	cardamom "cardamomcourse.example/cardamom"
)

//go:embed schema.json
var schema []byte

// Settings are the checked settings of one instance of cardd. Sizes are in bytes.
type Settings struct {
	instance      cardamom.Instance
	table         string
	list          string
	tableTimeout  time.Duration
	tablePoll     time.Duration
	exchange      time.Duration
	suspect       time.Duration
	digestBytes   int
	report        time.Duration
	engineTimeout time.Duration
	maxBody       int64
	addressTTL    time.Duration
	drain         time.Duration
	queueBytes    int64
	admission     string
	claimShards   int
	claimKeep     time.Duration
	tls           TLS
	logLevel      string
	traceURL      string
	traceFile     string
	traceShare    float64
}

// Instance returns this instance's ID, data centre and addresses.
func (s *Settings) Instance() cardamom.Instance { return s.instance }

// TableAddress returns the address of the platform's table service.
func (s *Settings) TableAddress() string { return s.table }

// ListAddress returns the address of the platform's list of instances and upstreams.
func (s *Settings) ListAddress() string { return s.list }

// TableTimeout returns the timeout of a call to the platform.
func (s *Settings) TableTimeout() time.Duration { return s.tableTimeout }

// TablePollInterval returns the interval at which the platform is polled.
func (s *Settings) TablePollInterval() time.Duration { return s.tablePoll }

// DigestInterval returns the interval at which digests of the membership are sent to
// peers.
func (s *Settings) DigestInterval() time.Duration { return s.exchange }

// SuspectTimeout returns how long after its last heartbeat an instance is suspected.
func (s *Settings) SuspectTimeout() time.Duration { return s.suspect }

// DigestBytes returns the maximum size of a digest in bytes.
func (s *Settings) DigestBytes() int { return s.digestBytes }

// ReportInterval returns the interval at which engines are asked for reports.
func (s *Settings) ReportInterval() time.Duration { return s.report }

// EngineTimeout returns the timeout of an order or a report.
func (s *Settings) EngineTimeout() time.Duration { return s.engineTimeout }

// MaxBody returns the maximum size of a request body in bytes.
func (s *Settings) MaxBody() int64 { return s.maxBody }

// AddressTTL returns how long callers may cache the list of addresses.
func (s *Settings) AddressTTL() time.Duration { return s.addressTTL }

// DrainTimeout returns how long a shutdown waits for requests in flight.
func (s *Settings) DrainTimeout() time.Duration { return s.drain }

// QueueBytes returns the memory limit for the bodies of admitted requests.
func (s *Settings) QueueBytes() int64 { return s.queueBytes }

// Admission returns the name of the admission policy.
func (s *Settings) Admission() string { return s.admission }

// ClaimShards returns the number of shards of the claims.
func (s *Settings) ClaimShards() int { return s.claimShards }

// ClaimRetention returns how long a claim is kept after its request ended.
func (s *Settings) ClaimRetention() time.Duration { return s.claimKeep }

// TLS returns the settings by which instances authenticate each other.
func (s *Settings) TLS() TLS { return s.tls }

// LogLevel returns the lowest level that is logged.
func (s *Settings) LogLevel() string { return s.logLevel }

// TraceURL returns the OTLP endpoint that spans are sent to, empty for none.
func (s *Settings) TraceURL() string { return s.traceURL }

// TraceFile returns the file spans are written to, empty for none.
func (s *Settings) TraceFile() string { return s.traceFile }

// TraceSampleRatio returns the sampling ratio of new traces, 0 to 1.
func (s *Settings) TraceSampleRatio() float64 { return s.traceShare }

// TLS has the files for mutual authentication between instances.
type TLS struct {
	off         bool
	certificate string
	key         string
	authority   string
}

// Off reports whether peers are not authenticated.
func (t TLS) Off() bool { return t.off }

// Certificate returns the path of this instance's certificate in PEM.
func (t TLS) Certificate() string { return t.certificate }

// Key returns the path of the certificate's private key in PEM.
func (t TLS) Key() string { return t.key }

// Authority returns the path of the CA certificate in PEM that peers are
// verified against.
func (t TLS) Authority() string { return t.authority }

type settingsWire struct {
	Instance      string `json:"instance"`
	DataCentre    string `json:"place"`
	CallerAddress string `json:"caller_address"`
	PeerAddress   string `json:"peer_address"`
	Platform      struct {
		Table     string `json:"table"`
		List      string `json:"list"`
		TimeoutMS int64  `json:"timeout_ms"`
		PollMS    int64  `json:"poll_ms"`
	} `json:"platform"`
	Peers struct {
		ExchangeMS  int64 `json:"exchange_ms"`
		SuspectMS   int64 `json:"suspect_ms"`
		DigestBytes int   `json:"digest_bytes"`
	} `json:"peers"`
	Engines struct {
		ReportMS  int64 `json:"report_ms"`
		TimeoutMS int64 `json:"timeout_ms"`
	} `json:"engines"`
	Requests struct {
		MaxBodyKB    int64  `json:"max_body_kb"`
		AddressTTLMS int64  `json:"address_ttl_ms"`
		DrainMS      int64  `json:"drain_ms"`
		QueueMB      int64  `json:"queue_mb"`
		Admission    string `json:"admission"`
		ClaimShards  int    `json:"claim_shards"`
		ClaimKeepMS  int64  `json:"claim_keep_ms"`
	} `json:"requests"`
	TLS struct {
		Off         bool   `json:"off"`
		Certificate string `json:"certificate"`
		Key         string `json:"key"`
		Authority   string `json:"authority"`
	} `json:"tls"`
	LogLevel string `json:"log_level"`
	Trace    struct {
		OTLPURL string   `json:"otlp_url"`
		File    string   `json:"file"`
		Share   *float64 `json:"share"`
	} `json:"trace"`
}

// Defaults of the settings.
const (
	defaultPlatformTimeoutMS = 2000
	defaultPollMS            = 1000
	defaultExchangeMS        = 500
	defaultSuspectMS         = 2500
	defaultDigestBytes       = 2048
	defaultReportMS          = 200
	defaultEngineTimeoutMS   = 1000
	defaultMaxBodyKB         = 1024
	defaultAddressTTLMS      = 5000
	defaultDrainMS           = 30000
	defaultQueueMB           = 64
	defaultAdmission         = "deadline"
	defaultClaimShards       = 8
	defaultClaimKeepMS       = 600000
	defaultLogLevel          = "info"
	defaultTraceShare        = 1
	bytesPerKB               = 1024
)

// Load reads and checks the settings file at path.
func Load(path string) (*Settings, error) {
	body, err := ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "read settings")
	}
	return Parse(path, body)
}

// Parse checks settings and returns them. The error is a *CheckError.
func Parse(name string, body []byte) (*Settings, error) {
	var wire settingsWire
	source, err := Decode(name, body, schema, &wire)
	if err != nil {
		return nil, err
	}
	settings := wire.toSettings()
	settings.checkRelations(source)
	if err := source.Err(); err != nil {
		return nil, err
	}
	return settings, nil
}

// checkRelations records faults that concern more than one setting.
func (s *Settings) checkRelations(source *Source) {
	if s.suspect < 3*s.exchange {
		source.Faultf([]string{"peers", "suspect_ms"}, "must be at least three times exchange_ms (%v)", s.exchange)
	}
	files := s.tls.certificate != "" && s.tls.key != "" && s.tls.authority != ""
	if s.tls.off == files {
		source.Faultf([]string{"tls"}, "needs certificate, key and authority, or off: true")
	}
	if s.instance.CallerAddress == s.instance.PeerAddress {
		source.Faultf([]string{"peer_address"}, "must differ from caller_address")
	}
}

func (w *settingsWire) toSettings() *Settings {
	share := float64(defaultTraceShare)
	if w.Trace.Share != nil {
		share = *w.Trace.Share
	}
	return &Settings{
		instance: cardamom.Instance{
			ID: cardamom.InstanceID(w.Instance), DataCentre: cardamom.DataCentre(w.DataCentre),
			CallerAddress: w.CallerAddress, PeerAddress: w.PeerAddress, State: cardamom.Live,
		},
		table:         w.Platform.Table,
		list:          w.Platform.List,
		tableTimeout:  millisecondsOr(w.Platform.TimeoutMS, defaultPlatformTimeoutMS),
		tablePoll:     millisecondsOr(w.Platform.PollMS, defaultPollMS),
		exchange:      millisecondsOr(w.Peers.ExchangeMS, defaultExchangeMS),
		suspect:       millisecondsOr(w.Peers.SuspectMS, defaultSuspectMS),
		digestBytes:   orDefault(w.Peers.DigestBytes, defaultDigestBytes),
		report:        millisecondsOr(w.Engines.ReportMS, defaultReportMS),
		engineTimeout: millisecondsOr(w.Engines.TimeoutMS, defaultEngineTimeoutMS),
		maxBody:       orDefault(w.Requests.MaxBodyKB, defaultMaxBodyKB) * bytesPerKB,
		addressTTL:    millisecondsOr(w.Requests.AddressTTLMS, defaultAddressTTLMS),
		drain:         millisecondsOr(w.Requests.DrainMS, defaultDrainMS),
		queueBytes:    orDefault(w.Requests.QueueMB, defaultQueueMB) * bytesPerKB * bytesPerKB,
		admission:     orDefault(w.Requests.Admission, defaultAdmission),
		claimShards:   orDefault(w.Requests.ClaimShards, defaultClaimShards),
		claimKeep:     millisecondsOr(w.Requests.ClaimKeepMS, defaultClaimKeepMS),
		tls: TLS{
			off: w.TLS.Off, certificate: w.TLS.Certificate, key: w.TLS.Key, authority: w.TLS.Authority,
		},
		logLevel:   orDefault(w.LogLevel, defaultLogLevel),
		traceURL:   w.Trace.OTLPURL,
		traceFile:  w.Trace.File,
		traceShare: share,
	}
}

func millisecondsOr(value, fallback int64) time.Duration {
	return time.Duration(orDefault(value, fallback)) * time.Millisecond
}

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}
