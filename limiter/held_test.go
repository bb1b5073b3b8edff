package limiter_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/limiter"
)

// Guards against a Held that spends tokens, makes the state of a row or asks the keeper, and against one that promises a token that the
// node does not hold.
func TestHeldChangesNothing(t *testing.T) {
	spend := func(held bool) (out []bool, waits []time.Duration) {
		inFleet(t, 2, 2, func(g *WithT, fl *fleet) {
			rw := freshRow(20_000, 60)
			fl.setTable(2, rw)
			lm := fl.members[0].lm
			for step := range 300 {
				time.Sleep(time.Duration(1+step%40) * time.Millisecond)
				outlook := gypsumhoist.SpendUnknown
				if held {
					lm.Held(freshRow(0, 0))
					tokens := int64(0)
					tokens, outlook = lm.Held(rw)
					g.Expect(outlook == gypsumhoist.SpendTakesToken).To(Equal(tokens > 0))
				}
				began := time.Now()
				err := lm.Spend(context.Background(), rw, 50)
				out, waits = append(out, err == nil), append(waits, time.Since(began))
				if outlook == gypsumhoist.SpendTakesToken {
					g.Expect(err).NotTo(HaveOccurred())
					g.Expect(time.Since(began)).To(BeZero())
				}
			}
		})
		return out, waits
	}
	g := NewWithT(t)
	without, waits := spend(false)
	with, waitsWith := spend(true)
	g.Expect(with).To(Equal(without))
	g.Expect(waitsWith).To(Equal(waits))
	_, outlook := limiter.New().Held(freshRow(0, 5))
	g.Expect(outlook).To(Equal(gypsumhoist.SpendRefused))
}
