package server_test

import (
	"runtime/metrics"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumhoist/gypsumhoist/server"
)

// garbagePercent returns the garbage collector's target (GOGC).
func garbagePercent() uint64 {
	sample := []metrics.Sample{{Name: "/gc/gogc:percent"}}
	metrics.Read(sample)
	return sample[0].Value.Uint64()
}

var _ = ginkgo.Describe("the garbage collector's target", func() {
	ginkgo.It("stays low while a crowd's requests are answered at once and leave only garbage", func() {
		synctest.Test(suite, func(*testing.T) {
			defer ginkgo.GinkgoRecover()
			normal := garbagePercent()
			pressure, dying := make(chan bool), make(chan struct{})
			ended := server.RunCollector(pressure, dying)
			for range 20 {
				pressure <- true
				time.Sleep(50 * time.Millisecond)
				pressure <- false
				time.Sleep(500 * time.Millisecond)
				Expect(garbagePercent()).To(BeNumerically("<", normal))
			}
			time.Sleep(5 * time.Second)
			Expect(garbagePercent()).To(Equal(normal))
			close(dying)
			<-ended
		})
	})
})
