package allocator_test

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/gypsumhoist/gypsumhoist"
)

// Guards against a Held that takes a token, counts demand, keeps a bucket from being dropped or starts a standby bucket, and against one
// that foretells another decision than Spend makes.
func TestHeldChangesNothing(t *testing.T) {
	spend := func(held bool) (out []bool) {
		rw := row(30, 20)
		withFleet(t, 2, 3, rw, func(gm *gomega.WithT, fl *fleet) {
			al := fl.members[1].al
			for step := range 600 {
				if step == 300 {
					fl.setPartitioned("d0", true)
				}
				time.Sleep(time.Duration(1+step%30) * time.Millisecond)
				outlook := gypsumhoist.SpendUnknown
				if held {
					al.Held(row(1, 1))
					_, outlook = al.Held(rw)
				}
				err := al.Spend(context.Background(), rw, 50)
				out = append(out, err == nil)
				switch outlook {
				case gypsumhoist.SpendTakesToken:
					gm.Expect(err).NotTo(gomega.HaveOccurred())
				case gypsumhoist.SpendRefused:
					gm.Expect(err).To(gomega.HaveOccurred())
				case gypsumhoist.SpendAsksKeeper, gypsumhoist.SpendUnknown:
				}
			}
		})
		return out
	}
	gm := gomega.NewWithT(t)
	without := spend(false)
	gm.Expect(spend(true)).To(gomega.Equal(without))
	gm.Expect(without).To(gomega.And(gomega.ContainElement(true), gomega.ContainElement(false)))
}
