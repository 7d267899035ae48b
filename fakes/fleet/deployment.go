// Package fleet starts a whole deployment as separate processes on loopback:
// the platform, the upstreams and the instances. Each upstream, the table and the
// list can be put behind a proxy that injects faults.
//
// # Usage
//
//	deployment, err := fleet.Load("examples/kalliope/deployment.jsonc")
//	f, err := fleet.Start(ctx, fleet.Options{Deployment: deployment, Programs: "bin"})
//	defer f.Stop()
//	f.Kill("entry-psyrri-hall-1")
//
// It is for tests and experiments; the system itself starts no process.
package fleet

import (
	_ "embed"
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"cardamomcourse.example/cardamom/conf"
	"cardamomcourse.example/cardamom/fakes"
	"cardamomcourse.example/cardamom/policy"
)

//go:embed schema.json
var schema []byte

// Defaults for a deployment file.
const (
	defaultReadsPerSec    = 2000
	defaultWritesPerSec   = 400
	defaultListLagMS      = 2000
	defaultDiskMBPerSec   = 50000
	defaultMemoryMBPerSec = 200000
)

// Deployment describes what runs where.
type Deployment struct {
	wire     deploymentWire
	profiles []byte
	document *policy.Document
}

type deploymentWire struct {
	Profiles    string         `json:"profiles"`
	DataCentres map[string]int `json:"places"`
	Platform    platformWire   `json:"platform"`
	Upstreams   []upstreamWire `json:"upstreams"`
}

type platformWire struct {
	ReadsPerSec  int     `json:"reads_per_s,omitempty"`
	WritesPerSec int     `json:"writes_per_s,omitempty"`
	ListLagMS    int64   `json:"list_lag_ms,omitempty"`
	LoadsPerSec  float64 `json:"loads_per_s"`
	LoadStreams  int     `json:"load_streams"`
	LoadMBPerSec float64 `json:"load_mb_per_s"`
}

type upstreamWire struct {
	Service        string         `json:"service"`
	Kind           string         `json:"kind"`
	DataCentres    map[string]int `json:"places"`
	MemoryMB       int            `json:"memory_mb,omitempty"`
	Slots          int            `json:"slots,omitempty"`
	Fencing        bool           `json:"fencing,omitempty"`
	CacheMB        int            `json:"cache_mb,omitempty"`
	DiskMBPerSec   float64        `json:"disk_mb_per_s,omitempty"`
	MemoryMBPerSec float64        `json:"memory_mb_per_s,omitempty"`
	PrefillMS      float64        `json:"prefill_ms,omitempty"`
	IntervalMS     float64        `json:"interval_ms,omitempty"`
	WorkMS         float64        `json:"work_ms,omitempty"`
	Resumable      bool           `json:"resumable,omitempty"`
	ReportLagMS    int64          `json:"report_lag_ms,omitempty"`
}

// Load reads and validates a deployment file and the profile document it names.
func Load(path string) (*Deployment, error) {
	body, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "read deployment")
	}
	d := &Deployment{}
	if _, err := conf.Decode(path, body, schema, &d.wire); err != nil {
		return nil, err
	}
	profiles := filepath.Join(filepath.Dir(path), d.wire.Profiles)
	if d.profiles, err = os.ReadFile(profiles); err != nil {
		return nil, eris.Wrap(err, "read profiles")
	}
	if d.document, err = policy.Parse(profiles, d.profiles); err != nil {
		return nil, err
	}
	return d, nil
}

// Document returns the deployment's profile document.
func (d *Deployment) Document() *policy.Document { return d.document }

// Profiles returns the source text of the profile document.
func (d *Deployment) Profiles() []byte { return d.profiles }

// Instances returns the instances, sorted by data centre.
func (d *Deployment) Instances() []ProcessSpec {
	return placeProcesses("entry", d.wire.DataCentres)
}

// SetInstanceCounts replaces the number of instances in each data centre.
func (d *Deployment) SetInstanceCounts(perDataCentre map[string]int) {
	d.wire.DataCentres = perDataCentre
}

// DataCentres returns the deployment's data centres, sorted.
func (d *Deployment) DataCentres() []string {
	centres := make([]string, 0, len(d.wire.DataCentres))
	for centre := range d.wire.DataCentres {
		centres = append(centres, centre)
	}
	sort.Strings(centres)
	return centres
}

// ProcessSpec is a process and its data centre.
type ProcessSpec struct {
	ID         string
	DataCentre string
}

func placeProcesses(prefix string, centres map[string]int) []ProcessSpec {
	names := make([]string, 0, len(centres))
	for centre := range centres {
		names = append(names, centre)
	}
	sort.Strings(names)
	var list []ProcessSpec
	for _, centre := range names {
		for n := range centres[centre] {
			list = append(list, ProcessSpec{ID: prefix + "-" + centre + "-" + strconv.Itoa(n+1), DataCentre: centre})
		}
	}
	return list
}

// PlatformOptions returns the options of the platform, on free ports.
func (d *Deployment) PlatformOptions() fakes.PlatformOptions {
	p := d.wire.Platform
	return fakes.PlatformOptions{
		TableAddress: "127.0.0.1:0", ListAddress: "127.0.0.1:0", WeightsAddress: "127.0.0.1:0",
		ReadsPerSec: orDefault(p.ReadsPerSec, defaultReadsPerSec), WritesPerSec: orDefault(p.WritesPerSec, defaultWritesPerSec),
		ListLag:     time.Duration(orDefault(p.ListLagMS, defaultListLagMS)) * time.Millisecond,
		LoadsPerSec: p.LoadsPerSec, LoadStreams: p.LoadStreams, LoadMBPerSec: p.LoadMBPerSec, Document: d.document,
	}
}

// Engines returns the options of the model engines, on free ports.
func (d *Deployment) Engines(weights string) []fakes.EngineOptions {
	var list []fakes.EngineOptions
	for _, u := range d.wire.Upstreams {
		if u.Kind != "runner" {
			continue
		}
		for _, p := range placeProcesses(u.Service, u.DataCentres) {
			list = append(list, fakes.EngineOptions{
				ID: p.ID, Service: u.Service, DataCentre: p.DataCentre, Address: "127.0.0.1:0", Weights: weights,
				MemoryMB: u.MemoryMB, Slots: max(u.Slots, 1), Fencing: u.Fencing, CacheMB: u.CacheMB,
				DiskMBPerSec: orDefault(u.DiskMBPerSec, defaultDiskMBPerSec), MemoryMBPerSec: orDefault(u.MemoryMBPerSec, defaultMemoryMBPerSec),
				Prefill: milliseconds(u.PrefillMS), Interval: milliseconds(u.IntervalMS), ReportLag: milliseconds(float64(u.ReportLagMS)), Resumable: u.Resumable,
			})
		}
	}
	return list
}

// PlainServices returns the options of the plain service processes, on free ports.
func (d *Deployment) PlainServices(weights string) []fakes.PlainServiceOptions {
	var list []fakes.PlainServiceOptions
	for _, u := range d.wire.Upstreams {
		if u.Kind != "plain" {
			continue
		}
		for _, p := range placeProcesses(u.Service, u.DataCentres) {
			list = append(list, fakes.PlainServiceOptions{
				ID: p.ID, Service: u.Service, DataCentre: p.DataCentre, Address: "127.0.0.1:0", Weights: weights, Work: milliseconds(u.WorkMS),
			})
		}
	}
	return list
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}
