package gossiper_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"testing/synctest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// suiteT is the test that runs the suite; synctest bubbles and property tests need it.
var suiteT *testing.T

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// inVirtualTime runs a spec in virtual time; its assertions must use the Gomega that it gets.
func inVirtualTime(fn func(g Gomega)) func() {
	return func() {
		failure := ""
		synctest.Test(suiteT, func(*testing.T) {
			defer func() {
				// A failed assertion panics out of the spec; goroutines that it leaves running may end the bubble before Fail.
				if got := recover(); got != nil {
					failure = fmt.Sprint(got)
					fmt.Fprintln(os.Stderr, failure)
				}
			}()
			fn(NewGomega(func(message string, _ ...int) { panic(message) }))
		})
		if failure != "" {
			Fail(failure)
		}
	}
}

func TestGossiper(t *testing.T) {
	suiteT = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "gossiper")
}
