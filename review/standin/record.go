package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// record is the file that says what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	began time.Time
	lines strings.Builder
}

var log = &record{began: time.Now()}

// addf adds a line with the time since the start.
func (r *record) addf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(&r.lines, "%9.3f ", time.Since(r.began).Seconds())
	fmt.Fprintf(&r.lines, format, args...)
	r.lines.WriteByte('\n')
}

// write writes the file.
func (r *record) write(path string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := os.WriteFile(path, []byte(r.lines.String()), 0o600); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
}

// couldNotRun is what fail panics with, so that the processes are ended.
type couldNotRun string

// fail ends the case: it could not run.
func fail(format string, args ...any) { panic(couldNotRun(fmt.Sprintf(format, args...))) }
