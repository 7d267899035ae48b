package logs

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// boundedLines is how many lines may wait for a slow reader.
	boundedLines = 2048
	// lossEvery is the least time between two lines about dropped ones.
	lossEvery = time.Second
)

// Bounded passes lines on to a writer that may be slow or stuck. Writing to it
// never blocks: lines that find no room are dropped and counted.
type Bounded struct {
	lines   chan []byte
	dropped atomic.Int64
	ended   chan struct{}
}

// NewBounded returns a writer in front of out.
func NewBounded(out io.Writer) *Bounded {
	b := &Bounded{lines: make(chan []byte, boundedLines), ended: make(chan struct{})}
	go func() {
		defer close(b.ended)
		told := int64(0)
		var last time.Time
		for line := range b.lines {
			_, _ = out.Write(line)
			if dropped := b.dropped.Load(); dropped > told && time.Since(last) >= lossEvery {
				_, _ = fmt.Fprintf(out, "time=%s level=warn event=lines_dropped count=%d\n", time.Now().UTC().Format("2006-01-02T15:04:05.000Z"), dropped-told)
				told, last = dropped, time.Now()
			}
		}
	}()
	return b
}

// Write implements io.Writer.
func (b *Bounded) Write(line []byte) (int, error) {
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped.
func (b *Bounded) Dropped() int64 { return b.dropped.Load() }

// Flush waits until the lines written so far are out, at most for the time.
// Nothing may be written after it.
func (b *Bounded) Flush(wait time.Duration) {
	close(b.lines)
	select {
	case <-b.ended:
	case <-time.After(wait):
	}
}
