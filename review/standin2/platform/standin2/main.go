// Command standin2 plays the cases 6 to 10 of the review: it starts the project's own programs with the commands of the deploy file,
// on loopback addresses, and plays the platform, the back ends, the operator and the clients around them.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a case.
const (
	exitHeld   = 0 // the rule held
	exitBroken = 1 // the rule was broken
	exitNotRun = 2 // the case could not run
)

// cases holds the cases by their number. A case returns whether the rule was broken.
var cases = map[string]func(rc *record, trouble bool) (broken bool, err error){
	"6":  diskLossAfterReplacement,
	"7":  strayAnswer,
	"8":  nestedRoute,
	"9":  withdrawnKey,
	"10": forgottenDeparture,
}

// main runs the case whose number is the first argument and writes to record.txt in the folder that is the second one.
func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE FOLDER")
		os.Exit(exitNotRun)
	}
	rc, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rc.note("case %s, trouble %v", os.Args[1], trouble)
	broken, err := cases[os.Args[1]](rc, trouble)
	code := exitHeld
	switch {
	case err != nil:
		rc.note("could not run: %v", err)
		code = exitNotRun
	case broken:
		rc.note("the rule was broken")
		code = exitBroken
	default:
		rc.note("the rule held")
	}
	rc.close()
	os.Exit(code)
}
