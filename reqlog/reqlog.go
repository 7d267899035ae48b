// Package reqlog reads the log lines of all instances and collects those that
// explain what happened to one request.
//
// # Usage
//
//	lines, skipped, err := reqlog.Read("entry-1.log", file)
//	timeline := reqlog.NewTimeline("9c41d07be2a35f68", lines)
//	err = timeline.Print(os.Stdout)
//
// A line consists of the key=value pairs that package logs writes, from time= on.
// Log collectors may add a prefix before the pairs. The last word of the prefix is
// then the name of the line's source, such as an instance.
package reqlog

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
	// maxLineBytes is the maximum size of a line. A longer line makes Read fail.
	maxLineBytes = 1 << 20
	// contextWindow is the time before and after a request in which the timeline of
	// the request also has the lines about its upstreams and models and those of
	// generalEvents.
	contextWindow = 2 * time.Second
)

// Line is one parsed log line.
type Line struct {
	source string
	time   time.Time
	event  string
	pairs  []Pair
}

// Pair is one key=value pair.
type Pair struct {
	Key   string
	Value string
}

// Source returns the name of the instance or file that the line comes from.
func (l Line) Source() string { return l.source }

// Time returns when the line was written, by the clock of its instance.
func (l Line) Time() time.Time { return l.time }

// Event returns the name of the event.
func (l Line) Event() string { return l.event }

// Pairs returns the pairs other than time, level, logger and event, in the order of
// the line.
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

// Read returns the log lines of a source, and how many lines of text it skipped because
// they are no log lines. A line whose prefix names a source belongs to that source
// instead.
func Read(source string, in io.Reader) ([]Line, int, error) {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
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

// parse parses a log line and reports whether the text is a valid one.
func parse(source, text string) (Line, bool) {
	start := strings.Index(text, "time=")
	if start < 0 {
		return Line{}, false
	}
	if prefix := strings.Fields(text[:start]); len(prefix) > 0 {
		source = prefix[len(prefix)-1]
	}
	line := Line{source: source}
	rest := text[start:]
	for rest != "" {
		var pair Pair
		var ok bool
		pair, rest, ok = cutPair(rest)
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

// cutPair returns the first pair of a text and the rest of the text. It returns false
// if the text doesn't begin with a valid pair.
func cutPair(text string) (Pair, string, bool) {
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

// Timeline holds the log lines that explain what happened to a request.
type Timeline struct {
	// id is the ID of the request.
	id string
	// lines are the lines that name the request.
	lines []Line
	// stream are the lines of the requests that the stream began with or went on in before.
	stream []Line
	// related are the other lines, about things that may have affected the request.
	related []Line
}

// NewTimeline returns the timeline of the request with the ID. It has the lines that
// name the request. From 2 s before the request to 2 s after it, it also has the lines
// that name one of its upstreams or models and no other request, and the lines of
// events that may affect any request, such as the loss of an instance. Of a request that was
// refused for a part of its prompt it has all verdicts on the part until then. Of a request
// that takes a stream up it has the lines of the request that began the stream, of others
// that took it up, and of their upstreams.
func NewTimeline(id string, lines []Line) Timeline {
	t := Timeline{id: id}
	subjects, parts := make(map[string]bool), make(map[string]bool)
	began := streamOf(id, lines)
	for _, line := range lines {
		switch {
		case line.Value("request") == id:
			t.lines = append(t.lines, line)
		case began != "" && (line.Value("request") == began || line.Value("resumes") == began):
			t.stream = append(t.stream, line)
		default:
			continue
		}
		for _, key := range []string{"upstream", "model"} {
			if value := line.Value(key); value != "" {
				subjects[key+"="+value] = true
			}
		}
		if part := line.Value("part"); part != "" {
			parts[part] = true
		}
	}
	if len(t.lines) == 0 {
		return t
	}
	sortLines(t.lines)
	sortLines(t.stream)
	from, to := t.window()
	for _, line := range lines {
		if line.event == "part_verdict" && parts[line.Value("part")] && line.Value("request") != id && !line.time.After(to) {
			t.related = append(t.related, line)
			continue
		}
		if line.Value("request") != "" || line.time.Before(from) || line.time.After(to) {
			continue
		}
		if subjects["upstream="+line.Value("upstream")] || subjects["model="+line.Value("model")] || generalEvents[line.event] {
			t.related = append(t.related, line)
		}
	}
	sortLines(t.related)
	return t
}

// streamOf returns the request that began the stream that a request takes up, empty if it
// takes up none.
func streamOf(id string, lines []Line) string {
	for _, line := range lines {
		if began := line.Value("resumes"); line.Value("request") == id && began != "" {
			return began
		}
	}
	return ""
}

// generalEvents are the events that may affect any request, whatever its upstream and
// model.
var generalEvents = map[string]bool{
	"dependency_lost": true, "dependency_back": true, "lease_taken": true, "lease_ended": true, "orders_allowed": true,
	"member_lost": true, "leaving": true, "started": true, "stopped": true, "catalog_changed": true, "lines_dropped": true,
}

// window returns the start and end of the time whose related lines belong to the
// timeline: the time of the request, extended by contextWindow at both ends.
func (t Timeline) window() (time.Time, time.Time) {
	from, to := t.lines[0].time, t.lines[len(t.lines)-1].time
	for _, line := range t.lines {
		if took, err := strconv.Atoi(line.Value("took_ms")); err == nil {
			if began := line.time.Add(-time.Duration(took) * time.Millisecond); began.Before(from) {
				from = began
			}
		}
	}
	return from.Add(-contextWindow), to.Add(contextWindow)
}

func sortLines(lines []Line) {
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].time.Before(lines[j].time) })
}

// Found reports whether any line names the request.
func (t Timeline) Found() bool { return len(t.lines) > 0 }

// Lines returns the lines that name the request, in order of time.
func (t Timeline) Lines() []Line { return t.lines }

// Stream returns the lines of the requests in which the stream that the request takes up
// began or went on before, in order of time.
func (t Timeline) Stream() []Line { return t.stream }

// Related returns the lines that don't name the request but may explain it, in order of
// time: see NewTimeline.
func (t Timeline) Related() []Line { return t.related }

// Print writes the timeline as text: first the lines that name the request, under the
// title "what happened to it", then those of its stream, under the title "what happened to
// its stream before", then the related lines, under the title "what happened around it".
func (t Timeline) Print(out io.Writer) error {
	if _, err := fmt.Fprintf(out, "request %s\n", t.id); err != nil {
		return err
	}
	for _, part := range []struct {
		title string
		lines []Line
		// names means that the lines name their requests.
		names bool
	}{{"what happened to it", t.lines, false}, {"what happened to its stream before", t.stream, true}, {"what happened around it", t.related, false}} {
		if len(part.lines) == 0 {
			continue
		}
		if _, err := fmt.Fprintf(out, "\n%s\n", part.title); err != nil {
			return err
		}
		for _, line := range part.lines {
			if _, err := fmt.Fprintf(out, "  %s  %-20s %s%s\n", line.time.UTC().Format("15:04:05.000"), line.source, line.event, pairsText(line.pairs, part.names)); err != nil {
				return err
			}
		}
	}
	return nil
}

// pairsText returns the pairs as text, without empty values and, unless names is set, the
// ID of the request.
func pairsText(pairs []Pair, names bool) string {
	var text strings.Builder
	for _, pair := range pairs {
		if pair.Key == "request" && !names || pair.Value == "" {
			continue
		}
		text.WriteString(" " + pair.Key + "=" + pair.Value)
	}
	return text.String()
}
