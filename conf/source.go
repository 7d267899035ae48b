package conf

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"sort"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"github.com/tailscale/hujson"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

// Fault is one error in a settings file.
type Fault struct {
	key  string
	line int
	text string
}

// Key returns the dotted path of the faulty key.
func (f Fault) Key() string { return f.key }

// Line returns the line of the key, from 1.
func (f Fault) Line() int { return f.line }

// Text returns the description of the fault.
func (f Fault) Text() string { return f.text }

// CheckError lists every fault of a settings file.
type CheckError struct {
	name   string
	faults []Fault
}

// Faults returns the faults in order of line.
func (e *CheckError) Faults() []Fault { return e.faults }

// Error returns one line per fault: file:line: key: text.
func (e *CheckError) Error() string {
	lines := make([]string, 0, len(e.faults))
	for _, f := range e.faults {
		lines = append(lines, fmt.Sprintf("%s:%d: %s: %s", e.name, f.line, f.key, f.text))
	}
	return strings.Join(lines, "\n")
}

// Source is a parsed settings file with the line of each key, so that callers of
// Decode can record faults of their own.
type Source struct {
	name   string
	body   []byte
	tree   hujson.Value
	faults []Fault
}

// Decode parses JSON with comments, validates it against the schema and
// unmarshals it into target. A fault of the file gives a *CheckError with all faults.
func Decode(name string, body, schema []byte, target any) (*Source, error) {
	source := &Source{name: name, body: body}
	tree, err := hujson.Parse(body)
	if err != nil {
		source.faults = append(source.faults, syntaxFault(err))
		return nil, source.Err()
	}
	source.tree = tree
	source.checkDuplicates(nil, &source.tree)
	plain := tree.Clone()
	plain.Standardize()
	if err := source.checkSchema(plain.Pack(), schema); err != nil {
		return nil, err
	}
	if err := source.Err(); err != nil {
		return nil, err
	}
	if err := json.Unmarshal(plain.Pack(), target); err != nil {
		source.Faultf(nil, "%v", err)
		return nil, source.Err()
	}
	return source, nil
}

// Faultf records a fault of the key at path.
func (s *Source) Faultf(path []string, format string, args ...any) {
	key := strings.Join(path, ".")
	if key == "" {
		key = "(file)"
	}
	s.faults = append(s.faults, Fault{key: key, line: s.line(path), text: fmt.Sprintf(format, args...)})
}

// Err returns the recorded faults as a *CheckError, nil if there are none.
func (s *Source) Err() error {
	if len(s.faults) == 0 {
		return nil
	}
	sort.SliceStable(s.faults, func(i, j int) bool { return s.faults[i].line < s.faults[j].line })
	return &CheckError{name: s.name, faults: s.faults}
}

func (s *Source) checkSchema(plain, schema []byte) error {
	parsed, err := jsonschema.UnmarshalJSON(bytes.NewReader(schema))
	if err != nil {
		return eris.Wrap(err, "parse schema")
	}
	compiler := jsonschema.NewCompiler()
	if err := compiler.AddResource("schema.json", parsed); err != nil {
		return eris.Wrap(err, "add schema")
	}
	compiled, err := compiler.Compile("schema.json")
	if err != nil {
		return eris.Wrap(err, "compile schema")
	}
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(plain))
	if err != nil {
		s.Faultf(nil, "%v", err)
		return nil
	}
	var invalid *jsonschema.ValidationError
	if err := compiled.Validate(value); errors.As(err, &invalid) {
		s.addSchemaFaults(invalid)
	}
	return nil
}

// checkDuplicates records the duplicate keys of objects, with the line of the
// later one.
func (s *Source) checkDuplicates(path []string, value *hujson.Value) {
	switch node := value.Value.(type) {
	case *hujson.Object:
		seen := make(map[string]bool, len(node.Members))
		for i := range node.Members {
			member := &node.Members[i]
			name, ok := member.Name.Value.(hujson.Literal)
			if !ok {
				continue
			}
			key := name.String()
			below := append(append([]string(nil), path...), key)
			if seen[key] {
				line := 1 + bytes.Count(s.body[:min(member.Name.StartOffset, len(s.body))], []byte("\n"))
				s.faults = append(s.faults, Fault{key: strings.Join(below, "."), line: line, text: "duplicate key"})
			}
			seen[key] = true
			s.checkDuplicates(below, &member.Value)
		}
	case *hujson.Array:
		for i := range node.Elements {
			s.checkDuplicates(append(append([]string(nil), path...), strconv.Itoa(i)), &node.Elements[i])
		}
	}
}

// addSchemaFaults records the leaves of a tree of validation errors.
func (s *Source) addSchemaFaults(invalid *jsonschema.ValidationError) {
	if unknown, ok := invalid.ErrorKind.(*kind.AdditionalProperties); ok {
		for _, name := range unknown.Properties {
			s.Faultf(append(append([]string(nil), invalid.InstanceLocation...), name), "is not known here")
		}
		return
	}
	if len(invalid.Causes) == 0 {
		text := invalid.ErrorKind.LocalizedString(message.NewPrinter(language.English))
		s.Faultf(invalid.InstanceLocation, "%s", text)
	}
	for _, cause := range invalid.Causes {
		s.addSchemaFaults(cause)
	}
}

// line returns the line of the deepest part of path that exists.
func (s *Source) line(path []string) int {
	for n := len(path); n >= 0; n-- {
		value := s.tree.Find(jsonPointer(path[:n]))
		if value != nil {
			return 1 + bytes.Count(s.body[:min(value.StartOffset, len(s.body))], []byte("\n"))
		}
	}
	return 1
}

// jsonPointer returns the JSON Pointer (RFC 6901) of path.
func jsonPointer(path []string) string {
	var text strings.Builder
	for _, token := range path {
		token = strings.ReplaceAll(token, "~", "~0")
		token = strings.ReplaceAll(token, "/", "~1")
		text.WriteString("/" + token)
	}
	return text.String()
}

// syntaxFault returns the fault of a parser error, with the line from its text.
func syntaxFault(err error) Fault {
	line := 1
	text := err.Error()
	if _, after, ok := strings.Cut(text, "line "); ok {
		_, _ = fmt.Sscanf(after, "%d", &line)
	}
	return Fault{key: "(syntax)", line: line, text: text}
}
