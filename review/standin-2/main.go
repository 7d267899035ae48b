// Command standin2 plays the cases of the second review. It starts the instances of the
// program under test as processes, with stand-ins for the platform's store, the runners and
// the clients.
//
// # Usage
//
//	standin2 slow-reader RECORD
//	standin2 foreign-entry RECORD
//	standin2 long-stream RECORD
//	standin2 popular-request RECORD
//
// It is run in the root of the repository. The environment variable TROUBLE=0 leaves the
// disruption out. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could
// not run.
package main

import (
	"fmt"
	"os"
)

// outcome is what a case found: why the rule was broken, empty if it held.
type outcome struct {
	broken string
}

var cases = map[string]func(log *record, trouble bool) (outcome, error){
	"slow-reader":     slowReader,
	"foreign-entry":   foreignEntry,
	"long-stream":     longStream,
	"popular-request": popularRequest,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE RECORD")
		os.Exit(2)
	}
	log, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	found, err := cases[os.Args[1]](log, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		log.add("not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	case found.broken != "":
		log.add("broken: %s", found.broken)
		fmt.Println("broken:", found.broken)
		os.Exit(1)
	default:
		log.add("held")
		fmt.Println("held")
	}
}
