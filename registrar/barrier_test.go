package registrar_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumhoist/gypsumhoist/registrar"
)

var _ = Describe("a control instance whose log has no leader yet", func() {
	It("confirms its table within 50 ms of the election, as all instances of a restarted fleet wait for that", func() {
		synctest.Test(suiteT, func(*testing.T) {
			const elected = 510 * time.Millisecond
			from := time.Now()
			ds := registrar.NewDistributor(registrar.WithHolder(registrar.NewHolder()), registrar.WithBarrier(func(context.Context) error {
				if time.Since(from) < elected {
					return errors.New("no leader to ask")
				}
				return nil
			}))
			ds.Start()
			defer ds.Stop()
			<-ds.Ready()
			Expect(time.Since(from)).To(BeNumerically("<=", elected+50*time.Millisecond))
			time.Sleep(time.Second)
			Expect(ds.Holder().Age()).To(BeNumerically("<=", 300*time.Millisecond))
		})
	})
})
