package conf

import (
	"bytes"

	"github.com/tailscale/hujson"
)

// Lines maps the paths of keys in a JSON text to line numbers.
type Lines struct {
	source Source
}

// ParseLines returns the lines of body. All paths of a text that isn't JSON are on line 1.
func ParseLines(body []byte) *Lines {
	lines := &Lines{source: Source{body: body}}
	if tree, err := hujson.Parse(body); err == nil {
		lines.source.tree = tree
	}
	return lines
}

// Line returns the line, from 1, of the deepest part of path that exists.
func (l *Lines) Line(path []string) int {
	if l.source.tree.Value == nil {
		return 1
	}
	return l.source.line(path)
}

// LineAt returns the line, from 1, of the byte at offset.
func (l *Lines) LineAt(offset int64) int {
	end := min(max(offset, 0), int64(len(l.source.body)))
	return 1 + bytes.Count(l.source.body[:end], []byte("\n"))
}

// Duplicates returns a fault for each member of an object whose name an earlier member
// has.
func (l *Lines) Duplicates() []Fault {
	found := Source{body: l.source.body}
	found.checkDuplicates(nil, &l.source.tree)
	return found.faults
}
