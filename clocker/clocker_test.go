package clocker_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/gypsumhoist/gypsumhoist/clocker"
)

// kernel is a pair of clocks that a test moves.
type kernel struct{ running, steady atomic.Int64 }

func (kn *kernel) clock() *clocker.Clock {
	return clocker.New(
		func() (time.Duration, bool) { return time.Duration(kn.running.Load()), true },
		func() (time.Duration, bool) { return time.Duration(kn.steady.Load()), true },
	)
}

func TestNowCountsSuspensions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gm := gomega.NewWithT(t)
		kn := &kernel{}
		kn.running.Store(int64(time.Hour))
		ck := kn.clock()
		before := ck.Now()
		time.Sleep(time.Second)
		kn.running.Add(int64(4 * time.Second))
		kn.steady.Add(int64(time.Second))
		gm.Expect(ck.Since(before)).To(gomega.Equal(4 * time.Second))
		gm.Expect(ck.Suspended()).To(gomega.Equal(3 * time.Second))
	})
}

func TestSmallDifferencesAreNoSuspension(t *testing.T) {
	gm := gomega.NewWithT(t)
	kn := &kernel{}
	ck := kn.clock()
	kn.running.Add(int64(10 * time.Millisecond))
	gm.Expect(ck.Suspended()).To(gomega.BeZero())
	kn.steady.Add(int64(time.Minute))
	gm.Expect(ck.Suspended()).To(gomega.BeZero())
}

func TestWithoutKernelClocksItIsTheRuntimes(t *testing.T) {
	gm := gomega.NewWithT(t)
	none := func() (time.Duration, bool) { return 0, false }
	ck := clocker.New(none, none)
	gm.Expect(ck.Suspended()).To(gomega.BeZero())
	gm.Expect(time.Until(ck.Now())).To(gomega.BeNumerically("~", 0, time.Second))
}

func TestTheProcessesOwnClockGoesOn(t *testing.T) {
	gm := gomega.NewWithT(t)
	at := clocker.Now()
	gm.Expect(clocker.Since(at)).To(gomega.BeNumerically(">=", 0))
}
