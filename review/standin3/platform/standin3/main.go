//go:build standin3

// Command standin3 plays the platform, the operator, clients and back ends of a small deployment for the cases in review/11 and later.
// It starts the project's own programs with the commands and the settings of the deploy file, on loopback addresses and the real clock.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// verdict is the result of a case.
type verdict struct {
	code int
	text string
}

func held(format string, args ...any) verdict { return verdict{exitHeld, fmt.Sprintf(format, args...)} }

func broken(format string, args ...any) verdict {
	return verdict{exitBroken, fmt.Sprintf(format, args...)}
}

func notRun(format string, args ...any) verdict {
	return verdict{exitNotRun, fmt.Sprintf(format, args...)}
}

// cases are the cases by name. Trouble says whether the disruption is played.
var cases = map[string]func(cl *cluster, trouble bool) verdict{
	"first-kill":  firstKill,
	"first-loss":  firstLoss,
	"silent-work": silentWork,
	"added-route": addedRoute,
	"piped-stop":  pipedStop,
	"piped-break": pipedBreak,
}

func main() { os.Exit(run()) }

// run plays the case that the first argument names, and writes the record into the folder that the second one names.
func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: standin3 CASE FOLDER")
		return exitNotRun
	}
	rec, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	defer rec.close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.note("case %s, with the disruption: %v", os.Args[1], trouble)
	cl, err := newCluster(rec)
	if err != nil {
		rec.note("not run: %v", err)
		fmt.Println(err)
		return exitNotRun
	}
	defer cl.stop()
	sig := make(chan os.Signal, 1)
	signal.Notify(sig, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	done := make(chan verdict, 1)
	go func() { done <- cases[os.Args[1]](cl, trouble) }()
	var vd verdict
	select {
	case vd = <-done:
	case got := <-sig:
		vd = notRun("ended by %v", got)
	}
	rec.note("result %d: %s", vd.code, vd.text)
	fmt.Println(vd.text)
	return vd.code
}
