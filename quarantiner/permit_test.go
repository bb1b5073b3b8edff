package quarantiner_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumhoist/gypsumhoist/quarantiner"
)

var _ = Describe("a failed instance that held several permits without suspects", func() {
	It("ends no process and counts as no death", func() {
		self := quarantiner.Process{Instance: "arbiter", Boot: 1}
		holder := quarantiner.Process{Instance: "holder", Boot: 1}
		co := quarantiner.NewCore(self, 0)
		co.SetMembers(0, []quarantiner.Member{{Process: self}})
		now := time.Hour
		for ix := range byte(2) {
			_, outcome := co.RequestPermit(now, quarantiner.Head{ix}, holder, time.Second, nil)
			Expect(outcome).To(Equal(quarantiner.PermitGranted))
		}
		co.InstanceFailed(now, holder.Instance)
		Expect(co.List(now)).To(BeEmpty())
		Expect(co.Effects()).To(BeEmpty())
	})
})
