// Package logs writes one line of key=value pairs for each event.
//
// # Usage
//
//	logger := logs.New(os.Stderr, "cardd", "info")
//	logger.Info("order_done", "model", "muse-01", "upstream", "i-3")
//
// The line starts with time, level, logger and event; the other pairs follow in
// the order of the arguments.
package logs

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
)

// New returns a logger that writes events of at least the level to out.
func New(out io.Writer, name, level string) hclog.Logger {
	threshold := hclog.LevelFromString(level)
	logger := hclog.NewInterceptLogger(&hclog.LoggerOptions{Name: name, Level: threshold, Output: io.Discard})
	logger.RegisterSink(&pairSink{out: out, threshold: threshold})
	return logger
}

// pairSink formats hclog events as key=value pairs.
type pairSink struct {
	mu        sync.Mutex
	out       io.Writer
	threshold hclog.Level
}

// Accept implements hclog.SinkAdapter.
func (s *pairSink) Accept(name string, level hclog.Level, msg string, args ...any) {
	if level < s.threshold {
		return
	}
	var line strings.Builder
	line.WriteString("time=" + time.Now().UTC().Format("2006-01-02T15:04:05.000Z"))
	writePair(&line, "level", level.String())
	writePair(&line, "logger", name)
	writePair(&line, "event", msg)
	for i := 0; i+1 < len(args); i += 2 {
		writePair(&line, fmt.Sprint(args[i]), args[i+1])
	}
	line.WriteByte('\n')
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = io.WriteString(s.out, line.String())
}

func writePair(line *strings.Builder, key string, value any) {
	text := fmt.Sprint(value)
	if text == "" || strings.ContainsAny(text, " =\"\n\t") {
		text = strconv.Quote(text)
	}
	line.WriteString(" " + key + "=" + text)
}
