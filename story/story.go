// Package story reads log lines and puts together what happened to one request
// at all instances.
//
// # Usage
//
//	lines, skipped, err := story.Read("entry-1.log", file)
//	told := story.Of("9c41d07be2a35f68", lines)
//	told.Print(os.Stdout)
//
// A line is the pairs key=value that package logs writes, with any words before
// them: those name the source, such as an instance.
package story

import (
	"bufio"
	"fmt"
	"io"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// maxLine bounds a line in bytes.
	maxLine = 1 << 20
	// around is how long before and after a request lines about its upstreams
	// and dependencies are part of its story.
	around = 2 * time.Second
)

// Line is one log line.
type Line struct {
	source string
	time   time.Time
	event  string
	pairs  []Pair
}

// Pair is one key with its value.
type Pair struct {
	Key   string
	Value string
}

// Source returns what the line came from.
func (l Line) Source() string { return l.source }

// Time returns when the line was written by its instance's clock.
func (l Line) Time() time.Time { return l.time }

// Event returns what happened.
func (l Line) Event() string { return l.event }

// Pairs returns the further pairs in their order.
func (l Line) Pairs() []Pair { return l.pairs }

// Value returns the value of a key, empty if there is none.
func (l Line) Value(key string) string {
	for _, pair := range l.pairs {
		if pair.Key == key {
			return pair.Value
		}
	}
	return ""
}

// Read returns the log lines of a source and how many lines were none.
func Read(source string, in io.Reader) ([]Line, int, error) {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLine)
	var lines []Line
	skipped := 0
	for number := 1; scanner.Scan(); number++ {
		line, ok := parse(source, scanner.Text())
		if !ok {
			skipped++
			continue
		}
		lines = append(lines, line)
	}
	return lines, skipped, eris.Wrapf(scanner.Err(), "read %s", source)
}

// parse returns a line's parts, and false if it is no log line.
func parse(source, text string) (Line, bool) {
	start := strings.Index(text, "time=")
	if start < 0 {
		return Line{}, false
	}
	if words := strings.Fields(text[:start]); len(words) > 0 {
		source = words[len(words)-1]
	}
	line := Line{source: source}
	rest := text[start:]
	for rest != "" {
		var pair Pair
		var ok bool
		pair, rest, ok = cut(rest)
		if !ok {
			return Line{}, false
		}
		switch pair.Key {
		case "time":
			at, err := time.Parse(time.RFC3339Nano, pair.Value)
			if err != nil {
				return Line{}, false
			}
			line.time = at
		case "event":
			line.event = pair.Value
		case "level", "logger":
		default:
			line.pairs = append(line.pairs, pair)
		}
	}
	return line, line.event != "" && !line.time.IsZero()
}

// cut takes the first pair off a text.
func cut(text string) (Pair, string, bool) {
	key, rest, ok := strings.Cut(text, "=")
	if !ok || key == "" || strings.ContainsAny(key, " \"") {
		return Pair{}, "", false
	}
	if !strings.HasPrefix(rest, `"`) {
		value, left, _ := strings.Cut(rest, " ")
		return Pair{key, value}, strings.TrimLeft(left, " "), true
	}
	quoted, err := strconv.QuotedPrefix(rest)
	if err != nil {
		return Pair{}, "", false
	}
	value, err := strconv.Unquote(quoted)
	if err != nil {
		return Pair{}, "", false
	}
	return Pair{key, value}, strings.TrimLeft(rest[len(quoted):], " "), true
}

// Story is what happened to a request.
type Story struct {
	id    string
	lines []Line
	near  []Line
}

// Of returns the story of a request: its own lines, and those about its
// upstreams, its model and the dependencies around its time.
func Of(id string, lines []Line) Story {
	s := Story{id: id}
	about := make(map[string]bool)
	for _, line := range lines {
		if line.Value("request") != id {
			continue
		}
		s.lines = append(s.lines, line)
		for _, key := range []string{"upstream", "model"} {
			if value := line.Value(key); value != "" {
				about[key+"="+value] = true
			}
		}
	}
	if len(s.lines) == 0 {
		return s
	}
	sortLines(s.lines)
	from, to := s.span()
	for _, line := range lines {
		if line.Value("request") != "" || line.time.Before(from) || line.time.After(to) {
			continue
		}
		if about["upstream="+line.Value("upstream")] || about["model="+line.Value("model")] || general[line.event] {
			s.near = append(s.near, line)
		}
	}
	sortLines(s.near)
	return s
}

// general are the events that may touch any request.
var general = map[string]bool{
	"dependency_lost": true, "dependency_back": true, "lease_taken": true, "lease_ended": true, "orders_allowed": true,
	"member_lost": true, "leaving": true, "started": true, "stopped": true, "catalog_changed": true, "lines_dropped": true,
}

// span returns the time that lines around the request are taken from.
func (s Story) span() (time.Time, time.Time) {
	from, to := s.lines[0].time, s.lines[len(s.lines)-1].time
	for _, line := range s.lines {
		if took, err := strconv.Atoi(line.Value("took_ms")); err == nil {
			if began := line.time.Add(-time.Duration(took) * time.Millisecond); began.Before(from) {
				from = began
			}
		}
	}
	return from.Add(-around), to.Add(around)
}

func sortLines(lines []Line) {
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].time.Before(lines[j].time) })
}

// Found tells whether any line names the request.
func (s Story) Found() bool { return len(s.lines) > 0 }

// Lines returns the request's own lines in order of time.
func (s Story) Lines() []Line { return s.lines }

// Near returns the lines about what the request met.
func (s Story) Near() []Line { return s.near }

// Print writes the story as text.
func (s Story) Print(out io.Writer) error {
	if _, err := fmt.Fprintf(out, "request %s\n", s.id); err != nil {
		return err
	}
	for _, part := range []struct {
		title string
		lines []Line
	}{{"what happened to it", s.lines}, {"what happened around it", s.near}} {
		if len(part.lines) == 0 {
			continue
		}
		if _, err := fmt.Fprintf(out, "\n%s\n", part.title); err != nil {
			return err
		}
		for _, line := range part.lines {
			if _, err := fmt.Fprintf(out, "  %s  %-20s %s%s\n", line.time.UTC().Format("15:04:05.000"), line.source, line.event, pairsText(line.pairs)); err != nil {
				return err
			}
		}
	}
	return nil
}

func pairsText(pairs []Pair) string {
	var text strings.Builder
	for _, pair := range pairs {
		if pair.Key == "request" || pair.Value == "" {
			continue
		}
		text.WriteString(" " + pair.Key + "=" + pair.Value)
	}
	return text.String()
}
