// Package audit checks the operator's configuration for entries that instances refuse,
// entries without effect and contradictory limits, and compares it with the version in
// force.
//
// # Usage
//
//	configuration, err := platform.DecodeConfiguration(body)
//	if err != nil {
//		return []audit.Finding{audit.Refused(err)}
//	}
//	findings := audit.Check(configuration, audit.Options{MemoryBytes: settings.Memory()})
//	findings = append(findings, audit.Compare(inForce, configuration)...)
//
// No finding has the value of an organisation's key.
package audit

import (
	"fmt"
	"strconv"
	"time"

	"cardamomcourse.example/cardamom/platform"
)

// Names of the sections of a configuration.
const (
	routesKey   = "routes"
	servicesKey = "services"
	limitsKey   = "limits"
	tenantsKey  = "tenants"
)

// Severity is how serious a finding is.
type Severity uint8

// The severities, from the least serious.
const (
	// Info is a change that no running client notices, or a limit that is only worth
	// knowing.
	Info Severity = iota + 1
	// Warning is an entry without effect or a change that a running client notices.
	Warning
	// Error is a configuration that instances refuse, or requests that can't be served.
	Error
)

// String returns the severity's name in output.
func (s Severity) String() string {
	switch s {
	case Info:
		return "info"
	case Warning:
		return "warning"
	case Error:
		return "error"
	default:
		return "unknown"
	}
}

// Finding is one result of a check.
type Finding struct {
	Severity Severity
	// Path has the keys and positions that lead to the entry in the configuration.
	Path []string
	// Offset is the position of a syntax error in bytes, 0 if Path says the place.
	Offset int64
	// Text says what is wrong, with the value.
	Text string
}

// Options are the settings of instances that bound a configuration.
type Options struct {
	// MemoryBytes is the memory limit of an instance, 0 if unknown.
	MemoryBytes int64
}

// Check returns the findings of a configuration by itself.
func Check(configuration *platform.Configuration, options Options) []Finding {
	var found findings
	found.checkRoutes(configuration)
	found.checkServices(configuration)
	found.checkOrganisations(configuration)
	found.checkLimits(configuration.Catalog().Limits(), options)
	return found
}

// Compare returns the differences of a configuration from the one in force.
func Compare(inForce, configuration *platform.Configuration) []Finding {
	var found findings
	found.compareRoutes(inForce.Catalog(), configuration.Catalog())
	found.compareServices(inForce, configuration)
	found.compareOrganisations(inForce, configuration)
	found.compareLimits(inForce.Catalog().Limits(), configuration.Catalog().Limits())
	found.compareVersions(inForce.Catalog().Version(), configuration.Catalog().Version())
	return found
}

// path are the keys and positions that lead to an entry.
type path []string

// at returns the path of an entry below p.
func (p path) at(keys ...any) path {
	below := make(path, 0, len(p)+len(keys))
	below = append(below, p...)
	for _, key := range keys {
		below = append(below, fmt.Sprint(key))
	}
	return below
}

type findings []Finding

func (f *findings) add(severity Severity, at path, format string, args ...any) {
	*f = append(*f, Finding{Severity: severity, Path: at, Text: fmt.Sprintf(format, args...)})
}

// inMilliseconds returns the duration as text in the unit of the configuration.
func inMilliseconds(d time.Duration) string {
	return number(float64(d)/float64(time.Millisecond)) + " ms"
}

// number returns the shortest text of a number, without an exponent.
func number(value float64) string { return strconv.FormatFloat(value, 'f', -1, 64) }

// plural returns the count with the noun.
func plural(count int, noun string) string {
	if count == 1 {
		return "1 " + noun
	}
	return strconv.Itoa(count) + " " + noun + "s"
}
