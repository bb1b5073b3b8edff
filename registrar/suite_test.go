package registrar_test

import (
	"flag"
	"os"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// suiteT is the testing.T of the suite, for synctest bubbles and rapid checks.
var suiteT *testing.T

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func TestRegistrar(t *testing.T) {
	suiteT = t
	RegisterFailHandler(Fail)
	suite, reporter := GinkgoConfiguration()
	suite.RandomSeed = 1
	RunSpecs(t, "registrar", suite, reporter)
}
