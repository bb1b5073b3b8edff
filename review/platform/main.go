// Command review plays the cases of an independent review against separate processes of the system.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

var cases = map[string]func(*fleet, bool) (bool, error){
	"early-answer": earlyAnswer,
	"lone-founder": loneFounder,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: review CASE RECORD")
		os.Exit(cannotRun)
	}
	rc, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Println(err)
		os.Exit(cannotRun)
	}
	fl, err := newFleet(rc)
	if err != nil {
		fmt.Println(err)
		os.Exit(cannotRun)
	}
	ok, err := cases[os.Args[1]](fl, os.Getenv("TROUBLE") != "0")
	fl.stop()
	switch {
	case err != nil:
		rc.note("could not run: %v", err)
		os.Exit(cannotRun)
	case !ok:
		rc.note("the rule is broken")
		os.Exit(broken)
	}
	rc.note("the rule held")
	os.Exit(held)
}
