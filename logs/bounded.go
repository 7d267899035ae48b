package logs

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// maxPendingLines is the number of lines that may wait for a slow writer.
	maxPendingLines = 2048
	// dropReportInterval is the least time between two lines_dropped events.
	dropReportInterval = time.Second
)

// BoundedWriter buffers lines for a writer that may be slow or blocked. Writing
// to it never blocks: lines are dropped and counted while the buffer is full.
type BoundedWriter struct {
	lines    chan []byte
	dropped  atomic.Int64
	finished chan struct{}
}

// NewBoundedWriter returns a writer that copies lines to out in the background.
func NewBoundedWriter(out io.Writer) *BoundedWriter {
	b := &BoundedWriter{lines: make(chan []byte, maxPendingLines), finished: make(chan struct{})}
	go func() {
		defer close(b.finished)
		reported := int64(0)
		var last time.Time
		for line := range b.lines {
			_, _ = out.Write(line)
			if dropped := b.dropped.Load(); dropped > reported && time.Since(last) >= dropReportInterval {
				_, _ = fmt.Fprintf(out, "time=%s level=warn event=lines_dropped count=%d\n", time.Now().UTC().Format("2006-01-02T15:04:05.000Z"), dropped-reported)
				reported, last = dropped, time.Now()
			}
		}
	}()
	return b
}

// Write implements io.Writer.
func (b *BoundedWriter) Write(line []byte) (int, error) {
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped.
func (b *BoundedWriter) Dropped() int64 { return b.dropped.Load() }

// Flush waits, at most for the given time, until all buffered lines are written.
// No call of Write may follow.
func (b *BoundedWriter) Flush(wait time.Duration) {
	close(b.lines)
	select {
	case <-b.finished:
	case <-time.After(wait):
	}
}
