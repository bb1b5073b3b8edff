package clocker_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/gypsumhoist/gypsumhoist/clocker"
)

// fakeClocks is a pair of kernel clocks set by a test.
type fakeClocks struct{ boottime, monotonic atomic.Int64 }

func (fc *fakeClocks) clock() *clocker.Clock {
	return clocker.New(
		func() (time.Duration, bool) { return time.Duration(fc.boottime.Load()), true },
		func() (time.Duration, bool) { return time.Duration(fc.monotonic.Load()), true },
	)
}

func TestNowIncludesSuspensions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gm := gomega.NewWithT(t)
		fc := &fakeClocks{}
		fc.boottime.Store(int64(time.Hour))
		ck := fc.clock()
		before := ck.Now()
		time.Sleep(time.Second)
		fc.boottime.Add(int64(4 * time.Second))
		fc.monotonic.Add(int64(time.Second))
		gm.Expect(ck.Since(before)).To(gomega.Equal(4 * time.Second))
		gm.Expect(ck.Suspended()).To(gomega.Equal(3 * time.Second))
	})
}

func TestSmallDifferencesAreNotSuspensions(t *testing.T) {
	gm := gomega.NewWithT(t)
	fc := &fakeClocks{}
	ck := fc.clock()
	fc.boottime.Add(int64(10 * time.Millisecond))
	gm.Expect(ck.Suspended()).To(gomega.BeZero())
	fc.monotonic.Add(int64(time.Minute))
	gm.Expect(ck.Suspended()).To(gomega.BeZero())
}

func TestFallsBackToRuntimeClock(t *testing.T) {
	gm := gomega.NewWithT(t)
	none := func() (time.Duration, bool) { return 0, false }
	ck := clocker.New(none, none)
	gm.Expect(ck.Suspended()).To(gomega.BeZero())
	gm.Expect(time.Until(ck.Now())).To(gomega.BeNumerically("~", 0, time.Second))
}

func TestProcessClockAdvances(t *testing.T) {
	gm := gomega.NewWithT(t)
	at := clocker.Now()
	gm.Expect(clocker.Since(at)).To(gomega.BeNumerically(">=", 0))
}
