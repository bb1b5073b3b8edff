package replicator_test

import (
	"flag"
	"os"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// suiteT is the test that synctest.Test needs.
var suiteT *testing.T

func TestMain(m *testing.M) {
	flag.Parse()
	if fl := flag.Lookup("rapid.seed"); fl != nil && fl.Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

func TestReplicator(t *testing.T) {
	suiteT = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "replicator")
}
