// Command standin3 plays the cases of the third review that need a script.
//
// # Usage
//
//	standin3 one FOLDER
//	standin3 quota FOLDER
//
// It runs in the repository's root, writes FOLDER/record.txt and exits with 1 if the rule was
// broken, 0 if it held, and 2 if the case couldn't run. With TROUBLE=0 in the environment the
// disruption is left out.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

const (
	held      = 0
	broken    = 1
	notPlayed = 2
)

// record is the file that tells what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func (r *record) line(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, values...))
}

// offset returns a time as the record shows it.
func (r *record) offset(at time.Time) string {
	return fmt.Sprintf("%.3f s", at.Sub(r.began).Seconds())
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE FOLDER")
		os.Exit(notPlayed)
	}
	cases := map[string]func(*record, string, bool) (int, error){"quota": playQuota, "one": playOne}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", os.Args[1])
		os.Exit(notPlayed)
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notPlayed)
	}
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notPlayed)
	}
	r := &record{file: file, began: time.Now()}
	result, err := play(r, folder, os.Getenv("TROUBLE") != "0")
	if err != nil {
		r.line("couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		result = notPlayed
	}
	_ = file.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(folder)
	} else {
		fmt.Fprintln(os.Stderr, folder)
	}
	os.Exit(result)
}
