package drainer_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// suite is the test that runs the specs, for synctest.Test.
var suite *testing.T

func TestDrainer(t *testing.T) {
	suite = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "drainer")
}
