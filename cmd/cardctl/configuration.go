package main

import (
	"errors"
	"fmt"
	"sort"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"cardamomcourse.example/cardamom/audit"
	"cardamomcourse.example/cardamom/conf"
	"cardamomcourse.example/cardamom/front"
	"cardamomcourse.example/cardamom/platform"
)

// auditError ends the check of a configuration with an exit code. Its text is empty if
// the findings have been printed.
type auditError struct {
	code int
	err  error
}

func (e *auditError) Error() string {
	if e.err == nil {
		return ""
	}
	return e.err.Error()
}

func (e *auditError) Unwrap() error { return e.err }

// notChecked returns the error of a check that wasn't made. It has the code of errors,
// since exitError means warnings here.
func notChecked(err error) error { return &auditError{code: exitCheck, err: err} }

func configurationCommand() *cobra.Command {
	command := &cobra.Command{Use: "configuration", Short: "Check the configuration that cardfront serves by"}
	var inForce, settings string
	check := &cobra.Command{
		Use: "check FILE", Short: "Check a configuration before it is published",
		Long: "Prints one finding per line. The exit code is 0 for none, 1 for warnings and 2 for errors or a check that could not be made.",
		Args: func(command *cobra.Command, args []string) error {
			if err := cobra.ExactArgs(1)(command, args); err != nil {
				return notChecked(err)
			}
			return nil
		},
		RunE: func(command *cobra.Command, args []string) error {
			found, err := checkConfiguration(args[0], inForce, settings)
			if err != nil {
				return notChecked(err)
			}
			return printFindings(command, args[0], found)
		},
	}
	check.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return notChecked(err) })
	check.Flags().StringVar(&inForce, "in-force", "", "file with the configuration in force, to list what changes")
	check.Flags().StringVar(&settings, "settings", "", "settings of an instance, to check limits against its memory")
	command.AddCommand(check)
	return command
}

// findingWire is the JSON form of a finding.
type findingWire struct {
	Line     int    `json:"line"`
	Severity string `json:"severity"`
	Path     string `json:"path"`
	Text     string `json:"text"`
}

// findingsWire is the JSON form of a check.
type findingsWire struct {
	File     string        `json:"file"`
	Errors   int           `json:"errors"`
	Warnings int           `json:"warnings"`
	Findings []findingWire `json:"findings"`
}

// checkConfiguration returns the findings of a file in order of line.
func checkConfiguration(file, inForceFile, settingsFile string) ([]findingWire, error) {
	body, err := conf.ReadFile(file)
	if err != nil {
		return nil, eris.Wrap(err, "read configuration")
	}
	var options audit.Options
	if settingsFile != "" {
		settings, err := front.Load(settingsFile)
		if err != nil {
			return nil, err
		}
		options.MemoryBytes = settings.Memory()
	}
	var inForce *platform.Configuration
	if inForceFile != "" {
		if inForce, err = readInForce(inForceFile); err != nil {
			return nil, err
		}
	}
	lines := conf.ParseLines(body)
	configuration, err := platform.DecodeConfiguration(body)
	if err != nil {
		return toWire(lines, []audit.Finding{audit.Refused(err)}), nil
	}
	findings := audit.Check(configuration, options)
	if inForce != nil {
		findings = append(findings, audit.Compare(inForce, configuration)...)
	}
	found := append(toWire(lines, findings), duplicates(lines)...)
	sort.SliceStable(found, func(i, j int) bool { return found[i].Line < found[j].Line })
	return found, nil
}

// readInForce decodes the configuration in force. Its errors have the form of a finding,
// without the values of keys.
func readInForce(file string) (*platform.Configuration, error) {
	body, err := conf.ReadFile(file)
	if err != nil {
		return nil, eris.Wrap(err, "read configuration in force")
	}
	configuration, err := platform.DecodeConfiguration(body)
	if err != nil {
		finding := toWire(conf.ParseLines(body), []audit.Finding{audit.Refused(err)})[0]
		return nil, errors.New(finding.line(file))
	}
	return configuration, nil
}

func toWire(lines *conf.Lines, findings []audit.Finding) []findingWire {
	wires := make([]findingWire, 0, len(findings))
	for _, finding := range findings {
		line := lines.Line(finding.Path)
		if finding.Offset > 0 {
			line = lines.LineAt(finding.Offset)
		}
		wires = append(wires, findingWire{Line: line, Severity: finding.Severity.String(), Path: pathText(finding.Path), Text: finding.Text})
	}
	return wires
}

// duplicates returns a finding for each member of an object that occurs twice. Its path
// ends at the entry of a list or the section: members further below may be of a field
// that isn't known, and their names the values of keys.
func duplicates(lines *conf.Lines) []findingWire {
	var wires []findingWire
	for _, fault := range lines.Duplicates() {
		keys := strings.Split(fault.Key(), ".")
		var path []string
		if len(keys) > 1 {
			path = keys[:1]
			if _, err := strconv.Atoi(keys[1]); err == nil {
				path = keys[:2]
			}
		}
		wires = append(wires, findingWire{Line: fault.Line(), Severity: audit.Warning.String(), Path: pathText(path), Text: "a member has the name of an earlier one; the later one takes effect"})
	}
	return wires
}

func pathText(path []string) string {
	if len(path) == 0 {
		return "(file)"
	}
	return strings.Join(path, ".")
}

func (w findingWire) line(file string) string {
	return fmt.Sprintf("%s:%d: %s: %s: %s", file, w.Line, w.Severity, w.Path, w.Text)
}

// printFindings prints the findings and returns an error with the exit code, nil if there
// are neither errors nor warnings.
func printFindings(command *cobra.Command, file string, found []findingWire) error {
	wire := findingsWire{File: file, Findings: found}
	var texts []string
	for _, finding := range found {
		texts = append(texts, finding.line(file))
		switch finding.Severity {
		case audit.Error.String():
			wire.Errors++
		case audit.Warning.String():
			wire.Warnings++
		}
	}
	if len(found) == 0 {
		texts = []string{file + ": ok"}
	}
	if err := show(command, wire, strings.Join(texts, "\n")); err != nil {
		return notChecked(err)
	}
	switch {
	case wire.Errors > 0:
		return &auditError{code: exitCheck}
	case wire.Warnings > 0:
		return &auditError{code: exitWarnings}
	default:
		return nil
	}
}
