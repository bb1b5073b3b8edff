package server_test

import (
	"runtime"
	"testing"

	"github.com/onsi/gomega"

	"github.com/gypsumhoist/gypsumhoist/loader"
	"github.com/gypsumhoist/gypsumhoist/server"
)

func TestProcessorsSetting(t *testing.T) {
	// Guards against a setting that is read but not applied, and against a change where it is not set.
	gm := gomega.NewWithT(t)
	before := runtime.GOMAXPROCS(0)
	defer runtime.GOMAXPROCS(before)
	server.LimitRuntime(loader.Bounds{})
	gm.Expect(runtime.GOMAXPROCS(0)).To(gomega.Equal(before))
	server.LimitRuntime(loader.Bounds{Processors: before + 1})
	gm.Expect(runtime.GOMAXPROCS(0)).To(gomega.Equal(before + 1))
}
