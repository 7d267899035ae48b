// Command standin plays the cases of the review: it starts the system's programs as
// processes, with stand-ins for their clients, runners and platform, and checks a rule.
//
// # Usage
//
//	standin CASE FOLDER
//
// It is run at the root of the repository, writes FOLDER/record.txt, and exits with 1 if the
// rule was broken, 0 if it held and 2 if the case could not run. TROUBLE=0 leaves out the
// disruption.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// cases are the cases by name. Each returns how the rule was broken, once for each time.
var cases = map[string]func(trouble bool) []string{
	"late-extra": lateExtra,
	"sigterm":    sigterm,
	"two-givers": twoGivers,
	"half-close": halfClose,
	"crashing":   crashing,
}

func main() {
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(2)
	}
	os.Exit(run(play, filepath.Join(os.Args[2], "record.txt")))
}

func run(play func(trouble bool) []string, path string) (code int) {
	defer log.write(path)
	defer func() {
		switch reason := recover().(type) {
		case nil:
		case couldNotRun:
			log.addf("could not run: %s", string(reason))
			fmt.Println("could not run:", string(reason))
			code = 2
		default:
			panic(reason)
		}
	}()
	broken := play(os.Getenv("TROUBLE") != "0")
	for _, line := range broken {
		log.addf("BROKEN %s", line)
		fmt.Println("BROKEN", line)
	}
	if len(broken) > 0 {
		return 1
	}
	log.addf("the rule held")
	fmt.Println("the rule held")
	return 0
}
