package claimer_test

import (
	"flag"
	"os"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// suiteT is the test that runs the suite, for synctest and rapid.
var suiteT *testing.T

func TestMain(tm *testing.M) {
	// Every run checks the same cases, unless flags on the command line say otherwise.
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "100"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(tm.Run())
}

func TestClaimer(t *testing.T) {
	suiteT = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "claimer")
}
